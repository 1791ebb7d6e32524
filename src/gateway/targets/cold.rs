//! Whether a target is cold (recently started), and how many requests this router sent to it in that time.

use crate::gateway::decision::cold::WINDOW;
use crate::units::Millis;

/// Prolongation of a cold time that is more than a delayed report of the same time.
const PROLONGED_MIN: Millis = Millis(500);

/// Warm-up state of a target.
#[derive(Clone, Debug, Default)]
pub(super) struct Warmup {
    until: Millis,
    sends: Vec<Millis>,
}

impl Warmup {
    /// Records that the target stays cold for `left`. Never shortens the time known so far, since a delayed report may
    /// date from before the target turned cold. Returns whether it was prolonged by more than delays explain.
    pub(super) fn extend(&mut self, now: Millis, left: Millis) -> bool {
        if left == Millis::ZERO {
            return false;
        }
        let before = self.until.max(now);
        self.until = self.until.max(now + left);
        self.until.saturating_sub(before) >= PROLONGED_MIN
    }

    /// How much longer the target is cold.
    pub(super) fn left(&self, now: Millis) -> Millis {
        self.until.saturating_sub(now)
    }

    /// Whether the target is cold at `now`.
    pub(super) fn is_cold(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Counts a request sent to the target while it is cold, and drops those outside the counting window.
    pub(super) fn record_send(&mut self, now: Millis) {
        if self.is_cold(now) {
            self.sends.retain(|at| is_recent(now, *at));
            self.sends.push(now);
        }
    }

    /// Number of requests in the counting window that were sent to the target while it was cold.
    pub(super) fn recent_sends(&self, now: Millis) -> usize {
        self.sends.iter().filter(|at| is_recent(now, **at)).count()
    }
}

/// Whether a request sent at `at` still counts towards the request rate of a cold target.
fn is_recent(now: Millis, at: Millis) -> bool {
    now.saturating_sub(at) < WINDOW
}
