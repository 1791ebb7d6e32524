//! The requests of an operator to routers.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::timeout;

use super::plan::Work;
use crate::common::area::OPERATOR;
use crate::deployment::{Ask, try_ask};

/// Timeout of a request to a router, which may be frozen.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

pub fn put(kind: &str, name: &str, object: Value) -> Value {
    json!({ "put": { "key": { kind: name }, "object": object } })
}

pub fn drained(mut object: Value, work: Work) -> Value {
    object["target"]["draining"] = json!(work == Work::None);
    object
}

pub async fn status(router: SocketAddr) -> Value {
    let ask = Ask::get("/v1/status").with("authorization", &operator());
    let answer = timeout(REQUEST_TIMEOUT, try_ask(router, &ask))
        .await
        .ok()
        .flatten();
    let answer = answer.filter(|answer| answer.status == 200);
    answer.map_or(Value::Null, |answer| {
        serde_json::from_str(&answer.body).unwrap_or_default()
    })
}

fn operator() -> String {
    format!("Bearer operator:{OPERATOR}")
}

/// Sends an operator's request. Returns `None` unless it is answered with 200.
pub async fn operate(router: SocketAddr, path: &str, body: &Value) -> Option<Value> {
    let ask = Ask::get(path)
        .post(&body.to_string())
        .with("authorization", &operator());
    let answer = timeout(REQUEST_TIMEOUT, try_ask(router, &ask))
        .await
        .ok()??;
    let is_well = answer.status == 200;
    is_well.then(|| serde_json::from_str(&answer.body).unwrap_or_default())
}
