//! Starts queued requests, dispatches them to targets, and settles them when the dispatch has ended.

use super::decision::retry::{self, Failure, History};
use super::job::{Job, Settling, Stage};
use super::{Action, End, State};
use crate::ejection::Outcome;
use crate::router::intent::Kind;
use crate::router::message::Notice;
use crate::router::pool::{Choice, TargetQuery};
use crate::router::request::{Id, Reason, Ticket, Verdict, Waiting};
use crate::units::{Millis, Tokens};

/// Longest time that a reservation waits for its witnesses' acknowledgements.
const OPEN_WAIT: Millis = Millis(1_500);
/// Longest time that a takeover waits for the witness's answer.
const TAKEOVER_WAIT: Millis = Millis(1_500);
/// Longest time that a verdict waits for the witnesses to acknowledge the settlement.
const VERDICT_WAIT: Millis = Millis(200);

/// The result of trying to start a queued request.
enum Start {
    Started,
    /// The request waits for tokens; others in its queue may start.
    Blocked,
    /// No target has a free slot.
    NoSlot,
    Refused(Reason),
}

impl State {
    /// Starts all queued requests that can start.
    pub(super) fn start_queued(&mut self) {
        let groups: Vec<_> = self.queues.keys().cloned().collect();
        for group in groups {
            self.start_queued_group(&group);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    /// Starts the queued requests for one model or service that can start, and refuses at once those that
    /// cannot start in time.
    pub(super) fn start_queued_group(&mut self, group: &(Kind, String)) {
        let Some(queue) = self.queues.get_mut(group) else {
            return;
        };
        let queued: Vec<Waiting> = queue.iter().copied().collect();
        let unserved = !self.pool.serves(group.0, &group.1);
        for waiting in queued {
            let start = if unserved {
                Start::Refused(Reason::NoTarget)
            } else {
                self.start(waiting.ticket)
            };
            if !self.apply_start(group, &waiting, start) {
                break;
            }
        }
        self.refuse_too_late(group);
    }

    /// Starts a request that has just arrived, unless another waits for a target ahead of it. Requests that
    /// wait for tokens are tried again when the ledger changes, not with each arrival.
    pub(super) fn start_arrived(&mut self, group: &(Kind, String), ticket: Ticket) {
        let Some(queue) = self.queues.get(group) else {
            return;
        };
        let jobs = &self.jobs;
        let is_short = |waiting: &Waiting| {
            jobs.get(&waiting.ticket)
                .is_some_and(|job| job.short_since.is_some())
        };
        let first = queue
            .iter()
            .find(|waiting| waiting.ticket == ticket || !is_short(waiting))
            .copied();
        if let Some(first) = first.filter(|first| first.ticket == ticket) {
            let start = self.start(ticket);
            self.apply_start(group, &first, start);
        }
        self.refuse_too_late(group);
    }

    /// Removes a request that was started or refused from its queue. Returns whether the next one may be tried.
    fn apply_start(&mut self, group: &(Kind, String), waiting: &Waiting, start: Start) -> bool {
        match start {
            Start::Started => {
                if let Some(queue) = self.queues.get_mut(group) {
                    queue.remove(waiting);
                }
            }
            Start::Blocked => {}
            Start::NoSlot => return false,
            Start::Refused(reason) => self.refuse(waiting.ticket, reason),
        }
        true
    }

    /// Refuses the queued requests that cannot start in time at the rate at which targets finish work.
    fn refuse_too_late(&mut self, group: &(Kind, String)) {
        let rate = self.pool.rate(self.now, group.0, &group.1);
        if let Some(queue) = self.queues.get_mut(group) {
            for late in queue.remove_late(self.now, rate) {
                self.refuse(late.ticket, Reason::TooLate);
            }
        }
    }

    fn start(&mut self, ticket: Ticket) -> Start {
        let Some(job) = self.jobs.get(&ticket) else {
            return Start::Started;
        };
        let (key, nonce, amount) = (job.budget, job.nonce, job.max_cost());
        let grant = self.grant(key);
        let short = amount.saturating_sub(self.holder.free(key, grant));
        if short > Tokens::ZERO {
            return match self.request_grant(ticket, key, short) {
                Some(reason) => Start::Refused(reason),
                None => Start::Blocked,
            };
        }
        let Some(choice) = choose(&self.pool, self.now, job, &mut self.rng) else {
            return Start::NoSlot;
        };
        if self.holder.reserve(key, nonce, amount, grant).is_err() {
            return Start::Blocked;
        }
        self.open(ticket, choice);
        Start::Started
    }

    /// Sends a reservation to the witnesses. If none must acknowledge it, the request is dispatched at once.
    fn open(&mut self, ticket: Ticket, choice: Choice) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        job.stage = Stage::Opening;
        job.opening_since = self.now;
        job.choice = Some(choice);
        let notice = job.open_notice();
        let nonce = job.nonce;
        self.pool.dispatched(choice.target);
        self.by_nonce.insert(nonce, ticket);
        if let Some(notice) = notice {
            self.notify_witnesses(&notice);
        }
        self.try_dispatch(ticket);
    }

    /// Dispatches a request if every required witness has acknowledged its reservation.
    pub(super) fn try_dispatch(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get(&ticket) else {
            return;
        };
        let required = self.required_witnesses(job.budget.shard);
        if job.stage != Stage::Opening
            || !required
                .iter()
                .all(|witness| job.witnessed_by.contains(witness))
        {
            return;
        }
        self.dispatch(ticket);
    }

    fn dispatch(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let Some(choice) = job.choice else {
            return;
        };
        job.stage = Stage::Running;
        job.attempt += 1;
        let (id, attempt, rank) = (job.spec.id, job.attempt, job.rank);
        let holder = job.holder;
        self.actions.push(Action::Dispatch {
            ticket,
            id,
            holder,
            attempt,
            choice,
            rank,
        });
    }

    /// Handles the end of a dispatch: retries, settles or cancels the request.
    pub(super) fn handle_end(&mut self, ticket: Ticket, end: End) {
        let Some(job) = self.jobs.get(&ticket) else {
            return;
        };
        if job.stage != Stage::Running {
            return;
        }
        let Some(choice) = job.choice else {
            return;
        };
        let outcome = match end {
            End::Complete { whole, .. } => Outcome::Answered { took: whole },
            End::Unsent | End::Refused | End::Broken { .. } => Outcome::Failed,
        };
        self.pool.finished(self.now, choice.target, Some(outcome));
        match end {
            End::Complete { used, .. } => {
                self.retry_budget.credit_answer();
                self.settle_complete(ticket, used);
            }
            End::Unsent | End::Refused if self.retry(ticket, choice, Failure::NotRun) => {}
            End::Unsent | End::Refused => match self.jobs[&ticket].tokens_seen {
                Some(seen) => self.settle_broken(ticket, seen),
                None => self.cancel(ticket, Reason::TargetRefused),
            },
            End::Broken { used, shown } => self.handle_broken(ticket, choice, used, shown),
        }
        self.start_queued();
    }

    fn handle_broken(&mut self, ticket: Ticket, choice: Choice, used: Tokens, shown: bool) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        job.may_have_run = true;
        job.tokens_seen = Some(used.max(job.tokens_seen.unwrap_or(Tokens::ZERO)));
        let failure = Failure::Broken {
            is_repeatable: job.spec.repeatable,
            was_shown: shown,
        };
        if !self.retry(ticket, choice, failure) {
            self.settle_broken(ticket, used);
        }
    }

