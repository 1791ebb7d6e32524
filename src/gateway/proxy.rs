//! Sends requests of other routers, which are partitioned from the targets, to targets.
//!
//! A router sends such a request as it would send it to the target, with two more headers: the fleet's key and the
//! target's incarnation. It stays the owner of the request: it has chosen the target, holds the tokens, counts the
//! attempt and decides about retries. Here the request is sent to that target over a direct connection, once, and the
//! response is passed back as it arrives. A request is never passed on to a third router, so there are no loops.
//!
//! Whether a request that failed here was sent is told in the `Proxy-Status` header (RFC 9209). The connection to the
//! target ends with the one to the router, so a request that is cancelled there is cancelled here too.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::body::{self, Body, Truncated};
use super::deadline::Deadline;
use super::decision::surplus::{self, Trust};
use super::dialect::Reply;
use super::headers;
use super::held::Usage;
use super::relay::{Link, Relay};
use super::route::Kind;
use super::shared::ActiveRequest;
use super::upload;
use crate::net;
use crate::util;

/// Names the target's incarnation in a request between routers.
const TARGET_HEADER: HeaderName = HeaderName::from_static("lanedeck-target");
/// Marks a response that the target has not framed: it ends with the target's connection.
const UNFRAMED_HEADER: HeaderName = HeaderName::from_static("lanedeck-unframed");
/// The outcome of a request that has no response of the target.
const STATUS_HEADER: HeaderName = HeaderName::from_static("proxy-status");
/// Maximum number of requests of other routers at once, so that they leave descriptors and memory for this router's own
/// callers.
const REQUESTS_MAX: usize = 256;
/// Maximum time until a request has arrived completely. The other router holds all of it before it sends any.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Rank by which a body is counted: below that of this router's own requests.
const RANK: u8 = u8::MAX;
/// Size of the headers that are added to a caller's request, in bytes.
pub(super) const HEADERS_MAX: usize = 4 << 10;

/// Why a router has no response of a target to a request that it got from another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Error {
    /// This router does not send requests for others now; nothing was sent.
    Denied,
    /// The target is not known here; nothing was sent.
    Unknown,
    /// The target could not be reached; nothing was sent.
    Unreachable,
    /// The connection broke after the request was sent.
    Terminated,
}

impl Error {
    const ALL: [Self; 4] = [
        Self::Denied,
        Self::Unknown,
        Self::Unreachable,
        Self::Terminated,
    ];

    /// The error type in the `Proxy-Status` header.
    fn as_str(self) -> &'static str {
        match self {
            Self::Denied => "http_request_denied",
            Self::Unknown => "destination_not_found",
            Self::Unreachable => "destination_unavailable",
            Self::Terminated => "connection_terminated",
        }
    }

    fn response(self) -> Response<Body> {
        let mut response = Response::new(Body::full(""));
        *response.status_mut() = match self {
            Self::Denied | Self::Unknown | Self::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Terminated => StatusCode::BAD_GATEWAY,
        };
        let status = format!("lanedeck; error={}", self.as_str());
        let status = HeaderValue::from_str(&status).expect("the names are visible characters");
        response.headers_mut().insert(STATUS_HEADER, status);
        response
    }

    /// Reads the outcome from the headers of another router's response; `None` if it is the target's response.
    pub(super) fn read(headers: &HeaderMap) -> Option<Self> {
        let status = headers.get(STATUS_HEADER)?.to_str().ok()?;
        let name = status.strip_prefix("lanedeck; error=")?;
        Self::ALL.into_iter().find(|error| error.as_str() == name)
    }
}

/// Adds what another router needs to send a request to a target.
pub(super) fn address_request(headers: &mut HeaderMap, fleet_key: &HeaderValue, target: &str) {
    headers.insert(header::PROXY_AUTHORIZATION, fleet_key.clone());
    // An incarnation whose name is no header value is unknown to the other router.
    let target = HeaderValue::from_str(target).unwrap_or(HeaderValue::from_static(""));
    headers.insert(TARGET_HEADER, target);
}

