//! From the queue to a target, and back.

use super::decision::retry::{self, Failure, History};
use super::job::{Job, Settling, Stage};
use super::{Action, End, State};
use crate::ejection::Outcome;
use crate::router::intent::Kind;
use crate::router::message::Notice;
use crate::router::pool::{Choice, Want};
use crate::router::request::{Id, Reason, Ticket, Verdict, Waiting};
use crate::units::{Millis, Tokens};

/// Longest wait of a reservation for its witnesses.
const OPEN_WAIT: Millis = Millis(1_500);
/// Longest wait for a witness to judge.
const JUDGE_WAIT: Millis = Millis(1_500);
/// Longest that a verdict waits for the witness of its settlement.
const VERDICT_WAIT: Millis = Millis(200);

/// Whether a queued request could start.
enum Start {
    Started,
    Blocked,
    NoSlot,
    Refused(Reason),
}

impl State {
    pub(super) fn pump(&mut self) {
        let groups: Vec<_> = self.queues.keys().cloned().collect();
        for group in groups {
            self.pump_group(&group);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    /// Starts what can start of one model or service, and refuses at once what will be too late.
    pub(super) fn pump_group(&mut self, group: &(Kind, String)) {
        let Some(queue) = self.queues.get_mut(group) else {
            return;
        };
        let waiting: Vec<Waiting> = queue.iter().copied().collect();
        let unserved = !self.pool.serves(group.0, &group.1);
        for one in waiting {
            let start = if unserved {
                Start::Refused(Reason::NoTarget)
            } else {
                self.start(one.ticket)
            };
            if !self.started(group, &one, start) {
                break;
            }
        }
        self.refuse_hopeless(group);
    }

    /// Starts a request that has just come, unless others wait for a target before it. Those that
    /// wait for money are tried again when the ledger moves, not with each arrival.
    pub(super) fn pump_arrival(&mut self, group: &(Kind, String), ticket: Ticket) {
        let Some(queue) = self.queues.get(group) else {
            return;
        };
        let jobs = &self.jobs;
        let short = |one: &Waiting| {
            jobs.get(&one.ticket)
                .is_some_and(|job| job.short_since.is_some())
        };
        let first = queue
            .iter()
            .find(|one| one.ticket == ticket || !short(one))
            .copied();
        if let Some(first) = first.filter(|first| first.ticket == ticket) {
            let start = self.start(ticket);
            self.started(group, &first, start);
        }
        self.refuse_hopeless(group);
    }

    /// Takes a request that was tried out of its queue, if it is to go; whether more can be tried.
    fn started(&mut self, group: &(Kind, String), one: &Waiting, start: Start) -> bool {
        match start {
            Start::Started => {
                if let Some(queue) = self.queues.get_mut(group) {
                    queue.remove(one);
                }
            }
            Start::Blocked => {}
            Start::NoSlot => return false,
            Start::Refused(reason) => self.refuse(one.ticket, reason),
        }
        true
    }

    fn refuse_hopeless(&mut self, group: &(Kind, String)) {
        let rate = self.pool.rate(self.now, group.0, &group.1);
        if let Some(queue) = self.queues.get_mut(group) {
            for late in queue.hopeless(self.now, rate) {
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
            return match self.want_grant(ticket, key, short) {
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

    /// Has a reservation witnessed; without a witness it is dispatched at once.
    fn open(&mut self, ticket: Ticket, choice: Choice) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        job.stage = Stage::Opening;
        job.opening_since = self.now;
        job.choice = Some(choice);
        let ask = job.open_ask();
        let nonce = job.nonce;
        self.pool.dispatched(choice.target);
        self.by_nonce.insert(nonce, ticket);
        if let Some(ask) = ask {
            self.tell_witnesses(&ask);
        }
        self.try_dispatch(ticket);
    }

    /// Dispatches once every witness that must have the reservation has it.
    pub(super) fn try_dispatch(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get(&ticket) else {
            return;
        };
        let needed = self.needed(job.budget.shard);
        if job.stage != Stage::Opening || !needed.iter().all(|one| job.opened.contains(one)) {
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
        self.actions.push(Action::Dispatch {
            ticket,
            id,
            attempt,
            choice,
            rank,
        });
    }

    /// A dispatch has ended.
    pub(super) fn ended(&mut self, ticket: Ticket, end: End) {
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
                self.retries.credit_answer();
                self.settle_whole(ticket, used);
            }
            End::Unsent | End::Refused if self.retry(ticket, choice, Failure::NotRun) => {}
            End::Unsent | End::Refused => match self.jobs[&ticket].seen {
                Some(seen) => self.settle_broken(ticket, seen),
                None => self.cancel(ticket, Reason::TargetRefused),
            },
            End::Broken { used, shown } => self.broke_off(ticket, choice, used, shown),
        }
        self.pump();
    }

    fn broke_off(&mut self, ticket: Ticket, choice: Choice, used: Tokens, shown: bool) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        job.doubted = true;
        job.seen = Some(used.max(job.seen.unwrap_or(Tokens::ZERO)));
        let failure = Failure::Broken {
            is_repeatable: job.spec.repeatable,
            was_shown: shown,
        };
        if !self.retry(ticket, choice, failure) {
            self.settle_broken(ticket, used);
        }
    }

    /// Dispatches a request to another target under the reservation that it has, if the rules, the
    /// targets and the retry budget allow it.
    fn retry(&mut self, ticket: Ticket, last: Choice, failure: Failure) -> bool {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return false;
        };
        job.tried.push(last.target);
        let history = History {
            failure,
            attempts: job.attempt,
            is_own: job.holder == self.holder.me(),
        };
        if !retry::may_retry(&history, &self.retries) {
            return false;
        }
        let Some(choice) = choose(&self.pool, self.now, job, &mut self.rng) else {
            return false;
        };
        job.choice = Some(choice);
        let ask = job.open_ask();
        self.retries.withdraw();
        self.pool.dispatched(choice.target);
        // The witness has the reservation already; this tells it where to ask.
        if let Some(ask) = ask {
            self.tell_witnesses(&ask);
        }
        self.dispatch(ticket);
        true
    }

    fn settle_whole(&mut self, ticket: Ticket, used: Tokens) {
        self.settle(ticket, used, |billed| Verdict::Ran { billed });
    }

    /// What broke off is billed what was seen of it; a service call is billed whole, since it may
    /// have run.
    fn settle_broken(&mut self, ticket: Ticket, used: Tokens) {
        let reason = Reason::TargetFailed;
        self.settle(ticket, used, |_| Verdict::MayHaveRun { reason });
    }

    /// Bills a request, and gives its verdict once its witnesses have the bill.
    fn settle(&mut self, ticket: Ticket, used: Tokens, verdict: impl Fn(Tokens) -> Verdict) {
        let Some(job) = self.take_out(ticket) else {
            return;
        };
        let cost = job.cost(used);
        if job.holder != self.incarnation() {
            let billed = cost.min(job.max_cost());
            self.settle_late(&job, billed, verdict(billed));
            return;
        }
        match self.holder.settle(job.budget, job.nonce, cost) {
            Ok(billed) => {
                let told = job.paid.unwrap_or(billed);
                let verdict = Some((ticket, verdict(told)));
                self.start_settling(&job, Some(billed), verdict);
            }
            Err(violation) => {
                self.violated(violation);
                let reason = Reason::Suspended;
                self.finish(ticket, Verdict::MayHaveRun { reason });
            }
        }
    }

    /// Nothing reached any target: the reservation is given up and the id may come again.
    fn cancel(&mut self, ticket: Ticket, reason: Reason) {
        let Some(job) = self.take_out(ticket) else {
            return;
        };
        self.table.remove(job.spec.id);
        let verdict = self.refusal(&job, reason);
        if job.holder == self.incarnation() {
            self.holder.cancel(job.budget, job.nonce);
            self.start_settling(&job, None, None);
            self.finish(ticket, verdict);
        } else {
            self.settle_late(&job, Tokens::ZERO, verdict);
        }
    }

    /// Gives up a reservation that was never dispatched.
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
            acked: Vec::new(),
            since: self.now,
            verdict,
        };
        let nonce = job.nonce;
        self.settling.insert(nonce, settling);
        self.tell_witnesses(&Notice::Settle { nonce, billed });
        self.try_acknowledge(nonce);
    }

