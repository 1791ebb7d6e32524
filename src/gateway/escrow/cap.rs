//! What bounds a router's spend while the store may come back from a copy.
//!
//! The store may come back from a copy of itself, which lacks what was written in the last seconds. Rows of that time
//! are gone then, whoever has acknowledged them, and so may be all that knew of them. Each row therefore names a cap,
//! and its router's processes never spend more than the least cap of all rows that a copy may have as its newest: those
//! that were acknowledged of late, the last one before, and any that may still be on its way. Where a copy may have
//! none, nothing of the router's own grant is spent. So whatever row a copy has of a router, that one has spent no
//! more than the row's cap; in the era after the return a row that was written before it counts with its cap, until
//! its router has written another.
//!
//! This rests on the longest age of a copy, which operators set. A row is in every copy once the store has answered
//! that much later, in the same era: a copy that is made later has it, and an earlier one is too old.

use serde::{Deserialize, Serialize};

use crate::store::Era;
use crate::units::{Millis, Tokens};

/// Rows that are acknowledged within this time count as one, which bounds how many are remembered.
const MERGED: Millis = Millis(250);

/// What a row says of the time after it. It is encoded for other processes, so the order of fields is part of its form.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cap {
    /// The era in which the row was written.
    pub era: Era,
    /// Tokens that the router's processes do not pass, all together, while a copy may have this row as its newest.
    pub limit: Tokens,
    /// The least of this and of the caps that held when it was written.
    pub lowest: Tokens,
}

/// The last answer of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreAnswer {
    /// Its era.
    pub era: Era,
    /// When the call was made, by the clock of this router's host.
    pub at: Millis,
}

/// Rows that were acknowledged one soon after the other.
#[derive(Clone, Copy, Debug)]
struct Kept {
    first: Millis,
    last: Millis,
    era: Era,
    most: Tokens,
}

/// The caps that hold for one router and customer.
#[derive(Clone, Debug)]
pub struct Caps {
    /// What copies may have of the router before its process has written a row, until none has that any more.
    base: Option<Tokens>,
    /// In the order in which they were acknowledged.
    kept: Vec<Kept>,
}

impl Caps {
    /// The caps of a process that has written no row yet.
    pub fn new(base: Tokens) -> Self {
        Self {
            base: Some(base),
            kept: Vec::new(),
        }
    }

    /// Whether no row of the process has been noted yet.
    pub fn is_new(&self) -> bool {
        self.kept.is_empty()
    }

    /// Notes a row that the store has, or may have.
    pub fn note(&mut self, now: Millis, cap: &Cap) {
        let (era, most) = (cap.era, cap.limit);
        if let Some(kept) = self.kept.last_mut()
            && kept.era == era
            && now.saturating_sub(kept.first) < MERGED
        {
            kept.last = now;
            kept.most = kept.most.min(most);
            return;
        }
        self.kept.push(Kept {
            first: now,
            last: now,
            era,
            most,
        });
    }

    /// Drops what no copy can have as its newest any more, as the store has answered.
    pub fn confirm(&mut self, seen: &StoreAnswer, copy_age: Millis) {
        let is_in_every_copy =
            |kept: &Kept| kept.era == seen.era && kept.last + copy_age <= seen.at;
        if let Some(last) = self.kept.iter().rposition(is_in_every_copy) {
            self.kept.drain(..last);
            self.base = None;
        }
    }

    /// The least of them; `None` where nothing is bounded.
    pub fn least(&self) -> Option<Tokens> {
        let kept = self.kept.iter().map(|kept| kept.most);
        kept.chain(self.base).min()
    }
}
