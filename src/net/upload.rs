//! What is left of the body of a request that is refused before it is whole.

use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

/// Most of a refused request's body that is read and discarded, in bytes: the default limit of a gateway's
/// bodies, and more than that of a router's.
const DISCARD_MAX: usize = 4 << 20;
/// Longest time in which it is. Not measured: a caller that sends takes far less.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Reads what is still to come of a refused request's body, in a task of its own, while the caller gets
/// the refusal. A connection that is closed with bytes unread is reset, which can overtake the answer.
pub fn discard(body: Incoming) {
    if body.is_end_stream() || body.size_hint().lower() > DISCARD_MAX as u64 {
        return;
    }
    tokio::spawn(async move {
        let mut body = Limited::new(body, DISCARD_MAX);
        let read = async { while let Some(Ok(_)) = body.frame().await {} };
        if timeout(DISCARD_TIME, read).await.is_err() {
            tracing::debug!(event = "body_not_discarded");
        }
    });
}
