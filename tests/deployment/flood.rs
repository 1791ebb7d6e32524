//! Stand-in for a target in trouble: it reads each request, and answers with bytes that are no answer and never end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-server-seal: s\r\n";
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-server-seal: s\r\n\
                           content-type: text/event-stream\r\n";
const FAILURE_HEAD: &str = "HTTP/1.1 503 No\r\nx-attempt-id: ID\r\nx-server-seal: s\r\n";

/// Where in an answer the endless bytes are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// In place of a head.
    Head,
    /// In a header of the head.
    Header,
    /// In headers of the head, one after the other.
    Headers,
    /// Informational heads in place of the final one.
    Informational,
    /// In the extension of a chunk.
    ChunkExtension,
    /// In a body of chunks.
    Chunks,
    /// In a body of chunks of one byte each.
    SmallChunks,
    /// In a body that ends with its connection.
    Body,
    /// In a body whose length is beyond all limits.
    LongBody,
    /// In the body behind a failure's head.
    FailureBody,
    /// In the trailers behind a body.
    Trailers,
    /// In an event of a stream.
    Event,
    /// In an event that comes in chunks of one byte each.
    SmallEvent,
    /// Comments in place of events.
    Comments,
    /// A stream of whole events.
    Events,
}

impl Part {
    /// Bytes that are sent once, and those that are repeated without end.
    fn bytes(self) -> (String, &'static str) {
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        match self {
            Self::Head => (String::new(), "x"),
            Self::Header => (format!("{PLAIN_HEAD}x-more: "), "x"),
            Self::Headers => (PLAIN_HEAD.to_owned(), "x-more: x\r\n"),
            Self::Informational => (String::new(), "HTTP/1.1 103 Early\r\nlink: x\r\n\r\n"),
            Self::ChunkExtension => (format!("{PLAIN_HEAD}{chunked}4;x="), "x"),
            Self::Chunks => (format!("{PLAIN_HEAD}{chunked}"), "8\r\nxxxxxxxx\r\n"),
            Self::SmallChunks => (format!("{PLAIN_HEAD}{chunked}"), "1\r\nx\r\n"),
            Self::Body => (format!("{PLAIN_HEAD}connection: close\r\n\r\n"), "x"),
            Self::LongBody => (
                format!("{PLAIN_HEAD}content-length: 999999999999\r\n\r\n"),
                "x",
            ),
            Self::FailureBody => (format!("{FAILURE_HEAD}connection: close\r\n\r\n"), "x"),
            Self::Trailers => (format!("{PLAIN_HEAD}{chunked}0\r\n"), "x-more: x\r\n"),
            Self::Event => (format!("{STREAM_HEAD}connection: close\r\n\r\n"), "x"),
            Self::SmallEvent => (format!("{STREAM_HEAD}{chunked}"), "1\r\nx\r\n"),
            Self::Comments => (
                format!("{STREAM_HEAD}connection: close\r\n\r\n"),
                ": more\n\n",
            ),
            Self::Events => (
                format!("{STREAM_HEAD}connection: close\r\n\r\n"),
                "data: piece\n\n",
            ),
        }
    }
}

/// How fast the bytes come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// As fast as they are read.
    Fast,
    /// One in each interval.
    Single(Duration),
    /// So many, and then none.
    Stalled(usize),
}

/// The stand-in.
#[derive(Clone)]
pub struct Flood {
    pub address: SocketAddr,
    open: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Flood {
    pub async fn start(part: Part, pace: Pace) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let flood = Self {
            address: listener.local_addr().unwrap(),
            open: Arc::default(),
            requests: Arc::default(),
        };
        let serving = flood.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let flood = serving.clone();
                tokio::spawn(async move {
                    flood.open.fetch_add(1, Ordering::SeqCst);
                    flood.answer(stream, part, pace).await;
                    flood.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        flood
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Number of requests that it has read.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Answers one request until its connection is closed.
    async fn answer(&self, mut stream: TcpStream, part: Part, pace: Pace) {
        const BLOCK: usize = 64 << 10;
        let mut request = Vec::new();
        let mut buffer = vec![0; 16 << 10];
        while !request.windows(4).any(|end| end == b"\r\n\r\n") {
            match stream.read(&mut buffer).await {
                Ok(read) if read > 0 => request.extend_from_slice(&buffer[..read]),
                _ => return,
            }
        }
        self.requests.fetch_add(1, Ordering::SeqCst);
        let request = String::from_utf8_lossy(&request).into_owned();
        let id = request
            .lines()
            .find_map(|line| line.strip_prefix("x-attempt-id: "))
            .unwrap_or_default();
        let (head, repeated) = part.bytes();
        if stream
            .write_all(head.replace("ID", id).as_bytes())
            .await
            .is_err()
        {
            return;
        }
        let (mut reader, mut writer) = stream.into_split();
        let write = async {
            match pace {
                Pace::Fast => {
                    let block = repeated.repeat(BLOCK / repeated.len());
                    while writer.write_all(block.as_bytes()).await.is_ok() {}
                }
                Pace::Stalled(count) => {
                    let block = repeated.repeat(count / repeated.len());
                    if writer.write_all(block.as_bytes()).await.is_ok() {
                        std::future::pending::<()>().await;
                    }
                }
                Pace::Single(interval) => {
                    for byte in repeated.as_bytes().iter().cycle() {
                        if writer.write_all(&[*byte]).await.is_err() {
                            break;
                        }
                        tokio::time::sleep(interval).await;
                    }
                }
            }
        };
        let closed = async { while reader.read(&mut buffer).await.is_ok_and(|read| read > 0) {} };
        tokio::select! {
            () = write => {}
            () = closed => {}
        }
    }
}
