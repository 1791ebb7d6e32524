//! A connection to a target on which the response can still be read after a write has failed.
//!
//! A target may respond to a long request after its head and close the connection. The HTTP library ends a connection
//! at the first write error and leaves the received response unread: a refusal that promises that the request was not
//! run, or a complete response, would be handled as the failure of a request that may have run. Therefore, once a part
//! of a request has been written, write errors are suppressed and the rest of the request is discarded; reading yields
//! the response or the error. The system reports a reset only once, so the error of the write is reported again by the
//! read at the end of the stream: a response without a length is not complete after a reset.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream that reports errors of writes at its reads.
#[derive(Debug)]
pub(super) struct HalfOpen {
    stream: TcpStream,
    write_state: WriteState,
    /// The error of the first failed write.
    error: Option<io::ErrorKind>,
}

/// State of the writes on a connection, shared with the sender of requests.
#[derive(Clone, Debug, Default)]
pub(super) struct WriteState(Arc<WriteFlags>);

#[derive(Debug, Default)]
struct WriteFlags {
    /// Whether a part of the current request has been written.
    has_begun: AtomicBool,
    /// Whether a write has failed, after which nothing more is sent.
    is_broken: AtomicBool,
}

impl WriteState {
    /// Resets the state for the next request.
    pub(super) fn begin_request(&self) {
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
            write_state: WriteState::default(),
            error: None,
        }
    }

    /// The state of the writes.
    pub(super) fn write_state(&self) -> WriteState {
        self.write_state.clone()
    }

    /// The result that the HTTP library gets for a write of `len` bytes. An error before any part of a request has been
    /// written is returned, so that the request fails at once; later errors are suppressed.
    fn suppress_error(&mut self, written: io::Result<usize>, len: usize) -> io::Result<usize> {
        let state = &self.write_state.0;
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
            // A broken pipe is not a reset: the peer had ended its response in order before.
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
        Poll::Ready(self.suppress_error(written, bytes.len()))
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
        Poll::Ready(self.suppress_error(written, len))
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
