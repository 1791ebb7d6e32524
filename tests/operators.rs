//! Operators' intents: plans, confirms, races between them, and their effect on every router.

mod common;

use common::area::{Area, chat, key};
use http::Method;
use serde_json::json;

fn budget(prepaid: u64) -> serde_json::Value {
    json!({"budget": {"name": "kiosks", "customer": "kiosks", "prepaid": prepaid}})
}

#[test]
fn plan_alone() {
    let area = Area::new(1, 2);
    area.plan(0, &budget(5));
    area.wait_same();
    assert_eq!(area.seen("kiosks")["prepaid"], common::area::PREPAID);
}

#[test]
fn racing() {
    let area = Area::new(1, 2);
    for turn in 0..5 {
        let plans = [
            area.plan(0, &budget(1_000 + turn)),
            area.plan(1, &budget(2_000 + turn)),
        ];
        let answers = std::thread::scope(|scope| {
            let (area, plans) = (&area, &plans);
            let racers =
                [0, 1].map(|router| scope.spawn(move || area.confirm(router, &plans[router])));
            racers.map(|racer| racer.join().unwrap())
        });
        let mut results = [0, 1].map(|router| answers[router].json()["result"].to_string());
        let winner = usize::from(results[1].contains("in_force"));
        results.sort();
        assert_eq!(results, ["\"in_force\"", "\"stale\""], "{answers:?}");
        let message = answers[1 - winner].json()["message"]
            .as_str()
            .unwrap()
            .to_owned();
        assert!(message.contains("plan again"), "{message}");
        // A repeated confirm changes nothing and gets the same answer.
        let again = area.confirm(1 - winner, &plans[winner]);
        assert_eq!(again.json()["result"], "in_force", "{again:?}");
        let wanted = [1_000 + turn, 2_000 + turn][winner];
        area.wait_same();
        assert!(area.statuses().len() == 2);
        assert_eq!(area.seen("kiosks")["prepaid"], wanted);
    }
}

#[test]
fn smaller_budget() {
    let area = Area::new(1, 2);
    for router in [0, 1] {
        let to = area.routers[router].address;
        for _ in 0..10 {
            area.send(
                Method::POST,
                to,
                "/v1/chat/completions",
                &key("kiosks"),
                &[],
                &chat("x", 5),
            );
        }
    }
    area.settled("kiosks", 20 * 7);
    area.apply(&budget(150));
    area.wait("the routers have returned their tokens", |area| {
        area.seen("kiosks")["prepaid"] == 150
    });
    // A call may cost 15 tokens; 10 of the 150 are left.
    let to = area.routers[0].address;
    let answer = area.send(
        Method::POST,
        to,
        "/v1/chat/completions",
        &key("kiosks"),
        &[],
        &chat("x", 5),
    );
    assert_eq!(
        answer.header("lanedeck-reason"),
        "budget_exhausted",
        "{answer:?}"
    );
    assert_eq!(answer.status, 402);
}

#[test]
fn drained_target() {
    let area = Area::new(2, 2);
    let call = |turn: usize| {
        let to = area.routers[turn % 2].address;
        let path = "/v1/chat/completions";
        let answer = area.send(Method::POST, to, path, &key("kiosks"), &[], &chat("x", 2));
        assert_eq!(answer.events().last(), Some(&"[DONE]"), "{answer:?}");
    };
    let runs = |engine: usize| {
        let ran = area.get(area.engines[engine].address, "/v1/ran", "").json();
        ran.as_object().map_or(0, serde_json::Map::len)
    };
    (0..20).for_each(call);
    assert!(runs(0) > 0 && runs(1) > 0, "both targets get requests");
    area.apply(&json!({"drain": {"target": "engine-0", "draining": true}}));
    area.wait_same();
    let before = runs(0);
    (0..20).for_each(call);
    assert_eq!(runs(0), before, "a draining target gets no new requests");
    area.apply(&json!({"drain": {"target": "engine-0", "draining": false}}));
    area.wait_same();
    (0..20).for_each(call);
    assert!(runs(0) > before, "the target gets requests again");
}

#[test]
fn listed_leaving() {
    let area = Area::new(1, 2);
    area.list_hosts(&[1]);
    area.wait("entry answers leave out the leaving host", |area| {
        let answer = area.get(area.routers[0].address, "/v1/entry", &key("kiosks"));
        answer.json()["use"].as_array().map(Vec::len) == Some(1)
    });
    // A caller that uses an earlier entry answer is still served.
    let to = area.routers[1].address;
    let path = "/v1/chat/completions";
    let answer = area.send(Method::POST, to, path, &key("kiosks"), &[], &chat("x", 2));
    assert_eq!(answer.events().last(), Some(&"[DONE]"));
    area.list_hosts(&[]);
    area.wait("entry answers have both hosts again", |area| {
        let answer = area.get(area.routers[0].address, "/v1/entry", &key("kiosks"));
        answer.json()["use"].as_array().map(Vec::len) == Some(2)
    });
}
