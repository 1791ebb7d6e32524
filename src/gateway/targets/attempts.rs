//! Outcomes of recent attempts at a target, as exponentially decaying counts. Unlike averages, counts of several
//! routers can be added up.

use crate::ejection::Outcome;
use crate::units::Millis;

/// Time constant of the exponential decay.
const DECAY_TIME_MS: f64 = 3_000.0;
/// Counts below this are not reported to other routers.
const REPORTED_MIN: f64 = 0.1;
/// Answered attempts assumed in advance, so that a single failure with no other attempts does not make a target
/// look broken.
const PRIOR_ANSWERED: f64 = 2.0;

/// Decaying counts of attempts at one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    /// Failed attempts.
    pub failed: f64,
    /// Answered attempts.
    pub answered: f64,
    /// Time up to which the counts are decayed.
    at: Millis,
}

impl Attempts {
    /// Returns the counts decayed to `now`.
    pub fn at(self, now: Millis) -> Self {
        let elapsed = now.saturating_sub(self.at).0 as f64;
        let decay = (-elapsed / DECAY_TIME_MS).exp();
        Self {
            failed: self.failed * decay,
            answered: self.answered * decay,
            at: now,
        }
    }

    /// Counts the outcome of an attempt.
    pub fn record(&mut self, now: Millis, outcome: Outcome) {
        *self = self.at(now);
        match outcome {
            Outcome::Failed => self.failed += 1.0,
            Outcome::Answered { .. } => self.answered += 1.0,
        }
    }

    /// Whether both counts are too small to be reported to other routers.
    pub fn is_negligible(&self) -> bool {
        self.failed < REPORTED_MIN && self.answered < REPORTED_MIN
    }

    /// Share of failed attempts, 0 to 1, including those of other routers. `PRIOR_ANSWERED` keeps it low while there
    /// are few attempts.
    pub fn failure_share(&self, failed_elsewhere: f64, answered_elsewhere: f64) -> f64 {
        let failed = self.failed + failed_elsewhere;
        let answered = self.answered + answered_elsewhere;
        failed / (failed + answered + PRIOR_ANSWERED)
    }
}
