//! Ejection of failing targets, which get no requests for some time.
//!
//! A target that fails fast has few requests in flight and would attract more and more of them, so it is ejected by its
//! failure rate or after consecutive failures. The duration of an ejection doubles each time. An ejection ends by
//! itself, and the next requests show whether the target has recovered. Part of each group always stays in use, since
//! if all targets fail, the fault is seldom theirs. Both kinds of router use these rules.

use crate::units::Millis;

/// Weight of the newest outcome in the exponential moving averages, 0 to 1.
const NEWEST_WEIGHT: f64 = 0.2;
/// Failure rate above which a target is ejected, once there are [`OUTCOMES_MIN`] outcomes.
const FAILURE_RATE_MAX: f64 = 0.4;
/// Minimum number of outcomes before the failure rate is considered.
const OUTCOMES_MIN: u32 = 8;
/// Consecutive failures that eject a target. A lower number would eject targets by chance.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// Duration of the first ejection; it doubles with each that follows.
const EJECTION_FIRST: Millis = Millis(2_000);
/// Longest ejection.
const EJECTION_MAX: Millis = Millis(60_000);
/// Number of doublings after which an ejection has its longest duration.
const DOUBLINGS_MAX: u32 = 5;
/// At most one in this many targets of a group may be ejected.
const GROUP_DIVISOR: usize = 2;

/// The outcome of an attempt at a target, as far as it reflects on the target's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// Time from the start of the attempt to the end of the answer.
        took: Millis,
    },
    /// The target could not be reached, refused the request, broke off, or answered with an error.
    Failed,
}

/// Statistics of one target's outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    consecutive_failures: u32,
    outcomes: u32,
    mean_time: Option<f64>,
    ejected_until: Millis,
    ejections: u32,
}

impl Health {
    /// Records an outcome. Returns whether the target should be ejected by its own statistics; the state of its group
    /// is checked by [`leaves_enough`].
    pub fn record(&mut self, outcome: Outcome) -> bool {
        self.outcomes = self.outcomes.saturating_add(1);
        match outcome {
            Outcome::Answered { took } => {
                self.failure_rate *= 1.0 - NEWEST_WEIGHT;
                self.mean_time = Some(average(self.mean_time, took));
                self.consecutive_failures = 0;
                self.ejections = 0;
                false
            }
            Outcome::Failed => {
                self.failure_rate = self.failure_rate * (1.0 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
                self.consecutive_failures += 1;
                self.fails_too_often()
            }
        }
    }

    fn fails_too_often(&self) -> bool {
        let by_rate = self.outcomes >= OUTCOMES_MIN && self.failure_rate > FAILURE_RATE_MAX;
        by_rate || self.consecutive_failures >= CONSECUTIVE_FAILURES_MAX
    }

    /// Ejects the target for a limited time.
    pub fn eject(&mut self, now: Millis) {
        let doubled = EJECTION_FIRST.0 << self.ejections.min(DOUBLINGS_MAX);
        self.ejected_until = now + Millis(doubled).min(EJECTION_MAX);
        self.ejections += 1;
        self.failure_rate = 0.0;
        self.consecutive_failures = 0;
        self.outcomes = 0;
    }

    /// Whether the target is ejected at `now`.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Average time of an answer in milliseconds; `None` before the first answer.
    pub fn mean_time(&self) -> Option<f64> {
        self.mean_time
    }
}

/// Whether one more target may be ejected from a group of `group` targets, of which `ejected` already are.
pub fn leaves_enough(ejected: usize, group: usize) -> bool {
    (ejected + 1) * GROUP_DIVISOR <= group
}

fn average(old: Option<f64>, sample: Millis) -> f64 {
    let sample = sample.0 as f64;
    old.map_or(sample, |old| {
        old * (1.0 - NEWEST_WEIGHT) + sample * NEWEST_WEIGHT
    })
}
