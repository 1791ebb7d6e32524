//! Endpoints for operators: plans, confirmations, status, configuration, the burn report, and the decisions on a
//! request.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use serde::Serialize;
use serde_json::json;
use volo_http::response::Response;

use crate::router::config::Intent;
use crate::router::control::{Action, Input};
use crate::router::http::reply;
use crate::router::http::reply::RequestError;
use crate::router::intent::{Outcome, Plan, Refused};
use crate::router::shared::Shared;
use crate::util::secret_matches;

/// The name in an operator's key, before the colon.
const OPERATOR_NAME: &str = "operator";

/// Checks that a request carries the operator's key.
fn authorize(shared: &Shared, headers: &HeaderMap) -> Result<(), RequestError> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let Some(key) = key.and_then(|key| key.strip_prefix("Bearer ")) else {
        let message = "authorization: wanted is 'Bearer operator:SECRET'";
        return Err(RequestError::new(
            StatusCode::UNAUTHORIZED,
            "no_key",
            message,
        ));
    };
    let secret = key
        .split_once(':')
        .filter(|(name, _)| *name == OPERATOR_NAME);
    let secret = secret.map_or("", |(_, secret)| secret);
    if secret_matches(secret, &shared.operator_hash) {
        return Ok(());
    }
    let message = "authorization: this is not an operator's key";
    Err(RequestError::new(
        StatusCode::FORBIDDEN,
        "wrong_key",
        message,
    ))
}

fn parse_body<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, RequestError> {
    serde_json::from_slice(body)
        .map_err(|error| RequestError::bad_request("body", format!("body: {error}")))
}

/// `POST /v1/intents`: returns a plan, which takes effect only once it is confirmed.
pub async fn intent(shared: Arc<Shared>, headers: HeaderMap, body: Bytes) -> Response {
    let intent: Intent = match authorize(&shared, &headers).and_then(|()| parse_body(&body)) {
        Ok(intent) => intent,
        Err(error) => return error.reply(),
    };
    match shared.ask(|token| Input::Intent { token, intent }).await {
        Some(Action::Planned {
            result: Ok(proposal),
            ..
        }) => reply::json(StatusCode::OK, &proposal),
        Some(Action::Planned {
            result: Err(error), ..
        }) => RequestError::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "intent",
            error.to_string(),
        )
        .reply(),
        _ => reply::stopping(),
    }
}

/// The reply to a confirmation.
#[derive(Debug, Serialize)]
struct ConfirmReply {
    result: &'static str,
    offset: Option<u64>,
    message: String,
}

/// `POST /v1/confirm`: puts a plan in force. May be repeated; a plan takes effect at most once.
pub async fn confirm(shared: Arc<Shared>, headers: HeaderMap, body: Bytes) -> Response {
    let plan: Plan = match authorize(&shared, &headers).and_then(|()| parse_body(&body)) {
        Ok(plan) => plan,
        Err(error) => return error.reply(),
    };
    let Some(Action::Confirmed { outcome, .. }) =
        shared.ask(|token| Input::Confirm { token, plan }).await
    else {
        return reply::stopping();
    };
    let (status, result, offset, message) = match outcome {
        Some(Outcome::InForce(offset)) => {
            let message = format!("in force from offset {offset} on");
            (StatusCode::OK, "in_force", Some(offset.0), message)
        }
        Some(Outcome::Refused(Refused::Stale { version })) => {
            let message =
                format!("the object has changed since, and has version {version}: plan again");
            (StatusCode::CONFLICT, "stale", None, message)
        }
        Some(Outcome::Refused(Refused::Unfit)) => {
            let message = "the plan does not fit what it changes".to_owned();
            (StatusCode::UNPROCESSABLE_ENTITY, "unfit", None, message)
        }
        None => {
            let message = "the log has not been read back in time, so it may or may not be in \
                           force: confirm the same plan again"
                .to_owned();
            (StatusCode::GATEWAY_TIMEOUT, "unknown", None, message)
        }
    };
    reply::json(
        status,
        &ConfirmReply {
            result,
            offset,
            message,
        },
    )
}

/// `GET /v1/status`: the status of this router.
pub async fn status(shared: Arc<Shared>, headers: HeaderMap) -> Response {
    if let Err(error) = authorize(&shared, &headers) {
        return error.reply();
    }
    match shared.ask(|token| Input::Status { token }).await {
        Some(Action::Status { status, .. }) => reply::json(StatusCode::OK, &status),
        _ => reply::stopping(),
    }
}

/// `GET /v1/config`: all objects in force, with their versions.
pub async fn config(shared: Arc<Shared>, headers: HeaderMap) -> Response {
    if let Err(error) = authorize(&shared, &headers) {
        return error.reply();
    }
    let config = shared.config.load();
    let items: Vec<_> = config
        .items()
        .map(|(key, item)| json!({ "key": key, "version": item.version, "object": item.object }))
        .collect();
    reply::json(StatusCode::OK, &items)
}

/// `GET /v1/burn`: the series of this router, from which the burn report is made.
pub async fn burn(shared: Arc<Shared>, headers: HeaderMap) -> Response {
    if let Err(error) = authorize(&shared, &headers) {
        return error.reply();
    }
    reply::json(StatusCode::OK, &shared.metrics.export())
}

/// `GET /v1/explain/{id}`: the decisions of this router on a request.
pub async fn explain(shared: Arc<Shared>, id: String, headers: HeaderMap) -> Response {
    if let Err(error) = authorize(&shared, &headers) {
        return error.reply();
    }
    let steps = id.parse().ok().and_then(|id| shared.trail.get(id));
    match steps {
        Some(steps) => reply::json(StatusCode::OK, &steps),
        None => RequestError::new(
            StatusCode::NOT_FOUND,
            "unknown",
            "this router knows no such request",
        )
        .reply(),
    }
}
