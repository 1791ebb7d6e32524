//! Whether a target is cold, and what this router has sent it meanwhile.

use crate::gateway::decision::cold::WINDOW;
use crate::units::Millis;

/// What is known of a target's warming up.
#[derive(Clone, Debug, Default)]
pub(super) struct Warmup {
    until: Millis,
    sends: Vec<Millis>,
}

impl Warmup {
    /// Notes that the target is cold for so long. What was known stays: a word that comes late may be of before it
    /// turned cold.
    pub(super) fn note(&mut self, now: Millis, left: Millis) {
        if left > Millis::ZERO {
            self.until = self.until.max(now + left);
        }
    }

    /// Whether the target is cold.
    pub(super) fn is_cold(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Counts a request that is sent there, and forgets those that count no more.
    pub(super) fn note_send(&mut self, now: Millis) {
        if self.is_cold(now) {
            self.sends.retain(|at| is_recent(now, *at));
            self.sends.push(now);
        }
    }

    /// Requests that were sent there of late, while it was cold.
    pub(super) fn recent_sends(&self, now: Millis) -> usize {
        self.sends.iter().filter(|at| is_recent(now, **at)).count()
    }
}

/// Whether a request that was sent at `at` counts towards what a cold target bears.
fn is_recent(now: Millis, at: Millis) -> bool {
    now.saturating_sub(at) < WINDOW
}
