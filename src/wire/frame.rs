//! What both sides of a link keep to.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::RecvStream;

/// Longest frame taken, in bytes.
const FRAME_MAX: usize = 16 << 20;
/// Flow-control window of a stream and of a connection, in bytes.
pub(super) const WINDOW: u32 = 1 << 20;
/// Longest wait for a connection, and for an answer, where nothing else is said.
pub(super) const WAIT: Duration = Duration::from_millis(1_500);

/// Reads a body whole; `None` where it is longer than a frame may be.
pub(super) async fn collect(mut body: RecvStream) -> Result<Option<Bytes>, h2::Error> {
    let mut whole = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part?;
        body.flow_control().release_capacity(part.len())?;
        whole.extend_from_slice(&part);
        if whole.len() > FRAME_MAX {
            return Ok(None);
        }
    }
    Ok(Some(whole.freeze()))
}
