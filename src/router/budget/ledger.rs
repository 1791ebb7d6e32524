//! The fold over a shard stream: who holds how much of which budget.
//!
//! For each budget, at each offset: unallotted + held + settled + in doubt = prepaid. The ledger
//! asserts this itself after every record that touches a budget.

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

    /// The index of a name.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.names.get(name).copied()
    }

    /// All budgets with their indexes.
    pub fn budgets(&self) -> impl Iterator<Item = (u32, &Budget)> {
        (0..).zip(&self.budgets)
    }

    /// What `holder` holds of a budget.
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

    /// What became of confirmed plans.
    pub fn outcomes(&self) -> &Outcomes {
        &self.outcomes
    }

    /// Why a plan would be refused as things stand.
    pub fn judge(&self, plan: &Plan) -> Result<(), Refused> {
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
        let judged = self.judge(plan);
        if !self.outcomes.take(plan.id, offset, judged) {
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

    /// An operator states that a gone holder will not spend: everything of it is billed up to
    /// `billed`, and the rest comes back.
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
        let part = ask.min(budget.unallotted);
        if part < ask {
            budget.scarce = Some(offset);
        }
        budget.unallotted -= part;
        budget.grants.entry(holder).or_default().granted += part;
    }

    /// Changes what a holder has of a budget; what comes back to the budget is returned.
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

    /// A planned stop: what the holder has left comes back.
    fn leave(&mut self, offset: Offset, holder: Incarnation) {
        for budget in &mut self.budgets {
            if let Some(grant) = budget.grants.remove(&holder) {
                budget.settled += grant.settled;
                budget.take_back(grant.held());
            }
        }
        self.sequence.depart(holder, offset);
    }

    /// What comes back is granted - settled - open; only the holder's witness of this offset may
    /// say so. Budgets that it does not name were never used and come back whole.
    fn close(
        &mut self,
        offset: Offset,
        by: Incarnation,
        holder: Incarnation,
        closed: &[Closed],
    ) -> Result<(), Violation> {
        let member = self.sequence.writer(holder);
        if member.departed_at.is_some() || member.witness != Some(by) {
            return Ok(());
        }
        let mut result = Ok(());
        for (index, budget) in (0..).zip(&mut self.budgets) {
            let Some(grant) = budget.grants.remove(&holder) else {
                continue;
            };
            let said = closed.iter().find(|closed| closed.budget.index == index);
            let settled = said.map_or(Tokens::ZERO, |closed| closed.settled);
            let open = said.map_or(&[][..], |closed| &closed.open[..]);
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

    /// The bill of a request that was in doubt; it counts once.
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
                self.change_grant(*budget, writer, |grant| grant.give_back(*returned))
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
            // Only the witness that closed the holder judges its requests: an earlier one, with old
            // accounts, may think that it still does.
            Record::Resolve {
                holder,
                nonce,
                billed,
            } if self.sequence.writer(*holder).witness == Some(writer) => {
                let result = self.resolve(*holder, *nonce, *billed);
                result.and(self.check_all())
            }
            Record::Change(plan) => self.confirm(offset, plan),
            // A closed writer's grants, settlements and returns are void, and so is the word of one
            // that is not the judge; the rest is not for us.
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
