//! A client connection. It carries one request at a time, and is closed when it is dropped before the response has
//! been read to its end.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{Snafu, ensure};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::half_open::{ExchangeState, HalfOpen};
use crate::boot_clock;
use crate::units::Millis;

/// A request with its complete body.
pub type Request = http::Request<Full<Bytes>>;
/// A response whose body has not been read yet.
pub type Response = http::Response<Incoming>;

/// Maximum number of headers of a response.
const HEADERS_MAX: usize = 64;
/// Maximum size of the read buffer, in bytes.
const BUFFER_MAX: usize = 64 << 10;

/// A request that got no response.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The connection failed, or the bytes on it are no response.
    #[snafu(display("{source}"))]
    Failed {
        /// Whether no part of the request has been written.
        was_not_sent: bool,
        /// The HTTP library's error.
        source: hyper::Error,
    },
    /// The head of the response has a status that no final response has.
    #[snafu(display("{status} is no status of a final response"))]
    Status {
        /// The status.
        status: StatusCode,
    },
}

impl SendError {
    /// Whether no part of the request has been written.
    pub fn was_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Failed {
                was_not_sent: true,
                ..
            }
        )
    }

    /// The kind of the system's error, if the connection failed with one.
    pub fn kind(&self) -> Option<io::ErrorKind> {
        match self {
            Self::Failed { source, .. } => error_kind(source),
            Self::Status { .. } => None,
        }
    }
}

/// Whether a response of this status is a final one of a class that HTTP defines. No request asks for an upgrade, so
/// 101 is none either.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// The kind of the system's error that an error of the HTTP library is due to, if any.
pub fn error_kind(error: &hyper::Error) -> Option<io::ErrorKind> {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(error) = cause.downcast_ref::<io::Error>() {
            return Some(error.kind());
        }
        source = cause.source();
    }
    None
}

/// An open connection. It is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    state: ExchangeState,
    /// When the last response was read to its end.
    idle_since: Option<Millis>,
    /// When the peer may close the connection, while it is idle.
    idle_until: Option<Millis>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection within `limit`. It fails once sent data has not been acknowledged for `acknowledge_timeout`.
///
/// # Errors
/// The system's error; `TimedOut` if the connection was not opened in time.
pub async fn open(
    address: SocketAddr,
    limit: Duration,
    acknowledge_timeout: Duration,
) -> io::Result<Connection> {
    let connect = TcpStream::connect(address);
    let stream = tokio::time::timeout(limit, connect)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(acknowledge_timeout))?;
    let stream = HalfOpen::new(stream);
    let state = stream.state();
    let (sender, connection) = http1::Builder::new()
        .max_headers(HEADERS_MAX)
        .max_buf_size(BUFFER_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            // A request that waits for its response on the connection fails with an error of its own.
            tracing::debug!(event = "connection_ended", %error);
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        state,
        idle_since: None,
        idle_until: None,
    })
}

impl Connection {
    /// Sends a request. The next may be sent once the response's body has been read to its end.
    ///
    /// # Errors
    /// Why there is no response, and whether the request was not sent at all. After an error the connection must not be
    /// used again.
    pub async fn send(&mut self, request: Request) -> Result<Response, SendError> {
        self.state.begin_request();
        let sent = self.sender.try_send_request(request).await;
        self.state.end_head();
        let response = sent.map_err(|mut error| SendError::Failed {
            was_not_sent: error.take_message().is_some(),
            source: error.into_error(),
        })?;
        let status = response.status();
        ensure!(is_final(status), StatusSnafu { status });
        Ok(response)
    }

    /// Whether a request can be sent on the connection now.
    pub fn is_usable(&self, now: Millis) -> bool {
        let is_open = self.sender.is_ready() && !self.state.is_broken();
        is_open && self.idle_until.is_none_or(|until| now < until)
    }

    /// Marks the connection as idle from now on, and reusable for `idle`. The time that this host is suspended counts,
    /// since the peer's timeout goes on meanwhile.
    pub fn set_idle(&mut self, idle: Duration) {
        let now = boot_clock::now();
        self.idle_since = Some(now);
        self.idle_until = Some(now + Millis(idle.as_millis() as u64));
    }

    /// Time since the last response on the connection was read to its end; `None` if it has had none.
    pub fn since_last_response(&self) -> Option<Millis> {
        let idle_since = self.idle_since?;
        Some(boot_clock::now().saturating_sub(idle_since))
    }
}
