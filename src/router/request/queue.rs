//! Who waits, in what order, and who is told at once that it would wait too long.
//!
//! A request is ordered by its arrival plus `step` for each rank. A higher class therefore goes
//! first, but no request is overtaken by one that arrives more than `rank * step` after it: that
//! is the bound on starvation.

use std::collections::BTreeMap;

use super::Ticket;
use crate::units::Millis;

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Requests that wait, at most.
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
    /// When it came.
    pub arrived: Millis,
    /// How long it may wait.
    pub patience: Millis,
}

type Order = (Millis, Ticket);

/// A bounded queue by class and arrival.
#[derive(Debug, Default)]
pub struct Queue {
    bound: Bound,
    waiting: BTreeMap<Order, Waiting>,
}

impl Queue {
    /// An empty queue.
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

    /// Adds a request. Where the queue is full, the last of the lowest class is returned: it is
    /// shed, be it the newcomer or another.
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

    /// The request that goes next.
    pub fn first(&self) -> Option<&Waiting> {
        self.waiting.values().next()
    }

    /// All that wait, in the order in which they go.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values()
    }

    /// Takes a request out.
    pub fn remove(&mut self, waiting: &Waiting) -> Option<Waiting> {
        self.waiting.remove(&self.order(waiting))
    }

    /// Requests that will not start in time, were `per_second` to start from here on; they are
    /// told now, and not when their patience is over.
    pub fn remove_late(&mut self, now: Millis, per_second: f64) -> Vec<Waiting> {
        let mut ahead = 0.0;
        let mut gone = Vec::new();
        for waiting in self.waiting.values() {
            let start = now.0 as f64 + ahead * 1_000.0 / per_second.max(0.001);
            if start > (waiting.arrived + waiting.patience).0 as f64 {
                gone.push(*waiting);
            } else {
                ahead += 1.0;
            }
        }
        for waiting in &gone {
            self.waiting.remove(&self.order(waiting));
        }
        gone
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
