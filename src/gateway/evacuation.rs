//! Which halls the operators have emptied: nothing more is sent to the targets there until they are taken back.
//!
//! The operators' records are in the store, beside the configuration, one for each hall. A router that reads them
//! knows them all as of one place in that log, so of two views the one of the later place holds. Routers that the
//! store does not answer take the view of one that it does. A view outlives outages of the store and records that
//! the log has dropped; a process that starts knows none, and serves nobody until it has one.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::store::Place;
use crate::units::Millis;

/// The halls that are emptied, as of one place in the operators' log. It is encoded for other processes, so the
/// order of fields is part of its form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// All records before this place are taken in.
    pub as_of: Place,
    /// The halls.
    pub halls: BTreeSet<String>,
}

/// What an operators' record says of a hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// It is emptied.
    Evacuate,
    /// It is taken back.
    TakeBack,
}

impl View {
    /// Takes in a record of a hall.
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

/// Halls that were emptied before the store came back from a copy that has nothing of that. They stay emptied until
/// operators say something of them again, or for a bounded time: operators may have taken them back in what is lost.
#[derive(Debug, Default)]
pub struct Kept {
    halls: BTreeSet<String>,
    until: Millis,
}

impl Kept {
    /// How long they stay emptied without a word of operators, who write again what was lost within seconds.
    const LONGEST: Millis = Millis(10_000);

    /// Notes that the store has come back, and which halls of `before` the copy does not have emptied.
    pub fn note_return(&mut self, now: Millis, before: &BTreeSet<String>, copy: &BTreeSet<String>) {
        self.halls = before.difference(copy).cloned().collect();
        self.until = now + Self::LONGEST;
    }

    /// Notes that operators have said something of a hall.
    pub fn note_word(&mut self, hall: &str) {
        self.halls.remove(hall);
    }

    /// Those that stay emptied.
    pub fn at(&self, now: Millis) -> impl Iterator<Item = &String> {
        let is_over = now >= self.until;
        self.halls.iter().filter(move |_| !is_over)
    }
}
