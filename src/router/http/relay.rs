//! One dispatch: the request to the target, and the answer back, checked frame by frame.
//!
//! The client library does not repeat a request by itself. A request that may not be repeated
//! goes over a connection of its own, since a kept one may have been closed by the target
//! meanwhile, and then nobody knows whether it ran.

use std::time::{Duration, Instant};

use http::StatusCode;
use serde::{Deserialize, Serialize};
use volo_http::body::{Body, BodyConversion};
use volo_http::client::sse::{SseExt, SseReader};
use volo_http::error::client::ErrorKind;
use volo_http::response::Response;

use super::answer::{self, Answer, Work};
use super::chat::Frame;
use super::{ATTEMPT, FENCE, RANK, REQUEST_ID, VERDICT};
use crate::router::control::End;
use crate::router::intent::Kind;
use crate::router::pool::Choice;
use crate::router::request::Id;
use crate::units::{Millis, Tokens};

/// Times in a row that a broken stream is resumed without anything new. With 4, streams were given up
/// within 0.2 s where timers run late (docs/FINDINGS.md, bad_streams).
const RESUMES_MAX: u32 = 8;
/// Wait before a stream is resumed; it doubles while nothing new comes.
const RESUME_WAIT: Duration = Duration::from_millis(50);
/// Longest wait before a stream is resumed.
const RESUME_WAIT_MAX: Duration = Duration::from_millis(400);
/// Connections kept to one target.
const IDLE_MAX: usize = 64;
/// Longest wait for the answer to a question about load or about a request.
const QUESTION_WAIT: Duration = Duration::from_secs(2);

type Client = volo_http::client::Client;

/// Clients towards targets.
#[derive(Clone)]
pub struct Relay {
    kept: Client,
    single: Client,
    /// Longest silence of a target in the midst of an answer.
    silence: Duration,
}

/// One dispatch.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    /// The request.
    pub id: Id,
    /// Which dispatch of it this is.
    pub attempt: u32,
    /// Where to.
    pub choice: Choice,
    /// Rank of its class.
    pub rank: u8,
}

/// What became of a request, as its target tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fate {
    /// Whether it ran or runs there.
    pub ran: bool,
    /// Whether it is done.
    pub done: bool,
    /// Tokens used.
    pub used: u64,
}

/// A target's report of its load. The events of its cache, which it tells as well, are not used.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it has.
    pub running: u32,
    /// Where its cache events go on, so that it does not tell them all again.
    pub next: usize,
}

/// How a stream of frames ended.
enum Read {
    Whole,
    Broken,
}

/// What came of asking for the rest of a stream.
enum Resumed {
    /// The rest.
    Stream(Response),
    /// The target knows nothing of it, or cannot resume.
    Unknown,
    /// No answer.
    Unreachable,
}

/// What was seen of a streamed answer so far.
struct Progress {
    next: u64,
    used: u64,
    dropped: u32,
}

impl Relay {
    /// Clients that wait this long for a silent target.
    pub fn new(silence: Duration) -> Self {
        let build = |idle: usize| {
            let mut builder = volo_http::client::Client::builder();
            builder.set_connect_timeout(Duration::from_secs(1));
            builder.set_pool_idle_timeout(Duration::from_secs(20));
            builder.set_max_idle_per_host(idle);
            builder.build().expect("the client's settings are constant")
        };
        Self {
            kept: build(IDLE_MAX),
            single: build(0),
            silence,
        }
    }

    /// Sends a request and takes its answer in. `seen` is told the time since the arrival of each
    /// frame that counts.
    pub async fn run(&self, answer: &Answer, dispatch: Dispatch, seen: impl Fn(u64)) -> End {
        match &answer.work {
            Work::Chat(call) => {
                let mut call = call.clone();
                call.stream = true;
                let body = serde_json::to_vec(&call).expect("a call is plain data");
                self.chat(answer, dispatch, body, seen).await
            }
            Work::Service(body) => self.service(answer, dispatch, body.to_vec()).await,
        }
    }

