//! Takes requests in: route, key, limits and body, before anything is decided or sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::attempt::Desk;
use super::body::Body;
use super::dialect::{Ask, Dialect, Told};
use super::exchange::Exchange;
use super::reply::Reason;
use super::shared::{Active, Shared};
use crate::net::{self, Line, Pool};

/// Longest wait for a connection to a target.
const CONNECT_MAX: Duration = Duration::from_millis(400);
/// Data that a target has not acknowledged for this long fails its connection.
const SILENCE_MAX: Duration = Duration::from_millis(900);
/// How long a connection rests where the target does not say how long it keeps it.
const REST: Duration = Duration::from_millis(4_000);
/// Part of the time that a target keeps a resting connection for which it is used.
const REST_SHARE: f64 = 0.85;

/// All that a request needs of the process.
pub struct Relay {
    /// What the control thread tells.
    pub shared: Arc<Shared>,
    /// Where the control state is asked.
    pub desk: Desk,
    /// What the deployment speaks.
    pub dialect: Arc<dyn Dialect>,
    /// Resting connections to targets.
    pub pool: Pool,
}

/// Notes a caller that leaves before it has the head of an answer: what serves it is then dropped.
struct Departure<'a> {
    relay: &'a Relay,
    id: &'a str,
    started: Instant,
    is_over: bool,
}

impl Drop for Departure<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        self.relay.shared.metrics.cancelled.add(1);
        let ms = self.started.elapsed().as_millis() as u64;
        tracing::info!(event = "cancelled", id = %self.id, events = 0, ms);
    }
}

impl Relay {
    /// Answers a caller.
    pub async fn serve(self: &Arc<Self>, request: hyper::Request<Incoming>) -> Response<Body> {
        let started = Instant::now();
        self.shared.metrics.requests.add(1);
        let ask = match self.dialect.ask(request.headers()) {
            Ok(ask) => ask,
            Err(error) => {
                tracing::info!(event = "refused", reason = "bad_header", %error);
                return Reason::BadHeader.answer(&*self.dialect, "");
            }
        };
        let id = ask.id.clone();
        let mut departure = Departure {
            relay: self,
            id: &id,
            started,
            is_over: false,
        };
        let result = match self.admit(request, ask, started).await {
            Ok(exchange) => exchange.run().await,
            Err(reason) => Err(reason),
        };
        departure.is_over = true;
        result.unwrap_or_else(|reason| self.refuse(&id, reason, started))
    }

    fn refuse(&self, id: &str, reason: Reason, started: Instant) -> Response<Body> {
        let elapsed = started.elapsed();
        let metrics = &self.shared.metrics;
        match reason {
            Reason::BrokenOff | Reason::TimedOut => metrics.uncertain.add(1),
            _ => metrics.refused.add(1),
        }
        metrics.refusal.note(elapsed);
        let config = self.shared.config.load();
        tracing::info!(
            event = "refused",
            %id,
            reason = reason.word(),
            status = reason.status().as_u16(),
            config = config.as_ref().map_or(0, |config| config.version),
            ms = elapsed.as_millis() as u64
        );
        reason.answer(&*self.dialect, id)
    }

    async fn admit(
        self: &Arc<Self>,
        request: hyper::Request<Incoming>,
        ask: Ask,
        started: Instant,
    ) -> Result<Exchange, Reason> {
        let active = Active::new(&self.shared);
        let config = self.shared.config.load_full().ok_or(Reason::NoConfig)?;
        let (parts, incoming) = request.into_parts();
        let host = parts
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok());
        let host = parts
            .uri
            .authority()
            .map(|authority| authority.as_str())
            .or(host);
        let route = config.route(host.unwrap_or_default(), parts.uri.path());
        let route = route.ok_or(Reason::NoRoute)?.clone();
        let customer = ask.key.as_deref().and_then(|key| config.customer_of(key));
        if customer.is_none() && config.has_customers() && !route.public {
            return Err(Reason::NoKey);
        }
        let rank = rank(customer.and_then(|customer| customer.rank), route.rank);
        let wait = ask
            .deadline
            .map_or(route.timeout, |wait| wait.min(route.timeout));
        let deadline = started + Duration::from_millis(wait.0);
        if self.shared.is_too_late(deadline) {
            return Err(Reason::Stopping);
        }
        let body = read_body(incoming, config.limits.body_bytes, deadline).await?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut headers = parts.headers;
        remove_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let stride = route.backends.iter().filter_map(|backend| {
            let engine = config.service(backend.service).engine?;
            Some(engine.stride)
        });
        Ok(Exchange {
            relay: Arc::clone(self),
            stride: stride.max().unwrap_or(1),
            customer: customer.map(|customer| customer.name.clone()),
            config: Arc::clone(&config),
            route,
            ask,
            started,
            deadline,
            rank,
            method: parts.method,
            path: path.to_owned(),
            headers,
            body,
            sent: 0,
            unreached: 0,
            may_have_run: false,
            _active: active,
        })
    }

    /// A connection to a target: one that rests, or a new one.
    pub(super) async fn connect(
        &self,
        address: std::net::SocketAddr,
        until: Instant,
    ) -> Option<Line> {
        if let Some(line) = self.pool.take(address) {
            return Some(line);
        }
        self.shared.metrics.connects.add(1);
        let left = until.saturating_duration_since(Instant::now());
        net::open(address, left.min(CONNECT_MAX), SILENCE_MAX)
            .await
            .ok()
    }

    /// Lets a connection rest whose answer was whole.
    pub(super) fn rest(&self, address: std::net::SocketAddr, line: Line, told: &Told) {
        let keep = told.keep.map_or(REST, |keep| {
            Duration::from_millis(keep.0).mul_f64(REST_SHARE)
        });
        self.pool.put(address, line, keep);
    }
}

/// A customer's rank goes before that of the route.
fn rank(customer: Option<u8>, route: u8) -> u8 {
    const RANKS_OF_ROUTES: u8 = 3;
    const LAST: u8 = 9;
    match customer {
        Some(customer) => {
            let first = customer.saturating_mul(RANKS_OF_ROUTES);
            first
                .saturating_add(route.min(RANKS_OF_ROUTES - 1))
                .min(LAST)
        }
        None => route.min(LAST),
    }
}

async fn read_body(incoming: Incoming, most: usize, deadline: Instant) -> Result<Bytes, Reason> {
    let collected = timeout_at(deadline, Limited::new(incoming, most).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Reason::TooLong),
        Ok(Err(_)) => Err(Reason::BadBody),
        Err(_) => Err(Reason::Late),
    }
}

/// Removes headers that concern one connection only.
pub(super) fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
