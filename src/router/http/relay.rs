//! Sends one dispatch of a request to its target and receives the answer, checking it frame by frame.
//!
//! The client library does not retry a request by itself. A request that is not repeatable uses a new connection:
//! the target may have closed a pooled one in the meantime, and then it is unknown whether the request ran.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use http_body_util::Limited;
use serde::{Deserialize, Serialize};
use volo_http::body::{Body, BodyConversion};
use volo_http::client::sse::{SseExt, SseReader};
use volo_http::error::client::ErrorKind;
use volo_http::response::Response;

use super::answer::{Answer, ServiceAnswer, Work};
use super::chat::Frame;
use super::{ATTEMPT, FENCE, HOLDER, RANK, REQUEST_ID, VERDICT};
use crate::net;
use crate::router::control::End;
use crate::router::intent::Kind;
use crate::router::key::Incarnation;
use crate::router::pool::Choice;
use crate::router::request::Id;
use crate::units::{Millis, Tokens};

/// Maximum number of consecutive resumes of a broken stream that bring no new frame. With 4, streams were given up
/// within 0.2 s where timers run late (docs/FINDINGS.md, bad_streams).
const RESUMES_MAX: u32 = 8;
/// Delay before a stream is resumed; it doubles with each consecutive resume that brings no new frame.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before a stream is resumed.
const RESUME_DELAY_MAX: Duration = Duration::from_millis(400);
/// Maximum number of idle connections kept open to one target.
const IDLE_CONNECTIONS_MAX: usize = 64;
/// Timeout of a query to a target for its load or for the state of a request.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer to a request, in bytes. A target in trouble may send bytes without end.
const ANSWER_MAX: usize = 4 << 20;
/// Maximum size of the answer to a query, in bytes.
const QUERY_ANSWER_MAX: usize = 64 << 10;

type Client = volo_http::client::Client;

/// HTTP clients for requests to targets.
#[derive(Clone)]
pub struct Relay {
    /// Keeps idle connections open and reuses them.
    pooled: Client,
    /// Opens a new connection for each request.
    unpooled: Client,
    /// Maximum time without data from a target during a request.
    silence: Duration,
}

/// One dispatch of a request to a target.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    /// Id of the request.
    pub id: Id,
    /// The incarnation that pays for the request.
    pub holder: Incarnation,
    /// Number of this dispatch among those of the request.
    pub attempt: u32,
    /// The chosen target.
    pub choice: Choice,
    /// Rank of the request's class.
    pub rank: u8,
}

/// The state of a request, as reported by its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestState {
    /// Whether the request ran or is running there.
    pub ran: bool,
    /// Whether the request has finished.
    pub done: bool,
    /// Tokens used so far.
    pub used: u64,
}

/// A target's answer to the cancellation of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancellation {
    /// Whether the target has not run the request, and refuses it from now on if this holder pays for it. False if
    /// the request ran or is running there. A target that may have lost its records of requests, as by a restart, must
    /// not answer true.
    pub cancelled: bool,
}

/// A target's load report. Targets also report cache events, which are not used.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests at the target.
    pub running: u32,
    /// Offset of the next cache event, so that the target does not send the earlier ones again.
    pub next: usize,
}

/// How the reading of a stream ended.
enum ReadOutcome {
    /// With the last frame of the answer.
    Complete,
    /// Before the last frame of the answer.
    Broken,
}

/// The outcome of a request to resume a stream.
enum ResumeOutcome {
    /// The target sends the rest of the stream.
    Stream(Response),
    /// The target does not know the request, or cannot resume it.
    Unknown,
    /// The target did not answer.
    Unreachable,
}

/// The part of a streamed answer that was received so far.
struct Progress {
    /// Index of the next frame.
    next: u64,
    /// Tokens used.
    used: u64,
    /// Number of frames dropped.
    dropped: u32,
}

impl Relay {
    /// Creates clients that wait at most `silence` for data from a target.
    pub fn new(silence: Duration) -> Self {
        let build = |idle_max: usize| {
            let mut builder = volo_http::client::Client::builder();
            builder.set_connect_timeout(Duration::from_secs(1));
            builder.set_pool_idle_timeout(Duration::from_secs(20));
            builder.set_max_idle_per_host(idle_max);
            builder
                .build()
                .expect("the client is built from constant settings")
        };
        Self {
            pooled: build(IDLE_CONNECTIONS_MAX),
            unpooled: build(0),
            silence,
        }
    }

