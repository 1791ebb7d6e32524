//! The order in which a customer's requests that wait for tokens are paid.
//!
//! The more urgent rank goes first, then requests that return at the time they were told, then the earliest deadline.
//! A request that what is left does not cover holds up none behind it until it has been passed over [`BYPASS_MAX`]
//! times; from then on tokens collect for it until it is paid or its wait is over.

use crate::units::{Millis, Tokens};

/// How often requests behind it may be paid while a request lacks tokens. A large request among small ones would
/// otherwise only be paid after all of them.
pub const BYPASS_MAX: u32 = 8;
/// Maximum number of requests of all customers that wait for tokens. Each holds its body in memory, and all of them are
/// tried again when tokens arrive.
pub const WAITING_MAX: usize = 1_024;

/// Whether a request was refused before and has come back at the time that it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It has come back at the time that it was told.
    Returned,
    /// It is new, or has come back too early or too late.
    New,
}

/// The place of a request in the order; the lesser goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// Rank of the request; 0 goes first.
    pub rank: u8,
    /// Whether the request was refused before.
    pub standing: Standing,
    /// When the caller stops waiting.
    pub deadline: Millis,
}

/// The result of trying to pay for a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial<R> {
    /// What is left does not cover the request, which keeps waiting.
    Lacking,
    /// The request has been paid for.
    Paid(R),
    /// The request has ended without payment.
    Ended(R),
}

/// What waits ahead of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Number of requests.
    pub count: usize,
    /// Maximum cost of all of them.
    pub tokens: Tokens,
    /// Maximum cost of those that cost no more than the given limit.
    pub within_limit: Tokens,
}

#[derive(Debug)]
struct Entry<T> {
    turn: Turn,
    cost: Tokens,
    /// How many requests behind this one were paid before it.
    bypassed: u32,
    item: T,
}

/// The waiting requests of one customer, in order.
#[derive(Debug)]
pub struct Line<T> {
    entries: Vec<Entry<T>>,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<T> Line<T> {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The waiting requests, in order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().map(|entry| &entry.item)
    }

    /// Maximum cost of all waiting requests.
    pub fn tokens(&self) -> Tokens {
        self.entries.iter().map(|entry| entry.cost).sum()
    }

    /// Adds a request behind all that have the same turn or an earlier one.
    pub fn push(&mut self, turn: Turn, cost: Tokens, item: T) {
        let index = self.entries.partition_point(|entry| entry.turn <= turn);
        let bypassed = 0;
        self.entries.insert(
            index,
            Entry {
                turn,
                cost,
                bypassed,
                item,
            },
        );
    }

    /// Whether a request that arrives may be paid before those that wait ahead of it.
    pub fn admits(&self, turn: &Turn) -> bool {
        self.ahead_of(turn)
            .iter()
            .all(|entry| entry.bypassed < BYPASS_MAX)
    }

    /// Records that a request that has not waited was paid.
    pub fn note_bypass(&mut self, turn: &Turn) {
        let count = self.ahead_of(turn).len();
        for entry in &mut self.entries[..count] {
            entry.bypassed += 1;
        }
    }

    /// What waits ahead of a request; `limit` is the highest cost that is counted in [`Ahead::within_limit`].
    pub fn ahead(&self, turn: &Turn, limit: Tokens) -> Ahead {
        let mut ahead = Ahead::default();
        for entry in self.ahead_of(turn) {
            ahead.count += 1;
            ahead.tokens += entry.cost;
            if entry.cost <= limit {
                ahead.within_limit += entry.cost;
            }
        }
        ahead
    }

    fn ahead_of(&self, turn: &Turn) -> &[Entry<T>] {
        let count = self.entries.partition_point(|entry| entry.turn <= *turn);
        &self.entries[..count]
    }

    /// Tries to pay for the requests in order, and removes and returns those that are paid or have ended.
    pub fn serve<R>(&mut self, mut pay: impl FnMut(&T) -> Trial<R>) -> Vec<(T, R)> {
        let mut done = Vec::new();
        let mut kept: Vec<Entry<T>> = Vec::new();
        let mut is_held_up = false;
        for entry in std::mem::take(&mut self.entries) {
            if is_held_up {
                kept.push(entry);
                continue;
            }
            match pay(&entry.item) {
                Trial::Lacking => {
                    is_held_up = entry.bypassed >= BYPASS_MAX;
                    kept.push(entry);
                }
                Trial::Ended(result) => done.push((entry.item, result)),
                Trial::Paid(result) => {
                    done.push((entry.item, result));
                    for passed in &mut kept {
                        passed.bypassed += 1;
                        is_held_up |= passed.bypassed >= BYPASS_MAX;
                    }
                }
            }
        }
        self.entries = kept;
        done
    }

    /// Removes and returns the requests that `is_taken` selects, in order.
    pub fn take_where(&mut self, is_taken: impl Fn(&T) -> bool) -> Vec<T> {
        let (taken, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|entry| is_taken(&entry.item));
        self.entries = kept;
        taken.into_iter().map(|entry| entry.item).collect()
    }
}
