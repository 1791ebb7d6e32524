//! When a target that fails gets no more requests for a while.
//!
//! A target that fails fast has few requests in flight and would attract ever more, so its failures
//! count by share and in a row, and eject it. The ejection doubles each time, and ends by itself: the
//! next requests show whether the target is back. Part of each group stays in use whatever happens,
//! since where all fail the fault is seldom the targets'. Both kinds of router judge by this.

use crate::units::Millis;

/// Weight of the newest outcome in the running averages, 0 to 1.
const NEWEST: f64 = 0.2;
/// Share of failures above which a target is ejected, once there are enough outcomes.
const FAILURES_MAX: f64 = 0.4;
/// Fewest outcomes before the share is judged.
const OUTCOMES_MIN: u32 = 8;
/// Failures in a row that eject a target. Fewer eject on chance.
const FAILED_IN_A_ROW: u32 = 3;
/// First ejection; it doubles with each that follows.
const EJECTION_FIRST: Millis = Millis(2_000);
/// Longest ejection.
const EJECTION_MAX: Millis = Millis(60_000);
/// Doublings after which an ejection has its longest time.
const DOUBLINGS_MAX: u32 = 5;
/// Part of a group that may be ejected at most, one in this many.
const GROUP_DIVISOR: usize = 2;

/// How an attempt at a target ended, as far as the target is to be judged by it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered.
    Answered {
        /// Time from the attempt's start to the answer's end.
        took: Millis,
    },
    /// It could not be reached, refused, broke off, or answered with a failure.
    Failed,
}

/// What is remembered of one target's outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_share: f64,
    failed_in_a_row: u32,
    outcomes: u32,
    mean_time: Option<f64>,
    ejected_until: Millis,
    ejections: u32,
}

impl Health {
    /// Takes an outcome in. Whether the target should be ejected, as far as it alone is concerned, is
    /// returned; see [`leaves_enough`].
    pub fn note(&mut self, outcome: Outcome) -> bool {
        self.outcomes = self.outcomes.saturating_add(1);
        match outcome {
            Outcome::Answered { took } => {
                self.failure_share *= 1.0 - NEWEST;
                self.mean_time = Some(average(self.mean_time, took));
                self.failed_in_a_row = 0;
                self.ejections = 0;
                false
            }
            Outcome::Failed => {
                self.failure_share = self.failure_share * (1.0 - NEWEST) + NEWEST;
                self.failed_in_a_row += 1;
                self.fails_too_often()
            }
        }
    }

    fn fails_too_often(&self) -> bool {
        let by_share = self.outcomes >= OUTCOMES_MIN && self.failure_share > FAILURES_MAX;
        by_share || self.failed_in_a_row >= FAILED_IN_A_ROW
    }

    /// Ejects the target for a while.
    pub fn eject(&mut self, now: Millis) {
        let doubled = EJECTION_FIRST.0 << self.ejections.min(DOUBLINGS_MAX);
        self.ejected_until = now + Millis(doubled).min(EJECTION_MAX);
        self.ejections += 1;
        self.failure_share = 0.0;
        self.failed_in_a_row = 0;
        self.outcomes = 0;
    }

    /// Whether it is ejected at `now`.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Average time of an answer in milliseconds, once there is one.
    pub fn mean_time(&self) -> Option<f64> {
        self.mean_time
    }
}

/// Whether one more target of a group may be ejected, of which so many are.
pub fn leaves_enough(ejected: usize, group: usize) -> bool {
    (ejected + 1) * GROUP_DIVISOR <= group
}

fn average(old: Option<f64>, sample: Millis) -> f64 {
    let sample = sample.0 as f64;
    old.map_or(sample, |old| old * (1.0 - NEWEST) + sample * NEWEST)
}
