//! Reads request bodies completely.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use super::deadline::Deadline;
use super::decision::refusal::Reason;

/// Reads a body of at most `max` bytes.
///
/// # Errors
/// Why the request is refused; immediately if the declared length exceeds `max`.
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
        Err(expiry) => Err(Reason::expired_before_send(expiry)),
    }
}
