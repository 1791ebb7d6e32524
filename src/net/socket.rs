//! A caller's connection that tracks which parts of its requests are still being read.
//!
//! The HTTP library treats a kept-alive connection as idle until a complete head has arrived, so its graceful shutdown
//! would close a connection on which a part of a head has been read. Bytes read without a later write are such a part,
//! or a request that is being answered. Nor does the library wait for the rest of a refused request's body once the
//! last response has been written. The socket owns the stream; [`Server`](super::Server) decides when it is closed.

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

/// Interval at which a closing server checks whether a connection has written. It is short compared to the latency of
/// the network from a caller. Polling only happens while a server closes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An accepted connection.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    read_state: ReadState,
}

/// Which parts of a connection's requests are still being read. Shared with the service that responds on it.
#[derive(Clone, Debug, Default)]
pub struct ReadState {
    /// Whether the connection has read since it last wrote.
    unanswered: Arc<AtomicBool>,
    /// Tasks that discard the bodies of refused requests.
    discards: TaskTracker,
}

impl ReadState {
    /// Reads and discards the rest of a refused request's body, at most `max` bytes, while the caller is sent the
    /// refusal.
    pub fn discard(&self, body: Incoming, max: usize) {
        if let Some(discard) = upload::discard(body, max) {
            self.discards.spawn(discard);
        }
    }

    /// Waits until the connection has written since it last read.
    pub(super) async fn answered(&self) {
        while self.unanswered.load(Ordering::Relaxed) {
            sleep(POLL_INTERVAL).await;
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
    /// Wraps an accepted stream, and disables Nagle's algorithm on it.
    pub(super) fn new(stream: TcpStream) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            // The connection still works, only slower.
            tracing::debug!(event = "nodelay_failed", %error);
        }
        let read_state = ReadState::default();
        Self { stream, read_state }
    }

    /// Which parts of the requests are still being read.
    pub fn read_state(&self) -> ReadState {
        self.read_state.clone()
    }

    /// The peer's address.
    ///
    /// # Errors
    /// The system's error if the peer has already disconnected.
    pub fn peer_addr(&self) -> io::Result<std::net::SocketAddr> {
        self.stream.peer_addr()
    }

    fn note_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(1..)) = written {
            self.read_state.unanswered.store(false, Ordering::Relaxed);
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
            self.read_state.unanswered.store(true, Ordering::Relaxed);
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