    async fn send(
        &self,
        path: &str,
        repeatable: bool,
        dispatch: Dispatch,
        body: Vec<u8>,
    ) -> Result<Response, End> {
        let client = if repeatable { &self.kept } else { &self.single };
        let request = client
            .post(format!("http://{}{path}", dispatch.choice.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, dispatch.id.to_string())
            .header(ATTEMPT, dispatch.attempt.to_string())
            .header(FENCE, dispatch.choice.fence.to_string())
            .header(RANK, dispatch.rank.to_string())
            .data(body);
        let sent = tokio::time::timeout(self.silence, request.send()).await;
        let broken = End::Broken {
            used: Tokens::ZERO,
            shown: false,
        };
        let response = match sent {
            Err(_) => return Err(broken),
            Ok(Err(error)) if *error.kind() == ErrorKind::Connect => return Err(End::Unsent),
            Ok(Err(_)) => return Err(broken),
            Ok(Ok(response)) => response,
        };
        let not_run = response
            .headers()
            .get(VERDICT)
            .is_some_and(|value| value == "not_run");
        if not_run && !response.status().is_success() {
            return Err(End::Refused);
        }
        Ok(response)
    }

    async fn service(&self, answer: &Answer, dispatch: Dispatch, body: Vec<u8>) -> End {
        let start = Instant::now();
        let broken = End::Broken {
            used: Tokens::ZERO,
            shown: false,
        };
        let sent = self
            .send("/call", answer.about.repeatable, dispatch, body)
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(end) => return end,
        };
        let status = response.status();
        let id = dispatch.id.to_string();
        let ours = response
            .headers()
            .get(REQUEST_ID)
            .is_none_or(|value| value == id.as_str());
        if status.is_server_error() || !ours {
            return broken;
        }
        let body = tokio::time::timeout(self.silence, response.into_body().into_bytes()).await;
        let Ok(Ok(body)) = body else {
            return broken;
        };
        answer.set_whole(answer::Body { status, body });
        End::Complete {
            used: Tokens::ZERO,
            whole: millis(start),
        }
    }

    async fn chat(
        &self,
        answer: &Answer,
        dispatch: Dispatch,
        body: Vec<u8>,
        seen: impl Fn(u64),
    ) -> End {
        let start = Instant::now();
        let mut progress = Progress {
            next: 0,
            used: 0,
            dropped: 0,
        };
        let path = "/v1/chat/completions";
        let sent = self
            .send(path, answer.about.repeatable, dispatch, body)
            .await;
        let mut response = match sent {
            Ok(response) => Some(response),
            Err(end) => return end,
        };
        let mut idle = 0;
        loop {
            let before = progress.next;
            if let Some(stream) = response.take()
                && let Ok(reader) = stream.into_sse()
                && let Read::Whole = self
                    .read(answer, dispatch, reader, &mut progress, &seen)
                    .await
            {
                return End::Complete {
                    used: Tokens(progress.used),
                    whole: millis(start),
                };
            }
            idle = if progress.next > before { 0 } else { idle + 1 };
            if idle > RESUMES_MAX {
                break;
            }
            tokio::time::sleep(resume_wait(idle)).await;
            match self.resume(dispatch, progress.next).await {
                Resumed::Stream(stream) => response = Some(stream),
                Resumed::Unknown => break,
                Resumed::Unreachable => {}
            }
        }
        let shown = answer.take_back();
        End::Broken {
            used: Tokens(progress.used),
            shown,
        }
    }

