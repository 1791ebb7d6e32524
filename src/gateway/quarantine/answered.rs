//! Recently succeeded requests and blocks of prompts, up to a fixed number.

use std::collections::{HashMap, VecDeque};

use crate::gateway::fingerprint::Fingerprint;
use crate::units::Millis;

/// Maximum number of requests kept: a few hundred kilobytes, and about the last ten seconds on the busiest routers.
/// The requests that matter are repeated often, so they are among them.
const ENTRIES_MAX: usize = 4_096;
/// Minimum time between two records of the same request.
const RECORD_INTERVAL_MIN: Millis = Millis(1_000);

/// The successes of a request or block.
#[derive(Clone, Copy, Debug)]
pub(super) struct Successes {
    /// When it last succeeded.
    pub(super) last: Millis,
    /// Number of records, which are [`RECORD_INTERVAL_MIN`] apart.
    pub(super) count: u32,
}

/// When requests last succeeded.
#[derive(Debug, Default)]
pub(super) struct Answered {
    successes: HashMap<Fingerprint, Successes>,
    oldest_first: VecDeque<(Fingerprint, Millis)>,
}

impl Answered {
    /// Records a success.
    pub(super) fn record(&mut self, now: Millis, fingerprint: Fingerprint) {
        let known = self.successes.get(&fingerprint);
        if known.is_some_and(|known| now.saturating_sub(known.last) < RECORD_INTERVAL_MIN) {
            return;
        }
        let count = known.map_or(0, |known| known.count);
        let successes = Successes {
            last: now,
            count: count.saturating_add(1),
        };
        self.successes.insert(fingerprint, successes);
        self.oldest_first.push_back((fingerprint, now));
        if self.oldest_first.len() > ENTRIES_MAX {
            self.drop_oldest();
        }
    }

    /// The successes of a request or block, if still known.
    pub(super) fn get(&self, fingerprint: Fingerprint) -> Option<Successes> {
        self.successes.get(&fingerprint).copied()
    }

    fn drop_oldest(&mut self) {
        let Some((fingerprint, at)) = self.oldest_first.pop_front() else {
            return;
        };
        // A request that has succeeded again since then has a newer entry in the queue.
        if self.get(fingerprint).is_some_and(|known| known.last == at) {
            self.successes.remove(&fingerprint);
        }
    }
}
