//! Answers stay complete when engines cut streams, repeat frames or send frames of other requests.
//!
//! Guards against answers with missing, repeated or foreign words, and against a partial answer that is reported as
//! complete.

mod common;

use common::area::{Area, SECRET, chat, key, lanedeck, text};
use http::Method;
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";

#[test]
fn bad_streams() {
    let area = Area::new(2, 2);
    for engine in &area.engines {
        let faults = json!({"cut_permille": 300, "repeat_permille": 100, "cross_permille": 100});
        area.faults(engine, &faults);
    }
    let entry = format!("--entry={}", area.routers[0].address);
    let key = format!("--key=kiosks:{SECRET}");
    // The load tool checks every word of the answers and exits with 1 if one is wrong.
    let output = lanedeck(&["load", &entry, &key, "--requests=120", "--rate=100"]);
    let text = text(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(
        text.contains("tries=120 ") && text.contains("wrong=0"),
        "{text}"
    );
    assert!(
        text.contains("verdict=ran last_reason=none count=120"),
        "{text}"
    );
}

#[test]
fn cut_again_and_again() {
    let area = Area::new(1, 1);
    let faults = json!({"cut_first": true, "lost_resumes": 6});
    area.faults(&area.engines[0], &faults);
    let to = area.routers[0].address;
    let answer = area.send(Method::POST, to, CHAT, &key("kiosks"), &[], &chat("x", 20));
    // Resumes without a new frame must not end a stream that can still be resumed.
    assert_eq!(answer.events().last(), Some(&"[DONE]"), "{answer:?}");
    assert_eq!(answer.events().len(), 20 + 2);
}

#[test]
fn cut_for_good() {
    let area = Area::new(1, 1);
    area.faults(
        &area.engines[0],
        &json!({"cut_permille": 1000, "forgets": true}),
    );
    let to = area.routers[0].address;
    let answer = area.send(Method::POST, to, CHAT, &key("kiosks"), &[], &chat("x", 20));
    let events = answer.events();
    // A partial answer is never reported as complete: the stream ends in an error, without `[DONE]`.
    assert_ne!(events.last(), Some(&"[DONE]"));
    let last = events.last().copied().unwrap_or(&answer.body);
    assert!(
        last.contains("may_have_run") && last.contains("target_failed"),
        "{answer:?}"
    );
    // The tokens received are billed, once.
    area.wait("the request to be billed", |area| {
        area.seen("kiosks")["billed"].as_u64() > Some(0)
    });
    assert!(area.seen("kiosks")["billed"].as_u64() <= Some(2 + 20));
}

#[test]
fn body_beyond_limit() {
    let area = Area::new(1, 2);
    let to = area.routers[0].address;
    let path = "/v1/services/tickets";
    for (more_bytes, verdict) in [(1 << 20, "ran"), (64 << 20, "may_have_run")] {
        area.faults(&area.services[0], &json!({"more_bytes": more_bytes}));
        let answer = area.send(Method::POST, to, path, &key("kiosks"), &[], "refund");
        let got = answer.header("lanedeck-verdict");
        assert_eq!(got, verdict, "{more_bytes}: {:?}", answer.headers);
    }
}

#[test]
fn status_of_no_class() {
    let area = Area::new(1, 2);
    area.faults(&area.services[0], &json!({"status": 600}));
    let to = area.routers[0].address;
    let path = "/v1/services/tickets";
    let answer = area.send(Method::POST, to, path, &key("kiosks"), &[], "refund");
    assert_eq!(
        answer.header("lanedeck-verdict"),
        "may_have_run",
        "{answer:?}"
    );
    assert_eq!(answer.header("lanedeck-reason"), "target_failed");
}

#[test]
fn acts_and_fails() {
    let area = Area::new(1, 2);
    area.faults(&area.services[0], &json!({"acts_and_fails": true}));
    let (to, prefix) = area.entry(0, &key("kiosks"));
    let id = format!("{prefix}00000005");
    let headers = [("lanedeck-request-id", id.as_str())];
    let path = "/v1/services/tickets";
    for _ in 0..3 {
        let answer = area.send(Method::POST, to, path, &key("kiosks"), &headers, "refund");
        assert_eq!(
            answer.header("lanedeck-verdict"),
            "may_have_run",
            "{answer:?}"
        );
        assert_eq!(answer.header("lanedeck-reason"), "target_failed");
    }
    assert_eq!(area.ran().get(&id), Some(&1));
    area.settled("kiosks", 50);
    // A target's statement that it did not run the request is trusted.
    area.faults(&area.services[0], &json!({"refuses": true}));
    let answer = area.send(Method::POST, to, path, &key("kiosks"), &[], "refund");
    assert_eq!(answer.header("lanedeck-verdict"), "not_run", "{answer:?}");
    assert_eq!(area.seen("kiosks")["billed"], 50);
}
