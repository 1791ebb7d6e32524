//! Faults of the log: it is down, slow, loses the answer to an append that it carried out, or has dropped old
//! records. Guards against refusing what a grant covers, billing twice and a restarted router with another state.

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
    // Calls are made until the grant covers more than the next call.
    area.wait("a grant for further calls", |area| {
        for _ in 0..5 {
            assert!(ran(&call(area, 0)));
        }
        area.seen("kiosks")["held"].as_u64() > Some(200)
    });
    area.faults(&area.log, &json!({"down": true}));
    std::thread::sleep(std::time::Duration::from_millis(300));
    while ran(&call(&area, 0)) {
        calls += 1;
        assert!(calls < 10_000, "calls end with the grant");
    }
    assert!(calls >= 10, "served {calls} calls from the grant");
    // A call that the grant does not cover is refused at once, with a time to retry.
    let start = std::time::Instant::now();
    let refused = call(&area, 0);
    assert_eq!(
        refused.header("lanedeck-reason"),
        "log_unavailable",
        "{refused:?}"
    );
    assert!(!refused.header("retry-after").is_empty());
    assert!(start.elapsed().as_secs() < 5, "refused at once");
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
    // An append whose answer was lost is sent again and takes effect once.
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
    let applied_offset = |status: &Value, name: &str| {
        let applied = status["applied"].as_array().cloned().unwrap_or_default();
        let entry = applied.into_iter().find(|entry| entry[0] == name);
        entry.map_or(0, |entry| entry[1].as_u64().unwrap_or_default())
    };
    let shard = lanedeck::router::key::Stream::of_customer("kiosks").to_string();
    let mut prepaid = PREPAID;
    while applied_offset(&area.status(0), &shard) < 150 {
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
