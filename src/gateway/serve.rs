//! Handles one caller's request from its head to the response.

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
use super::exchange::{BufferedResponse, Exchange, Refused, TargetResponse};
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
    pub(super) reading: net::ReadState,
    /// Whether it was logged that the caller sends headers that only routers may set.
    router_headers_logged: AtomicBool,
}

impl Connection {
    /// Creates the state of a new connection.
    pub(super) fn new(reading: net::ReadState) -> Self {
        Self {
            reading,
            router_headers_logged: AtomicBool::new(false),
        }
    }

    /// Logs that a request has headers that only routers may set and that are not forwarded. Logs once per connection,
    /// so that a caller that always sends them does not flood the router's log output.
    fn log_router_headers(&self, id: &str) {
        if !self.router_headers_logged.swap(true, Ordering::Relaxed) {
            tracing::warn!(event = "orders_dropped", %id);
        }
    }
}

/// Logs and counts a caller that disconnects before it gets the head of a response: the task that handles its request
/// is dropped then, and this guard with it.
struct DisconnectGuard<'a> {
    relay: &'a Relay,
    id: &'a str,
    started: Instant,
    has_response: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.has_response {
            return;
        }
        self.relay.shared.metrics.cancelled.add(1);
        let ms = self.started.elapsed().as_millis() as u64;
        tracing::info!(event = "cancelled", id = %self.id, events = 0, ms);
    }
}

/// Handles a request and returns the response.
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
            connection.reading.discard(body, body_max_bytes(relay));
            return reply::refusal(Reason::BadHeader, None, &*relay.dialect, "");
        }
    };
    let id = request.id.clone();
    if request.has_orders {
        connection.log_router_headers(&id);
    }
    let mut guard = DisconnectGuard {
        relay,
        id: &id,
        started,
        has_response: false,
    };
    let result = match admit(relay, parts, &mut body, request, started).await {
        Ok(exchange) => run_attempts(exchange).await,
        Err(reason) => Err(reason.into()),
    };
    guard.has_response = true;
    result.unwrap_or_else(|refused| {
        connection.reading.discard(body, body_max_bytes(relay));
        refuse(relay, &id, &refused, started)
    })
}

/// Maximum size of a request body, in bytes.
fn body_max_bytes(relay: &Relay) -> usize {
    let config = relay.shared.config.load();
    let limits = config.as_ref().map(|config| config.limits);
    // Without a configuration each request is refused; the default limit then applies to the body that is discarded.
    limits.unwrap_or_default().body_bytes
}

fn refuse(relay: &Relay, id: &str, refused: &Refused, started: Instant) -> Response<Body> {
    let reason = refused.reason;
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
        forecast: refused.forecast,
        left: refused.left,
    });
    let config = relay.shared.config.load();
    let estimate = match reason {
        Reason::Refused(Refusal::Busy { expected, .. }) => Some(expected),
        _ => None,
    };
    tracing::info!(
        event = "refused",
        %id,
        reason = reason.as_str(),
        status = reason.status().as_u16(),
        config = config.as_ref().map_or(0, |config| config.version),
        retry_after_ms = retry_after.map(|after| after.0),
        estimate_ms = estimate.map(|expected| expected.0),
        forecast_ms = refused.forecast.map(|after| after.0),
        left_ms = refused.left.map(|left| left.0),
        ms = elapsed.as_millis() as u64
    );
    reply::refusal(reason, retry_after, &*relay.dialect, id)
}

/// Checks a request against the configuration in force, and reads its body.
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
    let mut usage = relay.held.open(terms.rank);
    let body = upload::read(body, config.limits.body_bytes, &mut usage, &deadline).await?;
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
        usage,
        fingerprint,
        sent: 0,
        unreached: 0,
        verdict: Verdict::NotRun,
        _active: active,
    })
}

/// The host that a request names: in its request target, or else in the `Host` header.
fn host(parts: &http::request::Parts) -> &str {
    if let Some(authority) = parts.uri.authority() {
        return authority.as_str();
    }
    let header = parts.headers.get(header::HOST);
    header.and_then(|host| host.to_str().ok()).unwrap_or("")
}

/// Tries targets until one has responded or the rules allow no other attempt.
async fn run_attempts(mut exchange: Exchange) -> Result<Response<Body>, Refused> {
    let mut attempt = exchange.begin().await?;
    // A target's server error, which is forwarded if no other target responds without one.
    let mut fallback: Option<BufferedResponse> = None;
    loop {
        let failed = match exchange.attempt(attempt).await {
            Ok(response) if is_stream(&exchange, &response) => {
                match Stream::start(exchange, response).await {
                    Ok(response) => return Ok(response),
                    Err((returned, failed)) => {
                        exchange = *returned;
                        failed
                    }
                }
            }
            Ok(response) => match exchange.collect(response).await {
                Ok(collected) if !collected.response.is_server_error() => {
                    collected.attempt.end(Some(collected.outcome));
                    return Ok(exchange.respond(collected.response));
                }
                Ok(collected) => match exchange.retry_server_error(collected.attempt).await {
                    Some(next) => {
                        fallback = Some(collected.response);
                        attempt = next;
                        continue;
                    }
                    None => return Ok(exchange.respond(collected.response)),
                },
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        if let Some(response) = fallback {
            failed.end();
            return Ok(exchange.respond(response));
        }
        attempt = exchange.retry(failed).await?;
    }
}

fn is_stream(exchange: &Exchange, response: &TargetResponse) -> bool {
    exchange.route.kind.is_stream() && response.parts.status.is_success()
}
