//! A model engine: batches, streams, resumes, and can misbehave.
//!
//! Its answer is a function of the prompt, so a test knows every byte of it. The word at place
//! `i` is there from a moment that is known when the request starts; streaming and resuming only
//! read that schedule.

use std::collections::HashMap;
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
use volo_http::server::route::{get, post};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{empty, json, lock, set_faults};
use crate::router::http::relay::{Load, RequestState};
use crate::router::http::{Headers, chat};

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Requests that it runs at once; others wait inside it.
    pub slots: usize,
    /// Time to the first token when idle.
    pub first: Duration,
    /// Time between two tokens.
    pub between: Duration,
    /// Whether it refuses orders with an older fence than it has seen.
    pub checks_fence: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            slots: 16,
            first: Duration::from_millis(20),
            between: Duration::from_millis(10),
            checks_fence: true,
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every request with an error, at once.
    pub failing: bool,
    /// Share of requests that it refuses and says it has not run, in thousandths.
    pub refuse_permille: u32,
    /// Share of streams that it cuts in the middle; they can be resumed. In thousandths.
    pub cut_permille: u32,
    /// Whether it cuts every stream in the middle that begins at its start.
    pub cut_first: bool,
    /// Resumes that it still cuts before anything new.
    pub lost_resumes: u32,
    /// Share of frames sent twice, in thousandths.
    pub repeat_permille: u32,
    /// Share of streams into which a frame of another request strays, in thousandths.
    pub cross_permille: u32,
    /// Everything takes this many times as long; 0 counts as 1.
    pub slow: u32,
    /// Whether it cannot resume streams.
    pub forgets: bool,
}

/// What a request left behind.
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
    running: u32,
    fence: u64,
}

/// The engine's state.
#[derive(Clone)]
pub struct Engine {
    shape: Shape,
    slots: Arc<Semaphore>,
    inner: Arc<Mutex<Inner>>,
}

/// The word at a place of the answer to a prompt.
pub fn word(prompt: &str, place: u64) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), place);
    format!("{:x} ", hash & 0xffff)
}

impl Engine {
    /// An idle engine.
    pub fn new(shape: Shape) -> Self {
        Self {
            shape,
            slots: Arc::new(Semaphore::new(shape.slots)),
            inner: Arc::default(),
        }
    }

