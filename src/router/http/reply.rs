//! Replies to callers. Each carries the verdict and the request id; a refusal also carries a reason and the time
//! after which to retry.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;
use serde_json::{Value, json};
use volo_http::body::Body;
use volo_http::response::Response;

use super::{BILLED, REASON, REQUEST_ID, VERDICT};
use crate::router::request::{Id, Reason, Verdict};
use crate::units::Millis;

/// Retry delay after a request that may have run; the retry uses the same id.
const UNCERTAIN_RETRY: Millis = Millis(1_000);
/// Retry delay after a refusal by a stopping router. Another router answers at once.
const STOPPING_RETRY: Millis = Millis(1_000);
/// Retry delay after a refusal by a router that has just started. It reads the log in a fraction of that time if the
/// log is reachable.
const STARTING_RETRY: Millis = Millis(1_000);

/// A JSON reply.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("a reply always serializes");
    bytes(status, body.into())
}

/// A reply with a body that is already JSON.
pub fn bytes(status: StatusCode, body: bytes::Bytes) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    set_header(
        response.headers_mut(),
        header::CONTENT_TYPE.as_str(),
        "application/json",
    );
    response
}

/// The error of a request that was rejected before anything was run or billed.
#[derive(Clone, Debug)]
pub struct RequestError {
    /// The HTTP status of the reply.
    pub status: StatusCode,
    /// The kind of error, as a single word.
    pub kind: &'static str,
    /// Describes the error and the accepted values.
    pub message: String,
}

impl RequestError {
    /// Creates an error with the given status.
    pub fn new(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status,
            kind,
            message,
        }
    }

    /// Creates an error with status 400.
    pub fn bad_request(kind: &'static str, message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, kind, message)
    }

    /// The reply for this error.
    pub fn reply(&self) -> Response {
        let body = json!({
            "error": { "type": self.kind, "message": self.message },
            "lanedeck": { "verdict": "not_run", "reason": self.kind },
        });
        let mut response = json(self.status, &body);
        set_header(response.headers_mut(), VERDICT, "not_run");
        set_header(response.headers_mut(), REASON, self.kind);
        response
    }
}

/// The refusal of a request that a stopping router no longer accepts.
pub fn stopping() -> Response {
    let message = "this router is about to stop: use another; nothing was done";
    unavailable(Reason::Stopping, message, STOPPING_RETRY)
}

/// The refusal of a request that a router cannot answer before it has read the log.
pub fn starting() -> Response {
    let message = "this router has not read the log yet: nothing was done";
    unavailable(Reason::Starting, message, STARTING_RETRY)
}

fn unavailable(reason: Reason, message: &str, retry: Millis) -> Response {
    let mut response =
        RequestError::new(StatusCode::SERVICE_UNAVAILABLE, reason.as_str(), message).reply();
    set_retry_after(response.headers_mut(), retry);
    response
}

/// The refusal of a request to a model or service.
pub fn refused(id: Id, verdict: &Verdict, serves: &str) -> Response {
    let reason = verdict.reason().unwrap_or(Reason::Unknown);
    let body = json!({
        "error": { "type": reason.as_str(), "message": message(verdict, reason, serves) },
        "lanedeck": verdict_json(id, verdict),
    });
    let mut response = json(status(verdict, reason), &body);
    set_verdict_headers(response.headers_mut(), id, verdict);
    response
}

/// The verdict as JSON, for the last event of a stream or the body of a reply.
pub fn verdict_json(id: Id, verdict: &Verdict) -> Value {
    let mut value = json!({ "verdict": verdict.as_str(), "request_id": id.to_string() });
    match verdict {
        Verdict::Ran { billed } => value["billed"] = json!(billed),
        Verdict::NotRun {
            reason,
            retry_after,
        } => {
            value["reason"] = json!(reason);
            value["retry_after_ms"] = json!(retry_after);
        }
        Verdict::MayHaveRun { reason } => value["reason"] = json!(reason),
    }
    value
}

/// Sets the headers that carry the request id and the verdict.
pub fn set_verdict_headers(headers: &mut HeaderMap, id: Id, verdict: &Verdict) {
    set_header(headers, REQUEST_ID, &id.to_string());
    set_header(headers, VERDICT, verdict.as_str());
    if let Some(reason) = verdict.reason() {
        set_header(headers, REASON, reason.as_str());
    }
    match verdict {
        Verdict::Ran { billed } => set_header(headers, BILLED, &billed.to_string()),
        Verdict::NotRun { retry_after, .. } => set_retry_after(headers, *retry_after),
        Verdict::MayHaveRun { .. } => set_retry_after(headers, UNCERTAIN_RETRY),
    }
}

/// Sets the `Retry-After` header, rounded up to whole seconds and at least one.
fn set_retry_after(headers: &mut HeaderMap, wait: Millis) {
    let seconds = wait.0.div_ceil(1_000).max(1);
    set_header(headers, header::RETRY_AFTER.as_str(), &seconds.to_string());
}

/// Sets a header; does nothing if the name or the value is invalid.
pub fn set_header(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}

/// The HTTP status of a refusal.
fn status(verdict: &Verdict, reason: Reason) -> StatusCode {
    if matches!(verdict, Verdict::MayHaveRun { .. }) {
        return match reason {
            Reason::IdReused => StatusCode::CONFLICT,
            _ => StatusCode::BAD_GATEWAY,
        };
    }
    match reason {
        Reason::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
        Reason::BudgetElsewhere | Reason::TooMany | Reason::Overloaded | Reason::TooLate => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Reason::Unknown | Reason::UnknownModel => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The message of a refusal.
fn message(verdict: &Verdict, reason: Reason, serves: &str) -> String {
    let why = match reason {
        Reason::BudgetExhausted => "the budget has less left than this request may cost",
        Reason::BudgetElsewhere => {
            "the rest of the budget lies with other routers, which were asked for it"
        }
        Reason::LogUnavailable => {
            "there is no grant here, and the log cannot be reached to get one"
        }
        Reason::WitnessUnavailable => "no witness could be reached",
        Reason::Overloaded => "the queue is full of work that goes first",
        Reason::TooLate => "it could not have started in time",
        Reason::TooMany => "the customer has as many requests in progress as it may",
        Reason::NoTarget => "no target serves this now",
        Reason::Starting => "this router has not read the log yet",
        Reason::Stopping => "this router is about to stop: use another",
        Reason::Suspended => "an invariant about the budget did not hold: an operator must look",
        Reason::TargetRefused => "the targets that were tried refused it or could not be reached",
        Reason::TargetFailed => "the target broke off",
        Reason::Elsewhere => "the id belongs to another router: send it there, with the same id",
        Reason::Expired => "the id is too old to be known",
        Reason::Lost => "the router that the id belongs to is gone",
        Reason::IdReused => "another request had this id",
        Reason::Unknown => "the budget or class is not known here",
        Reason::UnknownModel => {
            let why = format!("no target is known for the model or service {serves}");
            return with_outcome(verdict, &why);
        }
    };
    with_outcome(verdict, why)
}

/// Appends to a reason whether the request may have run and been billed.
fn with_outcome(verdict: &Verdict, why: &str) -> String {
    match verdict {
        Verdict::MayHaveRun { .. } => format!("{why}; it may have run"),
        _ => format!("{why}; it did not run and was not billed"),
    }
}
