//! A caller's HTTP connection. Unlike the gateway's own client it records how far a request and its response got, and
//! can send a body in pieces.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http::HeaderMap;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;

use crate::deployment::Ask;
use crate::deployment::server::Body;

/// Connect timeout of the platform's callers.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How far a request and its response got.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// When the last byte of the request was handed to the connection.
    pub sent: Arc<OnceLock<Instant>>,
    /// Status and headers of the response.
    pub head: Option<(u16, HeaderMap)>,
    pub body: Vec<u8>,
    pub end: End,
    /// Whether a connection without a response was closed and not reset. A close resets the connection if sent data was
    /// left unread.
    pub was_closed_cleanly: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    /// It had not ended when its caller stopped waiting.
    #[default]
    Open,
    /// Nothing was sent.
    Unsent,
    /// The connection ended before the head of a response.
    Closed,
    /// The response was cut off.
    Cut,
    /// The response is complete.
    Whole,
}

impl Progress {
    pub fn status(&self) -> Option<u16> {
        self.head.as_ref().map(|(status, _)| *status)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, headers) = self.head.as_ref()?;
        headers.get(name)?.to_str().ok()
    }
}

impl Progress {
    /// The timeline entries of an attempt, as its caller saw it.
    pub fn timeline(
        &self,
        id: &str,
        begun: Instant,
        begin_entry: String,
        ended: Instant,
        was_abandoned: bool,
    ) -> Vec<(Instant, String)> {
        let mut timeline = vec![(begun, begin_entry)];
        if let Some(sent) = self.sent.get() {
            timeline.push((*sent, format!("caller  {id} has sent the whole request")));
        }
        let end_entry = format!(
            "caller  {id} ends: {:?}, status {:?}, {} bytes{}",
            self.end,
            self.status(),
            self.body.len(),
            if was_abandoned { ", abandoned" } else { "" }
        );
        timeline.push((ended, end_entry));
        timeline
    }
}

/// The size of the pieces of a body, and the pause before each.
#[derive(Clone, Debug)]
pub struct Pieces {
    pub size: usize,
    pub pause: Duration,
}

/// How a caller reads responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    AtOnce,
    /// With a small receive buffer, and only after this pause from the head of a response on.
    Slowly(Duration),
}

/// Receive buffer of a caller that reads slowly, in bytes: smaller than a long response.
const SLOW_BUFFER: u32 = 16 << 10;

pub struct Connection {
    sender: SendRequest<Body>,
    pub address: SocketAddr,
    /// When the connection was established.
    pub opened: Instant,
    /// Requests that were sent on it.
    pub request_count: u32,
    reading: Reading,
}

impl Connection {
    pub async fn open(address: SocketAddr, reading: Reading) -> Option<Self> {
        let socket = TcpSocket::new_v4().ok()?;
        if reading != Reading::AtOnce {
            socket.set_recv_buffer_size(SLOW_BUFFER).ok()?;
        }
        let connect = socket.connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // Errors of the connection surface in the request that waits on it.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(Self {
            sender,
            address,
            opened: Instant::now(),
            request_count: 0,
            reading,
        })
    }

    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and reads its response, as far as either gets.
    pub async fn send(&mut self, ask: &Ask, pieces: Option<&Pieces>, progress: &mut Progress) {
        self.request_count += 1;
        let body = body(&ask.body, pieces, &progress.sent);
        let mut request = http::Request::new(body);
        *request.method_mut() = ask.method.clone();
        *request.uri_mut() = ask.path.parse().unwrap();
        *request.headers_mut() = ask.headers.clone();
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let was_not_sent = error.take_message().is_some();
                progress.was_closed_cleanly = error.error().is_incomplete_message();
                progress.end = if was_not_sent {
                    End::Unsent
                } else {
                    End::Closed
                };
                return;
            }
        };
        let (parts, mut incoming) = response.into_parts();
        progress.head = Some((parts.status.as_u16(), parts.headers));
        if let Reading::Slowly(pause) = self.reading {
            tokio::time::sleep(pause).await;
        }
        while let Some(frame) = incoming.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) => progress.body.extend_from_slice(&data),
                Ok(Err(_)) => {}
                Err(_) => {
                    progress.end = End::Cut;
                    return;
                }
            }
        }
        progress.end = End::Whole;
        // The connection can be reused only after it has processed the end of the response.
        let _ = self.sender.ready().await;
    }
}

fn body(bytes: &Bytes, pieces: Option<&Pieces>, sent: &Arc<OnceLock<Instant>>) -> Body {
    let Some(pieces) = pieces else {
        let _ = sent.set(Instant::now());
        return Body::Whole(Full::new(bytes.clone()));
    };
    let state = (bytes.clone(), pieces.clone(), Arc::clone(sent));
    Body::stream(stream::unfold(
        state,
        |(mut rest, pieces, sent)| async move {
            if rest.is_empty() {
                let _ = sent.set(Instant::now());
                return None;
            }
            tokio::time::sleep(pieces.pause).await;
            let piece = rest.split_to(pieces.size.clamp(1, rest.len()));
            Some((Ok(piece), (rest, pieces, sent)))
        },
    ))
}
