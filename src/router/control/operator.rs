//! Operators' requests: plans, confirms and status; and the planned stop.

use rand::RngExt;

use super::action::{ReplyToken, StatusBudget};
use super::state::PendingConfirm;
use super::{Action, State, Status, StatusPeer};
use crate::router::budget::{Budget, Witness};
use crate::router::config::{Intent, Snapshot, plan};
use crate::router::intent::{Outcome, Plan, Refused};
use crate::router::key::{BudgetKey, SHARDS, Stream};
use crate::router::log::Record;
use crate::units::Millis;

/// A confirmed plan that is not read back from the log within this time is answered without an outcome; the
/// operator may repeat the confirm.
const CONFIRM_WAIT: Millis = Millis(8_000);
/// Longest time that a stopping router, once it has no request in progress, waits for its accounts to reach the
/// log and for its wards.
const STOP_WAIT: Millis = Millis(30_000);

impl State {
    /// Answers an operator's intent with a plan.
    pub(super) fn plan_intent(&mut self, token: ReplyToken, intent: &Intent) {
        let id = self.rng.random();
        let snapshot = Snapshot {
            config: self.config.state(),
            ledgers: self.ledgers.iter().map(|ledger| ledger.state()).collect(),
        };
        let result = plan(&snapshot, id, intent);
        self.actions.push(Action::Planned { token, result });
    }

    /// Writes a confirmed plan to the log; its outcome is answered once it is read back.
    pub(super) fn confirm_plan(&mut self, token: ReplyToken, plan: Plan) {
        if let Some(outcome) = self.outcome(&plan) {
            let outcome = Some(outcome);
            self.actions.push(Action::Confirmed { token, outcome });
            return;
        }
        let id = plan.id;
        let stream = plan.stream;
        let is_same = |record: &Record| matches!(record, Record::Change(known) if known.id == id);
        let Some(writer) = self.writers.get_mut(&stream) else {
            self.actions.push(Action::Confirmed {
                token,
                outcome: Some(Outcome::Refused(Refused::Unfit)),
            });
            return;
        };
        if !writer.holds(is_same) {
            writer.push(Record::Change(plan.clone()));
        }
        let since = self.now;
        self.confirming.push(PendingConfirm { token, plan, since });
    }

    fn outcome(&self, plan: &Plan) -> Option<Outcome> {
        match plan.stream {
            Stream::Config => self.config().outcomes().get(plan.id),
            Stream::Shard(shard) if shard < SHARDS => self.ledger(shard).outcomes().get(plan.id),
            Stream::Shard(_) => None,
        }
    }

    /// Answers the confirms whose plans have been read back.
    pub(super) fn answer_confirms(&mut self) {
        let confirming = std::mem::take(&mut self.confirming);
        for pending in confirming {
            match self.outcome(&pending.plan) {
                Some(outcome) => {
                    let (token, outcome) = (pending.token, Some(outcome));
                    self.actions.push(Action::Confirmed { token, outcome });
                }
                None => self.confirming.push(pending),
            }
        }
    }

    /// Answers the confirms whose plans were not read back in time.
    pub(super) fn expire_confirms(&mut self) {
        let now = self.now;
        let confirming = std::mem::take(&mut self.confirming);
        let (expired, waiting) = confirming
            .into_iter()
            .partition(|pending| now > pending.since + CONFIRM_WAIT);
        self.confirming = waiting;
        for pending in expired {
            let (token, outcome) = (pending.token, None);
            self.actions.push(Action::Confirmed { token, outcome });
        }
    }

    /// Begins a planned stop: refuses the queued requests and announces at once that this router is leaving.
    pub(super) fn begin_stop(&mut self) {
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

    /// Ends the process once no request is in progress, the log has its accounts, and no router needs it as a
    /// witness. It leaves as a holder first, so that two routers that stop together do not wait for each other.
    pub(super) fn finish_stop(&mut self) {
        if !self.stopping || self.exited || !self.jobs.is_empty() {
            self.stopping_since = self.now;
            return;
        }
        let is_within_wait = self.now <= self.stopping_since + STOP_WAIT;
        if is_within_wait && (!self.settling.is_empty() || !self.past_settling.is_empty()) {
            return;
        }
        if self.settling.is_empty() {
            self.write_leave();
        }
        let mut writers = self.writers.values().chain(self.past_writers.values());
        let is_written = writers.all(crate::router::log::Writer::is_empty);
        if !is_within_wait || (is_written && !self.is_needed_as_witness()) {
            self.exited = true;
            self.actions.push(Action::Exit);
        }
    }

    /// Answers a status request.
    pub(super) fn answer_status(&mut self, token: ReplyToken) {
        let me = self.membership.me();
        let hex = |incarnation: crate::router::key::Incarnation| incarnation.to_string();
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
            wards: self.witnesses.values().map(Witness::replica_count).sum(),
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
        in_doubt: budget.in_doubt(),
        holders: holders
            .map(|(holder, grant)| (holder.to_string(), grant.held()))
            .collect(),
    }
}
