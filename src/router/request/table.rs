//! Which ids this router knows, so that a retry joins its own request.

use std::collections::HashMap;

use super::{EPOCH_KEEP, Id};

/// One request in this process; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What the table says of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// Never seen.
    New,
    /// The same request runs or has run here.
    Same(Ticket),
    /// Another request had this id.
    Reused,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    ticket: Ticket,
    fingerprint: u64,
}

/// Ids of requests that are waiting, running, or have run.
#[derive(Debug, Default)]
pub struct Table {
    slots: HashMap<Id, Slot>,
}

impl Table {
    /// Looks an arrival up; `fingerprint` is a hash of all that makes it the same request.
    pub fn find(&self, id: Id, fingerprint: u64) -> Found {
        match self.slots.get(&id) {
            None => Found::New,
            Some(slot) if slot.fingerprint == fingerprint => Found::Same(slot.ticket),
            Some(_) => Found::Reused,
        }
    }

    /// Notes a request that is about to wait or run.
    pub fn insert(&mut self, id: Id, ticket: Ticket, fingerprint: u64) {
        self.slots.insert(
            id,
            Slot {
                ticket,
                fingerprint,
            },
        );
    }

    /// Forgets a request that did not run, so that it may come again.
    pub fn remove(&mut self, id: Id) {
        self.slots.remove(&id);
    }

    /// Forgets ids of old epochs, apart from those that `running` holds for; their tickets are
    /// returned.
    pub fn prune(&mut self, epoch: u32, running: impl Fn(Ticket) -> bool) -> Vec<Ticket> {
        let mut gone = Vec::new();
        self.slots.retain(|id, slot| {
            let keep = id.epoch() + EPOCH_KEEP >= epoch || running(slot.ticket);
            if !keep {
                gone.push(slot.ticket);
            }
            keep
        });
        gone
    }
}
