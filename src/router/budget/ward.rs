//! A witness's replica of one holder: billed totals, and the requests that are open or were settled recently.
//!
//! The replica is also the wire format in which a holder sends its accounts to a new witness, and is encoded by
//! position: the order of the fields must not change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Reservation;
use crate::router::key::{BudgetKey, Incarnation};
use crate::router::log::{Closed, Open};
use crate::router::request::{EPOCH_KEEP, epoch_of};
use crate::units::Tokens;

/// State of a request in a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The request is dispatched, or about to be.
    Open(Reservation),
    /// The request was billed this much.
    Settled(Tokens),
    /// This other router has taken the request over.
    TakenOver(Incarnation),
    /// The target that the request was opened for has not run it, and never will. Set by a witness after it has closed
    /// the holder, so it is never sent.
    Cancelled,
}

/// A witness's replica of one holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    pub(super) totals: BTreeMap<BudgetKey, Tokens>,
    pub(super) entries: BTreeMap<u64, (BudgetKey, State)>,
    pub(super) epoch: u32,
}

impl Replica {
    /// Creates a replica for a new witness from a holder's totals, open requests and settled requests.
    pub fn new(
        totals: &[(BudgetKey, Tokens)],
        open: &[(BudgetKey, u64, Reservation)],
        settled: &[(BudgetKey, u64, Tokens)],
        epoch: u32,
    ) -> Self {
        let open = open
            .iter()
            .map(|(key, nonce, reservation)| (*nonce, (*key, State::Open(*reservation))));
        let settled = settled
            .iter()
            .map(|(key, nonce, billed)| (*nonce, (*key, State::Settled(*billed))));
        Self {
            totals: totals.iter().copied().collect(),
            entries: open.chain(settled).collect(),
            epoch,
        }
    }

    /// The holder's accounts by budget, as a close record states them.
    pub(super) fn report(&self) -> Vec<Closed> {
        let mut budgets: BTreeMap<BudgetKey, Closed> = BTreeMap::new();
        let empty = |budget| Closed {
            budget,
            settled: Tokens::ZERO,
            open: Vec::new(),
        };
        for (budget, settled) in &self.totals {
            let entry = budgets.entry(*budget).or_insert_with(|| empty(*budget));
            entry.settled = *settled;
        }
        for (nonce, (budget, state)) in &self.entries {
            if let State::Open(reservation) = *state {
                let entry = budgets.entry(*budget).or_insert_with(|| empty(*budget));
                let nonce = *nonce;
                let reserved = reservation.reserved;
                entry.open.push(Open { nonce, reserved });
            }
        }
        budgets.into_values().collect()
    }

    /// Drops requests that are not open and whose epoch is too old for a takeover to be decided.
    pub(super) fn prune(&mut self) {
        let oldest = self.epoch.saturating_sub(EPOCH_KEEP);
        self.entries.retain(|nonce, (_, state)| {
            matches!(state, State::Open(_)) || epoch_of(*nonce) >= oldest
        });
    }
}
