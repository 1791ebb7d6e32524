//! Serves one caller's request from its first byte to its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::uri::PathAndQuery;
use http::{Response, header};
use hyper::body::Incoming;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::body::Body;
use super::deadline::Deadline;
use super::decision::refusal::{Reason, Refusal, RetryContext};
use super::decision::retry::Verdict;
use super::decision::{admission, overload};
use super::dialect;
use super::exchange::{Answer, Buffered, Exchange};
use super::headers;
use super::relay::Relay;
use super::reply;
use super::shared::ActiveRequest;
use super::stream::Stream;
use super::upload;
use crate::net;
use crate::units::Millis;

/// A caller's connection.
pub(super) struct Connection {
    reading: net::Reading,
    /// Whether it was logged that the caller sends headers that are the routers' to set.
    orders_told: AtomicBool,
}

impl Connection {
    /// A connection that was just accepted.
    pub(super) fn new(reading: net::Reading) -> Self {
        Self {
            reading,
            orders_told: AtomicBool::new(false),
        }
    }

    /// Notes headers that are not passed on; logged once a connection, so that a caller that always sends
    /// them does not fill the log.
    fn note_orders(&self, id: &str) {
        if !self.orders_told.swap(true, Ordering::Relaxed) {
            tracing::warn!(event = "orders_dropped", %id);
        }
    }
}

/// Notes a caller that leaves before it has the head of an answer: what serves it is then dropped.
struct Departure<'a> {
    relay: &'a Relay,
    id: &'a str,
    started: Instant,
    has_answer: bool,
}

impl Drop for Departure<'_> {
    fn drop(&mut self) {
        if self.has_answer {
            return;
        }
        self.relay.shared.metrics.cancelled.add(1);
        let ms = self.started.elapsed().as_millis() as u64;
        tracing::info!(event = "cancelled", id = %self.id, events = 0, ms);
    }
}

/// Answers a caller.
pub(super) async fn serve(
    relay: &Arc<Relay>,
    incoming: hyper::Request<Incoming>,
    connection: &Connection,
) -> Response<Body> {
    let started = Instant::now();
    relay.shared.metrics.requests.add(1);
    let (parts, mut body) = incoming.into_parts();
    let request = match relay.dialect.read_request(&parts.headers) {
        Ok(request) => request,
        Err(error) => {
            tracing::info!(event = "refused", reason = "bad_header", %error);
            connection.reading.discard(body, body_max(relay));
            return reply::answer(Reason::BadHeader, None, &*relay.dialect, "");
        }
    };
    let id = request.id.clone();
    if request.has_orders {
        connection.note_orders(&id);
    }
    let mut departure = Departure {
        relay,
        id: &id,
        started,
        has_answer: false,
    };
    let result = match admit(relay, parts, &mut body, request, started).await {
        Ok(exchange) => run(exchange).await,
        Err(reason) => Err(reason),
    };
    departure.has_answer = true;
    result.unwrap_or_else(|reason| {
        connection.reading.discard(body, body_max(relay));
        refuse(relay, &id, reason, started)
    })
}

/// Longest body that is let in, in bytes.
fn body_max(relay: &Relay) -> usize {
    let config = relay.shared.config.load();
    let limits = config.as_ref().map(|config| config.limits);
    // Without a configuration nothing is let in; what is refused has the default bound.
    limits.unwrap_or_default().body_bytes
}

fn refuse(relay: &Relay, id: &str, reason: Reason, started: Instant) -> Response<Body> {
    let elapsed = started.elapsed();
    let metrics = &relay.shared.metrics;
    match reason.verdict() {
        Verdict::MayHaveRun => metrics.uncertain.add(1),
        Verdict::NotRun => metrics.refused.add(1),
    }
    metrics.refusal.record(elapsed);
    if matches!(reason, Reason::Refused(Refusal::Quarantined { .. })) {
        relay.shared.quarantine_refused.add(1);
    }
    let retry_after = reason.retry_after(&RetryContext {
        id,
        store_lost: relay.shared.store_lost(),
        running: Millis(relay.started.elapsed().as_millis() as u64),
    });
    let config = relay.shared.config.load();
    tracing::info!(
        event = "refused",
        %id,
        reason = reason.as_str(),
        status = reason.status().as_u16(),
        config = config.as_ref().map_or(0, |config| config.version),
        retry_after_ms = retry_after.map(|after| after.0),
        ms = elapsed.as_millis() as u64
    );
    reply::answer(reason, retry_after, &*relay.dialect, id)
}

