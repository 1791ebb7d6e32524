//! The pause after a call that failed.
//!
//! The store refuses calls beyond its rate, and each refused call counts as well. If all routers repeat them at a fixed
//! interval, a large fleet alone exceeds the rate for good. So the pause doubles with each such refusal, and is random.

use std::time::Duration;

use super::CallError;

/// Pause after a failed call, and the first one after a refusal for the store's rate.
const PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a refusal for the store's rate: 2,000 routers that repeat three calls each at this interval make
/// 2,500 calls a second.
const PAUSE_MAX: Duration = Duration::from_millis(2_400);
/// Number of doublings after which the pause is the longest.
const DOUBLINGS_MAX: u32 = 4;

/// The pause of one caller between its calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    refusals: u32,
}

impl Backoff {
    /// Notes that a call succeeded.
    pub fn reset(&mut self) {
        self.refusals = 0;
    }

    /// The pause after a failed call; `random` is a number from 0 to 1.
    pub fn pause(&mut self, error: &CallError, random: f64) -> Duration {
        if *error != CallError::Limited {
            return PAUSE;
        }
        let doubled = PAUSE * (1 << self.refusals.min(DOUBLINGS_MAX));
        self.refusals = self.refusals.saturating_add(1);
        doubled.min(PAUSE_MAX).mul_f64(0.5 + random / 2.0)
    }
}
