//! One connection: it carries one request at a time, and is closed when it is dropped before the
//! answer has been read to its end.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::half_open::{HalfOpen, Writing};
use crate::boot_clock;
use crate::units::Millis;

/// A request with its whole body.
pub type Request = http::Request<Full<Bytes>>;
/// An answer whose body is still to come.
pub type Response = http::Response<Incoming>;

/// Most headers of an answer.
const HEADERS_MAX: usize = 64;
/// Longest buffer of bytes that were read and not yet passed on, in bytes.
const BUFFER_MAX: usize = 64 << 10;

/// A request without an answer.
#[derive(Debug, Snafu)]
#[snafu(display("{source}"))]
pub struct SendError {
    /// Whether nothing of it has been written.
    pub was_not_sent: bool,
    source: hyper::Error,
}

/// An open connection, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    writing: Writing,
    /// When the other side may close it, while it is idle.
    idle_until: Option<Millis>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects, within a time. Data that is not acknowledged for `silence` fails the connection.
///
/// # Errors
/// The system's error; `TimedOut` where the time is over.
pub async fn open(
    address: SocketAddr,
    limit: Duration,
    silence: Duration,
) -> io::Result<Connection> {
    let connect = TcpStream::connect(address);
    let stream = tokio::time::timeout(limit, connect)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(silence))?;
    let stream = HalfOpen::new(stream);
    let writing = stream.writing();
    let (sender, connection) = http1::Builder::new()
        .max_headers(HEADERS_MAX)
        .max_buf_size(BUFFER_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            // Whoever waits for an answer on it sees an error of its own.
            tracing::debug!(event = "connection_ended", %error);
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        writing,
        idle_until: None,
    })
}

impl Connection {
    /// Sends a request. The next may be sent once the answer's body has been read to its end.
    ///
    /// # Errors
    /// The connection's error, and whether the request may have arrived.
    pub async fn send(&mut self, request: Request) -> Result<Response, SendError> {
        self.writing.begin();
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| SendError {
                was_not_sent: error.take_message().is_some(),
                source: error.into_error(),
            })
    }

    /// Whether it can take a request now.
    pub fn is_usable(&self, now: Millis) -> bool {
        let is_open = self.sender.is_ready() && !self.writing.is_broken();
        is_open && self.idle_until.is_none_or(|until| now < until)
    }

    /// Notes that it is idle from now on, and for how long it may be used again. The other side's clock runs on
    /// while this host sleeps.
    pub fn set_idle(&mut self, idle: Duration) {
        self.idle_until = Some(boot_clock::now() + Millis(idle.as_millis() as u64));
    }
}
