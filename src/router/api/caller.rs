//! Endpoints for callers: model calls, service calls, and the router addresses to use.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, StatusCode, header};
use serde_json::json;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::response::sse::{Event, Sse};
use xxhash_rust::xxh3::Xxh3;

use crate::router::control::Spec;
use crate::router::http::answer::{Answer, RequestInfo, Step, Work};
use crate::router::http::chat::{Frame, Usage};
use crate::router::http::entry::Entry;
use crate::router::http::relay::kind;
use crate::router::http::reply::RequestError;
use crate::router::http::{BUDGET, CLASS, REPEATABLE, REQUEST_ID, chat, reply};
use crate::router::request::{Id, Reason, Verdict};
use crate::router::shared::Shared;
use crate::units::Tokens;
use crate::util::{is_name, secret_matches};

/// Upper bound, exclusive, of the number that a caller chooses for a request id.
const CALLER_NUMBERS_END: u64 = 1 << 31;
/// How long a caller may cache an entry answer, in milliseconds.
const ENTRY_KEEP_MS: u64 = 60_000;

/// The authenticated customer of a request, and the options that its headers set.
struct Caller {
    customer: String,
    class: String,
    budget: String,
    id: Id,
    repeatable: bool,
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Refuses a request that arrives before this router has read its customers from the log, since no key can be checked
/// until then. A request with an id may be a retry of one that has run.
fn refuse_while_starting(shared: &Shared, headers: &HeaderMap) -> Option<Response> {
    if shared.is_ready() {
        return None;
    }
    let id = header_text(headers, REQUEST_ID).and_then(|id| id.parse().ok());
    let reason = Reason::Starting;
    let refused = |id| reply::refused(id, &Verdict::MayHaveRun { reason }, "");
    Some(id.map_or_else(reply::starting, refused))
}

/// Authenticates a request by its key and returns the customer's name. The secret is never logged.
fn authenticate(shared: &Shared, headers: &HeaderMap) -> Result<String, RequestError> {
    let denied = |message: &str| {
        Err(RequestError::new(
            StatusCode::UNAUTHORIZED,
            "no_key",
            message,
        ))
    };
    let Some(key) = header_text(headers, header::AUTHORIZATION.as_str()) else {
        return denied("authorization: wanted is 'Bearer CUSTOMER:SECRET'");
    };
    let Some((name, secret)) = key
        .strip_prefix("Bearer ")
        .and_then(|key| key.split_once(':'))
    else {
        return denied("authorization: wanted is 'Bearer CUSTOMER:SECRET'");
    };
    let config = shared.config.load();
    // An unknown name takes the same time to reject as a wrong secret.
    let stored = config
        .customer(name)
        .map_or("", |customer| customer.key_hash.as_str());
    if !secret_matches(secret, stored) {
        return Err(RequestError::new(
            StatusCode::FORBIDDEN,
            "wrong_key",
            "authorization: no customer has this name and secret",
        ));
    }
    Ok(name.to_owned())
}

/// Authenticates a request and reads its options; `repeatable` is the default without a header.
fn read_caller(
    shared: &Shared,
    headers: &HeaderMap,
    repeatable: bool,
) -> Result<Caller, RequestError> {
    let customer = authenticate(shared, headers)?;
    let config = shared.config.load();
    let allowed = config
        .customer(&customer)
        .map(|customer| customer.classes.clone());
    // A customer that has been removed in the meantime may use no class.
    let allowed = allowed.unwrap_or_default();
    let class = header_text(headers, CLASS).or(allowed.first().map(String::as_str));
    let class = class.unwrap_or("").to_owned();
    if !allowed.contains(&class) {
        let message = format!("{CLASS}: one of {}", allowed.join(", "));
        return Err(RequestError::bad_request("class", message));
    }
    let budget = header_text(headers, BUDGET).unwrap_or(&customer).to_owned();
    if !is_name(&budget) {
        let message = format!("{BUDGET}: 1 to 64 letters, digits, dots, dashes or underscores");
        return Err(RequestError::bad_request("budget", message));
    }
    Ok(Caller {
        customer,
        class,
        budget,
        id: request_id(shared, headers)?,
        repeatable: is_repeatable(headers, repeatable)?,
    })
}

fn request_id(shared: &Shared, headers: &HeaderMap) -> Result<Id, RequestError> {
    let Some(id) = header_text(headers, REQUEST_ID) else {
        return Ok(shared.generate_id());
    };
    let wrong = |why: &str| {
        let message =
            format!("{REQUEST_ID}: {why}; the entry answer gives the first 25 characters");
        RequestError::bad_request("request_id", message)
    };
    let id: Id = id.parse().map_err(wrong)?;
    if id.nonce & 0xffff_ffff >= CALLER_NUMBERS_END {
        return Err(wrong("the caller's eight digits are below 80000000"));
    }
    Ok(id)
}

fn is_repeatable(headers: &HeaderMap, default: bool) -> Result<bool, RequestError> {
    match header_text(headers, REPEATABLE) {
        None => Ok(default),
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => {
            let message = format!("{REPEATABLE}: yes or no");
            Err(RequestError::bad_request("repeatable", message))
        }
    }
}

/// `POST /v1/chat/completions`: a model call.
pub async fn chat(shared: Arc<Shared>, headers: HeaderMap, body: Bytes) -> Response {
    if let Some(refusal) = refuse_while_starting(&shared, &headers) {
        return refusal;
    }
    let caller = match read_caller(&shared, &headers, true) {
        Ok(caller) => caller,
        Err(error) => return error.reply(),
    };
    let call = match chat::parse(&body) {
        Ok(call) => call,
        Err(error) => {
            return RequestError::bad_request("body", error.to_string()).reply();
        }
    };
    let (streamed, model) = (call.stream, call.model.clone());
    let prompt = call.prompt();
    // A token is at least one byte, so the prompt has at most this many tokens.
    let max_tokens = Tokens(prompt.len() as u64 + call.max_tokens);
    let answer = submit(
        &shared,
        &caller,
        Work::Chat(call),
        &body,
        &model,
        max_tokens,
    );
    let answer = resolve_joined(answer).await;
    if let Step::End(verdict) = answer.step(0).await {
        return reply::refused(caller.id, &verdict, &model);
    }
    if streamed {
        stream(caller.id, answer)
    } else {
        collect(caller.id, &model, &answer).await
    }
}

/// `POST /v1/services/{name}`: a service call.
pub async fn service(
    shared: Arc<Shared>,
    name: String,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if let Some(refusal) = refuse_while_starting(&shared, &headers) {
        return refusal;
    }
    let caller = match read_caller(&shared, &headers, false) {
        Ok(caller) => caller,
        Err(error) => return error.reply(),
    };
    let work = Work::Service(body.clone());
    let answer = submit(&shared, &caller, work, &body, &name, Tokens::ZERO);
    let answer = resolve_joined(answer).await;
    let verdict = answer.wait_verdict().await;
    match (answer.service_answer(), verdict) {
        (Some(answer), Verdict::Ran { .. }) => {
            let mut response = reply::bytes(answer.status, answer.body);
            reply::set_verdict_headers(response.headers_mut(), caller.id, &verdict);
            response
        }
        _ => reply::refused(caller.id, &verdict, &name),
    }
}

/// Submits a request to the control state.
fn submit(
    shared: &Shared,
    caller: &Caller,
    work: Work,
    body: &Bytes,
    serves: &str,
    max_tokens: Tokens,
) -> Arc<Answer> {
    let mut hash = Xxh3::new();
    for part in [
        caller.customer.as_bytes(),
        caller.budget.as_bytes(),
        serves.as_bytes(),
        body,
    ] {
        hash.update(part);
        hash.update(&[0]);
    }
    let kind = kind(&work);
    let request = RequestInfo {
        id: caller.id,
        customer: caller.customer.clone(),
        class: caller.class.clone(),
        serves: serves.to_owned(),
        repeatable: caller.repeatable,
        arrived: Instant::now(),
    };
    let spec = Spec {
        ticket: shared.next_ticket(),
        id: caller.id,
        fingerprint: hash.digest(),
        customer: caller.customer.clone(),
        budget: caller.budget.clone(),
        class: caller.class.clone(),
        kind,
        serves: serves.to_owned(),
        max_tokens,
        repeatable: caller.repeatable,
    };
    let answer = Arc::new(Answer::new(work, request));
    shared.arrive(spec, Arc::clone(&answer));
    answer
}

/// Waits until an answer has started; returns it, or the one that it has joined.
async fn resolve_joined(answer: Arc<Answer>) -> Arc<Answer> {
    answer.wait_started().await.unwrap_or(answer)
}

fn stream(id: Id, answer: Arc<Answer>) -> Response {
    let events = events(id, answer);
    let mut response = Sse::new(events).into_response();
    reply::set_header(response.headers_mut(), REQUEST_ID, &id.to_string());
    response
}

/// The next event of a stream.
enum NextEvent {
    /// The frame with this index.
    Frame(usize),
    /// The closing `[DONE]`.
    Done,
    /// None: the stream has ended.
    Ended,
}

/// The events of a streamed answer, one for each frame as it arrives. The last frame carries the verdict, and only a
/// complete answer ends in `[DONE]`.
fn events(
    id: Id,
    answer: Arc<Answer>,
) -> impl Stream<Item = Result<Event, std::io::Error>> + Send + Sync {
    let start = (answer, NextEvent::Frame(0));
    futures::stream::unfold(start, move |(answer, next)| async move {
        let (event, next) = match next {
            NextEvent::Ended => return None,
            NextEvent::Done => (Event::new().data("[DONE]"), NextEvent::Ended),
            NextEvent::Frame(index) => match answer.step(index).await {
                Step::Frame(frame) if frame.usage.is_some() => {
                    let verdict = answer.wait_verdict().await;
                    (last_event(&frame, id, &verdict), NextEvent::Done)
                }
                Step::Frame(frame) => (frame_event(&frame), NextEvent::Frame(index + 1)),
                Step::End(verdict) => (error_event(id, &verdict), NextEvent::Ended),
            },
        };
        Some((Ok(event), (answer, next)))
    })
}

fn frame_event(frame: &Frame) -> Event {
    let data = serde_json::to_string(frame).expect("a frame always serializes");
    Event::new().data(data.as_str())
}

/// The event of the last frame, with the verdict.
fn last_event(frame: &Frame, id: Id, verdict: &Verdict) -> Event {
    let mut value = serde_json::to_value(frame).expect("a frame always serializes");
    value["lanedeck"] = reply::verdict_json(id, verdict);
    Event::new().data(value.to_string().as_str())
}

/// The event that ends an incomplete answer.
fn error_event(id: Id, verdict: &Verdict) -> Event {
    let value = json!({
        "error": { "type": verdict.reason(), "message": "the answer broke off here" },
        "lanedeck": reply::verdict_json(id, verdict),
    });
    Event::new().event("error").data(value.to_string().as_str())
}

/// Collects a complete answer into one reply.
async fn collect(id: Id, model: &str, answer: &Answer) -> Response {
    let mut content = String::new();
    let mut index = 0;
    let usage: Usage = loop {
        match answer.step(index).await {
            Step::Frame(frame) => {
                content.push_str(frame.text());
                if let Some(usage) = frame.usage {
                    break usage;
                }
                index += 1;
            }
            Step::End(verdict) => return reply::refused(id, &verdict, model),
        }
    };
    let verdict = answer.wait_verdict().await;
    let body = json!({
        "id": id.to_string(),
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": "length",
        }],
        "usage": usage,
        "lanedeck": reply::verdict_json(id, &verdict),
    });
    let mut response = reply::json(StatusCode::OK, &body);
    reply::set_verdict_headers(response.headers_mut(), id, &verdict);
    response
}

/// `GET /v1/entry`: the router addresses that the customer should use.
pub async fn entry(shared: Arc<Shared>, headers: HeaderMap) -> Response {
    if !shared.is_ready() {
        return reply::starting();
    }
    let customer = match authenticate(&shared, &headers) {
        Ok(customer) => customer,
        Err(error) => return error.reply(),
    };
    match shared.entries(customer).await {
        Some(addresses) => {
            let keep_ms = ENTRY_KEEP_MS;
            reply::json(StatusCode::OK, &Entry { addresses, keep_ms })
        }
        None => reply::stopping(),
    }
}
