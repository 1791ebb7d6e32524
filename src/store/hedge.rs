//! Hedged reads: a read is sent again while it has no answer.
//!
//! A slow store answers the first read after a while; a store that was unresponsive and has recovered answers the next
//! one at once. Waiting for the first read alone would miss the second case.

use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

use super::CallError;

/// Delay without an answer after which a read is sent again, and the store is reported as unresponsive.
pub const HEDGE_AFTER: Duration = Duration::from_millis(600);
/// Overall timeout of a hedged read.
pub const ANSWER_MAX: Duration = Duration::from_secs(5);

/// Delays without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// After each of these the store is reported as unresponsive.
    silence: Duration,
    /// After each of these the call is sent again.
    repeat: Duration,
}

impl Delays {
    /// The same delay for both.
    pub fn new(delay: Duration) -> Self {
        Self {
            silence: delay,
            repeat: delay,
        }
    }

    /// Sets another delay after which the call is sent again.
    pub fn with_repeat(self, repeat: Duration) -> Self {
        Self { repeat, ..self }
    }
}

/// Makes a call, and repeats it while there is no answer; calls `on_silence` meanwhile. Returns the first answer. A call
/// that fails without an answer is ignored while others are pending.
///
/// # Errors
/// The error that the first answer reports; [`CallError::Unknown`] or [`CallError::Unreachable`] if there is none.
pub async fn hedged<'a, T>(
    delays: Delays,
    on_silence: impl Fn(),
    call: impl Fn() -> BoxFuture<'a, Result<T, CallError>>,
) -> Result<T, CallError> {
    let begun_at = Instant::now();
    let deadline = begun_at + ANSWER_MAX;
    let mut silence_at = begun_at + delays.silence;
    let mut repeat_at = begun_at + delays.repeat;
    let mut calls = FuturesUnordered::new();
    calls.push(call());
    loop {
        tokio::select! {
            biased;
            Some(result) = calls.next() => match result {
                Err(CallError::Unknown | CallError::Unreachable) if !calls.is_empty() => {}
                result => return result,
            },
            () = sleep_until(silence_at) => {
                on_silence();
                silence_at = Instant::now() + delays.silence;
            }
            () = sleep_until(repeat_at) => {
                calls.push(call());
                repeat_at = Instant::now() + delays.repeat;
            }
            () = sleep_until(deadline) => return Err(CallError::Unknown),
        }
    }
}
