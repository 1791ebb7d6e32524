//! Arrivals: whose id it is, whether it may be taken on, and where it waits.

use super::decision::refusal::{self, RunEvidence};
use super::decision::takeover;
use super::job::{Job, Stage};
use super::state::Asked;
use super::{Action, Spec, State};
use crate::router::budget::Taken;
use crate::router::intent::Kind;
use crate::router::key::{BudgetKey, Incarnation, Stream};
use crate::router::message::Request;
use crate::router::request::{EPOCH_KEEP, Found, Reason, Ticket, Verdict, Waiting};
use crate::units::{Millis, Tokens};

impl State {
    pub(super) fn arrive(&mut self, spec: Spec) {
        let ticket = spec.ticket;
        match self.table.find(spec.id, spec.fingerprint) {
            Found::Same(to) => {
                self.actions.push(Action::Join { ticket, to });
                return;
            }
            Found::Reused => {
                let reason = Reason::IdReused;
                self.finish(ticket, Verdict::MayHaveRun { reason });
                return;
            }
            Found::New => {}
        }
        let own = spec.id.incarnation == self.incarnation();
        if own && spec.id.epoch() + EPOCH_KEEP < self.epoch() {
            let reason = Reason::Expired;
            self.finish(ticket, Verdict::MayHaveRun { reason });
            return;
        }
        // The last attempt's reservation is still being taken back.
        if own && self.settling.contains_key(&spec.id.nonce) {
            self.turn_away(ticket, own, Reason::WitnessUnavailable);
            return;
        }
        match self.describe(spec) {
            Ok(job) if own => self.admit(job),
            Ok(job) => self.judge(job),
            Err(reason) => self.turn_away(ticket, own, reason),
        }
    }

    /// Refuses a request that has no job yet.
    fn turn_away(&mut self, ticket: Ticket, own: bool, reason: Reason) {
        let evidence = RunEvidence {
            is_own: own,
            may_have_run: false,
            is_provably_open: self.is_sure(),
        };
        let verdict = if refusal::is_known_not_run(evidence) {
            self.not_run(reason)
        } else {
            Verdict::MayHaveRun { reason }
        };
        self.finish(ticket, verdict);
    }

    /// Looks up all that a request names.
    fn describe(&mut self, spec: Spec) -> Result<Job, Reason> {
        if !self.is_ready() {
            return Err(Reason::Starting);
        }
        let config = self.config.state();
        let class = config.class(&spec.class).ok_or(Reason::Unknown)?;
        let (rank, patience, price_permille) = (class.rank, class.patience, class.price_permille);
        let budget = self.find_budget(&spec)?;
        let max_tokens = match spec.kind {
            Kind::Engine => spec.max_tokens,
            Kind::Service => self.call_price(&spec.serves),
        };
        Ok(Job {
            stage: Stage::Waiting,
            rank,
            patience,
            price_permille,
            arrived: self.now,
            budget,
            nonce: spec.id.nonce,
            max_tokens,
            paid: None,
            doubted: false,
            seen: None,
            holder: self.incarnation(),
            opened: Vec::new(),
            opening_since: Millis::ZERO,
            choice: None,
            tried: Vec::new(),
            attempt: 0,
            short_since: None,
            spec,
        })
    }

    fn find_budget(&self, spec: &Spec) -> Result<BudgetKey, Reason> {
        let Stream::Shard(shard) = Stream::of_customer(&spec.customer) else {
            return Err(Reason::Unknown);
        };
        let ledger = self.ledger(shard);
        let index = ledger.find(&spec.budget).ok_or(Reason::Unknown)?;
        let owner = ledger
            .budget(index)
            .map(|budget| budget.terms.customer.as_str());
        if owner != Some(spec.customer.as_str()) {
            return Err(Reason::Unknown);
        }
        if self.suspended.contains(&spec.budget) {
            return Err(Reason::Suspended);
        }
        Ok(BudgetKey { shard, index })
    }

    /// The dearest of a service's runners: what is reserved must cover any of them.
    fn call_price(&self, service: &str) -> Tokens {
        let targets = self.config().targets();
        let prices = targets
            .filter(|(_, _, target)| target.kind == Kind::Service && target.serves == service)
            .map(|(_, _, target)| target.call_price);
        // Without a runner nothing is dispatched, so nothing need be reserved.
        prices.max().unwrap_or(Tokens::ZERO)
    }

    /// Takes on a request that this incarnation alone may run.
    pub(super) fn admit(&mut self, mut job: Job) {
        job.stage = Stage::Waiting;
        let ticket = job.spec.ticket;
        let customer = job.spec.customer.clone();
        let limit = self
            .config()
            .customer(&customer)
            .map_or(0, |c| c.concurrency);
        let busy = self.busy.entry(customer).or_default();
        *busy += 1;
        let too_many = *busy > limit;
        self.table.insert(job.spec.id, ticket, job.spec.fingerprint);
        let unserved = self.unserved(job.spec.kind, &job.spec.serves);
        self.holder
            .note_demand(self.now, job.budget, job.max_cost());
        self.jobs.insert(ticket, job);
        if self.stopping {
            self.refuse(ticket, Reason::Stopping);
        } else if too_many {
            self.refuse(ticket, Reason::TooMany);
        } else if let Some(reason) = unserved {
            self.refuse(ticket, reason);
        } else {
            self.enqueue(ticket);
        }
    }

    /// Why no target takes work for a model or service, if none does.
    fn unserved(&self, kind: Kind, serves: &str) -> Option<Reason> {
        if self.pool.serves(kind, serves) {
            return None;
        }
        let reason = if self.config().has_target(kind, serves) {
            Reason::NoTarget
        } else {
            Reason::UnknownModel
        };
        Some(reason)
    }

