//! How long an answer of the store is waited for: longer after each wait in vain, since a store that
//! is slow would otherwise never be heard; short again once it answers fast, so that one that says
//! nothing is noticed soon.

use std::time::Duration;

use super::CallError;

/// Shortest wait.
const LEAST: Duration = Duration::from_millis(600);
/// Longest wait: the same as for a hedged read.
const MOST: Duration = super::hedge::ANSWER_MAX;
/// The wait, against the time that the last answer took.
const MARGIN: f64 = 2.5;
/// Growth of the wait after one in vain.
const BACKOFF: f64 = 2.0;

/// The wait for the next answer.
#[derive(Clone, Copy, Debug)]
pub struct Timeout(Duration);

impl Default for Timeout {
    fn default() -> Self {
        Self(LEAST)
    }
}

impl Timeout {
    /// How long the next answer is waited for.
    pub fn get(&self) -> Duration {
        self.0
    }

    /// Takes in how a call ended that took `elapsed`.
    pub fn note<T>(&mut self, result: &Result<T, CallError>, elapsed: Duration) {
        self.0 = match result {
            Err(CallError::Unknown) => self.0.mul_f64(BACKOFF),
            Err(CallError::Unreachable) => self.0,
            _ => elapsed.mul_f64(MARGIN),
        };
        self.0 = self.0.clamp(LEAST, MOST);
    }
}
