//! Hedged reads: a read is sent again while it has no answer.
//!
//! A slow store answers the first read after a while; a store that was unresponsive and has recovered answers the next
//! one at once. Waiting for the first read alone would miss the second case.

use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep, sleep_until};

use super::CallError;

/// Delay without an answer after which a read is sent again, and the store is reported as unresponsive.
pub const HEDGE_AFTER: Duration = Duration::from_millis(600);
/// Overall timeout of a hedged read.
pub const ANSWER_MAX: Duration = Duration::from_secs(5);

/// Makes a call, and repeats it after each `gap` without an answer, with a call of `on_silence` each time. Returns the
/// first answer. A call that fails without an answer is ignored while others are pending.
///
/// # Errors
/// The error that the first answer reports; [`CallError::Unknown`] or [`CallError::Unreachable`] if there is none.
pub async fn hedged<'a, T>(
    gap: Duration,
    on_silence: impl Fn(),
    call: impl Fn() -> BoxFuture<'a, Result<T, CallError>>,
) -> Result<T, CallError> {
    let deadline = Instant::now() + ANSWER_MAX;
    let mut calls = FuturesUnordered::new();
    calls.push(call());
    loop {
        tokio::select! {
            Some(result) = calls.next() => match result {
                Err(CallError::Unknown | CallError::Unreachable) if !calls.is_empty() => {}
                result => return result,
            },
            () = sleep(gap) => {
                on_silence();
                calls.push(call());
            }
            () = sleep_until(deadline) => return Err(CallError::Unknown),
        }
    }
}
