//! A request's whole path, from the entry answer to the bill, through separate processes.

mod common;

use common::area::{Area, PREPAID, chat, key, words};
use http::Method;
use serde_json::Value;

fn contents(events: &[&str]) -> Vec<String> {
    let frames = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let contents = frames.filter_map(|frame| {
        frame["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    });
    contents.collect()
}

#[test]
fn streamed_answer() {
    let area = Area::new(2, 3);
    let (to, prefix) = area.entry(0, &key("kiosks"));
    let id = format!("{prefix}00000007");
    let headers = [("lanedeck-request-id", id.as_str())];
    let body = chat("Is the 10:40 running?", 20);
    let path = "/v1/chat/completions";
    let answer = area.send(Method::POST, to, path, &key("kiosks"), &headers, &body);

    let events = answer.events();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("lanedeck-request-id"), id);
    assert_eq!(contents(&events), words("Is the 10:40 running?", 20));
    assert_eq!(events.last(), Some(&"[DONE]"));
    let last: Value = serde_json::from_str(events[20]).unwrap();
    assert_eq!(last["lanedeck"]["verdict"], "ran");
    let total = last["usage"]["total_tokens"].as_u64().unwrap();
    assert_eq!(total, 7 + 20);
    assert_eq!(last["lanedeck"]["billed"].as_u64(), Some(total));

    let seen = area.settled("kiosks", total);
    let sum = ["unallotted", "held", "billed", "in_doubt"].map(|part| seen[part].as_u64().unwrap());
    assert_eq!(sum.iter().sum::<u64>(), PREPAID);
    assert_eq!(area.ran().get(&id), Some(&1));
}

#[test]
fn retry_joins() {
    let area = Area::new(1, 2);
    let (to, prefix) = area.entry(0, &key("kiosks"));
    let id = format!("{prefix}00000001");
    let headers = [("lanedeck-request-id", id.as_str())];
    let path = "/v1/chat/completions";
    let body = chat("again", 10);
    let first = area.send(Method::POST, to, path, &key("kiosks"), &headers, &body);
    let second = area.send(Method::POST, to, path, &key("kiosks"), &headers, &body);
    assert_eq!(first.body, second.body);
    let other = chat("something else", 10);
    let third = area.send(Method::POST, to, path, &key("kiosks"), &headers, &other);
    assert_eq!(
        (third.status, third.header("lanedeck-reason")),
        (409, "id_reused")
    );
    assert_eq!(area.ran().get(&id), Some(&1));
    area.settled("kiosks", 3 + 10);
}

#[test]
fn service_call() {
    let area = Area::new(1, 2);
    let to = area.routers[0].address;
    let path = "/v1/services/tickets";
    let answer = area.send(Method::POST, to, path, &key("cooks"), &[], "one ticket");
    assert_eq!(answer.header("lanedeck-verdict"), "ran");
    assert_eq!(answer.header("lanedeck-billed"), "50");
    let receipt = lanedeck::standin::service::receipt(b"one ticket");
    assert_eq!(answer.json()["receipt"], receipt);
    area.settled("cooks", 50);
}

#[test]
fn unstreamed_answer() {
    let area = Area::new(1, 1);
    let to = area.routers[0].address;
    let body = chat("short", 5).replace("\"stream\":true", "\"stream\":false");
    let path = "/v1/chat/completions";
    let answer = area.send(
        Method::POST,
        to,
        path,
        &key("kiosks"),
        &[("lanedeck-class", "fast")],
        &body,
    );
    assert_eq!(answer.header("lanedeck-verdict"), "ran");
    let content = answer.json()["choices"][0]["message"]["content"]
        .as_str()
        .unwrap()
        .to_owned();
    assert_eq!(content, words("short", 5).concat());
    // The price factor of class `fast` is two.
    assert_eq!(answer.header("lanedeck-billed"), ((3 + 5) * 2).to_string());
}
