//! Entries in the list of targets that another writer left: they name no target to use, and the others hold.

mod deployment;
#[allow(dead_code, unused_imports)]
#[path = "../platform/mod.rs"]
mod platform;

use std::time::Instant;

use arbtest::arbtest;
use deployment::runner::Runner;
use deployment::{Ask, Deployment, LONG, ask, config, list};
use lanedeck::gateway::dialect::{BadEntry, Dialect};
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
    let mut untold = entry("127.0.0.1:1");
    untold.as_object_mut().unwrap().remove("born");
    assert_eq!(
        read(&untold).unwrap().instance,
        "i-1",
        "its start may be untold"
    );
}

#[test]
fn causes() {
    let spoil = |field: &str, value: Value| {
        let mut spoilt = entry("127.0.0.1:1");
        spoilt[field] = value;
        read(&spoilt).unwrap_err()
    };
    assert!(matches!(
        spoil("state", json!("starting")),
        BadEntry::State { .. }
    ));
    assert!(matches!(
        spoil("state", json!(1)),
        BadEntry::Type { field: "state", .. }
    ));
    assert!(matches!(spoil("service", json!("")), BadEntry::Service));
    assert!(matches!(
        spoil("slots", json!(0)),
        BadEntry::Type { field: "slots", .. }
    ));
    assert!(matches!(
        spoil("sequence", json!("4")),
        BadEntry::Type {
            field: "sequence",
            ..
        }
    ));
    assert!(matches!(
        spoil("born", json!(1.5)),
        BadEntry::Type { field: "born", .. }
    ));
    assert!(matches!(
        spoil("born", json!("then")),
        BadEntry::Type { field: "born", .. }
    ));
    let unreadable = Platform.read_listing("i-1", b"\xff{").unwrap_err();
    assert!(matches!(unreadable, BadEntry::Unreadable { .. }));
    let whole = entry("127.0.0.1:1").to_string();
    assert!(matches!(
        Platform.read_listing("i@1", whole.as_bytes()),
        Err(BadEntry::Id)
    ));
}

#[test]
fn any_bytes() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        assert!(Platform.read_listing("i-1", &bytes).is_err(), "{bytes:?}");
        Ok(())
    });
}

/// Whichever one field is missing, or of another type, the entry is not used.
#[test]
fn any_spoilt_field() {
    let values = [
        json!(null),
        json!([]),
        json!({}),
        json!(true),
        json!(-1),
        json!(""),
    ];
    arbtest(|u| {
        let mut spoilt = entry("127.0.0.1:1");
        let fields: Vec<String> = spoilt.as_object().unwrap().keys().cloned().collect();
        let field = u.choose(&fields)?;
        let value = u.choose(&values)?;
        // Of these, a text may be anything, and a number of milliseconds below zero is one.
        let is_allowed = match field.as_str() {
            "version" | "zone" => value.is_string(),
            "coldLeftMs" => value.is_number(),
            _ => false,
        };
        if u.arbitrary()? && field != "born" {
            spoilt.as_object_mut().unwrap().remove(field);
            assert!(read(&spoilt).is_err(), "without {field}");
        } else {
            spoilt[field.as_str()] = value.clone();
            assert_eq!(read(&spoilt).is_ok(), is_allowed, "{field} = {value}");
        }
        Ok(())
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn others_hold() {
    let (good, bad) = (Runner::start("i-good").await, Runner::start("i-bad").await);
    let runners = [("app", &good), ("app", &bad)];
    let deployment = Deployment::start(1, &config(1, 1_000_000), &runners).await;
    let front = deployment.gateways[0].front;
    let address = bad.address.to_string();
    let spoilt = [
        ("state", json!("starting")),
        ("slots", json!(null)),
        ("sequence", json!("one")),
        ("born", json!("then")),
    ];
    let mut number = 0;
    for (field, value) in spoilt {
        let mut entry = entry(&address);
        entry[field] = value;
        deployment.store.put("keyed.servers", "i-bad", Some(&entry));
        deployment
            .store
            .put("keyed.servers", "junk", Some(&json!(["no entry"])));
        deployment
            .store
            .put_bytes("keyed.servers", b"\xff\xfe", b"\x00");
        // Forty in a row that go to the good one: by chance once in 10^12.
        let end = Instant::now() + LONG;
        let mut in_a_row = 0;
        while in_a_row < 40 {
            assert!(
                Instant::now() < end,
                "{field}: it gets requests all the time"
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
        // Its next heartbeat brings it back.
        list(&deployment.store, "app", &bad, "ready");
        let before = bad.runs();
        while bad.runs() == before {
            assert!(Instant::now() < end, "{field}: it gets none any more");
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
