//! What callers ask: model calls, service calls, and which of our addresses to use.

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
use crate::router::http::answer::{About, Answer, Step, Work};
use crate::router::http::chat::{Frame, Usage};
use crate::router::http::entry::Entry;
use crate::router::http::relay::kind;
use crate::router::http::reply::Wrong;
use crate::router::http::{BUDGET, CLASS, REPEATABLE, REQUEST_ID, chat, reply};
use crate::router::request::{Id, Reason, Verdict};
use crate::router::shared::Shared;
use crate::units::Tokens;
use crate::util::{is_name, secret_matches};

/// Numbers that callers choose are below this.
const NUMBERS: u64 = 1 << 31;
/// How long a caller may keep an entry answer.
const KEEP_MS: u64 = 60_000;

/// Who a caller has proved to be, and how its request is to be treated.
struct Caller {
    customer: String,
    class: String,
    budget: String,
    id: Id,
    repeatable: bool,
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Refuses a request that comes before this router knows who its customers are: no key can be judged by then. One
/// with an id may be a repeat of one that has run.
fn starting(shared: &Shared, headers: &HeaderMap) -> Option<Response> {
    if shared.is_ready() {
        return None;
    }
    let id = text(headers, REQUEST_ID).and_then(|id| id.parse().ok());
    let reason = Reason::Starting;
    let refused = |id| reply::refused(id, &Verdict::MayHaveRun { reason }, "");
    Some(id.map_or_else(reply::starting, refused))
}

/// The name that a key proves; the secret is never logged.
fn customer(shared: &Shared, headers: &HeaderMap) -> Result<String, Wrong> {
    let denied = |message: &str| Err(Wrong::new(StatusCode::UNAUTHORIZED, "no_key", message));
    let Some(key) = text(headers, header::AUTHORIZATION.as_str()) else {
        return denied("authorization: wanted is 'Bearer CUSTOMER:SECRET'");
    };
    let Some((name, secret)) = key
        .strip_prefix("Bearer ")
        .and_then(|key| key.split_once(':'))
    else {
        return denied("authorization: wanted is 'Bearer CUSTOMER:SECRET'");
    };
    let config = shared.config.load();
    // An unknown name costs the same time as a wrong secret.
    let stored = config
        .customer(name)
        .map_or("", |customer| customer.key_hash.as_str());
    if !secret_matches(secret, stored) {
        return Err(Wrong::new(
            StatusCode::FORBIDDEN,
            "wrong_key",
            "authorization: no customer has this name and secret",
        ));
    }
    Ok(name.to_owned())
}

fn caller(shared: &Shared, headers: &HeaderMap, repeatable: bool) -> Result<Caller, Wrong> {
    let customer = customer(shared, headers)?;
    let config = shared.config.load();
    let allowed = config
        .customer(&customer)
        .map(|customer| customer.classes.clone());
    // A customer that was removed meanwhile may use no class.
    let allowed = allowed.unwrap_or_default();
    let class = text(headers, CLASS).or(allowed.first().map(String::as_str));
    let class = class.unwrap_or("").to_owned();
    if !allowed.contains(&class) {
        let message = format!("{CLASS}: one of {}", allowed.join(", "));
        return Err(Wrong::field("class", message));
    }
    let budget = text(headers, BUDGET).unwrap_or(&customer).to_owned();
    if !is_name(&budget) {
        let message = format!("{BUDGET}: 1 to 64 letters, digits, dots, dashes or underscores");
        return Err(Wrong::field("budget", message));
    }
    Ok(Caller {
        customer,
        class,
        budget,
        id: request_id(shared, headers)?,
        repeatable: is_repeatable(headers, repeatable)?,
    })
}

fn request_id(shared: &Shared, headers: &HeaderMap) -> Result<Id, Wrong> {
    let Some(id) = text(headers, REQUEST_ID) else {
        return Ok(shared.generate_id());
    };
    let wrong = |why: &str| {
        let message =
            format!("{REQUEST_ID}: {why}; the entry answer gives the first 25 characters");
        Wrong::field("request_id", message)
    };
    let id: Id = id.parse().map_err(wrong)?;
    if id.nonce & 0xffff_ffff >= NUMBERS {
        return Err(wrong("the caller's eight digits are below 80000000"));
    }
    Ok(id)
}

fn is_repeatable(headers: &HeaderMap, default: bool) -> Result<bool, Wrong> {
    match text(headers, REPEATABLE) {
        None => Ok(default),
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => {
            let message = format!("{REPEATABLE}: yes or no");
            Err(Wrong::field("repeatable", message))
        }
    }
}

/// `POST /v1/chat/completions`
pub async fn chat(shared: Arc<Shared>, headers: HeaderMap, body: Bytes) -> Response {
    if let Some(refusal) = starting(&shared, &headers) {
        return refusal;
    }
    let caller = match caller(&shared, &headers, true) {
        Ok(caller) => caller,
        Err(wrong) => return wrong.reply(),
    };
    let call = match chat::parse(&body) {
        Ok(call) => call,
        Err(error) => {
            return Wrong::field("body", error.to_string()).reply();
        }
    };
    let (streamed, model) = (call.stream, call.model.clone());
    let prompt = call.prompt();
    // A token is at least a byte, so this is the most that the prompt can come to.
    let max_tokens = Tokens(prompt.len() as u64 + call.max_tokens);
    let answer = submit(
        &shared,
        &caller,
        Work::Chat(call),
        &body,
        &model,
        max_tokens,
    );
    let answer = first_of(answer).await;
    if let Step::End(verdict) = answer.step(0).await {
        return reply::refused(caller.id, &verdict, &model);
    }
    if streamed {
        stream(caller.id, answer)
    } else {
        collect(caller.id, &model, &answer).await
    }
}

/// `POST /v1/services/{name}`
pub async fn service(
    shared: Arc<Shared>,
    name: String,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if let Some(refusal) = starting(&shared, &headers) {
        return refusal;
    }
    let caller = match caller(&shared, &headers, false) {
        Ok(caller) => caller,
        Err(wrong) => return wrong.reply(),
    };
    let work = Work::Service(body.clone());
    let answer = submit(&shared, &caller, work, &body, &name, Tokens::ZERO);
    let answer = first_of(answer).await;
    let verdict = answer.ended().await;
    match (answer.whole(), verdict) {
        (Some(whole), Verdict::Ran { .. }) => {
            let mut response = reply::bytes(whole.status, whole.body);
            reply::head(response.headers_mut(), caller.id, &verdict);
            response
        }
        _ => reply::refused(caller.id, &verdict, &name),
    }
}

/// Hands a request to the control state.
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
    let about = About {
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
    let answer = Arc::new(Answer::new(work, about));
    shared.arrive(spec, Arc::clone(&answer));
    answer
}

/// The answer itself, or the one that it has joined.
async fn first_of(answer: Arc<Answer>) -> Arc<Answer> {
    answer.begun().await.unwrap_or(answer)
}

fn stream(id: Id, answer: Arc<Answer>) -> Response {
    let events = events(id, answer);
    let mut response = Sse::new(events).into_response();
    reply::set(response.headers_mut(), REQUEST_ID, &id.to_string());
    response
}

enum Place {
    Frame(usize),
    Done,
    Over,
}

/// Frames as they come; the last tells the verdict, and only a whole answer ends in `[DONE]`.
fn events(
    id: Id,
    answer: Arc<Answer>,
) -> impl Stream<Item = Result<Event, std::io::Error>> + Send + Sync {
    let start = (answer, Place::Frame(0));
    futures::stream::unfold(start, move |(answer, place)| async move {
        let (event, next) = match place {
            Place::Over => return None,
            Place::Done => (Event::new().data("[DONE]"), Place::Over),
            Place::Frame(index) => match answer.step(index).await {
                Step::Frame(frame) if frame.usage.is_some() => {
                    let verdict = answer.ended().await;
                    (last(&frame, id, &verdict), Place::Done)
                }
                Step::Frame(frame) => (event(&frame), Place::Frame(index + 1)),
                Step::End(verdict) => (broken(id, &verdict), Place::Over),
            },
        };
        Some((Ok(event), (answer, next)))
    })
}

fn event(frame: &Frame) -> Event {
    let data = serde_json::to_string(frame).expect("frames are plain data");
    Event::new().data(data.as_str())
}

fn last(frame: &Frame, id: Id, verdict: &Verdict) -> Event {
    let mut value = serde_json::to_value(frame).expect("frames are plain data");
    value["lanedeck"] = reply::told(id, verdict);
    Event::new().data(value.to_string().as_str())
}

fn broken(id: Id, verdict: &Verdict) -> Event {
    let value = json!({
        "error": { "type": verdict.reason(), "message": "the answer broke off here" },
        "lanedeck": reply::told(id, verdict),
    });
    Event::new().event("error").data(value.to_string().as_str())
}

/// The whole answer in one reply.
async fn collect(id: Id, model: &str, answer: &Answer) -> Response {
    let mut content = String::new();
    let mut place = 0;
    let usage: Usage = loop {
        match answer.step(place).await {
            Step::Frame(frame) => {
                content.push_str(frame.text());
                if let Some(usage) = frame.usage {
                    break usage;
                }
                place += 1;
            }
            Step::End(verdict) => return reply::refused(id, &verdict, model),
        }
    };
    let verdict = answer.ended().await;
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
        "lanedeck": reply::told(id, &verdict),
    });
    let mut response = reply::json(StatusCode::OK, &body);
    reply::head(response.headers_mut(), id, &verdict);
    response
}

/// `GET /v1/entry`
pub async fn entry(shared: Arc<Shared>, headers: HeaderMap) -> Response {
    if !shared.is_ready() {
        return reply::starting();
    }
    let customer = match customer(&shared, &headers) {
        Ok(customer) => customer,
        Err(wrong) => return wrong.reply(),
    };
    match shared.entries(customer).await {
        Some(addresses) => {
            let keep_ms = KEEP_MS;
            reply::json(StatusCode::OK, &Entry { addresses, keep_ms })
        }
        None => reply::stopping(),
    }
}
