//! A router that has just started and has not read its configuration yet must not refuse a valid key as wrong. That
//! refusal would also state that a request has not run which has run before the restart.

mod common;

use common::area::{Area, chat, key};
use http::Method;

const CHAT: &str = "/v1/chat/completions";

#[test]
fn early_key() {
    let mut area = Area::new(1, 1);
    let id = format!("{}00000007", area.prefix_of(0));
    let named = [("lanedeck-request-id", id.as_str())];
    let body = chat("once", 5);
    let ask = |area: &Area| {
        let to = area.routers[0].address;
        area.send(Method::POST, to, CHAT, &key("kiosks"), &named, &body)
    };
    assert_eq!(ask(&area).events().last(), Some(&"[DONE]"));
    // The router cannot read its configuration while the log is down.
    area.faults(&area.log, &serde_json::json!({"down": true}));
    area.restart_router(0);
    let answer = ask(&area);
    assert_eq!(area.ran()[&id], 1);
    assert_ne!(answer.header("lanedeck-verdict"), "not_run", "{answer:?}");
    assert!([502, 503].contains(&answer.status), "{answer:?}");
    assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
}
