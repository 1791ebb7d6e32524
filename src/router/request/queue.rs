//! The queue of waiting requests: its order, its length limit, and the early removal of requests that would wait too
//! long.
//!
//! Requests are ordered by arrival time plus `step` per rank. A class of a lower rank therefore goes first, but no
//! request is overtaken by one that arrives more than `rank * step` after it, which bounds starvation.

use std::collections::BTreeMap;

use super::Ticket;
use crate::units::Millis;

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Maximum number of waiting requests.
    pub len: usize,
    /// Head start of each rank over the next, in milliseconds.
    pub step: Millis,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            len: 512,
            step: Millis(2_000),
        }
    }
}

/// A request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub ticket: Ticket,
    /// Rank of its class; smaller goes first.
    pub rank: u8,
    /// Time of arrival.
    pub arrived: Millis,
    /// Longest time that it may wait.
    pub patience: Millis,
}

type Order = (Millis, Ticket);

/// A bounded queue, ordered by class and arrival.
#[derive(Debug, Default)]
pub struct Queue {
    bound: Bound,
    waiting: BTreeMap<Order, Waiting>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            waiting: BTreeMap::new(),
        }
    }

    fn order(&self, waiting: &Waiting) -> Order {
        let start = waiting.arrived.0 + u64::from(waiting.rank) * self.bound.step.0;
        (Millis(start), waiting.ticket)
    }

    /// Adds a request. If the queue exceeds its limit, the last request of the lowest class (the highest rank) is
    /// removed and returned, which may be the new one.
    pub fn push(&mut self, waiting: Waiting) -> Option<Waiting> {
        self.waiting.insert(self.order(&waiting), waiting);
        if self.waiting.len() <= self.bound.len {
            return None;
        }
        let lowest = self.waiting.values().map(|waiting| waiting.rank).max()?;
        let mut from_last = self.waiting.iter().rev();
        let last = *from_last.find(|(_, waiting)| waiting.rank == lowest)?.0;
        self.waiting.remove(&last)
    }

    /// The request that starts next.
    pub fn first(&self) -> Option<&Waiting> {
        self.waiting.values().next()
    }

    /// All waiting requests, in the order in which they start.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    /// Removes a request.
    pub fn remove(&mut self, waiting: &Waiting) -> Option<Waiting> {
        self.waiting.remove(&self.order(waiting))
    }

    /// Removes and returns the requests that will not start in time if `per_second` requests start from now on, so that
    /// they are refused now and not only when their patience is over.
    pub fn remove_late(&mut self, now: Millis, per_second: f64) -> Vec<Waiting> {
        let mut ahead = 0.0;
        let mut late = Vec::new();
        for waiting in self.waiting.values() {
            let start = now.0 as f64 + ahead * 1_000.0 / per_second.max(0.001);
            if start > (waiting.arrived + waiting.patience).0 as f64 {
                late.push(*waiting);
            } else {
                ahead += 1.0;
            }
        }
        for waiting in &late {
            self.waiting.remove(&self.order(waiting));
        }
        late
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
