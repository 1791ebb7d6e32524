//! How recent attempts at a target ended: counts that decay, so that they can be added over routers.

use crate::ejection::Outcome;
use crate::units::Millis;

/// Time constant of the decay, in milliseconds.
const MEMORY: f64 = 3_000.0;
/// Counts below this are not told to other routers.
const TOLD_MIN: f64 = 0.1;
/// Attempts that are taken to have been answered before any are known, so that one failure alone does
/// not make a target look broken.
const PRIOR: f64 = 2.0;

/// Decaying counts of attempts at one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    /// Attempts that failed.
    pub failed: f64,
    /// Attempts that were answered.
    pub answered: f64,
    at: Millis,
}

impl Attempts {
    /// The counts as they have decayed by `now`.
    pub fn at(self, now: Millis) -> Self {
        let elapsed = now.saturating_sub(self.at).0 as f64;
        let decay = (-elapsed / MEMORY).exp();
        Self {
            failed: self.failed * decay,
            answered: self.answered * decay,
            at: now,
        }
    }

    /// Counts an attempt.
    pub fn note(&mut self, now: Millis, outcome: Outcome) {
        *self = self.at(now);
        match outcome {
            Outcome::Failed => self.failed += 1.0,
            Outcome::Answered { .. } => self.answered += 1.0,
        }
    }

    /// Whether there is too little to tell.
    pub fn is_quiet(&self) -> bool {
        self.failed < TOLD_MIN && self.answered < TOLD_MIN
    }

    /// Share of attempts that failed, with those that other routers tell of; few say little.
    pub fn failing(&self, failed_elsewhere: f64, answered_elsewhere: f64) -> f64 {
        let failed = self.failed + failed_elsewhere;
        let answered = self.answered + answered_elsewhere;
        failed / (failed + answered + PRIOR)
    }
}
