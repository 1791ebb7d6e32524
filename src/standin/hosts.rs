//! Stand-in for the host list. It can serve an older version of the list.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use super::{empty, json, lock, set_faults};
use crate::router::client::Listed;

/// Faults of the host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every request for the list with an error.
    pub down: bool,
    /// Age of the version that it serves, in milliseconds.
    pub lag_ms: u64,
}

#[derive(Debug, Default)]
struct Inner {
    versions: Vec<(Instant, Vec<Listed>)>,
    faults: Faults,
}

/// The host list with all its versions.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    inner: Arc<Mutex<Inner>>,
}

impl Hosts {
    /// The HTTP routes of the host list.
    pub fn routes(&self) -> Router {
        let (a, b, c) = (self.clone(), self.clone(), self.clone());
        let list = get(move || async move { a.list() });
        let list = list.post(move |body: Bytes| async move { b.post_list(&body) });
        Router::new().route("/v1/hosts", list).route(
            "/v1/faults",
            post(move |body: Bytes| async move { c.set_faults(&body) }),
        )
    }

    /// Sets the hosts from now on.
    pub fn set(&self, hosts: Vec<Listed>) {
        lock(&self.inner).versions.push((Instant::now(), hosts));
    }

    fn post_list(&self, body: &Bytes) -> Response {
        set_faults(body, |hosts| self.set(hosts))
    }

    fn list(&self) -> Response {
        let inner = lock(&self.inner);
        if inner.faults.down {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let lag = Duration::from_millis(inner.faults.lag_ms);
        let current = inner
            .versions
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag);
        let hosts = current.map_or(&[][..], |(_, hosts)| hosts.as_slice());
        json(StatusCode::OK, &hosts)
    }

    fn set_faults(&self, body: &Bytes) -> Response {
        set_faults(body, |faults| lock(&self.inner).faults = faults)
    }
}
