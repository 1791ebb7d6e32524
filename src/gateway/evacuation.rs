//! Halls that the operators have evacuated: their targets get no requests until the evacuation is revoked.
//!
//! The operators' records are in the store, next to the configuration, one for each hall. A router that reads them
//! knows all of them as of one position in the log of the store, so of two views the one with the later
//! position is valid. Routers that the store does not answer use the view of a router that it does answer. A view
//! persists through outages of the store and after the log of the store has dropped records. A process that starts has
//! no view, and serves no requests until it has one.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::store::Place;
use crate::units::Millis;

/// The evacuated halls as of one position in the operators' log. It is encoded by position for other processes, so the
/// order of its fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// All records before this position have been applied.
    pub as_of: Place,
    /// Names of the evacuated halls.
    pub halls: BTreeSet<String>,
}

/// What an operator's record instructs for a hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The hall is evacuated.
    Evacuate,
    /// The evacuation is revoked, so the hall is used again.
    TakeBack,
}

impl View {
    /// Applies an operator's record for a hall.
    pub fn set(&mut self, hall: &str, order: Order) {
        match order {
            Order::Evacuate => {
                self.halls.insert(hall.to_owned());
            }
            Order::TakeBack => {
                self.halls.remove(hall);
            }
        }
    }

    /// Whether another router's view is later than this one.
    pub fn is_older(&self, other: &Self) -> bool {
        self.as_of < other.as_of
    }
}

/// Halls that were evacuated before the store was restored from a copy that lacks their evacuation. They stay evacuated
/// until operators write a new record for them, or for a limited time: the lost records may have revoked the
/// evacuation.
#[derive(Debug, Default)]
pub struct RetainedHalls {
    halls: BTreeSet<String>,
    until: Millis,
}

impl RetainedHalls {
    /// How long these halls stay evacuated without a new record. Operators rewrite lost records within seconds.
    const RETENTION: Millis = Millis(10_000);

    /// Records that the store was restored: the halls that were evacuated `before` but not in the `copy` are retained.
    pub fn record_restore(
        &mut self,
        now: Millis,
        before: &BTreeSet<String>,
        copy: &BTreeSet<String>,
    ) {
        self.halls = before.difference(copy).cloned().collect();
        self.until = now + Self::RETENTION;
    }

    /// Stops retaining a hall for which operators have written a new record.
    pub fn release(&mut self, hall: &str) {
        self.halls.remove(hall);
    }

    /// The halls that stay evacuated.
    pub fn active_at(&self, now: Millis) -> impl Iterator<Item = &String> {
        let is_over = now >= self.until;
        self.halls.iter().filter(move |_| !is_over)
    }
}
