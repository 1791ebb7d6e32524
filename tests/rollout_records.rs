//! The records of rollouts as operators write and read them, and the messages between routers about them.

#[allow(dead_code)]
mod pins;
#[allow(dead_code, unused_imports)]
#[path = "../platform/mod.rs"]
mod platform;

use lanedeck::gateway::dialect::{Dialect, Subject};
use lanedeck::gateway::message::{Reply, Request};
use lanedeck::gateway::rollout::{Arm, Evidence, Order, Progress, Report, Stage, View};
use lanedeck::store::Record;
use lanedeck::units::Millis;
use pins::pin;
use platform::Platform;

fn progress(stage: Stage) -> Progress {
    Progress {
        version: "v2".into(),
        stage,
        age: Millis(1_500),
    }
}

#[test]
fn order_keys() {
    let rollout = Some(Subject::Rollout { service: "app" });
    assert_eq!(Platform.subject("rollout/app"), rollout);
    assert_eq!(Platform.subject("rollout/"), None);
}

#[test]
fn orders() {
    let text = br#"{"service":"app","targetVersion":"v2","durationS":12.5,"new":1}"#;
    let order = Order {
        version: "v2".into(),
        duration: Millis(12_500),
    };
    assert_eq!(Platform.read_rollout(text).unwrap(), order);
    for bad in [
        "",
        "[]",
        r#"{"targetVersion":"v2"}"#,
        r#"{"durationS":1,"targetVersion":7}"#,
    ] {
        assert!(Platform.read_rollout(bad.as_bytes()).is_err(), "{bad}");
    }
}

#[test]
fn progress_for_operators() {
    for (stage, state) in [
        (Stage::Trial, "running"),
        (Stage::Shift, "running"),
        (Stage::Done, "done"),
        (Stage::RolledBack, "rolled_back"),
    ] {
        let record = Platform.write_progress("app", &progress(stage));
        assert_eq!(record.key, "rollout/app");
        let value: serde_json::Value =
            serde_json::from_slice(record.value.as_ref().unwrap()).unwrap();
        assert_eq!(value["service"], "app");
        assert_eq!(value["targetVersion"], "v2");
        assert_eq!(value["state"], state);
        let read = Platform.read_progress(&record).unwrap();
        assert_eq!(read, Some(("app".to_owned(), progress(stage))));
    }
}

#[test]
fn foreign_records() {
    let record = |key: &str, value: Option<&'static str>| Record {
        key: key.into(),
        value: value.map(Into::into),
    };
    let read = |record: &Record| Platform.read_progress(record);
    assert!(matches!(read(&record("other/app", Some("{}"))), Ok(None)));
    assert!(matches!(read(&record("rollout/app", None)), Ok(None)));
    assert!(read(&record("rollout/app", Some("{}"))).is_err());
    // Another writer leaves out what only routers read.
    let plain = r#"{"service":"app","targetVersion":"v2","state":"rolled_back"}"#;
    let (_, progress) = read(&record("rollout/app", Some(plain))).unwrap().unwrap();
    assert_eq!(progress.stage, Stage::RolledBack);
}

#[test]
fn messages() {
    let mut evidence = Evidence::default();
    let tally = evidence.route_mut("r").arm_mut(Arm::Candidate);
    tally.record_failure(3);
    let report = Report {
        service: "app".into(),
        version: "v2".into(),
        router: "g1".into(),
        incarnation: 7,
        evidence,
    };
    let view = View {
        service: "app".into(),
        order: Order {
            version: "v2".into(),
            duration: Millis(12_000),
        },
        stage: Some(Stage::Shift),
        age: Millis(900),
    };
    pin(
        "0703617070027632026731070101720000000000000000000000000000000000000000010000000000000000000000000000000008",
        &Request::Evidence(Box::new(report)),
    );
    pin("08", &Request::Rollouts);
    pin(
        "08010103617070027632fbe02e0101fb8403",
        &Reply::Rollouts(Some(vec![view])),
    );
}
