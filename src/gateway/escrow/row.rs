//! The rows of a customer's budget as the store keeps them, and a loan as routers ask for it. Both
//! are encoded for other processes, so the order of fields is part of their form.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::cap::Cap;
use super::guard::{Commitment, Ramp, Start};
use crate::store::Era;
use crate::units::{Millis, Tokens};
use crate::util;

/// What a router asks another one to lend it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Tokens that requests wait for and that it lacks.
    pub lacking: Tokens,
    /// Those, and its demand of a second.
    pub wanted: Tokens,
}

/// A router's part of a customer's budget, as the store keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The process that holds it; a restart of the router has another.
    pub incarnation: u64,
    /// Tokens that earlier processes of the router have spent, or may have.
    pub spent_before: Tokens,
    /// Tokens that this process may spend, in all.
    pub granted: Tokens,
    /// Tokens that it had spent when it wrote this.
    pub spent: Tokens,
    /// Tokens that are asked of it in a second.
    pub demand: u64,
    /// What the process promises while the store answers it. It stands after the other fields, and rows of
    /// earlier programs end without it.
    #[serde(skip)]
    pub commitment: Option<Commitment>,
    /// What bounds it while the store may come back from a copy. It stands last, and rows of earlier programs end
    /// without it.
    #[serde(skip)]
    pub cap: Option<Cap>,
}

impl Row {
    /// Encodes it for the store.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = util::encode(self);
        let void = self.cap.map(|_| Commitment::void());
        let Some(commitment) = self.commitment.or(void) else {
            return bytes;
        };
        bytes.extend(util::encode(&commitment));
        let void = self.cap.map(|_| Ramp::default());
        let Some(ramp) = commitment.ramp.or(void) else {
            return bytes;
        };
        bytes.extend(util::encode(&ramp));
        if let Some(cap) = &self.cap {
            bytes.extend(util::encode(cap));
        }
        bytes
    }

    /// Decodes a row of the store; `None` where the bytes are not a whole one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (mut row, rest): (Self, &[u8]) = util::decode_first(bytes)?;
        if rest.is_empty() {
            return Some(row);
        }
        let (mut commitment, rest): (Commitment, &[u8]) = util::decode_first(rest)?;
        if !rest.is_empty() {
            let (ramp, rest) = util::decode_first(rest)?;
            commitment.ramp = Some(ramp);
            if !rest.is_empty() {
                row.cap = Some(util::decode(rest)?);
            }
        }
        row.commitment = (commitment != Commitment::void()).then_some(commitment);
        Some(row)
    }

    /// Tokens that its process may spend in all by `at` of its host's clock.
    pub(super) fn limit(&self, at: Millis) -> Tokens {
        self.at_most(self.commitment.and_then(|commitment| commitment.limit(at)))
    }

    /// Tokens that its process held beyond those that it had spent.
    pub fn unspent(&self) -> Tokens {
        self.granted.saturating_sub(self.spent)
    }

    /// Tokens that count as given to its router, in the store's era: more than it was granted where the store may have
    /// lost a later row of it.
    fn committed(&self, era: Era) -> Tokens {
        let granted = self.spent_before + self.granted;
        match self.former_cap(era) {
            Some(cap) => cap.limit.max(granted),
            None => granted,
        }
    }

    /// Its cap, where it was written in an earlier era.
    pub(super) fn former_cap(&self, era: Era) -> Option<Cap> {
        self.cap.filter(|cap| cap.era < era)
    }

    /// The most that its process may have spent, where that is gone and the next one on its host has started.
    pub fn spent_at_most(&self, start: &Start) -> Tokens {
        self.at_most(
            self.commitment
                .and_then(|commitment| commitment.proved(start)),
        )
    }

    /// What is granted, or a lower bound where there is one.
    fn at_most(&self, bound: Option<Tokens>) -> Tokens {
        bound.map_or(self.granted, |bound| bound.min(self.granted))
    }
}

/// All rows of a customer, as of the last read.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    rows: HashMap<String, Row>,
    /// Routers whose newest row could not be decoded.
    unreadable: HashSet<String>,
}

impl Ledger {
    /// Notes that a router's newest row cannot be decoded: it may grant any part of the budget, so
    /// nothing more is granted until a newer row replaces it.
    pub fn set_unreadable(&mut self, router: &str) {
        self.unreadable.insert(router.to_owned());
    }

    /// Takes a row in, as the store has it.
    pub fn set(&mut self, router: &str, row: Option<Row>) {
        self.unreadable.remove(router);
        match row {
            Some(row) => self.rows.insert(router.to_owned(), row),
            None => self.rows.remove(router),
        };
    }

    /// A router's row.
    pub fn row(&self, router: &str) -> Option<&Row> {
        self.rows.get(router)
    }

    /// Whether the newest row of some router could not be decoded.
    pub(super) fn has_unreadable(&self) -> bool {
        !self.unreadable.is_empty()
    }

    /// Tokens that other routers than this were granted, or have spent before, in the store's era.
    pub(super) fn committed_by_others(&self, router: &str, era: Era) -> Tokens {
        let others = self.rows.iter().filter(|(name, _)| *name != router);
        others.map(|(_, row)| row.committed(era)).sum()
    }

    /// Tokens that other routers than this have spent, as far as their rows tell.
    pub(super) fn spent_by_others(&self, router: &str) -> Tokens {
        let others = self.rows.iter().filter(|(name, _)| *name != router);
        others.map(|(_, row)| row.spent_before + row.spent).sum()
    }

    /// Tokens a second that are asked of other routers than this.
    pub fn demand_of_others(&self, router: &str) -> u64 {
        let others = self.rows.iter().filter(|(name, _)| *name != router);
        others.map(|(_, row)| row.demand).sum()
    }
}