    /// The routes that serve it.
    pub fn routes(&self) -> Router {
        let (a, b, c) = (self.clone(), self.clone(), self.clone());
        let (d, e, f) = (self.clone(), self.clone(), self.clone());
        Router::new()
            .route(
                "/v1/chat/completions",
                post(move |headers: Headers, body: Bytes| async move {
                    a.chat(&headers.0, &body).await
                }),
            )
            .route(
                "/v1/requests/{id}",
                get(move |PathParams(id): PathParams<String>| async move { b.fate(&id) }),
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
            .route("/v1/ran", get(move || async move { e.ran() }))
            .route(
                "/v1/faults",
                post(move |body: Bytes| async move { f.set_faults(&body) }),
            )
    }

    async fn chat(&self, headers: &HeaderMap, body: &Bytes) -> Response {
        let dispatch = match Dispatch::read(headers) {
            Ok(dispatch) => dispatch,
            Err(why) => return json(StatusCode::BAD_REQUEST, &why),
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
        let run = self.begin(&dispatch, &prompt, call.max_tokens).await;
        self.stream(dispatch.id, run, 0)
    }

    fn is_stale(&self, fence: Option<u64>) -> bool {
        let Some(fence) = fence else {
            return false;
        };
        let mut inner = lock(&self.inner);
        let stale = self.shape.checks_fence && fence < inner.fence;
        inner.fence = inner.fence.max(fence);
        stale
    }

    async fn begin(&self, dispatch: &Dispatch, prompt: &str, tokens: u64) -> Run {
        lock(&self.inner).running += 1;
        let permit = Arc::clone(&self.slots).acquire_owned().await;
        let mut inner = lock(&self.inner);
        let slow = inner.faults.slow.max(1);
        let run = Run {
            prompt: prompt.to_owned(),
            attempt: dispatch.attempt,
            tokens,
            prompt_tokens: (prompt.len() as u64).div_ceil(4),
            start: Instant::now() + self.shape.first * slow,
            between: self.shape.between * slow,
        };
        *inner.ran.entry(dispatch.id.clone()).or_default() += 1;
        inner.runs.insert(dispatch.id.clone(), run.clone());
        drop(inner);
        let end = run.at(run.tokens);
        let state = Arc::clone(&self.inner);
        tokio::spawn(async move {
            tokio::time::sleep_until(end).await;
            lock(&state).running -= 1;
            drop(permit);
        });
        run
    }

    fn stream(&self, id: String, run: Run, from: u64) -> Response {
        let faults = lock(&self.inner).faults;
        let cut = rand::rng().random_range(0..1_000) < faults.cut_permille;
        let stop = if cut || (from == 0 && faults.cut_first) {
            from + (run.tokens - from) / 2
        } else if from > 0 && self.loses_resume() {
            from
        } else {
            u64::MAX
        };
        let frames = Frames {
            id,
            run,
            next: from,
            stop,
            faults,
        };
        Sse::new(frames.events()).into_response()
    }

    /// Whether this resume is one of those that are cut at once.
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

    fn fate(&self, id: &str) -> Response {
        let inner = lock(&self.inner);
        if inner.faults.forgets {
            return empty(StatusCode::NOT_FOUND);
        }
        let fate = match inner.runs.get(id) {
            Some(run) => RequestState {
                ran: true,
                done: Instant::now() >= run.at(run.tokens),
                used: run.prompt_tokens + run.tokens,
            },
            None => RequestState {
                ran: false,
                done: false,
                used: 0,
            },
        };
        json(StatusCode::OK, &fate)
    }

    fn load(&self) -> Response {
        let running = lock(&self.inner).running;
        json(StatusCode::OK, &Load { running, next: 0 })
    }

    fn ran(&self) -> Response {
        json(StatusCode::OK, &lock(&self.inner).ran)
    }

    fn set_faults(&self, body: &Bytes) -> Response {
        set_faults(body, |faults| lock(&self.inner).faults = faults)
    }
}

impl Run {
    /// When the word at a place is there; the end is at `tokens`.
    fn at(&self, place: u64) -> Instant {
        self.start + self.between * u32::try_from(place).unwrap_or(u32::MAX)
    }
}

/// The answer that says that a request has not run.
pub(super) fn not_run() -> Response {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let value = http::HeaderValue::from_static("not_run");
    response
        .headers_mut()
        .insert(crate::router::http::VERDICT, value);
    response
}

/// What a router's headers say.
pub(super) struct Dispatch {
    pub id: String,
    pub attempt: u32,
    /// None in a call that does not come from a router.
    pub fence: Option<u64>,
}

impl Dispatch {
    pub fn read(headers: &HeaderMap) -> Result<Self, String> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| text(name).and_then(|text| text.parse::<u64>().ok());
        let id = text(crate::router::http::REQUEST_ID).ok_or("no request id")?;
        Ok(Self {
            id: id.to_owned(),
            attempt: number(crate::router::http::ATTEMPT).unwrap_or(1) as u32,
            fence: number(crate::router::http::FENCE),
        })
    }
}

/// What is left of a stream.
struct Frames {
    id: String,
    run: Run,
    next: u64,
    stop: u64,
    faults: Faults,
}

impl Frames {
    fn events(self) -> impl Stream<Item = Result<Event, std::io::Error>> + Send + Sync {
        futures::stream::unfold(SyncFrames(Mutex::new(self)), |frames| async move {
            let wait = lock(&frames.0).due()?;
            tokio::time::sleep_until(wait).await;
            let event = lock(&frames.0).event();
            Some((event, frames))
        })
    }

    /// When the next frame is due; `None` at the end.
    fn due(&self) -> Option<Instant> {
        (self.next <= self.run.tokens + 1).then(|| self.run.at(self.next.min(self.run.tokens)))
    }

    fn event(&mut self) -> Result<Event, std::io::Error> {
        if self.next >= self.stop {
            return Err(std::io::Error::other("cut"));
        }
        let place = self.next;
        self.next += 1;
        if place > self.run.tokens {
            return Ok(Event::new().data("[DONE]"));
        }
        let mut rng = rand::rng();
        if place > 0 && rng.random_range(0..1_000) < self.faults.repeat_permille {
            self.next -= 1;
            return Ok(Event::new().data(self.frame(place - 1, &self.id).as_str()));
        }
        if rng.random_range(0..1_000) < self.faults.cross_permille {
            self.next -= 1;
            return Ok(Event::new().data(self.frame(place, "somebody.else").as_str()));
        }
        Ok(Event::new().data(self.frame(place, &self.id).as_str()))
    }

    fn frame(&self, place: u64, id: &str) -> String {
        let run = &self.run;
        let frame = if place < run.tokens {
            chat::Frame::word(id, run.attempt, place, word(&run.prompt, place))
        } else {
            chat::Frame::last(id, run.attempt, place, run.prompt_tokens)
        };
        serde_json::to_string(&frame).expect("frames are plain data")
    }
}

/// A stream's state has to be shareable between threads, though only one polls it.
struct SyncFrames(Mutex<Frames>);
