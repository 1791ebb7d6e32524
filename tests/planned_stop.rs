//! A graceful shutdown interrupts no request, gives all tokens back, and directs callers to other routers.

mod common;

use std::time::Duration;

use common::area::{Area, chat, key, words};
use http::Method;

const CHAT: &str = "/v1/chat/completions";

/// Tokens of a stream that lasts 36 s, longer than the 32 s that the HTTP server itself waits for open connections
/// after a signal.
const LONG_TOKENS: u64 = 360;

#[test]
fn long_stream() {
    let mut area = Area::with_options(1, 2, &[], &["--between=100"]);
    let (to, prefix) = area.entry(0, &key("kiosks"));
    let home = usize::from(area.routers[1].address == to);
    let id = format!("{prefix}00000009");
    let answer = std::thread::scope(|scope| {
        let area = &area;
        let stream = scope.spawn(move || {
            let headers = [("lanedeck-request-id", id.as_str())];
            let body = chat("long", LONG_TOKENS);
            area.send(Method::POST, to, CHAT, &key("kiosks"), &headers, &body)
        });
        std::thread::sleep(Duration::from_millis(700));
        area.routers[home].signal("TERM");
        std::thread::sleep(Duration::from_millis(300));

        // New requests are refused; the other router accepts them.
        let new = area.send(Method::POST, to, CHAT, &key("kiosks"), &[], &chat("new", 5));
        assert_eq!(
            (new.status, new.header("lanedeck-reason")),
            (503, "stopping")
        );
        assert!(!new.header("retry-after").is_empty());
        area.wait("the entry answer leaves it out", |area| {
            area.entry(1 - home, &key("kiosks")).0 == area.routers[1 - home].address
        });
        let other = area.routers[1 - home].address;
        let new = area.send(
            Method::POST,
            other,
            CHAT,
            &key("kiosks"),
            &[],
            &chat("new", 5),
        );
        assert_eq!(new.events().last(), Some(&"[DONE]"));
        stream.join().unwrap()
    });
    let events = answer.events();
    assert_eq!(events.len() as u64, LONG_TOKENS + 2);
    assert_eq!(events.last(), Some(&"[DONE]"));
    let words = words("long", LONG_TOKENS).concat();
    let content: String = events
        .iter()
        .filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok())
        .filter_map(|frame| {
            frame["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect();
    assert_eq!(content, words);

    assert_eq!(area.routers[home].wait(Duration::from_secs(40)), Some(0));
    area.routers.remove(home);
    let seen = area.settled("kiosks", 3 + LONG_TOKENS + 3 + 5);
    assert_eq!(seen["in_doubt"], 0);
    assert_eq!(seen["holders"].as_array().map(Vec::len), Some(1), "{seen}");
}

#[test]
fn all_one_by_one() {
    let mut area = Area::new(1, 3);
    for place in 0..3 {
        let to = area.routers[place].address;
        let answer = area.send(Method::POST, to, CHAT, &key("kiosks"), &[], &chat("x", 5));
        assert_eq!(answer.events().last(), Some(&"[DONE]"));
        area.routers[place].signal("TERM");
        // Well below the time that a shutdown waits for an unavailable log.
        assert_eq!(area.routers[place].wait(Duration::from_secs(20)), Some(0));
        area.restart_router(place);
        area.wait_ready();
    }
    let seen = area.settled("kiosks", 3 * (2 + 5));
    assert_eq!(
        (&seen["in_doubt"], &seen["held"]),
        (&0.into(), &0.into()),
        "{seen}"
    );
}

/// Guards against tokens that stay held if a router dies just after its witness was signaled to stop: the witness
/// would exit with the only record of them.
#[test]
fn witness_leaves() {
    let mut area = Area::with_options(1, 3, &["--close-after=1000"], &["--between=20"]);
    let to = area.routers[0].address;
    let answer = area.send(Method::POST, to, CHAT, &key("kiosks"), &[], &chat("x", 5));
    assert_eq!(answer.events().last(), Some(&"[DONE]"));
    area.settled("kiosks", 2 + 5);
    let witness = area.status(0)["witness"].clone();
    let is_it = |place: &usize| area.status(*place)["incarnation"] == witness;
    let witness = (1..3).find(is_it).expect("a witness");
    area.routers[witness].signal("TERM");
    area.routers[0].kill();
    assert_eq!(area.routers[witness].wait(Duration::from_secs(40)), Some(0));
    area.routers.remove(witness);
    area.routers.remove(0);
    area.wait("nothing held", |area| area.seen("kiosks")["held"] == 0);
    let seen = area.settled("kiosks", 2 + 5);
    assert_eq!(seen["in_doubt"], 0);
}

#[test]
fn log_out() {
    let mut area = Area::new(1, 2);
    let to = area.routers[0].address;
    area.send(Method::POST, to, CHAT, &key("kiosks"), &[], &chat("x", 5));
    area.settled("kiosks", 7);
    area.faults(&area.log, &serde_json::json!({"down": true}));
    // A router that starts now gets its configuration from its peer.
    area.routers[1].signal("TERM");
    assert_eq!(area.routers[1].wait(Duration::from_secs(60)), Some(0));
    area.restart_router(1);
    area.wait("ready without the log", |area| {
        area.status(1)["ready"] == true
    });
    let status = area.status(1);
    assert_eq!(status["applied"], area.status(0)["applied"]);
    let answer = area.send(
        Method::POST,
        area.routers[1].address,
        CHAT,
        &key("kiosks"),
        &[],
        &chat("x", 5),
    );
    assert_eq!(
        answer.header("lanedeck-reason"),
        "log_unavailable",
        "{answer:?}"
    );
    area.faults(&area.log, &serde_json::json!({"down": false}));
    area.wait("it serves again", |area| {
        let to = area.routers[1].address;
        let answer = area.send(Method::POST, to, CHAT, &key("kiosks"), &[], &chat("x", 5));
        answer.events().last() == Some(&"[DONE]")
    });
}
