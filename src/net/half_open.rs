//! A connection to a target on which an answer can still be read after writing has failed.
//!
//! A target may answer a long request from its head and close. The HTTP library ends a connection at the first error
//! of a write, with the answer that has arrived unread: a refusal with a promise, or a whole answer, would be passed
//! on as a failure that may have run. So once a part of a request has been written, the rest of it is dropped in
//! silence, and reading tells the answer or the error. The system tells a reset once, so what a write was told is
//! told again by the read at the end: an answer without a length is not whole after it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream whose failed writes are told by its reads.
#[derive(Debug)]
pub(super) struct HalfOpen {
    stream: TcpStream,
    writing: Writing,
    /// What the first failed write was told.
    error: Option<io::ErrorKind>,
}

/// What has been written on a connection, shared with who sends on it.
#[derive(Clone, Debug, Default)]
pub(super) struct Writing(Arc<Written>);

#[derive(Debug, Default)]
struct Written {
    /// Whether something of the present request has been written.
    has_begun: AtomicBool,
    /// Whether a write has failed: nothing more is sent.
    is_broken: AtomicBool,
}

impl Writing {
    /// Notes that the next request begins.
    pub(super) fn begin(&self) {
        self.0.has_begun.store(false, Ordering::Relaxed);
    }

    /// Whether a write has failed.
    pub(super) fn is_broken(&self) -> bool {
        self.0.is_broken.load(Ordering::Relaxed)
    }
}

impl HalfOpen {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            writing: Writing::default(),
            error: None,
        }
    }

    /// What has been written on it.
    pub(super) fn writing(&self) -> Writing {
        self.writing.clone()
    }

    /// The result of writing `len` bytes, as the library is told it. An error before anything of a
    /// request has been written stays one, so that the request fails at once.
    fn judge(&mut self, written: io::Result<usize>, len: usize) -> io::Result<usize> {
        let state = &self.writing.0;
        match written {
            Err(error) if state.has_begun.load(Ordering::Relaxed) => {
                tracing::debug!(event = "target_write_failed", %error);
                state.is_broken.store(true, Ordering::Relaxed);
                self.error = Some(error.kind());
                Ok(len)
            }
            Ok(written) => {
                state.has_begun.store(true, Ordering::Relaxed);
                Ok(written)
            }
            Err(error) => Err(error),
        }
    }
}

impl AsyncRead for HalfOpen {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let is_end = buffer.filled().len() == before;
        match self.error {
            // A broken pipe is no reset: the other side had ended its answer in order before.
            Some(error) if is_end && error != io::ErrorKind::BrokenPipe => {
                Poll::Ready(Err(error.into()))
            }
            _ => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for HalfOpen {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.error.is_some() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        Poll::Ready(self.judge(written, bytes.len()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = slices.iter().map(|slice| slice.len()).sum();
        if self.error.is_some() {
            return Poll::Ready(Ok(len));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices));
        Poll::Ready(self.judge(written, len))
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
