//! Invalid input is rejected with a message that names the fault; nothing runs or is billed.

mod common;

use common::area::{Answer, Area, OPERATOR, PREPAID, chat, key};
use http::Method;
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";

fn refused(answer: &Answer, status: u16, reason: &str, message: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.header("lanedeck-verdict"), "not_run", "{answer:?}");
    assert_eq!(answer.header("lanedeck-reason"), reason, "{answer:?}");
    assert!(answer.body.contains(message), "{answer:?}");
}

#[test]
fn wrong_keys() {
    let area = Area::new(1, 1);
    let to = area.routers[0].address;
    let body = chat("x", 5);
    let call = |key: &str| area.send(Method::POST, to, CHAT, key, &[], &body);
    refused(&call(""), 401, "no_key", "Bearer CUSTOMER:SECRET");
    refused(&call("kiosks:wrong"), 403, "wrong_key", "no customer");
    refused(&call("nobody:k-secret"), 403, "wrong_key", "no customer");
    refused(
        &call(&format!("operator:{OPERATOR}")),
        403,
        "wrong_key",
        "no customer",
    );
    let status = area.get(to, "/v1/status", &key("kiosks"));
    refused(&status, 403, "wrong_key", "not an operator");
    let intent = json!({"drain": {"target": "engine-0", "draining": true}});
    refused(
        &area.post(to, "/v1/intents", &key("kiosks"), &intent),
        403,
        "wrong_key",
        "operator",
    );
    refused(
        &area.post(to, "/v1/intents", "", &intent),
        401,
        "no_key",
        "operator:SECRET",
    );
    assert!(area.ran().is_empty());
}

#[test]
fn wrong_calls() {
    let area = Area::new(1, 1);
    let to = area.routers[0].address;
    let kiosks = key("kiosks");
    let call = |body: &str| area.send(Method::POST, to, CHAT, &kiosks, &[], body);
    refused(&call("{"), 400, "body", "EOF");
    refused(&call("[1]"), 400, "body", "body:");
    refused(&call(r#"{"model":"assistant"}"#), 400, "body", "messages");
    for tokens in ["-1", "0", "99999999", "1e99", "1.5"] {
        let body = chat("x", 5).replace("\"max_tokens\":5", &format!("\"max_tokens\":{tokens}"));
        assert_eq!(call(&body).status, 400, "{tokens}");
    }
    let body = chat("x", 5).replace("\"max_tokens\":5", "\"max_tokens\":-1");
    refused(&call(&body), 400, "body", "max_tokens: 1 to 32768");
    let body = chat("x", 5).replace("assistant", "nothing");
    refused(
        &call(&body),
        404,
        "unknown_model",
        "the model or service nothing;",
    );

    let with = |name: &str, value: &str| {
        area.send(
            Method::POST,
            to,
            CHAT,
            &kiosks,
            &[(name, value)],
            &chat("x", 5),
        )
    };
    refused(&with("lanedeck-class", "gold"), 400, "class", "std, fast");
    refused(
        &with("lanedeck-budget", "no such"),
        400,
        "budget",
        "letters",
    );
    refused(
        &with("lanedeck-budget", "cooks"),
        404,
        "unknown",
        "not known",
    );
    refused(
        &with("lanedeck-repeatable", "maybe"),
        400,
        "repeatable",
        "yes or no",
    );
    refused(
        &with("lanedeck-request-id", "7"),
        400,
        "request_id",
        "16 hexadecimal digits",
    );
    let big = format!("{}.{}", "0".repeat(16), "f".repeat(16));
    refused(
        &with("lanedeck-request-id", &big),
        400,
        "request_id",
        "below 80000000",
    );

    let body = chat(&"x".repeat(2 << 20), 5);
    let answer = area.try_send(Method::POST, to, CHAT, &kiosks, &[], &body);
    assert!(
        answer.is_none_or(|answer| answer.status == 413),
        "an oversized body was not rejected"
    );

    assert!(area.ran().is_empty());
    assert_eq!(area.seen("kiosks")["billed"], 0);
    assert_eq!(area.seen("kiosks")["prepaid"], PREPAID);
}

#[test]
fn wrong_intents() {
    let area = Area::new(1, 1);
    let to = area.routers[0].address;
    let operator = format!("operator:{OPERATOR}");
    let intent = |body: serde_json::Value| area.post(to, "/v1/intents", &operator, &body);
    let budget = |name: &str, customer: &str, prepaid: u64| json!({"budget": {"name": name, "customer": customer, "prepaid": prepaid}});
    refused(
        &intent(budget("b", "nobody", 5)),
        422,
        "intent",
        "customer \\\"nobody\\\" is not known",
    );
    refused(
        &intent(budget("a b", "kiosks", 5)),
        422,
        "intent",
        "name: 1 to 64 letters",
    );
    refused(
        &intent(budget("b", "kiosks", u64::MAX)),
        422,
        "intent",
        "prepaid: 0 to 4503599627370496",
    );
    refused(
        &intent(budget("cooks", "kiosks", 5)),
        422,
        "intent",
        "another customer",
    );
    refused(
        &intent(json!({"budget": {"name": "b"}})),
        400,
        "body",
        "missing field",
    );
    refused(
        &intent(json!({"dance": {}})),
        400,
        "body",
        "unknown variant",
    );
    let drain = json!({"drain": {"target": "none", "draining": true}});
    refused(
        &intent(drain),
        422,
        "intent",
        "target \\\"none\\\" is not known",
    );
    // The fold checks a plan that was altered by hand like any other.
    let mut plan = area.plan(0, &budget("b", "kiosks", 5));
    plan["changes"][0]["budget"]["terms"]["prepaid"] = json!(u64::MAX);
    assert_eq!(area.confirm(0, &plan).status, 422);
}

#[test]
fn address_in_use() {
    let area = Area::new(1, 1);
    let entry = format!("--entry={}", area.routers[0].address);
    let hash = format!("--operator-hash={}", "0".repeat(64));
    let output = common::area::lanedeck(&["router", &entry, &hash, "--fleet-key=12345678"]);
    assert_eq!(output.status.code(), Some(1));
    let text = common::area::text(&output);
    assert!(
        text.contains("--entry") && text.contains("in use"),
        "{text}"
    );
}
