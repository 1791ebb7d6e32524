//! What is left of the body of a request that is refused before it is whole.

use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

/// Longest time in which it is. A caller that sends takes far less.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Reads what is still to come of a refused request's body, if it is at most `max` bytes: as much as the body of
/// a request that is let in. A connection that is closed with bytes unread is reset, which can overtake the
/// answer; that of a longer body is.
pub(super) fn discard(
    body: Incoming,
    max: usize,
) -> Option<impl Future<Output = ()> + Send + 'static> {
    if body.is_end_stream() || body.size_hint().lower() > max as u64 {
        return None;
    }
    Some(async move {
        let mut body = Limited::new(body, max);
        // The library tells the end of a body that is whole only with the next head.
        let read =
            async { while !body.is_end_stream() && matches!(body.frame().await, Some(Ok(_))) {} };
        if timeout(DISCARD_TIME, read).await.is_err() {
            tracing::debug!(event = "body_not_discarded");
        }
    })
}
