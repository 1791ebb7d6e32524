//! Malformed entries in the list of targets, as left by other writers: they are not used, and the other entries stay in
//! force.

mod deployment;
mod listed;
#[allow(dead_code, unused_imports)]
#[path = "../platform/mod.rs"]
mod platform;

use std::time::Instant;

use arbtest::arbtest;
use deployment::runner::Runner;
use deployment::{Ask, Deployment, LONG, ask, config, list};
use lanedeck::gateway::dialect::{BadEntry, Dialect, Listing};
use lanedeck::gateway::feed::Journal;
use lanedeck::gateway::incarnation;
use lanedeck::gateway::key::TargetKey;
use lanedeck::gateway::targets::{Change, Targets};
use lanedeck::store::Place;
use lanedeck::units::Millis;
use platform::Platform;
use serde_json::{Value, json};

fn entry(address: &str) -> Value {
    json!({
        "service": "app", "address": address, "zone": "hall", "version": "v1", "slots": 64,
        "state": "ready", "coldLeftMs": 12.5, "sequence": 4, "born": 1_790_000_000_000_u64,
    })
}

fn read(entry: &Value) -> Result<lanedeck::gateway::dialect::Listing, BadEntry> {
    let read = Platform.read_listing("i-1", entry.to_string().as_bytes());
    read.map(|entry| entry.listing)
}

#[test]
fn whole_entry() {
    let listing = read(&entry("127.0.0.1:1")).unwrap();
    assert_eq!(listing.instance, "i-1@1790000000000");
    let mut without_start = entry("127.0.0.1:1");
    without_start.as_object_mut().unwrap().remove("born");
    assert_eq!(
        read(&without_start).unwrap().instance,
        "i-1",
        "the time of the start is optional"
    );
}

#[test]
fn causes() {
    let error_with = |field: &str, value: Value| {
        let mut malformed = entry("127.0.0.1:1");
        malformed[field] = value;
        read(&malformed).unwrap_err()
    };
    assert!(matches!(
        error_with("state", json!("starting")),
        BadEntry::State { .. }
    ));
    assert!(matches!(
        error_with("state", json!(1)),
        BadEntry::Type { field: "state", .. }
    ));
    assert!(matches!(
        error_with("service", json!("")),
        BadEntry::Service
    ));
    assert!(matches!(
        error_with("slots", json!(0)),
        BadEntry::Type { field: "slots", .. }
    ));
    assert!(matches!(
        error_with("sequence", json!("4")),
        BadEntry::Type {
            field: "sequence",
            ..
        }
    ));
    assert!(matches!(
        error_with("born", json!(1.5)),
        BadEntry::Type { field: "born", .. }
    ));
    assert!(matches!(
        error_with("born", json!("then")),
        BadEntry::Type { field: "born", .. }
    ));
    let unreadable = Platform.read_listing("i-1", b"\xff{").unwrap_err();
    assert!(matches!(unreadable, BadEntry::Unreadable { .. }));
    let whole = entry("127.0.0.1:1").to_string();
    for id in ["", "i@1", "i&1", "i+1", "i#1", "i%41", "i 1", "i\n1", "é"] {
        let read = Platform.read_listing(id, whole.as_bytes());
        assert!(matches!(read, Err(BadEntry::Id)), "{id:?}");
    }
}

#[test]
fn any_bytes() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        assert!(Platform.read_listing("i-1", &bytes).is_err(), "{bytes:?}");
        Ok(())
    });
}

/// An entry is not used if any one of its fields is missing or has another type.
#[test]
fn any_malformed_field() {
    let values = [
        json!(null),
        json!([]),
        json!({}),
        json!(true),
        json!(-1),
        json!(""),
    ];
    arbtest(|u| {
        let mut malformed = entry("127.0.0.1:1");
        let fields: Vec<String> = malformed.as_object().unwrap().keys().cloned().collect();
        let field = u.choose(&fields)?;
        let value = u.choose(&values)?;
        // Text fields accept any string, and a negative number of milliseconds is a number.
        let is_allowed = match field.as_str() {
            "version" | "zone" => value.is_string(),
            "coldLeftMs" => value.is_number(),
            _ => false,
        };
        if u.arbitrary()? && field != "born" {
            malformed.as_object_mut().unwrap().remove(field);
            assert!(read(&malformed).is_err(), "without {field}");
        } else {
            malformed[field.as_str()] = value.clone();
            assert_eq!(read(&malformed).is_ok(), is_allowed, "{field} = {value}");
        }
        Ok(())
    });
}

const NOW: Millis = Millis(1_000_000);
/// Longer than an incarnation is kept that is not listed.
const FORGOTTEN_AFTER: Millis = Millis(70_000);

fn started(start: Option<u64>) -> Listing {
    Listing {
        instance: incarnation::name("i-1", start.map(Millis)),
        ..listed::listing(1)
    }
}

