//! Stand-in for a service without streaming, such as one that issues tickets. It counts how often each request ran.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::param::PathParams;
use volo_http::server::route::{delete, get, post};
use xxhash_rust::xxh3::xxh3_64;

use super::engine::{Cancelled, Dispatch, not_run};
use super::{empty, json, lock, set_faults};
use crate::router::http::Headers;
use crate::router::http::relay::{Cancellation, Load, RequestState};

/// Faults of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before the response, in milliseconds; the request has run by then.
    pub delay_ms: u64,
    /// Runs each request and answers it with an error.
    pub acts_and_fails: bool,
    /// Adds this many bytes to the body of each answer.
    pub more_bytes: usize,
    /// Runs each request and answers it well, but with this status; none if zero.
    pub status: u16,
    /// Refuses every request with the verdict that it has not run.
    pub refuses: bool,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    ran: HashMap<String, u32>,
    cancelled: Cancelled,
    running: u32,
}

/// The service with its faults and the requests that ran.
#[derive(Clone, Debug, Default)]
pub struct Service {
    inner: Arc<Mutex<Inner>>,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The id of the request.
    pub request_id: String,
    /// Hash of the request body.
    pub receipt: String,
}

/// The receipt for a request body: its hash in hexadecimal.
pub fn receipt(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

impl Service {
    /// The HTTP routes of the service.
    pub fn routes(&self) -> Router {
        let (a, b, c) = (self.clone(), self.clone(), self.clone());
        let (d, e, f) = (self.clone(), self.clone(), self.clone());
        Router::new()
            .route(
                "/call",
                post(move |headers: Headers, body: Bytes| async move {
                    a.call(&headers.0, &body).await
                }),
            )
            .route(
                "/v1/requests/{id}",
                get(move |PathParams(id): PathParams<String>| async move { b.request_state(&id) }),
            )
            .route(
                "/v1/requests/{id}/holders/{holder}",
                delete(
                    move |PathParams((id, holder)): PathParams<(String, String)>| async move {
                        f.cancel(id, holder)
                    },
                ),
            )
            .route("/v1/load/{from}", get(move || async move { c.load() }))
            .route("/v1/ran", get(move || async move { d.run_counts() }))
            .route(
                "/v1/faults",
                post(move |body: Bytes| async move { e.set_faults(&body) }),
            )
    }

    async fn call(&self, headers: &HeaderMap, body: &Bytes) -> Response {
        let dispatch = match Dispatch::read(headers) {
            Ok(dispatch) => dispatch,
            Err(message) => return json(StatusCode::BAD_REQUEST, &message),
        };
        let faults = {
            let mut inner = lock(&self.inner);
            if inner.faults.refuses || inner.cancelled.contains(&dispatch) {
                return not_run();
            }
            *inner.ran.entry(dispatch.id.clone()).or_default() += 1;
            inner.running += 1;
            inner.faults
        };
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        lock(&self.inner).running -= 1;
        if faults.acts_and_fails {
            return empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let value = http::HeaderValue::from_str(&dispatch.id);
        let receipt = receipt(body) + &"x".repeat(faults.more_bytes);
        let mut response = json(
            StatusCode::OK,
            &Receipt {
                request_id: dispatch.id,
                receipt,
            },
        );
        if let Ok(value) = value {
            response
                .headers_mut()
                .insert(crate::router::http::REQUEST_ID, value);
        }
        if let Ok(status) = StatusCode::from_u16(faults.status) {
            *response.status_mut() = status;
        }
        response
    }

    fn request_state(&self, id: &str) -> Response {
        let ran = lock(&self.inner).ran.contains_key(id);
        let state = RequestState {
            ran,
            done: ran,
            used: 0,
        };
        json(StatusCode::OK, &state)
    }

    fn cancel(&self, id: String, holder: String) -> Response {
        let mut inner = lock(&self.inner);
        let cancelled = !inner.ran.contains_key(&id);
        if cancelled {
            inner.cancelled.insert(id, holder);
        }
        json(StatusCode::OK, &Cancellation { cancelled })
    }

    fn load(&self) -> Response {
        let running = lock(&self.inner).running;
        json(
            StatusCode::OK,
            &Load {
                running,
                ..Load::default()
            },
        )
    }

    fn run_counts(&self) -> Response {
        json(StatusCode::OK, &lock(&self.inner).ran)
    }

    fn set_faults(&self, body: &Bytes) -> Response {
        set_faults(body, |faults| lock(&self.inner).faults = faults)
    }
}
