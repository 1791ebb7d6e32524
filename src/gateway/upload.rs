//! Bodies of requests: read completely, or discarded after a refusal.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::deadline::{Deadline, Over};
use super::decision::refusal::Reason;

/// Most of a refused request's body that is read and discarded, in bytes: the default limit of a body.
const DISCARD_MAX: usize = 4 << 20;
/// Longest time in which it is. Not measured: a caller that sends takes far less.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Reads a body of at most `max` bytes.
///
/// # Errors
/// Why the request is refused; at once where the caller says that the body is longer.
pub(super) async fn read(
    body: &mut Incoming,
    max: usize,
    deadline: &Deadline,
) -> Result<Bytes, Reason> {
    if body.size_hint().lower() > max as u64 {
        return Err(Reason::TooLong);
    }
    let collected = deadline.within(Limited::new(body, max).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::TooLong),
        Ok(Err(_)) => Err(Reason::BadBody),
        Err(Over::Late) => Err(Reason::Late),
        Err(Over::Stop) => Err(Reason::Stopping),
    }
}

/// Reads what is still to come of a refused request's body, in a task of its own, while the caller gets
/// the refusal. A connection that is closed with bytes unread is reset, which can overtake the answer.
pub(super) fn discard(body: Incoming) {
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
