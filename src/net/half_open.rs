//! A connection to a target on which an answer can still be read after writing has failed.
//!
//! A target may answer a long request from its head and close. The HTTP library ends a connection at the first
//! error of a write, with the answer that has arrived unread: a refusal with a promise, or a whole answer, was
//! passed on as a failure that may have run, 20 of 20 with a body of 4 MB. So once a part of a request has
//! been written, the rest of it is dropped in silence, and reading tells the answer or the error.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream whose failed writes are told by its reads.
#[derive(Debug)]
pub(super) struct HalfOpen {
    stream: TcpStream,
    /// Whether something has been written since the last read.
    has_written: bool,
    /// Whether writing has failed: nothing more is sent.
    is_broken: bool,
}

impl HalfOpen {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            has_written: false,
            is_broken: false,
        }
    }

    /// The result of writing `len` bytes, as the library is told it. A request of which nothing has been
    /// written can go elsewhere, so its error stays one.
    fn judge(&mut self, written: io::Result<usize>, len: usize) -> io::Result<usize> {
        match written {
            Err(error) if self.has_written => {
                tracing::debug!(event = "target_write_failed", %error);
                self.is_broken = true;
                Ok(len)
            }
            Ok(written) => {
                self.has_written = true;
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
        if buffer.filled().len() > before {
            self.has_written = false;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HalfOpen {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_broken {
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
        if self.is_broken {
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
