//! A connection to a target on which the response can still be read after a write has failed.
//!
//! A target may respond to a long request after its head and close the connection. The HTTP library ends a connection
//! at the first write error and leaves the received response unread: a refusal that promises that the request was not
//! run, or a complete response, would be handled as the failure of a request that may have run. Therefore, once a part
//! of a request has been written, write errors are suppressed and the rest of the request is discarded; reading yields
//! the response or the error. The system reports a reset only once, so the error of the write is reported again by the
//! read at the end of the stream: a response without a length is not complete after a reset.
//!
//! The library reads informational heads one after the other without end and without a pause. So the bytes that are read
//! between a request and the final head of its response are limited here.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are read before the final head of a response is complete.
const HEAD_BYTES_MAX: usize = 128 << 10;

/// A stream that reports errors of writes at its reads.
#[derive(Debug)]
pub(super) struct HalfOpen {
    stream: TcpStream,
    state: ExchangeState,
    /// The error of the first failed write.
    error: Option<io::ErrorKind>,
}

/// State of the request and the response on a connection, shared with the sender of requests.
#[derive(Clone, Debug, Default)]
pub(super) struct ExchangeState(Arc<Progress>);

#[derive(Debug, Default)]
struct Progress {
    /// Whether a part of the current request has been written.
    has_begun: AtomicBool,
    /// Whether a write has failed, after which nothing more is sent.
    is_broken: AtomicBool,
    /// Whether the head of the current response is awaited.
    awaits_head: AtomicBool,
    /// Bytes that were read since the current request began.
    read: AtomicUsize,
}

impl ExchangeState {
    /// Resets the state for the next request.
    pub(super) fn begin_request(&self) {
        self.0.has_begun.store(false, Ordering::Relaxed);
        self.0.read.store(0, Ordering::Relaxed);
        self.0.awaits_head.store(true, Ordering::Relaxed);
    }

    /// Notes that the final head of the response was received.
    pub(super) fn end_head(&self) {
        self.0.awaits_head.store(false, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// `InvalidData` if they are too many without a final head.
    fn count_read(&self, bytes: usize) -> io::Result<()> {
        let read = self.0.read.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.0.awaits_head.load(Ordering::Relaxed) && read > HEAD_BYTES_MAX {
            tracing::debug!(event = "head_endless", read);
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
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
            state: ExchangeState::default(),
            error: None,
        }
    }

    /// The state of the request and the response.
    pub(super) fn state(&self) -> ExchangeState {
        self.state.clone()
    }

    /// The result that the HTTP library gets for a write of `len` bytes. An error before any part of a request has been
    /// written is returned, so that the request fails at once; later errors are suppressed.
    fn suppress_error(&mut self, written: io::Result<usize>, len: usize) -> io::Result<usize> {
        let state = &self.state.0;
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
        let read = buffer.filled().len() - before;
        self.state.count_read(read)?;
        let is_end = read == 0;
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
