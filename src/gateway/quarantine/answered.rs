//! Requests that were answered well of late, of whichever number there is room for.

use std::collections::{HashMap, VecDeque};

use crate::gateway::fingerprint::Fingerprint;
use crate::units::Millis;

/// Requests that are remembered: some hundred kilobytes, and at the busiest routers the last ten seconds. Those that
/// matter come again and again, and so are among them.
const REMEMBERED: usize = 2_048;
/// A request that was noted so short a time ago is not noted again.
const NOTED_AGAIN: Millis = Millis(1_000);

/// When requests were answered well.
#[derive(Debug, Default)]
pub(super) struct Answered {
    last: HashMap<Fingerprint, Millis>,
    in_order: VecDeque<(Fingerprint, Millis)>,
}

impl Answered {
    /// Notes an answer.
    pub(super) fn note(&mut self, now: Millis, fingerprint: Fingerprint) {
        let last = self.last.get(&fingerprint);
        if last.is_some_and(|at| now.saturating_sub(*at) < NOTED_AGAIN) {
            return;
        }
        self.last.insert(fingerprint, now);
        self.in_order.push_back((fingerprint, now));
        if self.in_order.len() > REMEMBERED {
            self.drop_oldest();
        }
    }

    /// When a request was last answered, as far as that is remembered.
    pub(super) fn last(&self, fingerprint: Fingerprint) -> Option<Millis> {
        self.last.get(&fingerprint).copied()
    }

    fn drop_oldest(&mut self) {
        let Some((fingerprint, at)) = self.in_order.pop_front() else {
            return;
        };
        // One that was answered again since has a later place.
        if self.last.get(&fingerprint) == Some(&at) {
            self.last.remove(&fingerprint);
        }
    }
}
