//! The pause after a call that failed.
//!
//! The store refuses calls beyond its rate, and each refused call counts as well. If all routers repeat them at a fixed
//! interval, a large fleet alone exceeds the rate for good. So the pause doubles with each such refusal, and is random.

use std::time::Duration;

use super::CallError;

/// Pause after a failed call, and the first one after a refusal for the store's rate.
const PAUSE: Duration = Duration::from_millis(150);
/// Number of doublings after which the pause is the longest.
const DOUBLINGS_MAX: u32 = 4;

/// The pause of one caller between its calls.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    refusals: u32,
    longest: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            refusals: 0,
            longest: Self::LONGEST,
        }
    }
}

impl Backoff {
    /// Longest pause after a refusal for the store's rate, unless another is set: 2,000 routers that repeat three calls
    /// each at this interval make 2,500 calls a second.
    pub const LONGEST: Duration = Duration::from_millis(2_400);

    /// Sets another longest pause, for callers of which there are few.
    pub fn with_longest(self, longest: Duration) -> Self {
        Self { longest, ..self }
    }

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
        doubled.min(self.longest).mul_f64(0.5 + random / 2.0)
    }
}