    /// A request of an earlier incarnation of this process: its old witness decides the bill.
    fn settle_late(&mut self, job: &Job, billed: Tokens, verdict: Verdict) {
        let id = Id {
            incarnation: job.holder,
            nonce: job.nonce,
        };
        let settling = Settling {
            budget: job.budget,
            billed: Some(billed),
            acked: Vec::new(),
            since: self.now,
            verdict: Some((job.spec.ticket, verdict)),
        };
        self.late.insert(id, settling);
        let ask = Notice::Settle {
            nonce: job.nonce,
            billed: Some(billed),
        };
        let links = self.links.iter_mut();
        for (_, link) in links.filter(|((holder, _), _)| *holder == job.holder) {
            link.push(ask.clone());
        }
    }

    pub(super) fn expire_jobs(&mut self) {
        let now = self.now;
        let mut unopened = Vec::new();
        let mut unjudged = Vec::new();
        for (ticket, job) in &self.jobs {
            match job.stage {
                Stage::Opening if now > job.opening_since + OPEN_WAIT => unopened.push(*ticket),
                Stage::Judged if now > job.arrived + JUDGE_WAIT => unjudged.push(*ticket),
                _ => {}
            }
        }
        for ticket in unopened {
            self.refuse(ticket, Reason::WitnessUnavailable);
        }
        for ticket in unjudged {
            self.judged(ticket, crate::router::budget::Taken::Unknown);
        }
        let settling = self.settling.values_mut().chain(self.late.values_mut());
        let waited = settling.filter(|one| now > one.since + VERDICT_WAIT);
        let verdicts: Vec<_> = waited.filter_map(|one| one.verdict.take()).collect();
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
    let want = Want {
        kind: job.spec.kind,
        serves: &job.spec.serves,
        tried: &job.tried,
    };
    pool.choose(now, &want, rng)
}