    /// Opens a request for another target under its existing reservation, if the retry rules and the retry budget
    /// allow it and a target is free. Returns whether it did. It is dispatched once the witnesses know which target
    /// to ask for the outcome: one that has closed this incarnation meanwhile would ask the last one only.
    fn retry(&mut self, ticket: Ticket, last: Choice, failure: Failure) -> bool {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return false;
        };
        job.tried.push(last.target);
        let history = History {
            failure,
            attempts: job.attempt,
            is_own: job.holder == self.holder.incarnation(),
        };
        if !retry::may_retry(&history, &self.retry_budget) {
            return false;
        }
        let Some(choice) = choose(&self.pool, self.now, job, &mut self.rng) else {
            return false;
        };
        job.witnessed_by.clear();
        self.retry_budget.withdraw();
        self.open(ticket, choice);
        true
    }

    fn settle_complete(&mut self, ticket: Ticket, used: Tokens) {
        self.settle(ticket, used, |billed| Verdict::Ran { billed });
    }

    /// Bills an attempt that broke off for the tokens received; a service call is billed its full price, since
    /// it may have run.
    fn settle_broken(&mut self, ticket: Ticket, used: Tokens) {
        let reason = Reason::TargetFailed;
        self.settle(ticket, used, |_| Verdict::MayHaveRun { reason });
    }

    /// Bills a request. Its verdict follows once the witnesses have acknowledged the bill, or after
    /// [`VERDICT_WAIT`].
    fn settle(&mut self, ticket: Ticket, used: Tokens, verdict: impl Fn(Tokens) -> Verdict) {
        let Some(job) = self.remove_job(ticket) else {
            return;
        };
        let cost = job.cost(used);
        if job.holder != self.incarnation() {
            let billed = cost.min(job.max_cost());
            self.settle_past(&job, billed, verdict(billed));
            return;
        }
        match self.holder.settle(job.budget, job.nonce, cost) {
            Ok(billed) => {
                let reported = job.paid.unwrap_or(billed);
                let verdict = Some((ticket, verdict(reported)));
                self.start_settling(&job, Some(billed), verdict);
            }
            Err(violation) => {
                self.report_violation(violation);
                let reason = Reason::Suspended;
                self.finish(ticket, Verdict::MayHaveRun { reason });
            }
        }
    }

    /// Cancels the reservation of a request that no target has run. A retry with the same id is handled as a new
    /// request.
    fn cancel(&mut self, ticket: Ticket, reason: Reason) {
        let Some(job) = self.remove_job(ticket) else {
            return;
        };
        self.table.remove(job.spec.id);
        let verdict = self.refusal_verdict(&job, reason);
        if job.holder == self.incarnation() {
            self.holder.cancel(job.budget, job.nonce);
            self.start_settling(&job, None, None);
            self.finish(ticket, verdict);
        } else {
            self.settle_past(&job, Tokens::ZERO, verdict);
        }
    }

    /// Cancels the reservation of a request that was never dispatched.
    pub(super) fn unreserve(&mut self, job: &Job) {
        if let Some(choice) = job.choice {
            self.pool.finished(self.now, choice.target, None);
        }
        if job.holder == self.incarnation() {
            self.holder.cancel(job.budget, job.nonce);
            self.start_settling(job, None, None);
        }
    }

    fn start_settling(
        &mut self,
        job: &Job,
        billed: Option<Tokens>,
        verdict: Option<(Ticket, Verdict)>,
    ) {
        let settling = Settling {
            budget: job.budget,
            billed,
            acked_by: Vec::new(),
            since: self.now,
            verdict,
        };
        let nonce = job.nonce;
        self.settling.insert(nonce, settling);
        self.notify_witnesses(&Notice::Settle { nonce, billed });
        self.try_acknowledge(nonce);
    }

    /// Settles a request of an earlier incarnation of this process; that incarnation's witness decides whether
    /// the bill counts.
    fn settle_past(&mut self, job: &Job, billed: Tokens, verdict: Verdict) {
        let id = Id {
            incarnation: job.holder,
            nonce: job.nonce,
        };
        let settling = Settling {
            budget: job.budget,
            billed: Some(billed),
            acked_by: Vec::new(),
            since: self.now,
            verdict: Some((job.spec.ticket, verdict)),
        };
        self.past_settling.insert(id, settling);
        let notice = Notice::Settle {
            nonce: job.nonce,
            billed: Some(billed),
        };
        let links = self.links.iter_mut();
        for (_, link) in links.filter(|((holder, _), _)| *holder == job.holder) {
            link.push(notice.clone());
        }
    }

    /// Ends a request whose reservation the witnesses have not acknowledged in time. What it received from an earlier
    /// attempt is billed.
    fn give_up_opening(&mut self, ticket: Ticket) {
        let job = self.jobs.get(&ticket);
        let Some((choice, seen)) = job.and_then(|job| Some((job.choice?, job.tokens_seen?))) else {
            self.refuse(ticket, Reason::WitnessUnavailable);
            return;
        };
        self.pool.finished(self.now, choice.target, None);
        self.settle_broken(ticket, seen);
    }

    /// Ends the waits for witnesses that have lasted too long.
    pub(super) fn expire_jobs(&mut self) {
        let now = self.now;
        let mut unopened = Vec::new();
        let mut undecided = Vec::new();
        for (ticket, job) in &self.jobs {
            match job.stage {
                Stage::Opening if now > job.opening_since + OPEN_WAIT => unopened.push(*ticket),
                Stage::TakingOver if now > job.arrived + TAKEOVER_WAIT => undecided.push(*ticket),
                _ => {}
            }
        }
        for ticket in unopened {
            self.give_up_opening(ticket);
        }
        for ticket in undecided {
            self.handle_takeover_answer(ticket, crate::router::budget::TakeoverAnswer::Unknown);
        }
        let settling = self
            .settling
            .values_mut()
            .chain(self.past_settling.values_mut());
        let waited = settling.filter(|settling| now > settling.since + VERDICT_WAIT);
        let verdicts: Vec<_> = waited
            .filter_map(|settling| settling.verdict.take())
            .collect();
        for (ticket, verdict) in verdicts {
            self.finish(ticket, verdict);
        }
    }
}

fn choose<R: rand::Rng>(
    pool: &crate::router::pool::Pool,
    now: Millis,
    job: &Job,
    rng: &mut R,
) -> Option<Choice> {
    let query = TargetQuery {
        kind: job.spec.kind,
        serves: &job.spec.serves,
        tried: &job.tried,
    };
    pool.choose(now, &query, rng)
}