    /// Takes frames in dispatch; one of another request, of another attempt, or seen before is
    /// dropped, and a gap ends the reading, to be resumed from there.
    async fn read(
        &self,
        answer: &Answer,
        dispatch: Dispatch,
        mut reader: SseReader<Body>,
        progress: &mut Progress,
        seen: &impl Fn(u64),
    ) -> Read {
        let id = dispatch.id.to_string();
        loop {
            let event = tokio::time::timeout(self.silence, reader.read()).await;
            let Ok(Ok(Some(event))) = event else {
                return Read::Broken;
            };
            // An event without data is no frame, and ends the reading below.
            let data = event.data().unwrap_or("");
            let Ok(frame) = serde_json::from_str::<Frame>(data) else {
                return Read::Broken;
            };
            if frame.id != id || frame.attempt != dispatch.attempt || frame.index < progress.next {
                progress.dropped += 1;
                tracing::info!(event = "frame_dropped", request = %id, got = %frame.id, index = frame.index);
                continue;
            }
            if frame.index > progress.next {
                return Read::Broken;
            }
            progress.next += 1;
            match frame.usage {
                Some(usage) => progress.used = usage.total_tokens,
                None => progress.used += 1,
            }
            let last = frame.usage.is_some();
            seen(frame.index);
            answer.push(frame);
            if last {
                return Read::Whole;
            }
        }
    }

    async fn resume(&self, dispatch: Dispatch, from: u64) -> Resumed {
        let address = dispatch.choice.address;
        let uri = format!("http://{address}/v1/requests/{}/stream/{from}", dispatch.id);
        // Kept connections may have been cut with this one, and each try would find another of them.
        let sent = tokio::time::timeout(self.silence, self.single.get(uri).send()).await;
        let (resumed, outcome) = match sent {
            Ok(Ok(response)) if response.status().is_success() => {
                (Resumed::Stream(response), "resumed".to_owned())
            }
            Ok(Ok(response)) => (Resumed::Unknown, response.status().to_string()),
            Ok(Err(error)) => (Resumed::Unreachable, error.to_string()),
            Err(_) => (Resumed::Unreachable, "silent".to_owned()),
        };
        tracing::info!(event = "stream_resumed", request = %dispatch.id, %address, from, outcome);
        resumed
    }

    /// Asks a target for its load and its cache events since `from`.
    pub async fn load(&self, address: std::net::SocketAddr, from: usize) -> Option<Load> {
        self.get(format!("http://{address}/v1/load/{from}")).await
    }

    /// Asks a target what became of a request.
    pub async fn fate(&self, address: std::net::SocketAddr, id: Id) -> Option<Fate> {
        self.get(format!("http://{address}/v1/requests/{id}")).await
    }

    /// Asks a target for JSON; `None` where it gives none.
    async fn get<T: serde::de::DeserializeOwned>(&self, uri: String) -> Option<T> {
        match tokio::time::timeout(QUESTION_WAIT, self.fetch(&uri)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                tracing::debug!(event = "target_question_failed", %uri, %error);
                None
            }
            Err(_) => {
                tracing::debug!(event = "target_question_failed", %uri, error = "no answer");
                None
            }
        }
    }

    async fn fetch<T: serde::de::DeserializeOwned>(
        &self,
        uri: &str,
    ) -> Result<Option<T>, volo_http::error::BoxError> {
        let response = self.kept.get(uri).send().await?;
        if response.status() != StatusCode::OK {
            return Ok(None);
        }
        let body = response.into_body().into_bytes().await?;
        Ok(Some(serde_json::from_slice(&body)?))
    }
}

/// How long is waited before a stream is resumed that was resumed in vain so many times.
fn resume_wait(idle: u32) -> Duration {
    RESUME_WAIT
        .saturating_mul(1 << idle.saturating_sub(1))
        .min(RESUME_WAIT_MAX)
}

/// The kind of target that work is for.
pub fn kind(work: &Work) -> Kind {
    match work {
        Work::Chat(_) => Kind::Engine,
        Work::Service(_) => Kind::Service,
    }
}

fn millis(since: Instant) -> Millis {
    Millis(u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX))
}
