//! Response bodies, buffered or streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::stream::BoxStream;
use futures::{Stream, StreamExt};
use hyper::body::{Frame, SizeHint};
use snafu::Snafu;

/// The error of a body that ended early: the connection is closed without the end of the body.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("broken off"))]
pub struct Truncated;

/// A response body.
pub enum Body {
    /// The complete body; `None` once it was sent.
    Full(Option<Bytes>),
    /// A body that is sent as it arrives.
    Stream(BoxStream<'static, Result<Bytes, Truncated>>),
}

impl Body {
    /// Creates a body from bytes that are all known.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(stream) => {
                let next = Pin::new(stream).poll_next(context);
                next.map(|item| item.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Creates a body from a stream of chunks.
pub fn stream(stream: impl Stream<Item = Result<Bytes, Truncated>> + Send + 'static) -> Body {
    Body::Stream(stream.boxed())
}
