//! Response bodies, buffered or streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::stream::BoxStream;
use futures::{Stream, StreamExt};
use hyper::body::{Frame, SizeHint};
use snafu::Snafu;

use super::held::Usage;

/// Maximum size of a part of a body that is handed to the connection at once, so that the rest is counted as held while
/// a slow caller reads.
const FRAME_MAX: usize = 64 << 10;

/// The error of a body that ended early: the connection is closed without the end of the body.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("broken off"))]
pub struct Truncated;

/// A response body.
pub enum Body {
    /// The complete body, or what is left of it.
    Full {
        /// The bytes that were not sent yet.
        bytes: Bytes,
        /// Counts the bytes while they are held.
        usage: Option<Usage>,
    },
    /// A body that is sent as it arrives.
    Stream(BoxStream<'static, Result<Bytes, Truncated>>),
}

impl Body {
    /// Creates a body from bytes that are all known.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Full { bytes, usage: None }
    }

    /// Creates a body whose bytes are counted until they are sent.
    pub fn held(bytes: Bytes, usage: Usage) -> Self {
        let usage = Some(usage);
        Self::Full { bytes, usage }
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
            Self::Full { bytes, usage } => {
                let next = bytes.split_to(bytes.len().min(FRAME_MAX));
                if bytes.is_empty() {
                    usage.take();
                }
                Poll::Ready((!next.is_empty()).then(|| Ok(Frame::data(next))))
            }
            Self::Stream(stream) => {
                let next = Pin::new(stream).poll_next(context);
                next.map(|item| item.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full { bytes, .. } => bytes.is_empty(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full { bytes, .. } => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Creates a body from a stream of chunks.
pub fn stream(stream: impl Stream<Item = Result<Bytes, Truncated>> + Send + 'static) -> Body {
    Body::Stream(stream.boxed())
}
