//! A caller's connection that knows what of its requests is still being read.
//!
//! The HTTP library counts a kept connection as idle until a whole head has come, so it would close one over
//! a part of a head. What has been read and not followed by a write is such a part, or a request under way.
//! Nor does the library wait for the rest of a refused body, if the connection's last answer has been written.
//! The socket owns the stream and never decides when it ends; [`Server`](super::Server) does.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use super::upload;

/// Interval at which a closing server checks whether a connection has written. Short beside the
/// way from a caller; only runs while a server closes.
const POLL: Duration = Duration::from_millis(5);

/// An accepted connection.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    reading: Reading,
}

/// What of a connection's requests is still being read, shared with what answers on it.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// Whether its last bytes were read and not written.
    unanswered: Arc<AtomicBool>,
    /// Bodies of refused requests that are being discarded.
    discards: TaskTracker,
}

impl Reading {
    /// Discards what is still to come of a refused request's body, at most `max` bytes, while the caller gets
    /// the refusal.
    pub fn discard(&self, body: Incoming, max: usize) {
        if let Some(discard) = upload::discard(body, max) {
            self.discards.spawn(discard);
        }
    }

    /// Waits until the connection has written since it last read.
    pub(super) async fn answered(&self) {
        while self.unanswered.load(Ordering::Relaxed) {
            sleep(POLL).await;
        }
    }

    /// Whether a body is being discarded.
    pub(super) fn is_discarding(&self) -> bool {
        !self.discards.is_empty()
    }

    /// Waits until no body is being discarded.
    pub(super) async fn discarded(&self) {
        self.discards.close();
        self.discards.wait().await;
    }
}

impl Socket {
    /// A socket that sends what is written at once.
    pub(super) fn new(stream: TcpStream) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            // The connection still works, only slower.
            tracing::debug!(event = "nodelay_failed", %error);
        }
        let reading = Reading::default();
        Self { stream, reading }
    }

    /// What of its requests is still being read.
    pub fn reading(&self) -> Reading {
        self.reading.clone()
    }

    /// The other side's address.
    ///
    /// # Errors
    /// The system's, where the other side has left already.
    pub fn peer_addr(&self) -> io::Result<std::net::SocketAddr> {
        self.stream.peer_addr()
    }

    fn note_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(1..)) = written {
            self.reading.unanswered.store(false, Ordering::Relaxed);
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.reading.unanswered.store(true, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
