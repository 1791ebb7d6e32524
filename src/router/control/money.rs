//! Requests grants from the ledgers, returns unused tokens and records settlements.

use super::State;
use super::decision::grant::{self, Decision, Shortage};
use crate::router::key::{BudgetKey, Stream};
use crate::router::log::Record;
use crate::router::request::{Reason, Ticket};
use crate::units::{Millis, Tokens};

/// Time between two rounds of account maintenance for a router without peers.
const MAINTENANCE_INTERVAL: Millis = Millis(1_000);
/// Added to [`MAINTENANCE_INTERVAL`] for each healthy peer, so that the fleet's appends stay within the log's capacity.
const MAINTENANCE_PER_PEER: Millis = Millis(20);
/// Shortest time between two grant requests for the same budget.
const GRANT_REQUEST_INTERVAL: Millis = Millis(300);
/// A grant is requested ahead of demand if the tokens held would run out within this span and one maintenance
/// interval.
const REFILL_HORIZON: Millis = Millis(5_000);
/// The log service counts as unavailable when it has not answered for longer than this.
const LOG_SILENCE_MAX: Millis = Millis(2_000);

impl State {
    /// Requests a grant for the tokens that a request lacks. Returns why the request must be refused now, or
    /// `None` if it may wait for the grant.
    pub(super) fn request_grant(
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
        let amount = self.holder.ask(now, key, short, unallotted, holders + 1);
        self.write_grant_request(key, amount);
        None
    }

    fn write_grant_request(&mut self, key: BudgetKey, amount: Tokens) {
        let now = self.now;
        let is_recent = self
            .grant_requested_at
            .get(&key)
            .is_some_and(|at| now < *at + GRANT_REQUEST_INTERVAL);
        let is_same =
            |record: &Record| matches!(record, Record::Grant { budget, .. } if *budget == key);
        if is_recent || self.writer(key.shard_stream()).holds(is_same) {
            return;
        }
        self.grant_requested_at.insert(key, now);
        self.name_witness(key.shard);
        let record = Record::Grant {
            budget: key,
            ask: amount,
        };
        self.writer(key.shard_stream()).push(record);
    }

    /// Whether the log service is unavailable: reads have failed, or an append was not read back, for too long.
    pub(super) fn is_log_out(&self) -> bool {
        let now = self.now;
        let reads_fail = !self.log_up && now > self.log_down_since + LOG_SILENCE_MAX;
        reads_fail
            || self
                .writers
                .values()
                .any(|writer| writer.pending_for(now) > LOG_SILENCE_MAX)
    }

    /// Records settlements, requests grants ahead of demand, and returns tokens that other routers lack.
    pub(super) fn maintain_accounts(&mut self) {
        let peers = self.membership.well(self.now).len() as u64;
        let every = MAINTENANCE_INTERVAL + Millis(MAINTENANCE_PER_PEER.0 * peers);
        if self.now < self.last_maintenance + every {
            return;
        }
        self.last_maintenance = self.now;
        self.write_settlements();
        for key in self.holder.keys() {
            self.request_ahead(key, REFILL_HORIZON + every);
            self.return_if_scarce(key);
        }
    }

    /// Records the acknowledged settlements that the ledgers do not have yet.
    pub(super) fn write_settlements(&mut self) {
        let due: Vec<_> = self.holder.unrecorded(|key| self.grant(key)).collect();
        let me = self.incarnation();
        for (budget, settled) in due {
            // A ledger that this incarnation has left has all its bills, and has taken back its grant.
            if self.ledger(budget.shard).sequence().has_departed(me) {
                continue;
            }
            let is_same = |record: &Record| match record {
                Record::Settle {
                    budget: known,
                    settled: total,
                } => *known == budget && *total >= settled,
                _ => false,
            };
            let writer = self.writer(budget.shard_stream());
            if !writer.holds(is_same) {
                writer.push(Record::Settle { budget, settled });
            }
        }
    }

    /// Requests a grant if the tokens held will not last for `within` at the current demand.
    fn request_ahead(&mut self, key: BudgetKey, within: Millis) {
        let now = self.now;
        let grant = self.grant(key);
        if self.stopping || !self.holder.runs_low(now, key, grant, within) {
            return;
        }
        let Some(budget) = self.ledger(key.shard).budget(key.index) else {
            return;
        };
        let (unallotted, holders) = (budget.unallotted, budget.grants.len());
        if unallotted > Tokens::ZERO {
            let amount = self.holder.ask(now, key, Tokens(1), unallotted, holders);
            self.write_grant_request(key, amount.min(unallotted));
        }
    }

    /// Returns idle tokens if a router was granted less of the budget than it requested. Returns all free tokens
    /// while a reduction of the budget waits for returns.
    fn return_if_scarce(&mut self, key: BudgetKey) {
        let Some(budget) = self.ledger(key.shard).budget(key.index) else {
            return;
        };
        let is_reduction_pending = budget.prepaid > budget.terms.prepaid;
        let scarce = budget.scarce;
        let seen = self.scarce_seen.get(&key).copied();
        if !is_reduction_pending && (scarce.is_none() || seen >= scarce) {
            return;
        }
        self.scarce_seen.extend(scarce.map(|scarce| (key, scarce)));
        let grant = self.grant(key);
        let returned = if is_reduction_pending {
            self.holder.return_all(key, grant)
        } else {
            self.holder.return_idle(self.now, key, grant)
        };
        if let Some(returned) = returned {
            let record = Record::Return {
                budget: key,
                returned,
            };
            self.writer(key.shard_stream()).push(record);
        }
    }

    /// Handles a change of a shard's ledger: returns what its budgets lack, and tries the waiting requests again.
    pub(super) fn ledger_changed(&mut self, shard: u8) {
        let keys = self.holder.keys();
        for key in keys.into_iter().filter(|key| key.shard == shard) {
            self.return_if_scarce(key);
        }
        self.start_queued();
    }

    /// Writes the last records of a planned stop: all settlements, then the leave records.
    pub(super) fn write_leave(&mut self) {
        self.has_left = true;
        self.write_settlements();
        let me = self.incarnation();
        for stream in Stream::all() {
            let known = match stream {
                Stream::Config => self.config().sequence().writer(me),
                Stream::Shard(shard) => self.ledger(shard).sequence().writer(me),
            };
            let writer = self.writer(stream);
            let has_written = known.departed_at.is_none() && (known.seq > 0 || !writer.is_empty());
            if has_written && !writer.holds(|record| matches!(record, Record::Leave)) {
                writer.push(Record::Leave);
            }
        }
    }
}
