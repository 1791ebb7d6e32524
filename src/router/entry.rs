//! The listener for callers and operators: each request is read whole and handed to the routes.
//!
//! It owns the routes and the signs of a stop. It relies on [`net::Server`](crate::net::Server) for the
//! connections and never decides on a request, but for one that is not whole when the server closes.

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

/// Longest time to send a request's head, which also runs while a connection is idle. Hyper's
/// default, and as long as a stop waits for a head.
const HEAD_MAX: Duration = Duration::from_secs(30);

/// What answers on the connections of callers and operators.
#[derive(Clone)]
pub struct Entry {
    routes: Arc<Router>,
    /// Longest body taken, in bytes.
    body_max: usize,
    /// Answers end their connection from now on.
    stopping: CancellationToken,
    /// Requests that are not whole by now are refused.
    closing: CancellationToken,
}

impl Entry {
    /// An entry to these routes.
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

    /// Has callers leave their connections: each answer is the last on its own.
    pub fn stop(&self) {
        self.stopping.cancel();
    }

    /// Refuses requests of which a part has not come.
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
        let whole = tokio::select! {
            biased;
            whole = Limited::new(&mut body, self.body_max).collect() => whole,
            () = self.closing.cancelled() => {
                reading.discard(body, self.body_max);
                return Err(refuse_part(&parts.headers));
            }
        };
        match whole {
            Ok(whole) => Ok(hyper::Request::from_parts(parts, whole.to_bytes().into())),
            Err(error) if error.is::<LengthLimitError>() => {
                reading.discard(body, self.body_max);
                Err(too_large())
            }
            // The caller has left, or has sent what is no body.
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

/// Refuses a request of which a part has not come. Nothing of it ran; one with an id may be a repeat of one
/// that did.
fn refuse_part(headers: &HeaderMap) -> Response {
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
    // A caller that has left already has no address.
    let peer = socket.peer_addr().ok().map(Address::from);
    let reading = socket.read_state();
    let service = service_fn(move |request| {
        let (entry, peer, reading) = (entry.clone(), peer.clone(), reading.clone());
        async move { Ok::<_, Infallible>(entry.answer(peer, request, &reading).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_MAX)
        .serve_connection(TokioIo::new(socket), service)
}