#[test]
fn foreign_service_leaves_dead_key() {
    let mut targets = Targets::default();
    targets.list(started(Some(17)));
    let foreign = Listing {
        service: "unnamed".into(),
        ..started(Some(17))
    };
    targets.list(foreign);
    assert!(targets.candidates(NOW, "s", &[]).is_empty());
    targets.unlist(NOW, "i-1");
    targets.forget(NOW);
    targets.forget(NOW + FORGOTTEN_AFTER);
    assert_eq!(targets.known_count(), 0);
    assert!(targets.candidates(NOW, "s", &[]).is_empty());
}

#[test]
fn foreign_service_comes_first() {
    let mut targets = Targets::default();
    let foreign = Listing {
        service: "unnamed".into(),
        ..started(Some(17))
    };
    targets.list(foreign);
    targets.list(started(Some(17)));
    assert_eq!(targets.candidates(NOW, "s", &[]), [TargetKey(0)]);
    assert!(targets.candidates(NOW, "unnamed", &[]).is_empty());
}

#[test]
fn entry_without_start_keeps_leaving_target() {
    let mut targets = Targets::default();
    targets.list(started(Some(17)));
    let running = targets.get(TargetKey(0)).ended.clone();
    assert_eq!(targets.list(started(None)), Change::Refused);
    assert!(!running.is_cancelled(), "its requests go on");
    targets.list(started(Some(17)));
    assert_eq!(targets.candidates(NOW, "s", &[]), [TargetKey(0)]);
    assert!(targets.unlist(NOW, "i-1"));
    assert!(targets.candidates(NOW, "s", &[]).is_empty());
}

#[test]
fn first_entry_without_start_keeps_leaving_target() {
    let mut targets = Targets::default();
    targets.list(started(None));
    targets.list(started(Some(17)));
    assert!(targets.unlist(NOW, "i-1"));
    assert!(targets.candidates(NOW, "s", &[]).is_empty());
}

#[test]
fn removal_of_entry_without_start_by_link() {
    let mut targets = Targets::default();
    targets.list(started(None));
    targets.list(started(Some(17)));
    targets.unlist_instance(NOW, "i-1");
    assert_eq!(targets.candidates(NOW, "s", &[]), [TargetKey(1)]);
}

#[test]
fn extreme_values_end_process() {
    let mut extreme = entry("127.0.0.1:1");
    extreme["slots"] = json!(u32::MAX);
    extreme["coldLeftMs"] = json!(1e300);
    extreme["sequence"] = json!(u64::MAX);
    extreme["born"] = json!(u64::MAX);
    let read = Platform.read_listing("i-1", extreme.to_string().as_bytes());
    let entry = read.unwrap();
    let mut targets = Targets::default();
    targets.list(entry.listing.clone());
    targets.note_cold(NOW, &entry.listing.instance, entry.cold_left);
    let mut journal = Journal::new(1);
    let listed = [entry].into_iter();
    journal.publish_targets(NOW, Place::default(), NOW, 1, listed);
    assert!(targets.candidates(NOW, "app", &[]).len() <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn other_targets_stay_in_use() {
    let (good, bad) = (Runner::start("i-good").await, Runner::start("i-bad").await);
    let runners = [("app", &good), ("app", &bad)];
    let deployment = Deployment::start(1, &config(1, 1_000_000), &runners).await;
    let front = deployment.gateways[0].front;
    let address = bad.address.to_string();
    let malformed = [
        ("state", json!("starting")),
        ("slots", json!(null)),
        ("sequence", json!("one")),
        ("born", json!("then")),
    ];
    let mut number = 0;
    for (field, value) in malformed {
        let mut entry = entry(&address);
        entry[field] = value;
        deployment.store.put("keyed.servers", "i-bad", Some(&entry));
        deployment
            .store
            .put("keyed.servers", "junk", Some(&json!(["no entry"])));
        deployment
            .store
            .put_bytes("keyed.servers", b"\xff\xfe", b"\x00");
        // Forty requests in a row that all reach the good target: by chance once in 10^12.
        let end = Instant::now() + LONG;
        let mut in_a_row = 0;
        while in_a_row < 40 {
            assert!(
                Instant::now() < end,
                "{field}: the target still gets requests"
            );
            number += 1;
            let before = bad.runs();
            let answer = ask(front, &Ask::new(&format!("r{number}"), "/often/x")).await;
            assert_eq!(answer.status, 200, "{field}");
            in_a_row = if bad.runs() == before {
                in_a_row + 1
            } else {
                0
            };
        }
        // The target's next heartbeat restores its entry.
        list(&deployment.store, "app", &bad, "ready");
        let before = bad.runs();
        while bad.runs() == before {
            assert!(
                Instant::now() < end,
                "{field}: the target gets no requests any more"
            );
            number += 1;
            ask(front, &Ask::new(&format!("r{number}"), "/often/x")).await;
        }
    }
    let text = ask(deployment.gateways[0].metrics, &Ask::get("/metrics"))
        .await
        .body;
    assert!(
        text.contains("lanedeck_bad_entries_total{cause=\"state\"} 1"),
        "{text}"
    );
}
