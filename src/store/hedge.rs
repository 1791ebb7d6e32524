//! Hedged reads: the same read is sent again while the first has no answer.
//!
//! A store that is slow answers the first of them in the end; one that was silent for a while
//! answers the next at once. Waiting for the first alone would miss the other.

use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep, sleep_until};

use super::CallError;

/// How long an answer is waited for before the read is sent again, by which a silent store is noticed.
pub const HEDGE_AFTER: Duration = Duration::from_millis(600);
/// How long any answer is waited for in all.
pub const ANSWER_MAX: Duration = Duration::from_secs(5);

/// Makes a call, and once more after each `gap` without an answer, of which `on_silence` is told; the
/// first answer counts.
///
/// # Errors
/// The first answer's error; [`CallError::Unknown`] where there is none.
pub async fn hedged<'a, T>(
    gap: Duration,
    on_silence: impl Fn(),
    call: impl Fn() -> BoxFuture<'a, Result<T, CallError>>,
) -> Result<T, CallError> {
    let end = Instant::now() + ANSWER_MAX;
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
            () = sleep_until(end) => return Err(CallError::Unknown),
        }
    }
}
