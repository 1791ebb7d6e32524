//! How long an answer of the store is waited for: longer after each wait in vain, since a store
//! that is slow would otherwise never be heard; short again once it answers fast, so that one that
//! says nothing is noticed soon.

use std::time::Duration;

use super::CallError;

/// Shortest wait.
const LEAST: Duration = Duration::from_millis(600);
/// Longest wait.
const MOST: Duration = Duration::from_secs(5);
/// What is waited, against the time that the last answer took.
const MARGIN: f64 = 2.5;

/// The wait for the next answer.
#[derive(Clone, Copy, Debug)]
pub struct Patience(Duration);

impl Default for Patience {
    fn default() -> Self {
        Self(LEAST)
    }
}

impl Patience {
    /// How long the next answer is waited for, beside what the store is asked to wait.
    pub fn limit(&self) -> Duration {
        self.0
    }

    /// Takes in how a call ended that took `elapsed`, of which the store was asked to wait up to
    /// `wait`.
    pub fn note<T>(&mut self, result: &Result<T, CallError>, elapsed: Duration, wait: Duration) {
        self.0 = match result {
            Err(CallError::Unknown) => self.0.mul_f64(2.0),
            Err(CallError::Unreachable) => self.0,
            _ => elapsed.saturating_sub(wait).mul_f64(MARGIN),
        };
        self.0 = self.0.clamp(LEAST, MOST);
    }
}