/// Removes the mark of an unframed response; returns whether it was there.
pub(super) fn take_unframed(headers: &mut HeaderMap) -> bool {
    headers.remove(UNFRAMED_HEADER).is_some()
}

/// The requests of other routers that are in progress.
#[derive(Debug, Default)]
pub(super) struct Load(Arc<AtomicUsize>);

/// Counts a request of another router until dropped.
struct Slot(Arc<AtomicUsize>);

impl Load {
    fn begin(&self) -> Option<Slot> {
        let slot = Slot(Arc::clone(&self.0));
        (self.0.fetch_add(1, Ordering::Relaxed) < REQUESTS_MAX).then_some(slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request of another router that is in progress.
struct Guard {
    _slot: Slot,
    _active: ActiveRequest,
    _usage: Usage,
}

/// Sends another router's request to its target and returns the response.
pub(super) async fn serve(
    relay: &Arc<Relay>,
    request: hyper::Request<Incoming>,
    read_state: &net::ReadState,
) -> Response<Body> {
    let (parts, mut body) = request.into_parts();
    if !is_authorized(relay, &parts.headers) {
        tracing::warn!(event = "proxy_refused", reason = "wrong fleet key");
        let mut response = Response::new(Body::full(""));
        *response.status_mut() = StatusCode::PROXY_AUTHENTICATION_REQUIRED;
        return response;
    }
    let id = relay.dialect.read_request(&parts.headers);
    // The other router has read the request before; a header that cannot be read here is in its log.
    let id = id.map_or_else(|_| String::new(), |request| request.id);
    match forward(relay, &id, parts, &mut body).await {
        Ok(response) => response,
        Err(error) => {
            relay.shared.path_counts.failed_for_others.add(1);
            tracing::info!(event = "proxy_failed", %id, reason = error.as_str());
            let config = relay.shared.config.load();
            let limits = config.as_ref().map(|config| config.limits);
            read_state.discard(body, limits.unwrap_or_default().body_bytes);
            error.response()
        }
    }
}

fn is_authorized(relay: &Relay, headers: &HeaderMap) -> bool {
    let key = headers.get(header::PROXY_AUTHORIZATION);
    let key = key.and_then(|value| value.to_str().ok());
    key.is_some_and(|key| util::secret_matches(key, &relay.fleet_key_hash))
}

async fn forward(
    relay: &Arc<Relay>,
    id: &str,
    parts: http::request::Parts,
    body: &mut Incoming,
) -> Result<Response<Body>, Error> {
    let slot = relay.proxy_load.begin().ok_or(Error::Denied)?;
    let active = ActiveRequest::new(&relay.shared);
    let target = parts.headers.get(TARGET_HEADER);
    let target = target.and_then(|value| value.to_str().ok());
    let target = target.ok_or(Error::Unknown)?.to_owned();
    let located = relay.controller.locate(target.clone()).await;
    let Located { address, ended } = located.ok_or(Error::Unknown)?;
    let deadline = Deadline::new(Instant::now() + BODY_TIMEOUT, relay.shared.stop.given_up());
    let mut usage = relay.held.open(RANK);
    let limits = relay.shared.config.load().as_ref().map(|it| it.limits);
    let max = limits.unwrap_or_default().body_bytes;
    let body = upload::read(body, max, &mut usage, &deadline).await;
    let body = body.map_err(|reason| {
        tracing::info!(event = "proxy_body_refused", %id, reason = reason.as_str());
        Error::Denied
    })?;
    let mut link = relay
        .connect_direct(address)
        .await
        .ok_or(Error::Unreachable)?;
    let request = build_request(parts, body);
    relay.shared.path_counts.sent_for_others.add(1);
    tracing::info!(
        event = "proxy_sent",
        %id,
        instance = %target,
        connection = link.origin.as_str()
    );
    let since_last = link.connection.since_last_response();
    let response = until_ended(&ended, link.connection.send(request)).await;
    let response = match response.ok_or(Error::Terminated)? {
        Ok(response) => response,
        Err(error) if error.was_not_sent() => return Err(Error::Unreachable),
        Err(error) => {
            tracing::info!(event = "connection_broken", %id, cause = ?error.kind());
            return Err(Error::Terminated);
        }
    };
    let reply = relay
        .dialect
        .read_reply(response.status().as_u16(), response.headers());
    let is_anonymous_refusal = reply.not_run && reply.id.is_none();
    // The other router knows whether the request may run twice.
    let trust = surplus::judge(Kind::Once, since_last);
    if is_anonymous_refusal && trust == Trust::Doubtful {
        tracing::info!(event = "refusal_doubted", %id);
        return Err(Error::Terminated);
    }
    let guard = Guard {
        _slot: slot,
        _active: active,
        _usage: usage,
    };
    Ok(pass_back(relay, response, &reply, link, ended, guard))
}

/// Where a target is, for a request of another router.
#[derive(Debug)]
pub struct Located {
    /// The target's address.
    pub address: SocketAddr,
    /// Cancelled when the target's incarnation is known to have ended.
    pub ended: CancellationToken,
}

async fn until_ended<T>(ended: &CancellationToken, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = ended.cancelled() => None,
    }
}

fn build_request(parts: http::request::Parts, body: Bytes) -> net::Request {
    let mut headers = parts.headers;
    headers::strip_request(&mut headers);
    headers.remove(TARGET_HEADER);
    let mut request = http::Request::new(Full::new(body));
    *request.method_mut() = parts.method;
    *request.uri_mut() = parts.uri;
    *request.headers_mut() = headers;
    request
}

/// The response of a target on its way to another router.
struct Upstream {
    relay: Arc<Relay>,
    link: Link,
    incoming: Incoming,
    ended: CancellationToken,
    /// How long the connection may be reused; `None` if it ends with the response.
    reusable_for: Option<Duration>,
    _guard: Guard,
}

/// Passes a target's response back as it arrives. The router's connection is broken off where the target's is.
fn pass_back(
    relay: &Arc<Relay>,
    response: net::Response,
    reply: &Reply,
    link: Link,
    ended: CancellationToken,
    guard: Guard,
) -> Response<Body> {
    let (mut parts, incoming) = response.into_parts();
    let is_framed = headers::is_framed(&parts);
    headers::strip_response(&mut parts.headers);
    parts.headers.remove(STATUS_HEADER);
    parts.headers.remove(UNFRAMED_HEADER);
    if !is_framed {
        let mark = HeaderValue::from_static("1");
        parts.headers.insert(UNFRAMED_HEADER, mark);
    }
    parts.version = http::Version::HTTP_11;
    let upstream = Upstream {
        relay: Arc::clone(relay),
        link,
        incoming,
        ended,
        reusable_for: is_framed.then(|| Relay::reusable_for(reply)),
        _guard: guard,
    };
    let body = stream::unfold(Some(upstream), |upstream| async move {
        let mut upstream = upstream?;
        match upstream.next().await {
            Some(Ok(data)) => Some((Ok(data), Some(upstream))),
            Some(Err(truncated)) => Some((Err(truncated), None)),
            None => {
                upstream.finish();
                None
            }
        }
    });
    Response::from_parts(parts, body::stream(body))
}

impl Upstream {
    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            let frame = until_ended(&self.ended, self.incoming.frame()).await;
            match frame {
                None | Some(Some(Err(_))) => return Some(Err(Truncated)),
                Some(None) => return None,
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
            }
        }
    }

    fn finish(self) {
        if let Some(time) = self.reusable_for {
            self.relay.store(self.link, time);
        }
    }
}
