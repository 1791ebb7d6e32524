//! Stand-ins for the services that lanedeck depends on: the log, the host list, engines and services.
//!
//! Each is an HTTP server that keeps its state in memory. `POST /v1/faults` sets its faults while it runs: the body
//! is a JSON object, and a field that it omits is reset.

pub mod engine;
pub mod hosts;
pub mod log;
pub mod service;

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::{Router, Server};

/// Serves routes until a signal ends the process; a failure of the server is logged.
pub(crate) async fn serve(listener: TcpListener, routes: Router) {
    let server = Server::new(routes).http1_only();
    if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
        tracing::error!(event = "standin_ended", %error);
    }
}

/// Builds a JSON response.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("responses are plain data");
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Builds a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Parses a JSON body and passes it to `set`; an invalid body is answered with the parse error.
pub(crate) fn set_faults<T: DeserializeOwned>(body: &Bytes, set: impl FnOnce(T)) -> Response {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            set(faults);
            empty(StatusCode::OK)
        }
        Err(error) => json(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Locks a mutex and ignores poisoning: a panic never leaves the guarded state inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
