//! A caller that keeps its id over all tries of a request.

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

/// Longest wait for one try.
const TRY_WAIT: Duration = Duration::from_secs(60);

/// What all requests of a run have in common.
pub struct Settings {
    pub model: String,
    pub service: Option<String>,
    pub tokens: u64,
    pub tries: u32,
    pub wait_max: Duration,
}

/// One request.
pub struct Job {
    pub number: u32,
    pub service: bool,
    pub text: String,
}

/// What became of one request.
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
    /// An answer that was said to be whole was not, or was another's.
    pub wrong: bool,
}

/// How one try ended.
enum Try {
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

/// The caller.
pub struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
    settings: Settings,
    known: Mutex<(Entry, Instant)>,
}

impl Caller {
    /// A caller that has asked for its first entry answer.
    pub async fn new(client: Client, entries: Vec<SocketAddr>, settings: Settings) -> Result<Self> {
        let entry = ask(&client, &entries).await?;
        Ok(Self {
            client,
            entries,
            settings,
            known: Mutex::new((entry, Instant::now())),
        })
    }

    fn known(&self) -> (Entry, Instant) {
        self.known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn refresh(&self) {
        if let Ok(entry) = ask(&self.client, &self.entries).await {
            let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            *known = (entry, Instant::now());
        }
    }

    /// Serves one request to its end: the same id for all its tries.
    pub async fn serve(&self, job: Job) -> Record {
        let (entry, since) = self.known();
        if since.elapsed() > Duration::from_millis(entry.keep_ms) || entry.addresses.is_empty() {
            self.refresh().await;
        }
        let entry = self.known().0;
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
        self.tries(&job, &entry, home.address, &mut record).await;
        record
    }

    async fn tries(&self, job: &Job, entry: &Entry, home: SocketAddr, record: &mut Record) {
        let mut to = home;
        let mut turn = 0;
        while record.tries < self.settings.tries {
            record.tries += 1;
            let start = Instant::now();
            let one = tokio::time::timeout(TRY_WAIT, self.once(job, to, &record.id)).await;
            let wait = match one.unwrap_or(Try::Lost) {
                Try::Ran {
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
                Try::NotRun {
                    reason,
                    retry_after,
                } => {
                    record.verdict = "not_run".to_owned();
                    let final_word = reason == "budget_exhausted";
                    record.reason = reason;
                    if final_word {
                        return;
                    }
                    retry_after
                }
                Try::MayHaveRun { reason } => {
                    record.verdict = "may_have_run".to_owned();
                    record.reason = reason;
                    Duration::from_secs(1)
                }
                Try::Lost => {
                    record.verdict = "lost".to_owned();
                    Duration::from_millis(200)
                }
            };
            tokio::time::sleep(wait.min(self.settings.wait_max)).await;
            // Home first and last; others in between, which can take over if home is gone.
            turn += 1;
            let others = &entry.addresses;
            to = others
                .get(turn % others.len().max(1))
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

    async fn once(&self, job: &Job, to: SocketAddr, id: &str) -> Try {
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
    ) -> Try {
        let start = Instant::now();
        let body = Bytes::from(job.text.clone());
        let path = format!("/v1/services/{service}");
        let answer = self
            .client
            .whole(Method::POST, to, &path, headers, body.clone())
            .await;
        let Ok((status, answer_headers, answer)) = answer else {
            return Try::Lost;
        };
        if status != StatusCode::OK {
            return refused(&answer_headers);
        }
        let expected = Receipt {
            request_id: headers[0].1.to_owned(),
            receipt: receipt(&body),
        };
        let got: Option<Receipt> = serde_json::from_slice(&answer).ok();
        let billed = answer_headers
            .get(BILLED)
            .and_then(|value| value.to_str().ok());
        Try::Ran {
            billed: billed
                .and_then(|text| text.parse().ok())
                .unwrap_or_default(),
            first: start.elapsed(),
            whole: got == Some(expected),
        }
    }

    async fn call_model(&self, job: &Job, to: SocketAddr, headers: &[(&str, &str)]) -> Try {
        let path = "/v1/chat/completions";
        let body = self.body(job);
        let start = Instant::now();
        let sent = self
            .client
            .send(Method::POST, to, path, headers, body.clone())
            .await;
        let Ok(response) = sent else {
            return Try::Lost;
        };
        if response.status() != StatusCode::OK {
            let headers = response.headers().clone();
            let _ = response.into_body().into_bytes().await;
            return refused(&headers);
        }
        self.read(response, start, &body, headers[0].1).await
    }

    /// Reads a streamed answer; it is whole if every frame is its own, in order, and says what
    /// the engine must say.
    async fn read(&self, response: Response, start: Instant, body: &[u8], id: &str) -> Try {
        let Ok(call) = chat::parse(body) else {
            return Try::Lost;
        };
        let prompt = call.prompt();
        let Ok(mut reader) = response.into_sse() else {
            return Try::Lost;
        };
        let (mut next, mut whole) = (0, true);
        let mut first = None;
        loop {
            let Ok(Some(event)) = reader.read().await else {
                return Try::Lost;
            };
            let Ok(value) = serde_json::from_str::<Value>(event.data().unwrap_or_default()) else {
                return Try::Lost;
            };
            first.get_or_insert_with(|| start.elapsed());
            let told = &value["lanedeck"];
            if told["verdict"] == "may_have_run" {
                let reason = told["reason"].as_str().unwrap_or_default().to_owned();
                return Try::MayHaveRun { reason };
            }
            let Ok(frame) = serde_json::from_value::<Frame>(value.clone()) else {
                return Try::Lost;
            };
            whole &= frame.id == id && frame.index == next;
            if frame.usage.is_some() {
                return Try::Ran {
                    billed: told["billed"].as_u64().unwrap_or_default(),
                    first: first.unwrap_or_default(),
                    whole: whole && next == call.max_tokens,
                };
            }
            whole &= frame.text() == word(&prompt, next);
            next += 1;
        }
    }
}

fn refused(headers: &http::HeaderMap) -> Try {
    let text = |name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let reason = text(REASON);
    let seconds: u64 = text(http::header::RETRY_AFTER.as_str())
        .parse()
        .unwrap_or(1);
    match text(VERDICT).as_str() {
        "not_run" => Try::NotRun {
            reason,
            retry_after: Duration::from_secs(seconds),
        },
        "may_have_run" => Try::MayHaveRun { reason },
        _ => Try::Lost,
    }
}

async fn ask(client: &Client, entries: &[SocketAddr]) -> Result<Entry> {
    let mut last = super::usage("--entry: no address");
    for address in entries {
        match client.get(*address, "/v1/entry").await {
            Ok(value) => match serde_json::from_value::<Entry>(value) {
                Ok(entry) if !entry.addresses.is_empty() => return Ok(entry),
                Ok(_) => last = super::super::failed("an entry answer without addresses"),
                Err(error) => last = super::super::failed(error.to_string()),
            },
            Err(error) => last = Err(error),
        }
    }
    last
}
