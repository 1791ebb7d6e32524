//! The rows of a customer's budget as stored, and a loan as routers request it. Both are encoded for other processes,
//! so the order of fields is part of the format.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::cap::Cap;
use super::guard::{Commitment, ProcessStart, Ramp};
use crate::store::Era;
use crate::units::{Millis, Tokens};
use crate::util;

/// A request by one router that another lend it tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Tokens that requests wait for and that the borrower lacks.
    pub lacking: Tokens,
    /// Tokens that the borrower lacks, plus one second of its demand.
    pub wanted: Tokens,
}

/// A router's part of a customer's budget, as stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The process that owns the row; a restarted router has another one.
    pub incarnation: u64,
    /// Tokens that earlier processes of the router have spent, or may have spent.
    pub spent_before: Tokens,
    /// Tokens that this process may spend, in all.
    pub granted: Tokens,
    /// Tokens that this process had spent when it wrote the row.
    pub spent: Tokens,
    /// Demand at the router, in tokens a second.
    pub demand: u64,
    /// The spending commitment of the process while the store answers it. It is encoded after the other fields, and
    /// rows of earlier versions end without it.
    #[serde(skip)]
    pub commitment: Option<Commitment>,
    /// The limit on its spend while the store may be restored from a copy. It is encoded last, and rows of earlier
    /// versions end without it.
    #[serde(skip)]
    pub cap: Option<Cap>,
}

impl Row {
    /// Encodes the row for the store.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = util::encode(self);
        let placeholder = self.cap.map(|_| Commitment::placeholder());
        let Some(commitment) = self.commitment.or(placeholder) else {
            return bytes;
        };
        bytes.extend(util::encode(&commitment));
        let placeholder = self.cap.map(|_| Ramp::default());
        let Some(ramp) = commitment.ramp.or(placeholder) else {
            return bytes;
        };
        bytes.extend(util::encode(&ramp));
        if let Some(cap) = &self.cap {
            bytes.extend(util::encode(cap));
        }
        bytes
    }

    /// Decodes a stored row; `None` if the bytes are not a complete row.
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
        row.commitment = (commitment != Commitment::placeholder()).then_some(commitment);
        Some(row)
    }

    /// Tokens that the process that wrote the row may spend, in all, by `at` of its host's clock.
    pub(super) fn limit(&self, at: Millis) -> Tokens {
        self.granted_up_to(self.commitment.and_then(|commitment| commitment.limit(at)))
    }

    /// Tokens that the process that wrote the row held beyond those it had spent.
    pub fn unspent(&self) -> Tokens {
        self.granted.saturating_sub(self.spent)
    }

    /// Tokens that the process that wrote the row could still spend or lend, given the caps in force then.
    pub fn spendable(&self) -> Tokens {
        let capped = self.cap.map_or(self.granted, |cap| {
            let lowest = cap.lowest.saturating_sub(self.spent_before);
            self.granted.min(lowest)
        });
        capped.saturating_sub(self.spent)
    }

    /// Tokens that count as allocated to the router of the row in the store's era: more than were granted if the store
    /// may have lost a later row of the router.
    fn allocated(&self, era: Era) -> Tokens {
        let granted = self.spent_before + self.granted;
        match self.earlier_era_cap(era) {
            Some(cap) => cap.limit.max(granted),
            None => granted,
        }
    }

    /// Its cap, if the row was written in an earlier era.
    pub(super) fn earlier_era_cap(&self, era: Era) -> Option<Cap> {
        self.cap.filter(|cap| cap.era < era)
    }

    /// The most that its process may have spent, if it has ended and the next one on its host has started.
    pub fn spent_at_most(&self, start: &ProcessStart) -> Tokens {
        self.granted_up_to(
            self.commitment
                .and_then(|commitment| commitment.proven_limit(start)),
        )
    }

    /// The grant, or `bound` if that is lower.
    fn granted_up_to(&self, bound: Option<Tokens>) -> Tokens {
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
    /// Records that a router's newest row cannot be decoded. It may grant any part of the budget, so nothing more is
    /// granted until a newer row replaces it.
    pub fn set_unreadable(&mut self, router: &str) {
        self.unreadable.insert(router.to_owned());
    }

    /// Sets a router's row to the stored one.
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

    /// Tokens that count as allocated to all routers but this one, in the store's era.
    pub fn allocated_to_others(&self, router: &str, era: Era) -> Tokens {
        let others = self.rows.iter().filter(|(name, _)| *name != router);
        others.map(|(_, row)| row.allocated(era)).sum()
    }

    /// Tokens that all routers but this one have spent, according to their rows.
    pub(super) fn spent_by_others(&self, router: &str) -> Tokens {
        let others = self.rows.iter().filter(|(name, _)| *name != router);
        others.map(|(_, row)| row.spent_before + row.spent).sum()
    }

    /// Demand at all routers but this one, in tokens a second.
    pub fn demand_of_others(&self, router: &str) -> u64 {
        let others = self.rows.iter().filter(|(name, _)| *name != router);
        others.fold(0, |all, (_, row)| all.saturating_add(row.demand))
    }
}
