//! Whether a target is cold (recently started), and how many requests this router sent to it in that time.

use crate::gateway::decision::cold::WINDOW;
use crate::units::Millis;

/// Warm-up state of a target.
#[derive(Clone, Debug, Default)]
pub(super) struct Warmup {
    until: Millis,
    sends: Vec<Millis>,
}

impl Warmup {
    /// Records that the target stays cold for `left`. Never shortens the time known so far, since a delayed report may
    /// date from before the target turned cold.
    pub(super) fn extend(&mut self, now: Millis, left: Millis) {
        if left > Millis::ZERO {
            self.until = self.until.max(now + left);
        }
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