    /// Sends a request to its target and stores what it answers in `answer`. Calls `on_frame` with the index of
    /// each frame that is added to the answer.
    pub async fn run(&self, answer: &Answer, dispatch: Dispatch, on_frame: impl Fn(u64)) -> End {
        match &answer.work {
            Work::Chat(call) => {
                let mut call = call.clone();
                call.stream = true;
                let body = serde_json::to_vec(&call).expect("a call always serializes");
                self.chat(answer, dispatch, body, on_frame).await
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
        let client = if repeatable {
            &self.pooled
        } else {
            &self.unpooled
        };
        let request = client
            .post(format!("http://{}{path}", dispatch.choice.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, dispatch.id.to_string())
            .header(HOLDER, dispatch.holder.to_string())
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
            Ok(Ok(response)) if !net::is_final(response.status()) => return Err(broken),
            Ok(Ok(response)) => response,
        };
        let not_run = response
            .headers()
            .get(VERDICT)
            .is_some_and(|value| value == "not_run");
        if not_run && !response.status().is_success() {
            return Err(End::Refused);
        }
        Ok(limited(response, ANSWER_MAX))
    }

    async fn service(&self, answer: &Answer, dispatch: Dispatch, body: Vec<u8>) -> End {
        let start = Instant::now();
        let broken = End::Broken {
            used: Tokens::ZERO,
            shown: false,
        };
        let sent = self
            .send("/call", answer.request.repeatable, dispatch, body)
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(end) => return end,
        };
        let status = response.status();
        let id = dispatch.id.to_string();
        let id_matches = response
            .headers()
            .get(REQUEST_ID)
            .is_none_or(|value| value == id.as_str());
        if status.is_server_error() || !id_matches {
            return broken;
        }
        let body = tokio::time::timeout(self.silence, response.into_body().into_bytes()).await;
        let Ok(Ok(body)) = body else {
            return broken;
        };
        answer.set_service_answer(ServiceAnswer { status, body });
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
        on_frame: impl Fn(u64),
    ) -> End {
        let start = Instant::now();
        let mut progress = Progress {
            next: 0,
            used: 0,
            dropped: 0,
        };
        let path = "/v1/chat/completions";
        let sent = self
            .send(path, answer.request.repeatable, dispatch, body)
            .await;
        let mut response = match sent {
            Ok(response) => Some(response),
            Err(end) => return end,
        };
        // Consecutive resumes that brought no new frame.
        let mut without_progress = 0;
        loop {
            let before = progress.next;
            if let Some(stream) = response.take()
                && let Ok(reader) = stream.into_sse()
                && let ReadOutcome::Complete = self
                    .read(answer, dispatch, reader, &mut progress, &on_frame)
                    .await
            {
                return End::Complete {
                    used: Tokens(progress.used),
                    whole: millis(start),
                };
            }
            without_progress = if progress.next > before {
                0
            } else {
                without_progress + 1
            };
            if without_progress > RESUMES_MAX {
                break;
            }
            tokio::time::sleep(resume_delay(without_progress)).await;
            match self.resume(dispatch, progress.next).await {
                ResumeOutcome::Stream(stream) => response = Some(stream),
                ResumeOutcome::Unknown => break,
                ResumeOutcome::Unreachable => {}
            }
        }
        let shown = answer.discard_undelivered();
        End::Broken {
            used: Tokens(progress.used),
            shown,
        }
    }

    /// Adds the frames of a stream to the answer in order. Drops frames of another request or attempt and frames
    /// that were received before; stops at a gap, so that the stream is resumed from there.
    async fn read(
        &self,
        answer: &Answer,
        dispatch: Dispatch,
        mut reader: SseReader<Body>,
        progress: &mut Progress,
        on_frame: &impl Fn(u64),
    ) -> ReadOutcome {
        let id = dispatch.id.to_string();
        loop {
            let event = tokio::time::timeout(self.silence, reader.read()).await;
            let Ok(Ok(Some(event))) = event else {
                return ReadOutcome::Broken;
            };
            // An event without data does not parse as a frame, which ends the reading below.
            let data = event.data().unwrap_or("");
            let Ok(frame) = serde_json::from_str::<Frame>(data) else {
                return ReadOutcome::Broken;
            };
            if frame.id != id || frame.attempt != dispatch.attempt || frame.index < progress.next {
                progress.dropped += 1;
                tracing::info!(event = "frame_dropped", request = %id, got = %frame.id, index = frame.index);
                continue;
            }
            if frame.index > progress.next {
                return ReadOutcome::Broken;
            }
            progress.next += 1;
            match frame.usage {
                Some(usage) => progress.used = usage.total_tokens,
                None => progress.used += 1,
            }
            let last = frame.usage.is_some();
            on_frame(frame.index);
            answer.push(frame);
            if last {
                return ReadOutcome::Complete;
            }
        }
    }

    /// Requests the rest of a stream, from the frame with index `from` on.
    async fn resume(&self, dispatch: Dispatch, from: u64) -> ResumeOutcome {
        let address = dispatch.choice.address;
        let uri = format!("http://{address}/v1/requests/{}/stream/{from}", dispatch.id);
        // The fault that cut this stream may have cut pooled connections too, and each try would pick another such
        // connection.
        let sent = tokio::time::timeout(self.silence, self.unpooled.get(uri).send()).await;
        let (resumed, outcome) = match sent {
            Ok(Ok(response)) if response.status().is_success() => {
                let stream = limited(response, ANSWER_MAX);
                (ResumeOutcome::Stream(stream), "resumed".to_owned())
            }
            Ok(Ok(response)) => (ResumeOutcome::Unknown, response.status().to_string()),
            Ok(Err(error)) => (ResumeOutcome::Unreachable, error.to_string()),
            Err(_) => (ResumeOutcome::Unreachable, "silent".to_owned()),
        };
        tracing::info!(event = "stream_resumed", request = %dispatch.id, %address, from, outcome);
        resumed
    }

    /// Queries a target for its load and its cache events from offset `from` on.
    pub async fn load(&self, address: std::net::SocketAddr, from: usize) -> Option<Load> {
        let uri = format!("http://{address}/v1/load/{from}");
        self.query(Method::GET, uri).await
    }

    /// Queries a target for the state of a request.
    pub async fn request_state(
        &self,
        address: std::net::SocketAddr,
        id: Id,
    ) -> Option<RequestState> {
        let uri = format!("http://{address}/v1/requests/{id}");
        self.query(Method::GET, uri).await
    }

    /// Asks a target to refuse a request that `holder` pays for, unless it has run. `None` if the target does not
    /// answer or cannot cancel requests; it may have cancelled this one.
    pub async fn cancel(
        &self,
        address: std::net::SocketAddr,
        id: Id,
        holder: Incarnation,
    ) -> Option<Cancellation> {
        let uri = format!("http://{address}/v1/requests/{id}/holders/{holder}");
        self.query(Method::DELETE, uri).await
    }

    /// Queries a target for JSON; `None` if the query fails or the target has no answer.
    async fn query<T: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        uri: String,
    ) -> Option<T> {
        match tokio::time::timeout(QUERY_TIMEOUT, self.fetch(method, &uri)).await {
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
        method: Method,
        uri: &str,
    ) -> Result<Option<T>, volo_http::error::BoxError> {
        let response = self.pooled.request(method, uri).send().await?;
        if response.status() != StatusCode::OK {
            return Ok(None);
        }
        let response = limited(response, QUERY_ANSWER_MAX);
        let body = response.into_body().into_bytes().await?;
        Ok(Some(serde_json::from_slice(&body)?))
    }
}

/// The response with a body that fails beyond so many bytes.
fn limited(response: Response, max: usize) -> Response {
    response.map(|body| Body::from_body(Limited::new(body, max)))
}

/// The delay before a stream is resumed, after `without_progress` consecutive resumes without a new frame.
fn resume_delay(without_progress: u32) -> Duration {
    RESUME_DELAY
        .saturating_mul(1 << without_progress.saturating_sub(1))
        .min(RESUME_DELAY_MAX)
}

/// The kind of target that runs this work.
pub fn kind(work: &Work) -> Kind {
    match work {
        Work::Chat(_) => Kind::Engine,
        Work::Service(_) => Kind::Service,
    }
}

fn millis(since: Instant) -> Millis {
    Millis(u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX))
}
