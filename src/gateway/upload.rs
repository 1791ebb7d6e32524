//! Reads request bodies completely.

use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::deadline::Deadline;
use super::decision::refusal::Reason;
use super::held::Usage;

/// Reads a body of at most `max` bytes, which `usage` counts: of a declared length before anything is read, else as it
/// arrives.
///
/// # Errors
/// Why the request is refused; immediately if the declared length exceeds `max` or is refused by the account.
pub(super) async fn read(
    body: &mut Incoming,
    max: usize,
    usage: &mut Usage,
    deadline: &Deadline,
) -> Result<Bytes, Reason> {
    let declared = body.size_hint().lower();
    if declared > max as u64 {
        return Err(Reason::TooLong);
    }
    let declared = usize::try_from(declared).unwrap_or(max);
    if !usage.try_raise(declared) {
        return Err(Reason::MemoryFull);
    }
    match deadline.within(collect(body, declared, max, usage)).await {
        Ok(collected) => collected,
        Err(expiry) => Err(Reason::expired_before_send(expiry)),
    }
}

async fn collect(
    body: &mut Incoming,
    declared: usize,
    max: usize,
    usage: &mut Usage,
) -> Result<Bytes, Reason> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Reason::BadBody)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = collected.len() + data.len();
        if length > max {
            return Err(Reason::TooLong);
        }
        if !usage.try_raise(length) {
            return Err(Reason::MemoryFull);
        }
        if length == declared && collected.is_empty() {
            return Ok(data);
        }
        collected.reserve(declared.saturating_sub(collected.len()));
        collected.put(data);
    }
    Ok(collected.freeze())
}
