//! Limits on a router's spend while the store may be restored from a copy.
//!
//! The store may be restored from a copy of itself that lacks what was written in the last seconds. Rows of that time
//! are then gone, whoever acknowledged them, and so may be every process that knew of them. Each row therefore names a
//! cap, and the processes of its router never spend more than the lowest cap of all rows that may be the newest in a
//! copy: those acknowledged recently, the last one before them, and any that may still be written. If a copy may have
//! no row of the router, nothing of the router's own grant is spent. So whichever row of a router a copy has, the
//! router has spent no more than that row's cap. In the era after a restore, a row that was written before it counts
//! with its cap until its router has written another.
//!
//! This relies on the maximum age of a copy, which operators set. A row is in every copy once the store has answered
//! that much later in the same era: a copy made later has the row, and one made earlier is too old.

use serde::{Deserialize, Serialize};

use crate::store::Era;
use crate::units::{Millis, Tokens};

/// Rows acknowledged within this time are merged into one entry, which bounds how many are kept.
const MERGE_WINDOW: Millis = Millis(250);

/// A row's cap on later spending. It is encoded for other processes, so the order of fields is part of the format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cap {
    /// The era in which the row was written.
    pub era: Era,
    /// Tokens that all processes of the router together may spend while this row may be the newest in a copy.
    pub limit: Tokens,
    /// The lowest of this limit and of the caps in force when the row was written.
    pub lowest: Tokens,
}

/// The last answer of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreAnswer {
    /// The era of the store.
    pub era: Era,
    /// When the call was made, by the clock of this router's host.
    pub at: Millis,
}

/// The caps of rows that were acknowledged within [`MERGE_WINDOW`].
#[derive(Clone, Copy, Debug)]
struct MergedCap {
    first: Millis,
    last: Millis,
    era: Era,
    limit: Tokens,
}

/// The caps in force for one router and customer.
#[derive(Clone, Debug)]
pub struct Caps {
    /// The limit from rows of the router that copies may have from before this process wrote its first row; `None` once
    /// no copy can have such a row as its newest.
    initial: Option<Tokens>,
    /// In the order of acknowledgement.
    acknowledged: Vec<MergedCap>,
}

impl Caps {
    /// The caps of a process that has not written a row yet.
    pub fn new(initial: Tokens) -> Self {
        Self {
            initial: Some(initial),
            acknowledged: Vec::new(),
        }
    }

    /// Whether no row of the process has been recorded yet.
    pub fn is_new(&self) -> bool {
        self.acknowledged.is_empty()
    }

    /// Records the cap of a row that the store has, or may have.
    pub fn record(&mut self, now: Millis, cap: &Cap) {
        let (era, limit) = (cap.era, cap.limit);
        if let Some(merged) = self.acknowledged.last_mut()
            && merged.era == era
            && now.saturating_sub(merged.first) < MERGE_WINDOW
        {
            merged.last = now;
            merged.limit = merged.limit.min(limit);
            return;
        }
        self.acknowledged.push(MergedCap {
            first: now,
            last: now,
            era,
            limit,
        });
    }

    /// Drops the caps of rows that can no longer be the newest in any copy, given the last answer of the store.
    pub fn release(&mut self, answer: &StoreAnswer, copy_age: Millis) {
        let is_in_every_copy =
            |merged: &MergedCap| merged.era == answer.era && merged.last + copy_age <= answer.at;
        if let Some(last) = self.acknowledged.iter().rposition(is_in_every_copy) {
            self.acknowledged.drain(..last);
            self.initial = None;
        }
    }

    /// The lowest limit in force; `None` if there is none.
    pub fn lowest(&self) -> Option<Tokens> {
        let limits = self.acknowledged.iter().map(|merged| merged.limit);
        limits.chain(self.initial).min()
    }
}
