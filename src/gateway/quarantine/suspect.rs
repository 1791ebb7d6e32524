//! The crashes of one request, or of one block of prompts.

use crate::gateway::decision::quarantine::{self, Crash, Suspicion};
use crate::gateway::fingerprint::Kind;
use crate::units::Millis;

/// Maximum number of crashes kept for a request: as many as any rule needs, and one that tells blocks apart.
pub(super) const CRASHES_MAX: usize = 6;

/// A request or block that was in flight at targets that crashed.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub(super) kind: Kind,
    pub(super) crashes: Vec<Crash>,
    /// When it last succeeded; crashes that this clears are not attributed to it.
    pub(super) answered: Option<Millis>,
    /// Whether this router has seen one of the request's crashes itself.
    pub(super) has_own_crash: bool,
    /// Gossip rounds in which the last change has been reported.
    pub(super) rounds_reported: u32,
}

impl Suspect {
    pub(super) fn new(kind: Kind) -> Self {
        Self {
            kind,
            crashes: Vec::new(),
            answered: None,
            has_own_crash: false,
            rounds_reported: 0,
        }
    }

    /// Time of the last crash, or of the success.
    pub(super) fn last(&self) -> Millis {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.max(self.answered).unwrap_or_default()
    }

    /// Adds a crash; returns whether it is new and counts.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.instance == crash.instance);
        let is_cleared = |answered| quarantine::is_cleared(self.kind, answered, crash.at);
        if is_known || self.answered.is_some_and(is_cleared) {
            return false;
        }
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(place, crash);
        if self.crashes.len() > CRASHES_MAX {
            self.drop_unrelated_crash();
        }
        true
    }

    /// Drops the oldest crash that is not part of the longest run of consecutive ones, so that many simultaneous
    /// crashes do not evict earlier ones.
    fn drop_unrelated_crash(&mut self) {
        let row = quarantine::successive_crashes(self.crashes.iter().copied());
        let least = self.crashes.iter().position(|crash| !row.contains(crash));
        self.crashes.remove(least.unwrap_or(0));
    }

    /// Records a success; returns whether it clears the suspect of a crash, or is the first.
    pub(super) fn clear(&mut self, at: Millis) -> bool {
        let kind = self.kind;
        let before = (self.crashes.len(), self.answered.is_some());
        self.answered = self.answered.max(Some(at));
        self.crashes
            .retain(|crash| !quarantine::is_cleared(kind, at, crash.at));
        before != (self.crashes.len(), true)
    }

    pub(super) fn suspicion(&self) -> Suspicion {
        Suspicion {
            kind: self.kind,
            crashes: self.in_a_row(),
        }
    }

    pub(super) fn in_a_row(&self) -> usize {
        quarantine::in_a_row(self.crashes.iter().copied())
    }

    /// Longest time between two of its crashes that follow each other.
    pub(super) fn longest_gap(&self) -> Millis {
        let pairs = self.crashes.windows(2);
        let gaps = pairs.map(|pair| pair[1].at.saturating_sub(pair[0].at));
        gaps.max().unwrap_or_default()
    }

    pub(super) fn was_in_flight_at(&self, instance: u64) -> bool {
        self.crashes.iter().any(|crash| crash.instance == instance)
    }
}
