//! The log service.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{CallSnafu, Client, Error, client, json};
use crate::router::key::Stream;
use crate::router::log::Batch;
use crate::units::{Millis, Offset};

const SERVICE: &str = "log";
/// Longest wait for an answer beyond the wait that a read asks for.
const WAIT: Duration = Duration::from_millis(2_500);

/// Where a reader is in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The stream.
    pub stream: Stream,
    /// The next offset to read.
    pub from: Offset,
}

/// What a read found in one stream.
#[derive(Clone, Debug)]
pub struct Page {
    /// The stream.
    pub stream: Stream,
    /// The oldest offset that the log still has.
    pub first: Offset,
    /// What follows on, in order.
    pub batches: Vec<(Offset, Batch)>,
}

/// The platform's log.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a batch. An error does not mean that it was not appended.
    fn append(
        &self,
        stream: Stream,
        batch: &Batch,
    ) -> impl Future<Output = Result<Offset, Error>> + Send;

    /// Reads what is new in any of the streams, and waits for it at most `wait`.
    fn read(
        &self,
        cursors: &[Cursor],
        wait: Millis,
    ) -> impl Future<Output = Result<Vec<Page>, Error>> + Send;
}

/// The log over HTTP.
#[derive(Clone)]
pub struct HttpLog {
    address: SocketAddr,
    client: Client,
}

/// An append's answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Where it went.
    pub offset: u64,
}

/// A read's question.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Streams by name, with the next offset of each.
    pub cursors: Vec<(String, u64)>,
    /// Longest wait for something new, in milliseconds.
    pub wait_ms: u64,
}

/// One stream of a read's answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct StreamPage {
    /// Its name.
    pub stream: String,
    /// The oldest offset that the log still has.
    pub first: u64,
    /// Offset of the first of `records`.
    pub from: u64,
    /// Records in base64.
    pub records: Vec<String>,
}

/// A read's answer: the streams that have something new.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Those streams.
    pub streams: Vec<StreamPage>,
}

impl HttpLog {
    /// A client of the log at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: client(Duration::from_secs(30)),
        }
    }

    fn page(page: StreamPage) -> Result<Page, Error> {
        let answer = |why: &str| Error::Answer {
            service: SERVICE,
            why: format!("{}: {why}", page.stream),
        };
        let stream = Stream::all().find(|stream| stream.to_string() == page.stream);
        let stream = stream.ok_or_else(|| answer("a stream that was not asked for"))?;
        let mut batches = Vec::with_capacity(page.records.len());
        for (offset, record) in (page.from..).zip(&page.records) {
            let bytes = STANDARD.decode(record).map_err(|_| answer("not base64"))?;
            let batch = Batch::decode(&bytes).ok_or_else(|| answer("not a batch of ours"))?;
            batches.push((Offset(offset), batch));
        }
        Ok(Page {
            stream,
            first: Offset(page.first),
            batches,
        })
    }
}

impl Log for HttpLog {
    async fn append(&self, stream: Stream, batch: &Batch) -> Result<Offset, Error> {
        let uri = format!("http://{}/v1/streams/{stream}/append", self.address);
        let request = self.client.post(uri).data(batch.encode());
        let sent = tokio::time::timeout(WAIT, request.send()).await;
        let response = sent.map_err(|_| timed_out())?;
        let response = response.context(CallSnafu { service: SERVICE })?;
        let appended: Appended = json(SERVICE, response).await?;
        Ok(Offset(appended.offset))
    }

    async fn read(&self, cursors: &[Cursor], wait: Millis) -> Result<Vec<Page>, Error> {
        let uri = format!("http://{}/v1/read", self.address);
        let cursors = cursors
            .iter()
            .map(|one| (one.stream.to_string(), one.from.0));
        let body = ReadRequest {
            cursors: cursors.collect(),
            wait_ms: wait.0,
        };
        let body = serde_json::to_vec(&body).expect("a read request is plain data");
        let limit = WAIT + Duration::from_millis(wait.0);
        let sent = tokio::time::timeout(limit, async {
            let request = self.client.post(uri).data(body).send();
            let response = request.await.context(CallSnafu { service: SERVICE })?;
            json::<ReadAnswer>(SERVICE, response).await
        });
        let answer = sent.await.map_err(|_| timed_out())??;
        answer.streams.into_iter().map(Self::page).collect()
    }
}

fn timed_out() -> Error {
    Error::Answer {
        service: SERVICE,
        why: "no answer in time".to_owned(),
    }
}
