//! Asking for grants, giving them back, and writing down what was spent.

use super::State;
use super::decision::grant::{self, Decision, Shortage};
use crate::router::key::{BudgetKey, Stream};
use crate::router::log::Record;
use crate::router::request::{Reason, Ticket};
use crate::units::{Millis, Tokens};

/// Time between two rounds of settlement records, in a small fleet.
const MAINTENANCE_INTERVAL: Millis = Millis(1_000);
/// What each other router adds to it, so that the fleet's appends stay within what the log takes.
const MAINTENANCE_PER_PEER: Millis = Millis(20);
/// A budget is asked for again after this long at the earliest.
const ASK_AGAIN: Millis = Millis(300);
/// A grant is asked for before it runs out within this span.
const LOW_WITHIN: Millis = Millis(5_000);
/// The log counts as out when it has not answered for this long.
const LOG_WAIT: Millis = Millis(2_000);

impl State {
    /// Asks the ledger for what is short. Why the request must be refused now is returned, or
    /// `None` where it may wait for the answer.
    pub(super) fn want_grant(
        &mut self,
        ticket: Ticket,
        key: BudgetKey,
        short: Tokens,
    ) -> Option<Reason> {
        let now = self.now;
        let budget = self.ledger(key.shard).budget(key.index)?;
        let (unallotted, held, holders) = (budget.unallotted, budget.held(), budget.grants.len());
        let is_reduction_pending = budget.prepaid > budget.terms.prepaid;
        let job = self.jobs.get_mut(&ticket)?;
        let since = *job.short_since.get_or_insert(now);
        let shortage = Shortage {
            short,
            unallotted,
            held,
            is_reduction_pending,
            is_log_out: self.is_log_out(),
            waited: now.saturating_sub(since),
        };
        if let Decision::Refuse(reason) = grant::decide(&shortage) {
            return Some(reason);
        }
        let ask = self.holder.ask(now, key, short, unallotted, holders + 1);
        self.ask_for(key, ask);
        None
    }

    fn ask_for(&mut self, key: BudgetKey, ask: Tokens) {
        let now = self.now;
        let recent = self
            .asked_at
            .get(&key)
            .is_some_and(|at| now < *at + ASK_AGAIN);
        let same =
            |record: &Record| matches!(record, Record::Grant { budget, .. } if *budget == key);
        if recent || self.writer(key.stream()).holds(same) {
            return;
        }
        self.asked_at.insert(key, now);
        self.name_witness(key.shard);
        let record = Record::Grant { budget: key, ask };
        self.writer(key.stream()).push(record);
    }

    /// Whether the log has not answered for a while, as far as appends or reads tell.
    pub(super) fn is_log_out(&self) -> bool {
        let now = self.now;
        let down = !self.log_up && now > self.log_down_since + LOG_WAIT;
        down || self
            .writers
            .values()
            .any(|writer| writer.waited(now) > LOG_WAIT)
    }

    /// Writes settlements down, asks ahead of demand, and gives back what others lack.
    pub(super) fn maintain_accounts(&mut self) {
        let peers = self.membership.well(self.now).len() as u64;
        let every = MAINTENANCE_INTERVAL + Millis(MAINTENANCE_PER_PEER.0 * peers);
        if self.now < self.last_maintenance + every {
            return;
        }
        self.last_maintenance = self.now;
        self.write_settlements();
        for key in self.holder.keys() {
            self.ask_ahead(key, LOW_WITHIN + every);
            self.return_if_scarce(key);
        }
    }

    pub(super) fn write_settlements(&mut self) {
        let due: Vec<_> = self.holder.unrecorded(|key| self.grant(key)).collect();
        let me = self.incarnation();
        for (budget, settled) in due {
            // A ledger that we have left has taken all bills, and our grant with them.
            if self.ledger(budget.shard).sequence().is_gone(me) {
                continue;
            }
            let same = |record: &Record| match record {
                Record::Settle {
                    budget: known,
                    settled: total,
                } => *known == budget && *total >= settled,
                _ => false,
            };
            let writer = self.writer(budget.stream());
            if !writer.holds(same) {
                writer.push(Record::Settle { budget, settled });
            }
        }
    }

    fn ask_ahead(&mut self, key: BudgetKey, within: Millis) {
        let now = self.now;
        let grant = self.grant(key);
        if self.stopping || !self.holder.runs_low(now, key, grant, within) {
            return;
        }
        let Some(budget) = self.ledger(key.shard).budget(key.index) else {
            return;
        };
        let (left, holders) = (budget.unallotted, budget.grants.len());
        if left > Tokens::ZERO {
            let ask = self.holder.ask(now, key, Tokens(1), left, holders);
            self.ask_for(key, ask.min(left));
        }
    }

    /// Gives back what lies idle where somebody got less than it asked for, and all that is free
    /// while a smaller budget waits for returns.
    fn return_if_scarce(&mut self, key: BudgetKey) {
        let Some(budget) = self.ledger(key.shard).budget(key.index) else {
            return;
        };
        let owed = budget.prepaid > budget.terms.prepaid;
        let scarce = budget.scarce;
        let seen = self.scarce_seen.get(&key).copied();
        if !owed && (scarce.is_none() || seen >= scarce) {
            return;
        }
        self.scarce_seen.extend(scarce.map(|scarce| (key, scarce)));
        let grant = self.grant(key);
        let returned = if owed {
            self.holder.return_all(key, grant)
        } else {
            self.holder.return_idle(self.now, key, grant)
        };
        if let Some(returned) = returned {
            let record = Record::Return {
                budget: key,
                returned,
            };
            self.writer(key.stream()).push(record);
        }
    }

    /// Budgets of a shard may have changed: whoever waits for a grant tries again.
    pub(super) fn ledger_moved(&mut self, shard: u8) {
        let keys = self.holder.keys();
        for key in keys.into_iter().filter(|key| key.shard == shard) {
            self.return_if_scarce(key);
        }
        self.pump();
    }

    /// The last records of a planned stop: all bills, then that we are gone.
    pub(super) fn write_leave(&mut self) {
        self.left = true;
        self.write_settlements();
        let me = self.incarnation();
        for stream in Stream::all() {
            let known = match stream {
                Stream::Config => self.config().sequence().member(me),
                Stream::Shard(shard) => self.ledger(shard).sequence().member(me),
            };
            let writer = self.writer(stream);
            let wrote = known.gone.is_none() && (known.seq > 0 || !writer.is_empty());
            if wrote && !writer.holds(|record| matches!(record, Record::Leave)) {
                writer.push(Record::Leave);
            }
        }
    }
}
