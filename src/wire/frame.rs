//! Limits and functions shared by the client and the server.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::RecvStream;

/// Maximum size of a received frame, in bytes.
const FRAME_MAX: usize = 16 << 20;
/// Flow-control window of a stream and of a connection, in bytes.
pub(super) const WINDOW: u32 = 1 << 20;
/// Default timeout of a call, which includes the time to connect.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reads a complete body. Returns `None` if it exceeds the maximum size of a frame.
pub(super) async fn collect(mut body: RecvStream) -> Result<Option<Bytes>, h2::Error> {
    let mut frame = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part?;
        body.flow_control().release_capacity(part.len())?;
        frame.extend_from_slice(&part);
        if frame.len() > FRAME_MAX {
            return Ok(None);
        }
    }
    Ok(Some(frame.freeze()))
}
