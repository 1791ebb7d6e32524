//! Discards the rest of the body of a request that is refused before it has been read.

use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

/// Timeout of discarding a body. A caller that is sending takes far less.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a task that reads the rest of a refused request's body, up to `max` bytes, which is the limit for the body
/// of an accepted request. A connection that is closed with unread data is reset, and the reset can overtake the
/// response; this still happens with longer bodies. Returns `None` if there is nothing to read or the body is known to
/// be longer.
pub(super) fn discard(
    body: Incoming,
    max: usize,
) -> Option<impl Future<Output = ()> + Send + 'static> {
    if body.is_end_stream() || body.size_hint().lower() > max as u64 {
        return None;
    }
    Some(async move {
        let mut body = Limited::new(body, max);
        // The library reports the end of a completely received body only once the next head arrives.
        let read =
            async { while !body.is_end_stream() && matches!(body.frame().await, Some(Ok(_))) {} };
        if timeout(DISCARD_TIMEOUT, read).await.is_err() {
            tracing::debug!(event = "body_not_discarded");
        }
    })
}
