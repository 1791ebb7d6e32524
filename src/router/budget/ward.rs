//! What a witness keeps for one holder: totals, and the requests that are not settled in the log yet.
//!
//! It is sent to a new witness as it is, so the order of fields is part of its form.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Reservation;
use crate::router::key::{BudgetKey, Incarnation};
use crate::router::log::{Closed, Open};
use crate::router::request::{EPOCH_KEEP, epoch_of};
use crate::units::Tokens;

/// State of a ward's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Dispatched, or about to be.
    Open(Reservation),
    /// Billed.
    Settled(Tokens),
    /// Another router runs it.
    TakenOver(Incarnation),
}

/// What is kept for one holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    pub(super) totals: BTreeMap<BudgetKey, Tokens>,
    pub(super) entries: BTreeMap<u64, (BudgetKey, State)>,
    pub(super) epoch: u32,
}

impl Replica {
    /// A holder's accounts, for a new witness: totals, open requests, settled requests.
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

    /// What a close tells of it.
    pub(super) fn report(&self) -> Vec<Closed> {
        let mut budgets: BTreeMap<BudgetKey, Closed> = BTreeMap::new();
        let blank = |budget| Closed {
            budget,
            settled: Tokens::ZERO,
            open: Vec::new(),
        };
        for (budget, settled) in &self.totals {
            let entry = budgets.entry(*budget).or_insert_with(|| blank(*budget));
            entry.settled = *settled;
        }
        for (nonce, (budget, state)) in &self.entries {
            if let State::Open(reservation) = *state {
                let entry = budgets.entry(*budget).or_insert_with(|| blank(*budget));
                let nonce = *nonce;
                let reserved = reservation.reserved;
                entry.open.push(Open { nonce, reserved });
            }
        }
        budgets.into_values().collect()
    }

    /// Forgets what was settled in epochs that are too old to be asked about.
    pub(super) fn prune(&mut self) {
        let oldest = self.epoch.saturating_sub(EPOCH_KEEP);
        self.entries.retain(|nonce, (_, state)| {
            matches!(state, State::Open(_)) || epoch_of(*nonce) >= oldest
        });
    }
}
