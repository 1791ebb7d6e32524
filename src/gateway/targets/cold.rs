//! Whether a target is cold, and what this router has sent it meanwhile.

use std::collections::VecDeque;

use crate::gateway::decision::cold::WINDOW;
use crate::units::Millis;

/// What is known of a target's warming up.
#[derive(Clone, Debug, Default)]
pub(super) struct Warmup {
    until: Millis,
    sends: VecDeque<Millis>,
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

    /// Counts a request that is sent there.
    pub(super) fn note_send(&mut self, now: Millis) {
        if self.is_cold(now) {
            self.sends.push_back(now);
        }
    }

    /// Requests that were sent there of late, while it was cold.
    pub(super) fn recent_sends(&self, now: Millis) -> usize {
        let is_recent = |at: &&Millis| now.saturating_sub(**at) < WINDOW;
        self.sends.iter().rev().take_while(is_recent).count()
    }

    /// Forgets the sends once the target is warm.
    pub(super) fn tidy(&mut self, now: Millis) {
        if !self.is_cold(now) {
            self.sends.clear();
        }
    }
}
