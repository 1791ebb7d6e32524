//! A caller that uses the same id for all attempts of a request.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use volo_http::body::BodyConversion;
use volo_http::client::sse::SseExt;
use volo_http::response::Response;

use crate::cmd::Result;
use crate::cmd::client::Client;
use crate::router::http::chat::{self, Frame};
use crate::router::http::entry::Entry;
use crate::router::http::{BILLED, REASON, REPEATABLE, REQUEST_ID, VERDICT};
use crate::standin::engine::word;
use crate::standin::service::{Receipt, receipt};

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(60);

/// Settings shared by all requests of a run.
pub struct Settings {
    pub model: String,
    pub service: Option<String>,
    pub tokens: u64,
    pub tries: u32,
    pub wait_max: Duration,
}

/// A request to send.
pub struct Job {
    pub number: u32,
    pub service: bool,
    pub text: String,
}

/// The outcome of one request; `--output` writes its fields as JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    pub id: String,
    pub service: bool,
    pub verdict: String,
    pub reason: String,
    pub billed: u64,
    pub tries: u32,
    pub first_ms: f64,
    pub total_ms: f64,
    /// The response was reported complete but was not, or belongs to another request.
    pub wrong: bool,
}

/// The outcome of one attempt.
enum Outcome {
    Ran {
        billed: u64,
        first: Duration,
        whole: bool,
    },
    NotRun {
        reason: String,
        retry_after: Duration,
    },
    MayHaveRun {
        reason: String,
    },
    Lost,
}

/// A caller with its cached entry addresses.
pub struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
    settings: Settings,
    cached: Mutex<(Entry, Instant)>,
}

impl Caller {
    /// Creates a caller and fetches its first entry addresses.
    pub async fn new(client: Client, entries: Vec<SocketAddr>, settings: Settings) -> Result<Self> {
        let entry = fetch_entry(&client, &entries).await?;
        Ok(Self {
            client,
            entries,
            settings,
            cached: Mutex::new((entry, Instant::now())),
        })
    }

