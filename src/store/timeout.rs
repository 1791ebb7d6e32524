//! An adaptive timeout for calls to the store. It grows after each call that timed out, since the answers of a slow
//! store would otherwise never arrive in time, and shrinks again once the store answers fast, so that an unresponsive
//! store is detected soon.

use std::time::Duration;

use super::CallError;

/// Shortest timeout.
const TIMEOUT_MIN: Duration = Duration::from_millis(600);
/// Longest timeout: that of a hedged read.
const TIMEOUT_MAX: Duration = super::hedge::ANSWER_MAX;
/// Ratio of the timeout to the time that the last answer took.
const MARGIN: f64 = 2.5;
/// Factor by which the timeout grows after a call without an answer.
const BACKOFF: f64 = 2.0;

/// The timeout of the next call.
#[derive(Clone, Copy, Debug)]
pub struct Timeout(Duration);

impl Default for Timeout {
    fn default() -> Self {
        Self(TIMEOUT_MIN)
    }
}

impl Timeout {
    /// The timeout of the next call.
    pub fn get(&self) -> Duration {
        self.0
    }

    /// Adapts the timeout to the result of a call that took `elapsed`.
    pub fn adapt<T>(&mut self, result: &Result<T, CallError>, elapsed: Duration) {
        self.0 = match result {
            Err(CallError::Unknown) => self.0.mul_f64(BACKOFF),
            Err(CallError::Unreachable) => self.0,
            _ => elapsed.mul_f64(MARGIN),
        };
        self.0 = self.0.clamp(TIMEOUT_MIN, TIMEOUT_MAX);
    }
}
