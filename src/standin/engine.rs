//! Stand-in for a model engine: it batches, streams and resumes, and has faults that can be set.
//!
//! A response is a function of the prompt, so that a test can check every byte of it. The time at which each word
//! becomes available is fixed when the request starts; streaming and resuming follow that schedule.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http::{HeaderMap, StatusCode};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use tokio::time::Instant;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::Router;
use volo_http::server::param::PathParams;
use volo_http::server::response::sse::{Event, Sse};
use volo_http::server::route::{delete, get, post};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{empty, json, lock, set_faults};
use crate::router::http::relay::{Cancellation, Load, RequestState};
use crate::router::http::{Headers, chat};

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Requests that run concurrently; others wait inside the engine.
    pub slots: usize,
    /// Time to the first token when idle.
    pub first_token: Duration,
    /// Time between tokens.
    pub between_tokens: Duration,
    /// Whether the engine refuses requests whose fencing token is older than the newest it has seen.
    pub checks_fence: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            slots: 16,
            first_token: Duration::from_millis(20),
            between_tokens: Duration::from_millis(10),
            checks_fence: true,
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every request with an error immediately.
    pub failing: bool,
    /// Share of requests refused with the verdict that they have not run, per thousand.
    pub refuse_permille: u32,
    /// Share of streams cut in the middle, per thousand; they can be resumed.
    pub cut_permille: u32,
    /// Whether every stream that starts at its first frame is cut in the middle.
    pub cut_first: bool,
    /// Number of further resumes that are cut before a new frame.
    pub lost_resumes: u32,
    /// Share of frames sent twice, per thousand.
    pub repeat_permille: u32,
    /// Share of frames before which a frame of another request is sent, per thousand.
    pub cross_permille: u32,
    /// Factor by which all times of a request are multiplied; 0 counts as 1.
    pub slow: u32,
    /// Whether the engine answers resumes and status queries for a request as if it had no record of the request.
    pub forgets: bool,
}

/// A request that has started, kept so that its stream can be resumed.
#[derive(Clone, Debug)]
struct Run {
    prompt: String,
    attempt: u32,
    tokens: u64,
    prompt_tokens: u64,
    start: Instant,
    between: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    ran: HashMap<String, u32>,
    runs: HashMap<String, Run>,
    cancelled: Cancelled,
    running: u32,
    fence: u64,
}

/// The engine with its faults and the requests that ran.
#[derive(Clone)]
pub struct Engine {
    config: EngineConfig,
    slots: Arc<Semaphore>,
    inner: Arc<Mutex<Inner>>,
}

