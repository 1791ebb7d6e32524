//! The listener for callers and operators: reads each request completely and passes it to the routes.
//!
//! The listener owns the routes and the signals of a planned stop; [`net::Server`](crate::net::Server) owns the
//! connections. The listener makes no decision on a request, except to refuse one that is incomplete when the server
//! closes.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo::Service;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::{IntoResponse, Router};

use super::http::{REQUEST_ID, reply};
use super::request::{Id, Reason, Verdict};
use crate::net::{Accepted, ReadState, Server, Socket};

/// Longest time to receive a request's head; it also runs while a connection is idle. The same as hyper's default
/// and as the time that a stop waits for a head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// The service on the connections of callers and operators.
#[derive(Clone)]
pub struct Entry {
    routes: Arc<Router>,
    /// Longest accepted body, in bytes.
    body_max: usize,
    /// Once cancelled, every response closes its connection.
    stopping: CancellationToken,
    /// Once cancelled, requests that are still incomplete are refused.
    closing: CancellationToken,
}

impl Entry {
    /// A service with these routes.
    pub fn new(routes: Router, body_max: usize) -> Self {
        Self {
            routes: Arc::new(routes),
            body_max,
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
        }
    }

    /// Accepts connections until the server closes.
    pub fn listen(&self, server: &Server, listener: TcpListener) {
        let entry = self.clone();
        server.listen(listener, move |socket| connection(entry.clone(), socket));
    }

    /// Makes each further response the last on its connection.
    pub fn stop(&self) {
        self.stopping.cancel();
    }

    /// Refuses requests that are still incomplete.
    pub fn close(&self) {
        self.closing.cancel();
    }

    async fn answer(
        &self,
        peer: Option<Address>,
        request: hyper::Request<Incoming>,
        reading: &ReadState,
    ) -> Response {
        let mut response = match self.read(request, reading).await {
            Ok(request) => self.route(peer, request).await,
            Err(response) => response,
        };
        if self.stopping.is_cancelled() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Reads a request's body.
    async fn read(
        &self,
        request: hyper::Request<Incoming>,
        reading: &ReadState,
    ) -> Result<hyper::Request<Body>, Response> {
        let (parts, mut body) = request.into_parts();
        let too_large = || StatusCode::PAYLOAD_TOO_LARGE.into_response();
        if body.size_hint().lower() > self.body_max as u64 {
            return Err(too_large());
        }
        let collected = tokio::select! {
            biased;
            collected = Limited::new(&mut body, self.body_max).collect() => collected,
            () = self.closing.cancelled() => {
                reading.discard(body, self.body_max);
                return Err(refuse_incomplete(&parts.headers));
            }
        };
        match collected {
            Ok(collected) => Ok(hyper::Request::from_parts(
                parts,
                collected.to_bytes().into(),
            )),
            Err(error) if error.is::<LengthLimitError>() => {
                reading.discard(body, self.body_max);
                Err(too_large())
            }
            // The caller has disconnected or has sent a malformed body.
            Err(error) => {
                Err(reply::RequestError::bad_request("body", format!("body: {error}")).reply())
            }
        }
    }

    async fn route(&self, peer: Option<Address>, request: hyper::Request<Body>) -> Response {
        let Some(peer) = peer else {
            return StatusCode::BAD_REQUEST.into_response();
        };
        let mut context = ServerContext::new(peer);
        let Ok(response) = self.routes.call(&mut context, request).await;
        response
    }
}

/// Refuses an incomplete request. It has not run; but one with an id may be a retry of a request that has run, so its
/// verdict is that it may have run.
fn refuse_incomplete(headers: &HeaderMap) -> Response {
    let id = headers
        .get(REQUEST_ID)
        .and_then(|id| id.to_str().ok()?.parse().ok());
    let refused = |id: Id| {
        let reason = Reason::Stopping;
        reply::refused(id, &Verdict::MayHaveRun { reason }, "")
    };
    id.map_or_else(reply::stopping, refused)
}

fn connection(
    entry: Entry,
    socket: Socket,
) -> Accepted<impl HttpService<Incoming, ResBody = Body, Error = Infallible, Future: Send> + Send> {
    // The address is not available if the caller has already disconnected.
    let peer = socket.peer_addr().ok().map(Address::from);
    let reading = socket.read_state();
    let service = service_fn(move |request| {
        let (entry, peer, reading) = (entry.clone(), peer.clone(), reading.clone());
        async move { Ok::<_, Infallible>(entry.answer(peer, request, &reading).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service)
}
