//! Bodies of answers: complete, or as they come.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::stream::BoxStream;
use futures::{Stream, StreamExt};
use hyper::body::{Frame, SizeHint};
use snafu::Snafu;

/// A stream that ended early; the connection is closed without the end of the body.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("broken off"))]
pub struct Broken;

/// A body.
pub enum Body {
    /// All of it, until it has been taken.
    Full(Option<Bytes>),
    /// As it comes.
    Stream(BoxStream<'static, Result<Bytes, Broken>>),
}

impl Body {
    /// A complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
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

/// A body from a stream.
pub fn stream(stream: impl Stream<Item = Result<Bytes, Broken>> + Send + 'static) -> Body {
    Body::Stream(stream.boxed())
}
