//! Small stand-ins for what lanedeck meets: the log, the host list, engines and services.
//!
//! Each is an ordinary HTTP server with faults that can be set while it runs, by a
//! `POST /v1/faults` of the fields to change. They keep everything in memory.

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

/// Serves routes until a signal ends the process.
pub(crate) async fn serve(listener: TcpListener, routes: Router) {
    let server = Server::new(routes).http1_only();
    if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
        tracing::error!(event = "standin_ended", %error);
    }
}

/// A JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("answers are plain data");
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Sets faults from a JSON body, or says what is wrong with it.
pub(crate) fn set_faults<T: DeserializeOwned>(body: &Bytes, set: impl FnOnce(T)) -> Response {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            set(faults);
            empty(StatusCode::OK)
        }
        Err(error) => json(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Locks state that no panic leaves broken.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
