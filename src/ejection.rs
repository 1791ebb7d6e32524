//! How a target has behaved towards this router.
//!
//! A target that fails fast has few requests in flight and would attract ever more, so failures
//! count against it by share and eject it for a while.

use crate::units::Millis;

/// Weight of the newest sample in the running averages.
const NEWEST: f64 = 0.2;
/// Share of failures above which a target is ejected, once there are enough outcomes.
const FAILURES_MAX: f64 = 0.4;
/// Fewest outcomes before the share is judged.
const OUTCOMES_MIN: u32 = 8;
/// Failures in a row that eject a target.
const ROW_MAX: u32 = 3;
/// First ejection; it doubles with each that follows.
const EJECTED_FIRST: Millis = Millis(2_000);
/// Longest ejection.
const EJECTED_MAX: Millis = Millis(60_000);

/// How a request to a target ended, as far as the target is to be judged by it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered.
    Answered {
        /// Time to the end.
        whole: Millis,
    },
    /// It could not be reached, refused, broke off, or answered wrongly.
    Failed,
}

/// Running judgement of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: f64,
    row: u32,
    outcomes: u32,
    whole: Option<f64>,
    ejected_until: Millis,
    ejections: u32,
}

impl Health {
    /// Takes an outcome in. Whether the target should now be ejected is returned.
    pub fn note(&mut self, outcome: Outcome) -> bool {
        self.outcomes = self.outcomes.saturating_add(1);
        match outcome {
            Outcome::Answered { whole } => {
                self.failures *= 1.0 - NEWEST;
                self.whole = Some(average(self.whole, whole));
                self.row = 0;
                self.ejections = 0;
                false
            }
            Outcome::Failed => {
                self.failures = self.failures * (1.0 - NEWEST) + NEWEST;
                self.row += 1;
                let by_share = self.outcomes >= OUTCOMES_MIN && self.failures > FAILURES_MAX;
                by_share || self.row >= ROW_MAX
            }
        }
    }

    /// Ejects the target for a while.
    pub fn eject(&mut self, now: Millis) {
        let doubled = EJECTED_FIRST.0 << self.ejections.min(5);
        self.ejected_until = now + Millis(doubled).min(EJECTED_MAX);
        self.ejections += 1;
        self.failures = 0.0;
        self.row = 0;
        self.outcomes = 0;
    }

    /// Whether it is ejected at `now`.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Average time of a whole request, in milliseconds, once there is one.
    pub fn whole(&self) -> Option<f64> {
        self.whole
    }
}

fn average(old: Option<f64>, sample: Millis) -> f64 {
    let sample = sample.0 as f64;
    old.map_or(sample, |old| old * (1.0 - NEWEST) + sample * NEWEST)
}
