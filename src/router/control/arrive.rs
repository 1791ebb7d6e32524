//! Arrivals: recognises retries, admits or refuses new requests and queues them, and takes over requests of
//! other incarnations.

use super::decision::refusal::{self, RunEvidence};
use super::decision::takeover;
use super::job::{Job, Stage};
use super::state::PendingCall;
use super::{Action, Spec, State};
use crate::router::budget::TakeoverAnswer;
use crate::router::intent::Kind;
use crate::router::key::{BudgetKey, Incarnation, Stream};
use crate::router::message::Request;
use crate::router::request::{EPOCH_KEEP, Found, Reason, Ticket, Verdict, Waiting};
use crate::units::{Millis, Tokens};

impl State {
    pub(super) fn handle_arrival(&mut self, spec: Spec) {
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
        // The last attempt's reservation is still being cancelled.
        if own && self.settling.contains_key(&spec.id.nonce) {
            self.refuse_arrival(ticket, own, Reason::WitnessUnavailable);
            return;
        }
        match self.build_job(spec) {
            Ok(job) if own => self.admit(job),
            Ok(job) => self.request_takeover(job),
            Err(reason) => self.refuse_arrival(ticket, own, reason),
        }
    }

    /// Refuses a request that has no job yet.
    fn refuse_arrival(&mut self, ticket: Ticket, own: bool, reason: Reason) {
        let evidence = RunEvidence {
            is_own: own,
            may_have_run: false,
            is_provably_open: self.is_provably_open(),
        };
        let verdict = if refusal::is_known_not_run(evidence) {
            self.not_run_verdict(reason)
        } else {
            Verdict::MayHaveRun { reason }
        };
        self.finish(ticket, verdict);
    }

