//! Stand-in for the log: append-only streams with offsets, limited retention, outages and lost responses.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::StatusCode;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::param::PathParams;
use volo_http::server::route::{get, post};

use super::{empty, json, lock, set_faults};
use crate::router::client::{Appended, ReadAnswer, ReadRequest, StreamPage};

/// Most records of one stream in one response.
const PAGE_RECORDS: usize = 2_000;

/// Faults of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every append and read with an error.
    pub down: bool,
    /// Delay before each append and read is processed, in milliseconds.
    pub delay_ms: u64,
    /// Share of appends that are stored but answered with an error, per thousand.
    pub lose_permille: u32,
    /// Records retained in each stream at an append; 0 retains all.
    pub retain: usize,
}

#[derive(Debug, Default)]
struct Records {
    first: u64,
    records: Vec<Bytes>,
}

#[derive(Debug, Default)]
struct Inner {
    streams: HashMap<String, Records>,
    faults: Faults,
    appends: u64,
    bytes: u64,
}

/// The log with its streams and faults.
#[derive(Clone, Debug)]
pub struct Log {
    inner: Arc<Mutex<Inner>>,
    appended: watch::Sender<u64>,
}

/// Totals of the appends to the log.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Stats {
    /// Number of appends.
    pub appends: u64,
    /// Bytes appended.
    pub bytes: u64,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            inner: Arc::default(),
            appended: watch::Sender::new(0),
        }
    }
}

impl Log {
    /// The HTTP routes of the log.
    pub fn routes(&self) -> Router {
        let (a, b, c, d) = (self.clone(), self.clone(), self.clone(), self.clone());
        Router::new()
            .route(
                "/v1/streams/{stream}/append",
                post(
                    move |PathParams(stream): PathParams<String>, body: Bytes| async move {
                        a.append(stream, body).await
                    },
                ),
            )
            .route(
                "/v1/read",
                post(move |body: Bytes| async move { b.read(body).await }),
            )
            .route(
                "/v1/faults",
                post(move |body: Bytes| async move { c.set_faults(&body) }),
            )
            .route("/v1/stats", get(move || async move { d.stats() }))
    }

    /// Applies the delay of the faults; `None` while the log is down.
    async fn apply_faults(&self) -> Option<Faults> {
        let faults = lock(&self.inner).faults;
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        (!faults.down).then_some(faults)
    }

    async fn append(&self, stream: String, body: Bytes) -> Response {
        let Some(faults) = self.apply_faults().await else {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        };
        let offset = self.push(stream, body, faults.retain);
        self.appended.send_modify(|count| *count += 1);
        let lost = rand::rng().random_range(0..1_000) < faults.lose_permille;
        if lost {
            return empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        json(StatusCode::OK, &Appended { offset })
    }

    fn push(&self, stream: String, body: Bytes, retain: usize) -> u64 {
        let mut inner = lock(&self.inner);
        inner.appends += 1;
        inner.bytes += body.len() as u64;
        let records = inner.streams.entry(stream).or_insert_with(|| Records {
            first: 1,
            records: Vec::new(),
        });
        records.records.push(body);
        if retain > 0 && records.records.len() > retain {
            let over = records.records.len() - retain;
            records.records.drain(..over);
            records.first += over as u64;
        }
        records.first + records.records.len() as u64 - 1
    }

    async fn read(&self, body: Bytes) -> Response {
        let request: ReadRequest = match serde_json::from_slice(&body) {
            Ok(request) => request,
            Err(error) => return json(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if self.apply_faults().await.is_none() {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let mut appended = self.appended.subscribe();
        let wait = Duration::from_millis(request.wait_ms.min(20_000));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            appended.borrow_and_update();
            let streams = self.new_pages(&request.cursors);
            if !streams.is_empty() {
                return json(StatusCode::OK, &ReadAnswer { streams });
            }
            if tokio::time::timeout_at(deadline, appended.changed())
                .await
                .is_err()
            {
                return json(StatusCode::OK, &ReadAnswer { streams });
            }
        }
    }

    fn new_pages(&self, cursors: &[(String, u64)]) -> Vec<StreamPage> {
        let inner = lock(&self.inner);
        let mut pages = Vec::new();
        for (stream, from) in cursors {
            let Some(records) = inner.streams.get(stream) else {
                continue;
            };
            let from = (*from).max(records.first);
            let skip = usize::try_from(from - records.first).unwrap_or(usize::MAX);
            let new = records.records.iter().skip(skip).take(PAGE_RECORDS);
            let new: Vec<String> = new.map(|record| STANDARD.encode(record)).collect();
            if !new.is_empty() {
                pages.push(StreamPage {
                    stream: stream.clone(),
                    first: records.first,
                    from,
                    records: new,
                });
            }
        }
        pages
    }

    fn set_faults(&self, body: &Bytes) -> Response {
        set_faults(body, |faults| lock(&self.inner).faults = faults)
    }

    fn stats(&self) -> Response {
        let inner = lock(&self.inner);
        let (appends, bytes) = (inner.appends, inner.bytes);
        json(StatusCode::OK, &Stats { appends, bytes })
    }
}