/// The word at an index of the response to a prompt.
pub fn word(prompt: &str, index: u64) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index);
    format!("{:x} ", hash & 0xffff)
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(config: EngineConfig) -> Self {
        Self {
            config,
            slots: Arc::new(Semaphore::new(config.slots)),
            inner: Arc::default(),
        }
    }

    /// The HTTP routes of the engine.
    pub fn routes(&self) -> Router {
        let (a, b, c) = (self.clone(), self.clone(), self.clone());
        let (d, e, f, g) = (self.clone(), self.clone(), self.clone(), self.clone());
        Router::new()
            .route(
                "/v1/chat/completions",
                post(move |headers: Headers, body: Bytes| async move {
                    a.chat(&headers.0, &body).await
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
                        g.cancel(id, holder)
                    },
                ),
            )
            .route(
                "/v1/requests/{id}/stream/{from}",
                get(
                    move |PathParams((id, from)): PathParams<(String, u64)>| async move {
                        c.resume(&id, from)
                    },
                ),
            )
            .route(
                "/v1/load/{from}",
                get(move |PathParams(_): PathParams<usize>| async move { d.load() }),
            )
            .route("/v1/ran", get(move || async move { e.run_counts() }))
            .route(
                "/v1/faults",
                post(move |body: Bytes| async move { f.set_faults(&body) }),
            )
    }

    async fn chat(&self, headers: &HeaderMap, body: &Bytes) -> Response {
        let dispatch = match Dispatch::read(headers) {
            Ok(dispatch) => dispatch,
            Err(message) => return json(StatusCode::BAD_REQUEST, &message),
        };
        let call = match chat::parse(body) {
            Ok(call) => call,
            Err(error) => return json(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let faults = lock(&self.inner).faults;
        if faults.failing {
            return empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if rand::rng().random_range(0..1_000) < faults.refuse_permille
            || self.is_stale(dispatch.fence)
        {
            return not_run();
        }
        let prompt = call.prompt();
        match self.begin(&dispatch, &prompt, call.max_tokens).await {
            Some(run) => self.stream(dispatch.id, run, 0),
            None => not_run(),
        }
    }

    fn is_stale(&self, fence: Option<u64>) -> bool {
        let Some(fence) = fence else {
            return false;
        };
        let mut inner = lock(&self.inner);
        let stale = self.config.checks_fence && fence < inner.fence;
        inner.fence = inner.fence.max(fence);
        stale
    }

    /// Starts a request once a slot is free; `None` if it was cancelled.
    async fn begin(&self, dispatch: &Dispatch, prompt: &str, tokens: u64) -> Option<Run> {
        lock(&self.inner).running += 1;
        let permit = Arc::clone(&self.slots).acquire_owned().await;
        let mut inner = lock(&self.inner);
        if inner.cancelled.contains(dispatch) {
            inner.running -= 1;
            return None;
        }
        let slow = inner.faults.slow.max(1);
        let run = Run {
            prompt: prompt.to_owned(),
            attempt: dispatch.attempt,
            tokens,
            prompt_tokens: (prompt.len() as u64).div_ceil(4),
            start: Instant::now() + self.config.first_token * slow,
            between: self.config.between_tokens * slow,
        };
        *inner.ran.entry(dispatch.id.clone()).or_default() += 1;
        inner.runs.insert(dispatch.id.clone(), run.clone());
        drop(inner);
        let end = run.due_at(run.tokens);
        let state = Arc::clone(&self.inner);
        tokio::spawn(async move {
            tokio::time::sleep_until(end).await;
            lock(&state).running -= 1;
            drop(permit);
        });
        Some(run)
    }

    fn stream(&self, id: String, run: Run, from: u64) -> Response {
        let faults = lock(&self.inner).faults;
        let cut = rand::rng().random_range(0..1_000) < faults.cut_permille;
        let cut_at = if cut || (from == 0 && faults.cut_first) {
            from + (run.tokens - from) / 2
        } else if from > 0 && self.loses_resume() {
            from
        } else {
            u64::MAX
        };
        let frames = FrameStream {
            id,
            run,
            next: from,
            cut_at,
            faults,
        };
        Sse::new(frames.events()).into_response()
    }

    /// Whether this resume is cut before a new frame; uses up one of `lost_resumes`.
    fn loses_resume(&self) -> bool {
        let faults = &mut lock(&self.inner).faults;
        let left = faults.lost_resumes;
        faults.lost_resumes = left.saturating_sub(1);
        left > 0
    }

    fn resume(&self, id: &str, from: u64) -> Response {
        let inner = lock(&self.inner);
        let run = inner.runs.get(id).filter(|run| from <= run.tokens);
        let run = run.filter(|_| !inner.faults.forgets).cloned();
        drop(inner);
        match run {
            Some(run) => self.stream(id.to_owned(), run, from),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    fn request_state(&self, id: &str) -> Response {
        let inner = lock(&self.inner);
        if inner.faults.forgets {
            return empty(StatusCode::NOT_FOUND);
        }
        let state = match inner.runs.get(id) {
            Some(run) => RequestState {
                ran: true,
                done: Instant::now() >= run.due_at(run.tokens),
                used: run.prompt_tokens + run.tokens,
            },
            None => RequestState {
                ran: false,
                done: false,
                used: 0,
            },
        };
        json(StatusCode::OK, &state)
    }

    fn cancel(&self, id: String, holder: String) -> Response {
        let mut inner = lock(&self.inner);
        if inner.faults.forgets {
            return empty(StatusCode::NOT_FOUND);
        }
        let cancelled = !inner.runs.contains_key(&id);
        if cancelled {
            inner.cancelled.insert(id, holder);
        }
        json(StatusCode::OK, &Cancellation { cancelled })
    }

    fn load(&self) -> Response {
        let running = lock(&self.inner).running;
        json(StatusCode::OK, &Load { running, next: 0 })
    }

    fn run_counts(&self) -> Response {
        json(StatusCode::OK, &lock(&self.inner).ran)
    }

    fn set_faults(&self, body: &Bytes) -> Response {
        set_faults(body, |faults| lock(&self.inner).faults = faults)
    }
}

impl Run {
    /// When the word at an index becomes available; the last frame is due at index `tokens`.
    fn due_at(&self, index: u64) -> Instant {
        self.start + self.between * u32::try_from(index).unwrap_or(u32::MAX)
    }
}

/// Builds the response with the verdict that a request has not run.
pub(super) fn not_run() -> Response {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let value = http::HeaderValue::from_static("not_run");
    response
        .headers_mut()
        .insert(crate::router::http::VERDICT, value);
    response
}

/// Requests that a target refuses, each for the holder that it was cancelled for: another router may have taken the
/// request over.
#[derive(Debug, Default)]
pub(super) struct Cancelled(HashSet<(String, String)>);

impl Cancelled {
    pub fn insert(&mut self, id: String, holder: String) {
        self.0.insert((id, holder));
    }

    pub fn contains(&self, dispatch: &Dispatch) -> bool {
        let holder = dispatch.holder.clone();
        holder.is_some_and(|holder| self.0.contains(&(dispatch.id.clone(), holder)))
    }
}

/// The request headers that a router sets.
pub(super) struct Dispatch {
    pub id: String,
    /// Incarnation of the router that pays for the dispatch; `None` in a call that does not come from a router.
    pub holder: Option<String>,
    pub attempt: u32,
    /// The fencing token; `None` in a call that does not come from a router.
    pub fence: Option<u64>,
}

impl Dispatch {
    pub fn read(headers: &HeaderMap) -> Result<Self, String> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| text(name).and_then(|text| text.parse::<u64>().ok());
        let id = text(crate::router::http::REQUEST_ID).ok_or("no request id")?;
        Ok(Self {
            id: id.to_owned(),
            holder: text(crate::router::http::HOLDER).map(str::to_owned),
            attempt: number(crate::router::http::ATTEMPT).unwrap_or(1) as u32,
            fence: number(crate::router::http::FENCE),
        })
    }
}

/// The remaining frames of a stream.
struct FrameStream {
    id: String,
    run: Run,
    next: u64,
    cut_at: u64,
    faults: Faults,
}

impl FrameStream {
    fn events(self) -> impl Stream<Item = Result<Event, std::io::Error>> + Send + Sync {
        futures::stream::unfold(SyncFrameStream(Mutex::new(self)), |frames| async move {
            let due = lock(&frames.0).due()?;
            tokio::time::sleep_until(due).await;
            let event = lock(&frames.0).event();
            Some((event, frames))
        })
    }

    /// When the next frame is due; `None` after the last.
    fn due(&self) -> Option<Instant> {
        (self.next <= self.run.tokens + 1).then(|| self.run.due_at(self.next.min(self.run.tokens)))
    }

    fn event(&mut self) -> Result<Event, std::io::Error> {
        if self.next >= self.cut_at {
            return Err(std::io::Error::other("cut"));
        }
        let index = self.next;
        self.next += 1;
        if index > self.run.tokens {
            return Ok(Event::new().data("[DONE]"));
        }
        let mut rng = rand::rng();
        if index > 0 && rng.random_range(0..1_000) < self.faults.repeat_permille {
            self.next -= 1;
            return Ok(Event::new().data(self.frame(index - 1, &self.id).as_str()));
        }
        if rng.random_range(0..1_000) < self.faults.cross_permille {
            self.next -= 1;
            return Ok(Event::new().data(self.frame(index, "somebody.else").as_str()));
        }
        Ok(Event::new().data(self.frame(index, &self.id).as_str()))
    }

    fn frame(&self, index: u64, id: &str) -> String {
        let run = &self.run;
        let frame = if index < run.tokens {
            chat::Frame::word(id, run.attempt, index, word(&run.prompt, index))
        } else {
            chat::Frame::last(id, run.attempt, index, run.prompt_tokens)
        };
        serde_json::to_string(&frame).expect("frames are plain data")
    }
}

/// Makes the state of a stream `Sync`, which an SSE response requires although only one thread polls it.
struct SyncFrameStream(Mutex<FrameStream>);