/// Lets a request in by the configuration in force, and reads its body.
async fn admit(
    relay: &Arc<Relay>,
    parts: http::request::Parts,
    body: &mut Incoming,
    request: dialect::Request,
    started: Instant,
) -> Result<Exchange, Reason> {
    let active = ActiveRequest::new(&relay.shared);
    let config = relay.shared.config.load_full().ok_or(Reason::NoConfig)?;
    let terms = admission::admit(
        &config,
        &admission::Request {
            host: host(&parts),
            path: parts.uri.path(),
            key: request.key.as_deref(),
            time_limit: request.time_limit,
        },
    )?;
    let objective = terms.route.latency_objective;
    if overload::is_refused(
        relay.shared.lag(),
        objective,
        xxh3_64(request.id.as_bytes()),
    ) {
        return Err(Reason::Overloaded);
    }
    let deadline = started + Duration::from_millis(terms.time_limit.0);
    if relay.shared.stop.is_too_late(deadline) {
        return Err(Reason::Stopping);
    }
    let deadline = Deadline::new(deadline, relay.shared.stop.given_up());
    let body = upload::read(body, config.limits.body_bytes, &deadline).await?;
    let path = parts.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let customer = terms.customer.map(|customer| customer.name.clone());
    let fingerprint = relay.hasher.fingerprint(
        customer.as_deref(),
        &[
            parts.method.as_str().as_bytes(),
            host(&parts).as_bytes(),
            path.as_str().as_bytes(),
            &body,
        ],
    );
    let mut headers = parts.headers;
    headers::strip_request(&mut headers);
    Ok(Exchange {
        relay: Arc::clone(relay),
        event_tokens: terms.event_tokens,
        customer,
        rank: terms.rank,
        route: terms.route.clone(),
        config: Arc::clone(&config),
        request,
        started,
        deadline,
        method: parts.method,
        path,
        headers,
        body,
        fingerprint,
        sent: 0,
        unreached: 0,
        verdict: Verdict::NotRun,
        _active: active,
    })
}

/// The host that a request names: in its target, or else in its header.
fn host(parts: &http::request::Parts) -> &str {
    if let Some(authority) = parts.uri.authority() {
        return authority.as_str();
    }
    let header = parts.headers.get(header::HOST);
    header.and_then(|host| host.to_str().ok()).unwrap_or("")
}

/// Tries targets until one has answered or the rules end the attempts.
async fn run(mut exchange: Exchange) -> Result<Response<Body>, Reason> {
    let mut attempt = exchange.begin().await?;
    // A target's own failure, which is passed on if no other target does better.
    let mut fallback: Option<Buffered> = None;
    loop {
        let failed = match exchange.attempt(attempt).await {
            Ok(answer) if is_stream(&exchange, &answer) => {
                match Stream::start(exchange, answer).await {
                    Ok(response) => return Ok(response),
                    Err((returned, failed)) => {
                        exchange = *returned;
                        failed
                    }
                }
            }
            Ok(answer) => match exchange.collect(answer).await {
                Ok(complete) if !complete.answer.is_server_error() => {
                    complete.attempt.end(Some(complete.outcome));
                    return Ok(exchange.pass(complete.answer));
                }
                Ok(complete) => match exchange.retry_server_error(complete.attempt).await {
                    Some(next) => {
                        fallback = Some(complete.answer);
                        attempt = next;
                        continue;
                    }
                    None => return Ok(exchange.pass(complete.answer)),
                },
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        if let Some(answer) = fallback {
            failed.end();
            return Ok(exchange.pass(answer));
        }
        attempt = exchange.retry(failed).await?;
    }
}

fn is_stream(exchange: &Exchange, answer: &Answer) -> bool {
    exchange.route.kind.is_stream() && answer.parts.status.is_success()
}
