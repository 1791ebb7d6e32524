//! The HTTP endpoints of a gateway. Callers' requests are passed to [`serve`](super::serve). This module holds no
//! state.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::body::Body;
use super::decision::{backlog, memory};
use super::dialect::Dialect;
use super::metrics;
use super::notice;
use super::proxy;
use super::quarantine;
use super::relay::Relay;
use super::rollout;
use super::serve;
use super::shared::Shared;
use crate::net::{Accepted, Server, Socket};
use crate::units::Millis;

/// Minimum size of the read buffer for a request head and the start of a body, in bytes. The HTTP library accepts no
/// smaller one.
const BUFFER_MIN: usize = 16 << 10;

/// Interval at which the link delay is checked during a pause of accepting. A fifth of the longest pause, so that a
/// pause that is no longer needed ends soon.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What a listener serves.
#[derive(Clone)]
pub enum Endpoint {
    /// Callers' requests.
    Callers(Arc<Relay>),
    /// Requests of other routers.
    Proxy(Arc<Relay>),
    /// Readiness checks.
    Ready(Arc<Shared>, Arc<dyn Dialect>),
    /// Address queries. The time is the TTL of the answers.
    Directory(Arc<Shared>, Arc<dyn Dialect>, Millis),
    /// Metrics. The function returns the number of log lines that were dropped.
    Metrics(Arc<Shared>, fn() -> u64),
}

impl Endpoint {
    async fn answer(
        &self,
        request: hyper::Request<Incoming>,
        connection: &serve::Connection,
    ) -> Response<Body> {
        match self {
            Self::Callers(relay) => serve::serve(relay, request, connection).await,
            Self::Proxy(relay) => proxy::serve(relay, request, &connection.reading).await,
            Self::Ready(shared, dialect) => {
                let is_check = dialect.is_ready_check(request.uri());
                let status = match (is_check, shared.is_ready()) {
                    (false, _) => StatusCode::NOT_FOUND,
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                };
                respond(status, "text/plain", Body::full(""))
            }
            Self::Directory(shared, dialect, time_to_live) => {
                if dialect.address_query(request.uri()).is_none() {
                    return respond(StatusCode::NOT_FOUND, "text/plain", Body::full(""));
                }
                let body = dialect.write_addresses(&shared.caller_addresses.load(), *time_to_live);
                respond(StatusCode::OK, "application/json", Body::full(body))
            }
            Self::Metrics(shared, dropped_log_lines) => {
                let mut text = shared.metrics.text(dropped_log_lines());
                text.push_str(&shared.store_calls.text());
                text.push_str(&shared.placements.text());
                text.push_str(&shared.placements.busy_text());
                text.push_str(&shared.token_waits.text());
                text.push_str(&shared.budgets.text());
                text.push_str(&metrics::held(shared.held.held()));
                text.push_str(&metrics::accept_pauses(shared.accept_pauses.get()));
                text.push_str(&metrics::missing_targets(shared.missing_targets()));
                text.push_str(&metrics::link_delay(shared.link_delay()));
                text.push_str(&metrics::capacities(&shared.capacities.load()));
                let paths = shared.paths.borrow().clone();
                text.push_str(&shared.path_counts.text(&paths));
                text.push_str(&metrics::bad_entries(&shared.bad_entries));
                let returns = shared.store_returns.get();
                text.push_str(&metrics::store_era(shared.store_era(), returns));
                text.push_str(&notice::text(&shared.announced.load(), &shared.notices));
                text.push_str(&shared.slots.text());
                let refused = shared.quarantine_refused.get();
                text.push_str(&quarantine::text(&shared.quarantine.load(), refused));
                text.push_str(&rollout::text(&shared.rollouts.load()));
                respond(StatusCode::OK, "text/plain", Body::full(text))
            }
        }
    }
}

fn respond(status: StatusCode, content_type: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Serves an endpoint on a listener until the server closes.
pub fn listen(server: &Server, listener: TcpListener, shared: &Arc<Shared>, endpoint: Endpoint) {
    let shared = Arc::clone(shared);
    server.listen(listener, move |socket| {
        serve_connection(socket, Arc::clone(&shared), endpoint.clone(), || true)
    });
}

/// Serves callers on a listener until the server closes. Accepting pauses while the link is delayed or there are very many
/// connections, except during a shutdown: callers that wait then are to be answered before the listener closes.
pub fn listen_callers<D>(server: &Server, listener: TcpListener, relay: &Arc<Relay>, link_delay: D)
where
    D: Fn() -> Millis + Send + 'static,
{
    let shared = Arc::clone(&relay.shared);
    let memory = relay.held.memory();
    let kept_max = memory::connections_kept_max(memory);
    let accepted_max = memory::connections_accepted_max(memory);
    let open_connections = server.clone();
    let pace = move |paused: Duration| {
        if shared.stop.has_begun() {
            return None;
        }
        let paused_ms = Millis(u64::try_from(paused.as_millis()).unwrap_or(u64::MAX));
        let open = open_connections.connections();
        let steps = [
            backlog::step(link_delay(), paused_ms),
            backlog::step_of_count(open, accepted_max, paused_ms),
        ];
        if !steps.contains(&backlog::Step::Pause) {
            return None;
        }
        if paused.is_zero() {
            shared.accept_pauses.add(1);
        }
        Some(PAUSE_CHECK_INTERVAL)
    };
    let (shared, endpoint) = (
        Arc::clone(&relay.shared),
        Endpoint::Callers(Arc::clone(relay)),
    );
    let connections = server.clone();
    let keeps_open = move || connections.connections() <= kept_max;
    let open = move |socket| {
        serve_connection(
            socket,
            Arc::clone(&shared),
            endpoint.clone(),
            keeps_open.clone(),
        )
    };
    server.listen_paced(listener, open, pace);
}

/// Serves a connection. It is closed after an answer if `keeps_open` returns `false` by then.
fn serve_connection(
    socket: Socket,
    shared: Arc<Shared>,
    endpoint: Endpoint,
    keeps_open: impl Fn() -> bool + Clone + Send + 'static,
) -> Accepted<impl HttpService<Incoming, ResBody = Body, Error = Infallible, Future: Send> + Send> {
    let config = shared.config.load();
    let limits = config
        .as_ref()
        .map(|config| config.limits)
        // Without a configuration requests are refused, but the size of their heads is limited all the same.
        .unwrap_or_default();
    let added_bytes = match endpoint {
        Endpoint::Proxy(_) => proxy::HEADERS_MAX,
        _ => 0,
    };
    let connection = Arc::new(serve::Connection::new(socket.read_state()));
    let service = service_fn(move |request| {
        let (shared, endpoint) = (Arc::clone(&shared), endpoint.clone());
        let connection = Arc::clone(&connection);
        let keeps_open = keeps_open.clone();
        async move {
            let mut response = endpoint.answer(request, &connection).await;
            if shared.stop.has_begun() || !keeps_open() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // The library's timeout for a head also runs while a connection is idle, so it is set to the idle timeout.
    let idle = Duration::from_millis(limits.idle_time.0);
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.header_bytes.max(BUFFER_MIN) + added_bytes)
        .serve_connection(TokioIo::new(socket), service)
}
