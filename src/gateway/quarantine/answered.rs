//! Recently succeeded requests and blocks of prompts, up to a fixed number.

use std::collections::{HashMap, VecDeque};

use crate::gateway::fingerprint::Fingerprint;
use crate::units::Millis;

/// Maximum number of requests kept: a few hundred kilobytes, and about the last ten seconds on the busiest routers.
/// The requests that matter are repeated often, so they are among them.
const ENTRIES_MAX: usize = 4_096;
/// Minimum time between two records of the same request.
const RECORD_INTERVAL_MIN: Millis = Millis(1_000);

/// When requests last succeeded.
#[derive(Debug, Default)]
pub(super) struct Answered {
    last: HashMap<Fingerprint, Millis>,
    oldest_first: VecDeque<(Fingerprint, Millis)>,
}

impl Answered {
    /// Records a success.
    pub(super) fn record(&mut self, now: Millis, fingerprint: Fingerprint) {
        let last = self.last.get(&fingerprint);
        if last.is_some_and(|at| now.saturating_sub(*at) < RECORD_INTERVAL_MIN) {
            return;
        }
        self.last.insert(fingerprint, now);
        self.oldest_first.push_back((fingerprint, now));
        if self.oldest_first.len() > ENTRIES_MAX {
            self.drop_oldest();
        }
    }

    /// When a request last succeeded, if still known.
    pub(super) fn last(&self, fingerprint: Fingerprint) -> Option<Millis> {
        self.last.get(&fingerprint).copied()
    }

    fn drop_oldest(&mut self) {
        let Some((fingerprint, at)) = self.oldest_first.pop_front() else {
            return;
        };
        // A request that has succeeded again since then has a newer entry in the queue.
        if self.last.get(&fingerprint) == Some(&at) {
            self.last.remove(&fingerprint);
        }
    }
}