    fn enqueue(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get(&ticket) else {
            return;
        };
        let waiting = waiting(job);
        let group = (job.spec.kind, job.spec.serves.clone());
        let bound = self.settings.bound;
        let queue = self.queues.entry(group.clone());
        let shed = queue
            .or_insert_with(|| crate::router::request::Queue::new(bound))
            .push(waiting);
        if let Some(shed) = shed {
            self.refuse(shed.ticket, Reason::Overloaded);
        }
        self.pump_arrival(&group, ticket);
    }

    /// Refuses a request that has not been dispatched: the id may come again.
    pub(super) fn refuse(&mut self, ticket: Ticket, reason: Reason) {
        let Some(job) = self.take_out(ticket) else {
            return;
        };
        self.table.remove(job.spec.id);
        if job.stage == Stage::Opening {
            self.unreserve(&job);
        }
        let verdict = self.refusal(&job, reason);
        self.finish(ticket, verdict);
    }

    /// The verdict on a request that this router has not run. "Not run" is only said where nobody
    /// else can have been given it: a router that its witness may have closed by now cannot speak
    /// for its own ids, nor for what it had under an earlier incarnation.
    pub(super) fn refusal(&mut self, job: &Job, reason: Reason) -> Verdict {
        let evidence = RunEvidence {
            is_own: job.holder == self.incarnation() && job.stage != Stage::Judged,
            may_have_run: job.doubted,
            is_provably_open: self.is_sure(),
        };
        if refusal::is_known_not_run(evidence) {
            self.not_run(reason)
        } else {
            Verdict::MayHaveRun { reason }
        }
    }

    /// Takes a job out of all that it is in.
    pub(super) fn take_out(&mut self, ticket: Ticket) -> Option<Job> {
        let job = self.jobs.remove(&ticket)?;
        let group = (job.spec.kind, job.spec.serves.clone());
        if let Some(queue) = self.queues.get_mut(&group) {
            queue.remove(&waiting(&job));
        }
        if let Some(busy) = self.busy.get_mut(&job.spec.customer) {
            *busy = busy.saturating_sub(1);
            if *busy == 0 {
                self.busy.remove(&job.spec.customer);
            }
        }
        if job.holder == self.incarnation() {
            self.by_nonce.remove(&job.nonce);
        }
        Some(job)
    }

    /// A request of another incarnation: its witness judges whether it may run here.
    pub(super) fn judge(&mut self, mut job: Job) {
        job.stage = Stage::Judged;
        job.arrived = self.now;
        job.holder = self.incarnation();
        job.opened.clear();
        let ticket = job.spec.ticket;
        let id = job.spec.id;
        let shard = job.budget.shard;
        let member = self.ledger(shard).sequence().member(id.incarnation);
        if self.stopping || member.gone.is_none() {
            let known = self.membership.peer(id.incarnation).is_some();
            let reason = if known {
                Reason::Elsewhere
            } else {
                Reason::Lost
            };
            self.finish(ticket, Verdict::MayHaveRun { reason });
            return;
        }
        let Some(witness) = member.witness else {
            let reason = Reason::Lost;
            self.finish(ticket, Verdict::MayHaveRun { reason });
            return;
        };
        self.table.insert(id, ticket, job.spec.fingerprint);
        *self.busy.entry(job.spec.customer.clone()).or_default() += 1;
        let repeatable = job.spec.repeatable;
        self.jobs.insert(ticket, job);
        let by = self.incarnation();
        if self.witnesses.contains_key(&witness) {
            let taken = self.take_over(id, shard, by, repeatable);
            self.judged(ticket, taken);
            return;
        }
        let Some(address) = self.membership.address_of(witness) else {
            self.judged(ticket, Taken::Unknown);
            return;
        };
        let request = Request::Take {
            to: witness,
            id,
            shard,
            by,
            repeatable,
        };
        self.call(address, Asked::Take(ticket), request);
    }

    /// The witness's word on a request of a lost incarnation.
    pub(super) fn judged(&mut self, ticket: Ticket, taken: Taken) {
        let judged = self.jobs.get(&ticket).map(|job| job.stage) == Some(Stage::Judged);
        if !judged {
            return;
        }
        let Some(mut job) = self.take_out(ticket) else {
            return;
        };
        self.table.remove(job.spec.id);
        match takeover::decide(taken, job.spec.repeatable) {
            Ok(terms) => {
                job.paid = terms.paid;
                job.doubted = terms.may_have_run;
                job.nonce = self.own_nonce();
                self.admit(job);
            }
            Err(reason) => self.finish(ticket, Verdict::MayHaveRun { reason }),
        }
    }

    /// Takes back what waits under a lost incarnation of this process, and has it judged anew.
    pub(super) fn rejudge(&mut self, old: Incarnation) {
        let waiting = self.jobs.values().filter(|job| job.holder == old);
        let waiting = waiting.filter(|job| job.stage != Stage::Running);
        let tickets: Vec<Ticket> = waiting.map(|job| job.spec.ticket).collect();
        for ticket in tickets {
            let Some(mut job) = self.take_out(ticket) else {
                continue;
            };
            self.table.remove(job.spec.id);
            if let Some(choice) = job.choice.take()
                && job.stage == Stage::Opening
            {
                self.pool.finished(self.now, choice.target, None);
            }
            self.judge(job);
        }
    }
}

fn waiting(job: &Job) -> Waiting {
    Waiting {
        ticket: job.spec.ticket,
        rank: job.rank,
        arrived: job.arrived,
        patience: job.patience,
    }
}
