//! The spending accounts of one router incarnation.
//!
//! For each budget: granted (read from the ledger) - returned - settled - reserved = free. A reservation covers the
//! maximum cost of a request, so the settled tokens never exceed the granted ones, however far the ledger lags behind
//! the log.

use std::collections::BTreeMap;

use super::{Demand, Grant, Sizing};
use crate::router::key::{BudgetKey, Incarnation};
use crate::router::log::Violation;
use crate::router::request::Id;
use crate::units::{Millis, Tokens};

/// A reservation failed for lack of this many free tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage(pub Tokens);

/// A request in its holder's accounts, with its reserved or billed tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Open(Tokens),
    Settled(Tokens),
}

#[derive(Clone, Debug, Default)]
struct Account {
    settled: Tokens,
    acknowledged: Tokens,
    returned: Tokens,
    reserved: Tokens,
    entries: BTreeMap<u64, Entry>,
    demand: Demand,
}

impl Account {
    fn free(&self, grant: Grant) -> Tokens {
        grant
            .granted
            .saturating_sub(self.returned)
            .saturating_sub(self.settled)
            .saturating_sub(self.reserved)
    }
}

/// The accounts of one incarnation.
#[derive(Clone, Debug)]
pub struct Holder {
    incarnation: Incarnation,
    sizing: Sizing,
    accounts: BTreeMap<BudgetKey, Account>,
}

impl Holder {
    /// Creates empty accounts.
    pub fn new(incarnation: Incarnation, sizing: Sizing) -> Self {
        Self {
            incarnation,
            sizing,
            accounts: BTreeMap::new(),
        }
    }

    /// The incarnation that the accounts belong to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Reserves the maximum cost of a request.
    pub fn reserve(
        &mut self,
        key: BudgetKey,
        nonce: u64,
        amount: Tokens,
        grant: Grant,
    ) -> Result<(), Shortage> {
        let account = self.accounts.entry(key).or_default();
        let free = account.free(grant);
        if free < amount {
            return Err(Shortage(amount - free));
        }
        account.reserved += amount;
        account.entries.insert(nonce, Entry::Open(amount));
        Ok(())
    }

    /// Records the demand of callers, whether or not it can be reserved.
    pub fn note_demand(&mut self, now: Millis, key: BudgetKey, amount: Tokens) {
        self.accounts
            .entry(key)
            .or_default()
            .demand
            .record(now, amount);
    }

    /// Releases the reservation of a request that did not run.
    pub fn cancel(&mut self, key: BudgetKey, nonce: u64) {
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        if let Some(Entry::Open(reserved)) = account.entries.get(&nonce).copied() {
            account.reserved -= reserved;
            account.entries.remove(&nonce);
        }
    }

    /// Bills a request, at most its reservation, and returns the bill.
    pub fn settle(
        &mut self,
        key: BudgetKey,
        nonce: u64,
        cost: Tokens,
    ) -> Result<Tokens, Violation> {
        let twice = Violation::BilledTwice {
            id: Id {
                incarnation: self.incarnation,
                nonce,
            },
        };
        let account = self.accounts.get_mut(&key).ok_or(twice.clone())?;
        match account.entries.get_mut(&nonce) {
            Some(entry @ Entry::Open(_)) => {
                let Entry::Open(reserved) = *entry else {
                    return Err(twice);
                };
                let billed = cost.min(reserved);
                account.reserved -= reserved;
                account.settled += billed;
                *entry = Entry::Settled(billed);
                Ok(billed)
            }
            Some(Entry::Settled(_)) | None => Err(twice),
        }
    }

    /// Marks a settlement as ready for the log: the witness has acknowledged it, or there is no witness.
    pub fn acknowledge(&mut self, key: BudgetKey, billed: Tokens) {
        let account = self.accounts.entry(key).or_default();
        account.acknowledged += billed;
        debug_assert!(account.acknowledged <= account.settled);
    }

    /// Budgets whose acknowledged total exceeds the ledger's, with that total.
    pub fn unrecorded<'a>(
        &'a self,
        grant: impl Fn(BudgetKey) -> Grant + 'a,
    ) -> impl Iterator<Item = (BudgetKey, Tokens)> + 'a {
        let accounts = self.accounts.iter();
        accounts
            .filter(move |(key, account)| grant(**key).settled < account.acknowledged)
            .map(|(key, account)| (*key, account.acknowledged))
    }

    /// Tokens to ask the ledger for at this shortage.
    pub fn ask(
        &self,
        now: Millis,
        key: BudgetKey,
        shortage: Tokens,
        unallotted: Tokens,
        holders: usize,
    ) -> Tokens {
        let demand = self.accounts.get(&key).map(|account| account.demand);
        let demand = demand.unwrap_or_default();
        self.sizing.ask(now, shortage, &demand, unallotted, holders)
    }

    /// Tokens of a budget that can still be reserved.
    pub fn free(&self, key: BudgetKey, grant: Grant) -> Tokens {
        self.accounts
            .get(&key)
            .map_or(grant.granted, |account| account.free(grant))
    }

    /// Whether the free tokens do not cover the estimated demand within `horizon`.
    pub fn runs_low(&self, now: Millis, key: BudgetKey, grant: Grant, horizon: Millis) -> bool {
        let account = self.accounts.get(&key);
        account.is_some_and(|account| account.free(grant) < account.demand.within(now, horizon))
    }

    /// Returns idle tokens to the budget; the new running total of returned tokens, or `None` if there are none.
    pub fn return_idle(&mut self, now: Millis, key: BudgetKey, grant: Grant) -> Option<Tokens> {
        let sizing = self.sizing;
        let account = self.accounts.entry(key).or_default();
        let keep = sizing.keep(now, &account.demand);
        let idle = account.free(grant).saturating_sub(keep);
        if idle == Tokens::ZERO {
            return None;
        }
        account.returned += idle;
        Some(account.returned)
    }

    /// Returns all free tokens to the budget; the new running total, or `None` if there are none.
    pub fn return_all(&mut self, key: BudgetKey, grant: Grant) -> Option<Tokens> {
        let account = self.accounts.entry(key).or_default();
        let free = account.free(grant);
        account.returned += free;
        (free > Tokens::ZERO).then_some(account.returned)
    }

    /// Running totals of the bills by budget, for a new witness.
    pub fn totals(&self) -> Vec<(BudgetKey, Tokens)> {
        let accounts = self.accounts.iter();
        accounts
            .map(|(key, account)| (*key, account.settled))
            .collect()
    }

    /// Settled requests that are still remembered: budget, nonce and bill.
    pub fn settled(&self) -> Vec<(BudgetKey, u64, Tokens)> {
        let mut settled = Vec::new();
        for (key, account) in &self.accounts {
            for (nonce, entry) in &account.entries {
                if let Entry::Settled(billed) = entry {
                    settled.push((*key, *nonce, *billed));
                }
            }
        }
        settled
    }

    /// Budgets with an account.
    pub fn keys(&self) -> Vec<BudgetKey> {
        self.accounts.keys().copied().collect()
    }

    /// Drops settled requests of epochs before `epoch`.
    pub fn prune(&mut self, epoch: u32) {
        for account in self.accounts.values_mut() {
            account.entries.retain(|nonce, entry| {
                matches!(entry, Entry::Open(_)) || crate::router::request::epoch_of(*nonce) >= epoch
            });
        }
    }
}
