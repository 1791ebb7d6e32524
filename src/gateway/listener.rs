//! The listeners of a gateway, and what each of them answers. It relies on [`serve`](super::serve) for
//! callers' requests and owns no state.

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
use super::dialect::Dialect;
use super::metrics;
use super::notice;
use super::quarantine;
use super::relay::Relay;
use super::serve;
use super::shared::Shared;
use crate::net::{Accepted, Server, Socket};
use crate::units::Millis;

/// Smallest buffer for a head and the start of a body, in bytes; the server takes no smaller one.
const BUFFER_MIN: usize = 16 << 10;

/// What one listener serves.
#[derive(Clone)]
pub enum Endpoint {
    /// Callers' requests.
    Callers(Arc<Relay>),
    /// Whether this router is ready.
    Ready(Arc<Shared>, Arc<dyn Dialect>),
    /// Which addresses callers should use, and for how long they may use them.
    Directory(Arc<Shared>, Arc<dyn Dialect>, Millis),
    /// Counters; the function tells how many log lines were dropped.
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
            Self::Ready(shared, dialect) => {
                let asks = dialect.is_ready_check(request.uri());
                let status = match (asks, shared.is_ready()) {
                    (false, _) => StatusCode::NOT_FOUND,
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                };
                plain(status, "text/plain", Body::full(""))
            }
            Self::Directory(shared, dialect, time_to_live) => {
                if dialect.address_query(request.uri()).is_none() {
                    return plain(StatusCode::NOT_FOUND, "text/plain", Body::full(""));
                }
                let body = dialect.write_addresses(&shared.caller_addresses.load(), *time_to_live);
                plain(StatusCode::OK, "application/json", Body::full(body))
            }
            Self::Metrics(shared, dropped) => {
                let mut text = shared.metrics.text(dropped());
                text.push_str(&metrics::bad_entries(&shared.bad_entries));
                let returns = shared.store_returns.get();
                text.push_str(&metrics::store_era(shared.store_era(), returns));
                text.push_str(&notice::text(&shared.announced.load(), &shared.notices));
                let refused = shared.quarantine_refused.get();
                text.push_str(&quarantine::text(&shared.quarantine.load(), refused));
                plain(StatusCode::OK, "text/plain", Body::full(text))
            }
        }
    }
}

fn plain(status: StatusCode, kind: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Serves an endpoint on a listener until the server closes.
pub fn listen(server: &Server, listener: TcpListener, shared: &Arc<Shared>, endpoint: Endpoint) {
    let shared = Arc::clone(shared);
    server.listen(listener, move |socket| {
        connection(socket, Arc::clone(&shared), endpoint.clone())
    });
}

fn connection(
    socket: Socket,
    shared: Arc<Shared>,
    endpoint: Endpoint,
) -> Accepted<impl HttpService<Incoming, ResBody = Body, Error = Infallible, Future: Send> + Send> {
    let config = shared.config.load();
    let limits = config
        .as_ref()
        .map(|config| config.limits)
        // Without a configuration, requests are refused; their heads are bounded all the same.
        .unwrap_or_default();
    let connection = Arc::new(serve::Connection::new(socket.read_state()));
    let service = service_fn(move |request| {
        let (shared, endpoint) = (Arc::clone(&shared), endpoint.clone());
        let connection = Arc::clone(&connection);
        async move {
            let mut response = endpoint.answer(request, &connection).await;
            if shared.stop.has_begun() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // The time for a head also runs while a connection is idle, so it is the idle time.
    let idle = Duration::from_millis(limits.idle_time.0);
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.header_bytes.max(BUFFER_MIN))
        .serve_connection(TokioIo::new(socket), service)
}
