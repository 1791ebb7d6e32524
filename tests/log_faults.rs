//! The log down, slow, and answering after it has acted.

mod common;

use common::area::{Area, PREPAID, chat, key};
use http::Method;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";

fn call(area: &Area, router: usize) -> common::area::Answer {
    let to = area.routers[router].address;
    area.send(Method::POST, to, CHAT, &key("kiosks"), &[], &chat("x", 5))
}

fn ran(answer: &common::area::Answer) -> bool {
    answer.events().last() == Some(&"[DONE]")
}

#[test]
fn served_from_grant() {
    let area = Area::new(1, 2);
    let mut calls = 0;
    // Until the grant covers more than the next call.
    area.wait("a grant to live on", |area| {
        for _ in 0..5 {
            assert!(ran(&call(area, 0)));
        }
        area.seen("kiosks")["held"].as_u64() > Some(200)
    });
    area.faults(&area.log, &json!({"down": true}));
    std::thread::sleep(std::time::Duration::from_millis(300));
    while ran(&call(&area, 0)) {
        calls += 1;
        assert!(calls < 10_000, "a grant has an end");
    }
    assert!(calls >= 10, "served {calls} calls from the grant");
    // What it cannot serve it refuses at once, and says when to come back.
    let start = std::time::Instant::now();
    let refused = call(&area, 0);
    assert_eq!(
        refused.header("lanedeck-reason"),
        "log_unavailable",
        "{refused:?}"
    );
    assert!(!refused.header("retry-after").is_empty());
    assert!(start.elapsed().as_secs() < 5, "told at once");
    area.faults(&area.log, &json!({"down": false}));
    area.wait("it serves again", |area| ran(&call(area, 0)));
    let seen = area.seen("kiosks");
    let sum = ["unallotted", "held", "billed", "in_doubt"].map(|part| seen[part].as_u64().unwrap());
    assert_eq!(sum.iter().sum::<u64>(), PREPAID);
}

#[test]
fn answers_lost() {
    let area = Area::new(1, 2);
    area.faults(&area.log, &json!({"lose_permille": 700, "delay_ms": 30}));
    let mut billed = 0;
    for turn in 0..40 {
        let answer = call(&area, turn % 2);
        if ran(&answer) {
            billed += 7;
        }
    }
    assert!(billed > 0);
    // An append whose answer was lost is appended again; it counts once.
    area.budget("second", "kiosks", 500);
    let seen = area.settled("kiosks", billed);
    assert_eq!(seen["in_doubt"], 0);
    assert_eq!(area.seen("second")["prepaid"], 500);
    assert!(
        area.statuses()
            .iter()
            .all(|status| status["violations"] == 0)
    );
}

#[test]
fn past_retention() {
    let mut area = Area::with_options(1, 2, &["--checkpoint-every=10", "--append-gap=5"], &[]);
    area.faults(&area.log, &json!({"retain": 60}));
    let stream = |status: &Value, name: &str| {
        let applied = status["applied"].as_array().cloned().unwrap_or_default();
        let one = applied.into_iter().find(|one| one[0] == name);
        one.map_or(0, |one| one[1].as_u64().unwrap_or_default())
    };
    let shard = lanedeck::router::key::Stream::of_customer("kiosks").to_string();
    let mut prepaid = PREPAID;
    while stream(&area.status(0), &shard) < 150 {
        prepaid += 1;
        area.budget("kiosks", "kiosks", prepaid);
        assert!(ran(&call(&area, 0)));
    }
    area.restart_router(1);
    area.wait_ready();
    area.wait_same();
    assert_eq!(area.seen("kiosks")["prepaid"], prepaid);
    let config = |router: usize| {
        let to = area.routers[router].address;
        area.get(
            to,
            "/v1/config",
            &format!("operator:{}", common::area::OPERATOR),
        )
        .body
    };
    assert_eq!(config(0), config(1));
}
