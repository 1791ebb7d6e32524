//! Replies: each carries the verdict, the request id, and on refusal a reason and when to come
//! back.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;
use serde_json::{Value, json};
use volo_http::body::Body;
use volo_http::response::Response;

use super::{BILLED, REASON, REQUEST_ID, VERDICT};
use crate::router::request::{Id, Reason, Verdict};
use crate::units::Millis;

/// When to come back after a request that may have run, with the same id.
const ASK_AGAIN: Millis = Millis(1_000);
/// When to come back after a stopping router has refused a question. Another router
/// answers at once.
const STOPPING_RETRY: Millis = Millis(1_000);
/// When to come back after a router has refused a question that has just been started. It reads the
/// log in a fraction of that where the log answers.
const STARTING_RETRY: Millis = Millis(1_000);

/// A JSON reply.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("replies are plain data");
    bytes(status, body.into())
}

/// A reply with a JSON body made elsewhere.
pub fn bytes(status: StatusCode, body: bytes::Bytes) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    set(
        response.headers_mut(),
        header::CONTENT_TYPE.as_str(),
        "application/json",
    );
    response
}

/// Something that is wrong with the question itself: nothing was run or billed.
#[derive(Clone, Debug)]
pub struct Wrong {
    /// The reply's status.
    pub status: StatusCode,
    /// What is wrong, in a word.
    pub kind: &'static str,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl Wrong {
    /// Something wrong, with what is accepted.
    pub fn new(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status,
            kind,
            message,
        }
    }

    /// A field of the question that is wrong.
    pub fn field(kind: &'static str, message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, kind, message)
    }

    /// The reply.
    pub fn reply(&self) -> Response {
        let body = json!({
            "error": { "type": self.kind, "message": self.message },
            "lanedeck": { "verdict": "not_run", "reason": self.kind },
        });
        let mut response = json(self.status, &body);
        set(response.headers_mut(), VERDICT, "not_run");
        set(response.headers_mut(), REASON, self.kind);
        response
    }
}

/// A refusal of a question that a stopping router does not answer any more.
pub fn stopping() -> Response {
    let message = "this router is about to stop: use another; nothing was done";
    unavailable(Reason::Stopping, message, STOPPING_RETRY)
}

/// A refusal of a question that a router cannot answer before it has read the log.
pub fn starting() -> Response {
    let message = "this router has not read the log yet: nothing was done";
    unavailable(Reason::Starting, message, STARTING_RETRY)
}

fn unavailable(reason: Reason, message: &str, retry: Millis) -> Response {
    let mut response =
        Wrong::new(StatusCode::SERVICE_UNAVAILABLE, reason.as_str(), message).reply();
    set_retry_after(response.headers_mut(), retry);
    response
}

/// A refusal of a request for a model or service.
pub fn refused(id: Id, verdict: &Verdict, serves: &str) -> Response {
    let reason = verdict.reason().unwrap_or(Reason::Unknown);
    let body = json!({
        "error": { "type": reason.as_str(), "message": message(verdict, reason, serves) },
        "lanedeck": told(id, verdict),
    });
    let mut response = json(status(verdict, reason), &body);
    head(response.headers_mut(), id, verdict);
    response
}

/// What the last event of a stream, or the body of a reply, says of the verdict.
pub fn told(id: Id, verdict: &Verdict) -> Value {
    let mut told = json!({ "verdict": verdict.as_str(), "request_id": id.to_string() });
    match verdict {
        Verdict::Ran { billed } => told["billed"] = json!(billed),
        Verdict::NotRun {
            reason,
            retry_after,
        } => {
            told["reason"] = json!(reason);
            told["retry_after_ms"] = json!(retry_after);
        }
        Verdict::MayHaveRun { reason } => told["reason"] = json!(reason),
    }
    told
}

/// Sets the headers that tell the verdict.
pub fn head(headers: &mut HeaderMap, id: Id, verdict: &Verdict) {
    set(headers, REQUEST_ID, &id.to_string());
    set(headers, VERDICT, verdict.as_str());
    if let Some(reason) = verdict.reason() {
        set(headers, REASON, reason.as_str());
    }
    match verdict {
        Verdict::Ran { billed } => set(headers, BILLED, &billed.to_string()),
        Verdict::NotRun { retry_after, .. } => set_retry_after(headers, *retry_after),
        Verdict::MayHaveRun { .. } => set_retry_after(headers, ASK_AGAIN),
    }
}

fn set_retry_after(headers: &mut HeaderMap, wait: Millis) {
    let seconds = wait.0.div_ceil(1_000).max(1);
    set(headers, header::RETRY_AFTER.as_str(), &seconds.to_string());
}

/// Sets a header of ours.
pub fn set(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}

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
            return said(verdict, &why);
        }
    };
    said(verdict, why)
}

/// A reason with what the verdict promises.
fn said(verdict: &Verdict, why: &str) -> String {
    match verdict {
        Verdict::MayHaveRun { .. } => format!("{why}; it may have run"),
        _ => format!("{why}; it did not run and was not billed"),
    }
}
