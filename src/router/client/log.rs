//! Client of the platform's log service.

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
/// Longest time for a response, in addition to the wait that a read asks for.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A read position in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The stream.
    pub stream: Stream,
    /// The next offset to read.
    pub from: Offset,
}

/// New records of one stream.
#[derive(Clone, Debug)]
pub struct Page {
    /// The stream.
    pub stream: Stream,
    /// The oldest offset that the log still retains.
    pub first: Offset,
    /// Batches from the cursor on, in order of offset.
    pub batches: Vec<(Offset, Batch)>,
}

/// The platform's log.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a batch. After an error, the batch may still have been appended.
    fn append(
        &self,
        stream: Stream,
        batch: &Batch,
    ) -> impl Future<Output = Result<Offset, Error>> + Send;

    /// Reads new records of any of the streams, waiting at most `wait` for one to arrive.
    fn read(
        &self,
        cursors: &[Cursor],
        wait: Millis,
    ) -> impl Future<Output = Result<Vec<Page>, Error>> + Send;
}

/// A client of the log service over HTTP.
#[derive(Clone)]
pub struct HttpLog {
    address: SocketAddr,
    client: Client,
}

/// Response to an append.
#[derive(Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the appended batch.
    pub offset: u64,
}

/// Body of a read request.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Names of the streams, each with the next offset to read.
    pub cursors: Vec<(String, u64)>,
    /// Longest wait for new records, in milliseconds.
    pub wait_ms: u64,
}

/// One stream in the response to a read.
#[derive(Debug, Serialize, Deserialize)]
pub struct StreamPage {
    /// Name of the stream.
    pub stream: String,
    /// The oldest offset that the log still retains.
    pub first: u64,
    /// Offset of the first record in `records`.
    pub from: u64,
    /// Records in base64.
    pub records: Vec<String>,
}

/// Response to a read: the streams with new records.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Streams with new records.
    pub streams: Vec<StreamPage>,
}

impl HttpLog {
    /// Creates a client of the log service at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: client(Duration::from_secs(30)),
        }
    }

    fn page(page: StreamPage) -> Result<Page, Error> {
        let invalid = |why: &str| Error::Answer {
            service: SERVICE,
            why: format!("{}: {why}", page.stream),
        };
        let stream = Stream::all().find(|stream| stream.to_string() == page.stream);
        let stream = stream.ok_or_else(|| invalid("unknown stream"))?;
        let mut batches = Vec::with_capacity(page.records.len());
        for (offset, record) in (page.from..).zip(&page.records) {
            let bytes = STANDARD
                .decode(record)
                .map_err(|_| invalid("record is not base64"))?;
            let batch =
                Batch::decode(&bytes).ok_or_else(|| invalid("record is not a valid batch"))?;
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
        let sent = tokio::time::timeout(RESPONSE_TIMEOUT, request.send()).await;
        let response = sent.map_err(|_| timed_out())?;
        let response = response.context(CallSnafu { service: SERVICE })?;
        let appended: Appended = json(SERVICE, response).await?;
        Ok(Offset(appended.offset))
    }

    async fn read(&self, cursors: &[Cursor], wait: Millis) -> Result<Vec<Page>, Error> {
        let uri = format!("http://{}/v1/read", self.address);
        let cursors = cursors
            .iter()
            .map(|cursor| (cursor.stream.to_string(), cursor.from.0));
        let body = ReadRequest {
            cursors: cursors.collect(),
            wait_ms: wait.0,
        };
        let body = serde_json::to_vec(&body).expect("a read request serializes to JSON");
        let limit = RESPONSE_TIMEOUT + Duration::from_millis(wait.0);
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
        why: "timed out waiting for a response".to_owned(),
    }
}
