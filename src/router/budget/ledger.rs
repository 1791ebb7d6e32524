//! The state folded from a shard stream: its budgets and their grants.
//!
//! Invariant of each budget at each offset: unallotted + held + settled + in doubt = prepaid. The ledger checks it
//! after every record that changes a budget.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::account::{Budget, Grant, PREPAID_MAX};
use crate::router::intent::{Change, Outcomes, Plan, Refused, Terms};
use crate::router::key::{BudgetKey, Incarnation};
use crate::router::log::{Closed, Fold, Record, Sequence, Violation};
use crate::units::{Offset, Tokens};

/// The budgets of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    budgets: Vec<Budget>,
    names: BTreeMap<String, u32>,
    sequence: Sequence,
    outcomes: Outcomes,
}

impl Ledger {
    /// The budget at an index.
    pub fn budget(&self, index: u32) -> Option<&Budget> {
        self.budgets.get(index as usize)
    }

    /// The index of the budget with this name.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.names.get(name).copied()
    }

    /// All budgets with their indexes.
    pub fn budgets(&self) -> impl Iterator<Item = (u32, &Budget)> {
        (0..).zip(&self.budgets)
    }

    /// The grant of `holder` from a budget; zero if it has none.
    pub fn grant(&self, index: u32, holder: Incarnation) -> Grant {
        let budget = self.budget(index);
        budget
            .and_then(|budget| budget.grants.get(&holder).copied())
            .unwrap_or_default()
    }

    /// The writers of the stream.
    pub fn sequence(&self) -> &Sequence {
        &self.sequence
    }

    /// The outcomes of confirmed plans.
    pub fn outcomes(&self) -> &Outcomes {
        &self.outcomes
    }

    /// Checks a plan against the present state, without applying it.
    ///
    /// # Errors
    /// The reason why the plan would be refused.
    pub fn validate(&self, plan: &Plan) -> Result<(), Refused> {
        for change in &plan.changes {
            match change {
                Change::Budget {
                    name,
                    terms,
                    expect,
                } => {
                    let found = self.find(name).and_then(|index| self.budget(index));
                    let version = found.map_or(Offset::ZERO, |budget| budget.version);
                    if version != *expect {
                        return Err(Refused::Stale { version });
                    }
                    if terms.prepaid > PREPAID_MAX {
                        return Err(Refused::Unfit);
                    }
                    if found.is_some_and(|budget| budget.terms.customer != terms.customer) {
                        return Err(Refused::Unfit);
                    }
                }
                Change::Release { budget, holder, .. } => {
                    let found = self.budgets.get(budget.index as usize);
                    let known = found.is_some_and(|b| {
                        b.grants.contains_key(holder) || b.doubt.keys().any(|(h, _)| h == holder)
                    });
                    if !known {
                        return Err(Refused::Unfit);
                    }
                }
                Change::Put { .. } | Change::Delete { .. } => return Err(Refused::Unfit),
            }
        }
        Ok(())
    }

    fn confirm(&mut self, offset: Offset, plan: &Plan) -> Result<(), Violation> {
        let validated = self.validate(plan);
        if !self.outcomes.record(plan.id, offset, validated) {
            return Ok(());
        }
        let mut result = Ok(());
        for change in &plan.changes {
            let touched = match change {
                Change::Budget { name, terms, .. } => Some(self.put(name, terms, offset)),
                Change::Release {
                    budget,
                    holder,
                    billed,
                } => {
                    self.release(offset, budget.index, *holder, *billed);
                    Some(budget.index)
                }
                Change::Put { .. } | Change::Delete { .. } => None,
            };
            if let Some(index) = touched {
                result = result.and(self.check(index));
            }
        }
        result
    }

    fn put(&mut self, name: &str, terms: &Terms, offset: Offset) -> u32 {
        if let Some(index) = self.find(name) {
            self.budgets[index as usize].set_terms(terms, offset);
            return index;
        }
        let index = u32::try_from(self.budgets.len()).expect("fewer than 2^32 budgets");
        self.budgets.push(Budget::new(name, terms, offset));
        self.names.insert(name.to_owned(), index);
        index
    }

    /// Releases the grant of a holder that an operator has declared gone for good: up to `billed` tokens of its open
    /// part are billed, and the rest comes back to the budget.
    fn release(&mut self, offset: Offset, index: u32, holder: Incarnation, billed: Tokens) {
        let Some(budget) = self.budgets.get_mut(index as usize) else {
            return;
        };
        let grant = budget.grants.remove(&holder).unwrap_or_default();
        let mut open = grant.held();
        budget.settled += grant.settled;
        let doubt = std::mem::take(&mut budget.doubt);
        for (key, amount) in doubt {
            if key.0 == holder {
                open += amount;
            } else {
                budget.doubt.insert(key, amount);
            }
        }
        let bill = billed.min(open);
        budget.settled += bill;
        budget.take_back(open - bill);
        self.sequence.depart(holder, offset);
    }

    fn grant_to(&mut self, offset: Offset, index: u32, holder: Incarnation, ask: Tokens) {
        let Some(budget) = self.budgets.get_mut(index as usize) else {
            return;
        };
        let granted = ask.min(budget.unallotted);
        if granted < ask {
            budget.scarce = Some(offset);
        }
        budget.unallotted -= granted;
        budget.grants.entry(holder).or_default().granted += granted;
    }

    /// Changes a holder's grant. `change` returns the tokens that come back to the budget, or `None` if the change does
    /// not fit the grant.
    fn change_grant(
        &mut self,
        key: BudgetKey,
        holder: Incarnation,
        change: impl FnOnce(&mut Grant) -> Option<Tokens>,
    ) -> Result<(), Violation> {
        let budget = self.budgets.get_mut(key.index as usize);
        let changed = budget.and_then(|budget| {
            let back = change(budget.grants.get_mut(&holder)?)?;
            budget.take_back(back);
            Some(())
        });
        changed.ok_or_else(|| self.overdrawn(key.index, holder))?;
        self.check(key.index)
    }

    /// Removes a holder after a planned stop; its unspent tokens come back to the budgets.
    fn leave(&mut self, offset: Offset, holder: Incarnation) {
        for budget in &mut self.budgets {
            if let Some(grant) = budget.grants.remove(&holder) {
                budget.settled += grant.settled;
                budget.take_back(grant.held());
            }
        }
        self.sequence.depart(holder, offset);
    }

    /// Closes a holder: granted - returned - settled - open comes back to each budget. Only the router that is the
    /// holder's witness at this offset may close it. A budget that the close record does not mention was never used,
    /// and its grant comes back whole.
    fn close(
        &mut self,
        offset: Offset,
        closer: Incarnation,
        holder: Incarnation,
        closed: &[Closed],
    ) -> Result<(), Violation> {
        let member = self.sequence.writer(holder);
        if member.departed_at.is_some() || member.witness != Some(closer) {
            return Ok(());
        }
        let mut result = Ok(());
        for (index, budget) in (0..).zip(&mut self.budgets) {
            let Some(grant) = budget.grants.remove(&holder) else {
                continue;
            };
            let reported = closed.iter().find(|closed| closed.budget.index == index);
            let settled = reported.map_or(Tokens::ZERO, |closed| closed.settled);
            let open = reported.map_or(&[][..], |closed| &closed.open[..]);
            let doubt = open.iter().map(|open| open.reserved).sum();
            let left = grant.granted.saturating_sub(grant.returned);
            if settled < grant.settled || settled + doubt > left {
                let budget_name = budget.name.clone();
                result = Err(Violation::Overdrawn {
                    budget: budget_name,
                    holder,
                });
                budget.grants.insert(holder, grant);
                continue;
            }
            budget.settled += settled;
            for open in open {
                budget.doubt.insert((holder, open.nonce), open.reserved);
            }
            budget.take_back(left - settled - doubt);
        }
        self.sequence.depart(holder, offset);
        result
    }

    /// Bills a request that was in doubt; the bill counts once.
    fn resolve(
        &mut self,
        holder: Incarnation,
        nonce: u64,
        billed: Tokens,
    ) -> Result<(), Violation> {
        for budget in &mut self.budgets {
            if let Some(result) = budget.resolve(holder, nonce, billed) {
                return result;
            }
        }
        Ok(())
    }

    fn overdrawn(&self, index: u32, holder: Incarnation) -> Violation {
        let name = self.budget(index).map(|budget| budget.name.clone());
        Violation::Overdrawn {
            budget: name.unwrap_or_else(|| format!("number {index}")),
            holder,
        }
    }

    fn check(&self, index: u32) -> Result<(), Violation> {
        self.budget(index).map_or(Ok(()), Budget::check)
    }

    fn check_all(&self) -> Result<(), Violation> {
        self.budgets.iter().try_for_each(Budget::check)
    }
}

