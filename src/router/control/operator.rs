//! Operators: plans, confirms, status, and the planned stop.

use rand::RngExt;

use super::action::{StatusBudget, Token};
use super::state::Confirming;
use super::{Action, State, Status, StatusPeer};
use crate::router::budget::{Budget, Witness};
use crate::router::config::{Intent, World, plan};
use crate::router::intent::{Outcome, Plan, Refused};
use crate::router::key::{BudgetKey, SHARDS, Stream};
use crate::router::log::Record;
use crate::units::Millis;

/// A confirm that is not read back within this is answered so; it may be repeated.
const CONFIRM_WAIT: Millis = Millis(8_000);
/// A stopping router whose streams are done waits this long for the log.
const STOP_WAIT: Millis = Millis(30_000);

impl State {
    pub(super) fn intent(&mut self, token: Token, intent: &Intent) {
        let id = self.rng.random();
        let world = World {
            config: self.config.state(),
            ledgers: self.ledgers.iter().map(|ledger| ledger.state()).collect(),
        };
        let result = plan(&world, id, intent);
        self.actions.push(Action::Planned { token, result });
    }

    pub(super) fn confirm(&mut self, token: Token, plan: Plan) {
        if let Some(outcome) = self.outcome(&plan) {
            let outcome = Some(outcome);
            self.actions.push(Action::Confirmed { token, outcome });
            return;
        }
        let id = plan.id;
        let stream = plan.stream;
        let same = |record: &Record| matches!(record, Record::Change(known) if known.id == id);
        let Some(writer) = self.writers.get_mut(&stream) else {
            self.actions.push(Action::Confirmed {
                token,
                outcome: Some(Outcome::Refused(Refused::Unfit)),
            });
            return;
        };
        if !writer.holds(same) {
            writer.push(Record::Change(plan.clone()));
        }
        let since = self.now;
        self.confirming.push(Confirming { token, plan, since });
    }

    fn outcome(&self, plan: &Plan) -> Option<Outcome> {
        match plan.stream {
            Stream::Config => self.config().outcomes().get(plan.id),
            Stream::Shard(shard) if shard < SHARDS => self.ledger(shard).outcomes().get(plan.id),
            Stream::Shard(_) => None,
        }
    }

    /// Answers confirms that have been read back.
    pub(super) fn answer_confirms(&mut self) {
        let confirming = std::mem::take(&mut self.confirming);
        for one in confirming {
            match self.outcome(&one.plan) {
                Some(outcome) => {
                    let (token, outcome) = (one.token, Some(outcome));
                    self.actions.push(Action::Confirmed { token, outcome });
                }
                None => self.confirming.push(one),
            }
        }
    }

    pub(super) fn expire_confirms(&mut self) {
        let now = self.now;
        let confirming = std::mem::take(&mut self.confirming);
        let (late, waiting) = confirming
            .into_iter()
            .partition(|one| now > one.since + CONFIRM_WAIT);
        self.confirming = waiting;
        for one in late {
            let (token, outcome) = (one.token, None);
            self.actions.push(Action::Confirmed { token, outcome });
        }
    }

    pub(super) fn stop(&mut self) {
        self.stopping = true;
        self.stopping_since = self.now;
        let queued: Vec<_> = self
            .queues
            .values()
            .flat_map(|queue| queue.iter().copied())
            .collect();
        for waiting in queued {
            self.refuse(waiting.ticket, crate::router::request::Reason::Stopping);
        }
        self.last_heartbeat = Millis::ZERO;
        self.send_heartbeats();
    }

    /// Ends the process once nothing is in progress, the log has its accounts, and nobody needs it as a
    /// witness. It leaves as a holder first: of two that stop together, neither waits for the other.
    pub(super) fn finish_stop(&mut self) {
        if !self.stopping || self.exited || !self.jobs.is_empty() {
            self.stopping_since = self.now;
            return;
        }
        let patient = self.now <= self.stopping_since + STOP_WAIT;
        if patient && (!self.settling.is_empty() || !self.late.is_empty()) {
            return;
        }
        if self.settling.is_empty() {
            self.write_leave();
        }
        let mut writers = self.writers.values().chain(self.past_writers.values());
        let is_written = writers.all(crate::router::log::Writer::is_empty);
        if !patient || (is_written && !self.is_awaited()) {
            self.exited = true;
            self.actions.push(Action::Exit);
        }
    }

    pub(super) fn status(&mut self, token: Token) {
        let me = self.membership.me();
        let hex = |one: crate::router::key::Incarnation| one.to_string();
        let peers = self.membership.peers(self.now);
        let peers = peers.into_iter().map(|(peer, standing)| StatusPeer {
            entry: peer.entry,
            incarnation: hex(peer.incarnation),
            hall: peer.hall.clone(),
            standing: format!("{standing:?}"),
            applied: peer.applied,
        });
        let applied = Stream::all().map(|stream| (stream.to_string(), self.applied(stream)));
        let status = Status {
            incarnation: hex(me.incarnation),
            entry: me.entry,
            hall: me.hall.clone(),
            ready: self.is_ready(),
            stopping: self.stopping,
            log_up: !self.is_log_out(),
            witness: me.witness.map(hex),
            wards: self.witnesses.values().map(Witness::wards).sum(),
            applied: applied.collect(),
            waiting: self
                .queues
                .values()
                .map(crate::router::request::Queue::len)
                .sum(),
            jobs: self.jobs.len(),
            violations: self.violations,
            peers: peers.collect(),
            budgets: self.status_budgets(),
        };
        let status = Box::new(status);
        self.actions.push(Action::Status { token, status });
    }

    fn status_budgets(&self) -> Vec<StatusBudget> {
        let mut budgets = Vec::new();
        for shard in 0..SHARDS {
            for (index, budget) in self.ledger(shard).budgets() {
                budgets.push(status_budget(BudgetKey { shard, index }, budget));
            }
        }
        budgets
    }
}

fn status_budget(key: BudgetKey, budget: &Budget) -> StatusBudget {
    let holders = budget.grants.iter();
    StatusBudget {
        name: budget.name.clone(),
        customer: budget.terms.customer.clone(),
        key,
        prepaid: budget.prepaid,
        unallotted: budget.unallotted,
        held: budget.held(),
        billed: budget.billed(),
        in_doubt: budget.doubted(),
        holders: holders
            .map(|(holder, grant)| (holder.to_string(), grant.held()))
            .collect(),
    }
}
