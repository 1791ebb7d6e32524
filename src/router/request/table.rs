//! The request ids that this router knows, so that a retry joins the request that it repeats.

use std::collections::HashMap;

use super::{EPOCH_KEEP, Id};

/// Number of a request within this process; it is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Result of looking up an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// The id is unknown.
    New,
    /// The same request waits, runs or has run here.
    Same(Ticket),
    /// The id belongs to a different request.
    Reused,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    ticket: Ticket,
    fingerprint: u64,
}

/// Ids of requests that are waiting, running, or have run.
#[derive(Debug, Default)]
pub struct Table {
    entries: HashMap<Id, Entry>,
}

impl Table {
    /// Looks up an arriving request; `fingerprint` is a hash of everything that identifies a request as the same.
    pub fn find(&self, id: Id, fingerprint: u64) -> Found {
        match self.entries.get(&id) {
            None => Found::New,
            Some(entry) if entry.fingerprint == fingerprint => Found::Same(entry.ticket),
            Some(_) => Found::Reused,
        }
    }

    /// Inserts a request that is about to wait or run.
    pub fn insert(&mut self, id: Id, ticket: Ticket, fingerprint: u64) {
        self.entries.insert(
            id,
            Entry {
                ticket,
                fingerprint,
            },
        );
    }

    /// Removes a request that did not run, so that a retry is accepted as new.
    pub fn remove(&mut self, id: Id) {
        self.entries.remove(&id);
    }

    /// Removes ids of old epochs, except those of requests that are `running`, and returns the removed tickets.
    pub fn prune(&mut self, epoch: u32, running: impl Fn(Ticket) -> bool) -> Vec<Ticket> {
        let mut removed = Vec::new();
        self.entries.retain(|id, entry| {
            let keep = id.epoch() + EPOCH_KEEP >= epoch || running(entry.ticket);
            if !keep {
                removed.push(entry.ticket);
            }
            keep
        });
        removed
    }
}