    fn cached_entry(&self) -> (Entry, Instant) {
        self.cached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn refresh(&self) {
        if let Ok(entry) = fetch_entry(&self.client, &self.entries).await {
            let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
            *cached = (entry, Instant::now());
        }
    }

    /// Sends a request until its verdict is final or its attempts are used up, with the same id in all attempts.
    pub async fn serve(&self, job: Job) -> Record {
        let (entry, fetched) = self.cached_entry();
        if fetched.elapsed() > Duration::from_millis(entry.keep_ms) || entry.addresses.is_empty() {
            self.refresh().await;
        }
        let entry = self.cached_entry().0;
        let mut record = Record {
            service: job.service,
            ..Record::default()
        };
        let Some(home) = entry
            .addresses
            .get(job.number as usize % entry.addresses.len().max(1))
        else {
            record.verdict = "lost".to_owned();
            return record;
        };
        record.id = format!("{}{:08x}", home.prefix, job.number);
        self.attempt_all(&job, &entry, home.address, &mut record)
            .await;
        record
    }

    async fn attempt_all(&self, job: &Job, entry: &Entry, home: SocketAddr, record: &mut Record) {
        let mut to = home;
        let mut index = 0;
        while record.tries < self.settings.tries {
            record.tries += 1;
            let start = Instant::now();
            let outcome =
                tokio::time::timeout(ATTEMPT_TIMEOUT, self.send_once(job, to, &record.id)).await;
            let wait = match outcome.unwrap_or(Outcome::Lost) {
                Outcome::Ran {
                    billed,
                    first,
                    whole,
                } => {
                    record.verdict = "ran".to_owned();
                    record.billed = billed;
                    record.first_ms = first.as_secs_f64() * 1e3;
                    record.total_ms = start.elapsed().as_secs_f64() * 1e3;
                    record.wrong = !whole;
                    return;
                }
                Outcome::NotRun {
                    reason,
                    retry_after,
                } => {
                    record.verdict = "not_run".to_owned();
                    let is_final = reason == "budget_exhausted";
                    record.reason = reason;
                    if is_final {
                        return;
                    }
                    retry_after
                }
                Outcome::MayHaveRun { reason } => {
                    record.verdict = "may_have_run".to_owned();
                    record.reason = reason;
                    Duration::from_secs(1)
                }
                Outcome::Lost => {
                    record.verdict = "lost".to_owned();
                    Duration::from_millis(200)
                }
            };
            tokio::time::sleep(wait.min(self.settings.wait_max)).await;
            // The first attempt goes to the home router. Retries go through all addresses in turn, since another
            // router can take over if the home router has failed.
            index += 1;
            let others = &entry.addresses;
            to = others
                .get(index % others.len().max(1))
                .map_or(home, |other| other.address);
        }
        self.refresh().await;
    }

    fn body(&self, job: &Job) -> Bytes {
        json!({
            "model": self.settings.model,
            "messages": [{ "role": "user", "content": job.text }],
            "max_tokens": self.settings.tokens,
            "stream": true,
        })
        .to_string()
        .into()
    }

    async fn send_once(&self, job: &Job, to: SocketAddr, id: &str) -> Outcome {
        let mut headers = vec![(REQUEST_ID, id)];
        match (&self.settings.service, job.service) {
            (Some(service), true) => {
                headers.push((REPEATABLE, "no"));
                self.call_service(job, to, service, &headers).await
            }
            _ => self.call_model(job, to, &headers).await,
        }
    }

    async fn call_service(
        &self,
        job: &Job,
        to: SocketAddr,
        service: &str,
        headers: &[(&str, &str)],
    ) -> Outcome {
        let start = Instant::now();
        let body = Bytes::from(job.text.clone());
        let path = format!("/v1/services/{service}");
        let answer = self
            .client
            .fetch(Method::POST, to, &path, headers, body.clone())
            .await;
        let Ok((status, answer_headers, answer)) = answer else {
            return Outcome::Lost;
        };
        if status != StatusCode::OK {
            return parse_refusal(&answer_headers);
        }
        let expected = Receipt {
            request_id: headers[0].1.to_owned(),
            receipt: receipt(&body),
        };
        let got: Option<Receipt> = serde_json::from_slice(&answer).ok();
        let billed = answer_headers
            .get(BILLED)
            .and_then(|value| value.to_str().ok());
        Outcome::Ran {
            billed: billed
                .and_then(|text| text.parse().ok())
                .unwrap_or_default(),
            first: start.elapsed(),
            whole: got == Some(expected),
        }
    }

    async fn call_model(&self, job: &Job, to: SocketAddr, headers: &[(&str, &str)]) -> Outcome {
        let path = "/v1/chat/completions";
        let body = self.body(job);
        let start = Instant::now();
        let sent = self
            .client
            .send(Method::POST, to, path, headers, body.clone())
            .await;
        let Ok(response) = sent else {
            return Outcome::Lost;
        };
        if response.status() != StatusCode::OK {
            let headers = response.headers().clone();
            let _ = response.into_body().into_bytes().await;
            return parse_refusal(&headers);
        }
        self.read_stream(response, start, &body, headers[0].1).await
    }

    /// Reads a streamed response. It is whole if every frame belongs to this request, the frames are in order, and
    /// each has the text that the engine must send.
    async fn read_stream(
        &self,
        response: Response,
        start: Instant,
        body: &[u8],
        id: &str,
    ) -> Outcome {
        let Ok(call) = chat::parse(body) else {
            return Outcome::Lost;
        };
        let prompt = call.prompt();
        let Ok(mut reader) = response.into_sse() else {
            return Outcome::Lost;
        };
        let (mut next, mut whole) = (0, true);
        let mut first = None;
        loop {
            let Ok(Some(event)) = reader.read().await else {
                return Outcome::Lost;
            };
            let Ok(value) = serde_json::from_str::<Value>(event.data().unwrap_or_default()) else {
                return Outcome::Lost;
            };
            first.get_or_insert_with(|| start.elapsed());
            let metadata = &value["lanedeck"];
            if metadata["verdict"] == "may_have_run" {
                let reason = metadata["reason"].as_str().unwrap_or_default().to_owned();
                return Outcome::MayHaveRun { reason };
            }
            let Ok(frame) = serde_json::from_value::<Frame>(value.clone()) else {
                return Outcome::Lost;
            };
            whole &= frame.id == id && frame.index == next;
            if frame.usage.is_some() {
                return Outcome::Ran {
                    billed: metadata["billed"].as_u64().unwrap_or_default(),
                    first: first.unwrap_or_default(),
                    whole: whole && next == call.max_tokens,
                };
            }
            whole &= frame.text() == word(&prompt, next);
            next += 1;
        }
    }
}

fn parse_refusal(headers: &http::HeaderMap) -> Outcome {
    let text = |name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let reason = text(REASON);
    let seconds: u64 = text(http::header::RETRY_AFTER.as_str())
        .parse()
        .unwrap_or(1);
    match text(VERDICT).as_str() {
        "not_run" => Outcome::NotRun {
            reason,
            retry_after: Duration::from_secs(seconds),
        },
        "may_have_run" => Outcome::MayHaveRun { reason },
        _ => Outcome::Lost,
    }
}

async fn fetch_entry(client: &Client, entries: &[SocketAddr]) -> Result<Entry> {
    let mut result = super::usage("--entry: no address");
    for address in entries {
        match client.get(*address, "/v1/entry").await {
            Ok(value) => match serde_json::from_value::<Entry>(value) {
                Ok(entry) if !entry.addresses.is_empty() => return Ok(entry),
                Ok(_) => result = super::super::failed("the entry response has no addresses"),
                Err(error) => result = super::super::failed(error.to_string()),
            },
            Err(error) => result = Err(error),
        }
    }
    result
}