impl Fold for Ledger {
    fn admit(&mut self, writer: Incarnation, seq: u64) -> bool {
        self.sequence.admit(writer, seq)
    }

    fn apply(
        &mut self,
        offset: Offset,
        writer: Incarnation,
        record: &Record,
    ) -> Result<(), Violation> {
        let gone = self.sequence.has_departed(writer);
        match record {
            Record::Grant { budget, ask } if !gone => {
                self.grant_to(offset, budget.index, writer, *ask);
                self.check(budget.index)
            }
            Record::Settle { budget, settled } if !gone => {
                self.change_grant(*budget, writer, |grant| grant.settle(*settled))
            }
            Record::Return { budget, returned } if !gone => {
                self.change_grant(*budget, writer, |grant| grant.set_returned(*returned))
            }
            Record::Witness { witness } if !gone => {
                self.sequence.set_witness(writer, *witness);
                Ok(())
            }
            Record::Leave if !gone => {
                self.leave(offset, writer);
                self.check_all()
            }
            Record::Close { holder, budgets } => {
                let result = self.close(offset, writer, *holder, budgets);
                result.and(self.check_all())
            }
            // Only the witness that closed the holder may resolve its requests: an earlier witness, whose replica is
            // out of date, may still try to.
            Record::Resolve {
                holder,
                nonce,
                billed,
            } if self.sequence.writer(*holder).witness == Some(writer) => {
                let result = self.resolve(*holder, *nonce, *billed);
                result.and(self.check_all())
            }
            Record::Change(plan) => self.confirm(offset, plan),
            // Ignored: records of a writer that has left or was closed, and resolutions by a router that is not the
            // witness. Marks and checkpoints do not concern the ledger.
            Record::Grant { .. }
            | Record::Settle { .. }
            | Record::Return { .. }
            | Record::Witness { .. }
            | Record::Leave
            | Record::Resolve { .. }
            | Record::Mark
            | Record::Checkpoint(_) => Ok(()),
        }
    }
}