    /// Looks up the class, budget and prices that a request names.
    fn build_job(&mut self, spec: Spec) -> Result<Job, Reason> {
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
            may_have_run: false,
            tokens_seen: None,
            holder: self.incarnation(),
            witnessed_by: Vec::new(),
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

    /// The highest call price among a service's targets: the reservation must cover any of them.
    fn call_price(&self, service: &str) -> Tokens {
        let targets = self.config().targets();
        let prices = targets
            .filter(|(_, _, target)| target.kind == Kind::Service && target.serves == service)
            .map(|(_, _, target)| target.call_price);
        // Without a target nothing is dispatched, so nothing need be reserved.
        prices.max().unwrap_or(Tokens::ZERO)
    }

    /// Queues a request that only this incarnation may run, or refuses it.
    pub(super) fn admit(&mut self, mut job: Job) {
        job.stage = Stage::Waiting;
        let ticket = job.spec.ticket;
        let customer = job.spec.customer.clone();
        let limit = self
            .config()
            .customer(&customer)
            .map_or(0, |c| c.concurrency);
        let jobs = self.jobs_by_customer.entry(customer).or_default();
        *jobs += 1;
        let too_many = *jobs > limit;
        self.table.insert(job.spec.id, ticket, job.spec.fingerprint);
        let unserved_reason = self.unserved_reason(job.spec.kind, &job.spec.serves);
        self.holder
            .note_demand(self.now, job.budget, job.max_cost());
        self.jobs.insert(ticket, job);
        if self.stopping {
            self.refuse(ticket, Reason::Stopping);
        } else if too_many {
            self.refuse(ticket, Reason::TooMany);
        } else if let Some(reason) = unserved_reason {
            self.refuse(ticket, reason);
        } else {
            self.enqueue(ticket);
        }
    }

    /// Why no target accepts requests for a model or service; `None` if one does.
    fn unserved_reason(&self, kind: Kind, serves: &str) -> Option<Reason> {
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
        let waiting = queue_entry(job);
        let group = (job.spec.kind, job.spec.serves.clone());
        let bound = self.settings.bound;
        let queue = self.queues.entry(group.clone());
        let shed = queue
            .or_insert_with(|| crate::router::request::Queue::new(bound))
            .push(waiting);
        if let Some(shed) = shed {
            self.refuse(shed.ticket, Reason::Overloaded);
        }
        self.start_arrived(&group, ticket);
    }

    /// Refuses a request that has not been dispatched. A retry with the same id is handled as a new request.
    pub(super) fn refuse(&mut self, ticket: Ticket, reason: Reason) {
        let Some(job) = self.remove_job(ticket) else {
            return;
        };
        self.table.remove(job.spec.id);
        if job.stage == Stage::Opening {
            self.unreserve(&job);
        }
        let verdict = self.refusal_verdict(&job, reason);
        self.finish(ticket, verdict);
    }

    /// The verdict on a request that this router has not run. It is "not run" only if no other router can
    /// have received the request. A router that its witness may have closed by now cannot state that for its
    /// own ids, nor for requests that it had under an earlier incarnation.
    pub(super) fn refusal_verdict(&mut self, job: &Job, reason: Reason) -> Verdict {
        let evidence = RunEvidence {
            is_own: job.holder == self.incarnation() && job.stage != Stage::TakingOver,
            may_have_run: job.may_have_run,
            is_provably_open: self.is_provably_open(),
        };
        if refusal::is_known_not_run(evidence) {
            self.not_run_verdict(reason)
        } else {
            Verdict::MayHaveRun { reason }
        }
    }

    /// Removes a job, also from its queue, its customer's count and the index by number.
    pub(super) fn remove_job(&mut self, ticket: Ticket) -> Option<Job> {
        let job = self.jobs.remove(&ticket)?;
        let group = (job.spec.kind, job.spec.serves.clone());
        if let Some(queue) = self.queues.get_mut(&group) {
            queue.remove(&queue_entry(&job));
        }
        if let Some(jobs) = self.jobs_by_customer.get_mut(&job.spec.customer) {
            *jobs = jobs.saturating_sub(1);
            if *jobs == 0 {
                self.jobs_by_customer.remove(&job.spec.customer);
            }
        }
        if job.holder == self.incarnation() {
            self.by_nonce.remove(&job.nonce);
        }
        Some(job)
    }

    /// Asks the witness of another incarnation whether a request of that incarnation may run here.
    pub(super) fn request_takeover(&mut self, mut job: Job) {
        job.stage = Stage::TakingOver;
        job.arrived = self.now;
        job.holder = self.incarnation();
        job.witnessed_by.clear();
        let ticket = job.spec.ticket;
        let id = job.spec.id;
        let shard = job.budget.shard;
        let member = self.ledger(shard).sequence().writer(id.incarnation);
        if self.stopping || member.departed_at.is_none() {
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
        *self
            .jobs_by_customer
            .entry(job.spec.customer.clone())
            .or_default() += 1;
        let repeatable = job.spec.repeatable;
        self.jobs.insert(ticket, job);
        let by = self.incarnation();
        if self.witnesses.contains_key(&witness) {
            let taken = self.take_over(id, shard, by, repeatable);
            self.handle_takeover_answer(ticket, taken);
            return;
        }
        let Some(address) = self.membership.address_of(witness) else {
            self.handle_takeover_answer(ticket, TakeoverAnswer::Unknown);
            return;
        };
        let request = Request::Takeover {
            to: witness,
            id,
            shard,
            by,
            repeatable,
        };
        self.call(address, PendingCall::Takeover(ticket), request);
    }

    /// Handles the witness's answer to a takeover: admits the request, or refuses it.
    pub(super) fn handle_takeover_answer(&mut self, ticket: Ticket, answer: TakeoverAnswer) {
        let is_pending = self.jobs.get(&ticket).map(|job| job.stage) == Some(Stage::TakingOver);
        if !is_pending {
            return;
        }
        let Some(mut job) = self.remove_job(ticket) else {
            return;
        };
        self.table.remove(job.spec.id);
        match takeover::terms(answer, job.spec.repeatable) {
            Ok(terms) => {
                job.paid = terms.paid;
                job.may_have_run = terms.may_have_run;
                job.nonce = self.takeover_nonce();
                self.admit(job);
            }
            Err(reason) => self.finish(ticket, Verdict::MayHaveRun { reason }),
        }
    }

    /// Requests a takeover, for this incarnation, of each request that was not dispatched under a closed
    /// incarnation of this process.
    pub(super) fn retake_undispatched(&mut self, old: Incarnation) {
        let waiting = self.jobs.values().filter(|job| job.holder == old);
        let waiting = waiting.filter(|job| job.stage != Stage::Running);
        let tickets: Vec<Ticket> = waiting.map(|job| job.spec.ticket).collect();
        for ticket in tickets {
            let Some(mut job) = self.remove_job(ticket) else {
                continue;
            };
            self.table.remove(job.spec.id);
            if let Some(choice) = job.choice.take()
                && job.stage == Stage::Opening
            {
                self.pool.finished(self.now, choice.target, None);
            }
            self.request_takeover(job);
        }
    }
}

fn queue_entry(job: &Job) -> Waiting {
    Waiting {
        ticket: job.spec.ticket,
        rank: job.rank,
        arrived: job.arrived,
        patience: job.patience,
    }
}
