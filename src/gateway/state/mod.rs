//! The control state of a gateway: the requests in progress, the targets, the other routers and the accounts of prepaid
//! budgets.
//!
//! This is pure code: callers pass in the time, and only the state itself changes. It applies the rules in
//! [`decision`](super::decision), and never waits or sends anything.

mod crashes;
mod loans;
mod money;
mod origins;
mod rollouts;
pub mod slots;

use std::collections::HashMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::clock::Clock;
use super::decision::busy::{self, Prospect};
use super::decision::capacity::Capacity;
use super::decision::grant::Sizing;
use super::decision::origin::Constraint;
use super::decision::placement::Estimate;
use super::decision::refusal::Refusal;
use super::decision::retry::{Bound, Budget, Charge};
use super::decision::rollout;
use super::dialect::{Listing, Load};
use super::escrow::{Account, Ledger, Refused, StoreAnswer};
use super::job::{Delivery, Ending, Job, Placement, Timing};
use super::key::{JobKey, TargetKey};
use super::members::{Members, Router};
use super::notice::{Announcement, Notice, Report};
use super::quarantine::Quarantine;
use super::rollout::{Arm, Rollouts};
use super::streams::Streams;
use super::targets::speed::Sample;
use super::targets::{Change, Freshness, Targets};
use crate::boot_clock::Reading;
use crate::ejection::Outcome;
use crate::units::{Millis, Tokens};

/// Settings of the control state.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This router's own entry.
    pub me: Router,
    /// This router's share of its host.
    pub capacity: Capacity,
    /// Heartbeat interval.
    pub heartbeat: Millis,
    /// The fleet-wide bound on retries.
    pub retries: Bound,
    /// Parameters of grant sizing.
    pub sizing: Sizing,
    /// The bound on what a new version of targets may get while it is not known to be good.
    pub rollout: rollout::Limit,
    /// Seed for random choices.
    pub seed: u64,
    /// A time at which this process was certain to be the only one of its name, if its host has a steady clock.
    pub started: Option<Reading>,
}

#[derive(Debug)]
struct Running {
    job: Job,
    /// The service that was chosen for the request.
    service: String,
    /// The versions that the current attempt is meant for, during a rollout.
    arm: Option<Arm>,
    tried: Vec<TargetKey>,
    /// The target of the current attempt.
    target: Option<TargetKey>,
    /// The slot of the current attempt, if it needs one.
    slot: Option<slots::Slot>,
    /// How often an attempt got no slot where it asked.
    slots_refused: u32,
    /// When the current attempt began.
    sent: Millis,
    /// Prompt tokens of the current attempt; zero once the target has begun to answer.
    backlog: u64,
    /// What was expected of the target of the current attempt, if it was chosen by expected time.
    estimate: Option<Estimate>,
    /// Tokens reserved until the request ends, however often it is tried.
    reserved: Tokens,
    delivery: Delivery,
}

/// The control state.
#[derive(Debug)]
pub struct State {
    settings: Settings,
    /// The targets.
    pub targets: Targets,
    /// The routers.
    pub members: Members,
    /// The clocks of the fleet's hosts, and the time of day that they agree on.
    pub clock: Clock,
    /// Requests that were in progress at targets that crashed.
    pub quarantine: Quarantine,
    /// Rollouts of versions of targets.
    pub rollouts: Rollouts,
    /// The versions at which streams began.
    pub streams: Streams,
    accounts: HashMap<String, Account>,
    ledgers: HashMap<String, Ledger>,
    prepaid: HashMap<String, Tokens>,
    /// What other routers lend.
    loans: loans::Book,
    /// Requests that were refused for lack of tokens.
    refused: Refused,
    last_store_answer: StoreAnswer,
    retry_budgets: HashMap<String, Budget>,
    /// When requests come back that were refused because all targets of a service were too busy, by service.
    returns: HashMap<String, busy::Returns>,
    running: HashMap<JobKey, Running>,
    /// Slots of targets whose use has ended, until the control thread acts on them.
    freed: slots::Freed,
    /// Whether other routers have told the limits that targets announce.
    knows_limits: bool,
    next_job: u64,
    random: StdRng,
}

impl State {
    /// Creates the state of a router that has received no information yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            members: Members::new(settings.me.clone(), settings.heartbeat)
                .with_capacity(settings.capacity),
            random: StdRng::seed_from_u64(settings.seed),
            clock: Clock::new(settings.started.map(|started| started.boot)),
            quarantine: Quarantine::default(),
            rollouts: Rollouts::new(settings.rollout),
            streams: Streams::default(),
            targets: Targets::default(),
            accounts: HashMap::new(),
            ledgers: HashMap::new(),
            prepaid: HashMap::new(),
            loans: loans::Book::default(),
            refused: Refused::default(),
            last_store_answer: StoreAnswer::default(),
            retry_budgets: HashMap::new(),
            returns: HashMap::new(),
            running: HashMap::new(),
            freed: slots::Freed::default(),
            knows_limits: false,
            next_job: 1,
            settings,
        }
    }

    /// Starts a request: chooses a target and reserves the request's maximum cost.
    ///
    /// # Errors
    /// Why the request cannot run. [`Refusal::Short`] may be resolved by the next grant.
    pub fn begin(&mut self, now: Millis, job: Job) -> Result<Placement, Refusal> {
        if let Err(refusal) = self.check_quarantine(now, &job)
            && !self.begin_trial(now, &job)
        {
            return Err(refusal);
        }
        let service = self.choose_service(&job)?;
        let arm = match job.origin {
            Constraint::Only(origin) => self.arm_of_origin(now, &service, origin)?,
            Constraint::Any | Constraint::Unknown => self.assign_arm(now, &service),
        };
        let mut running = Running {
            service,
            arm,
            tried: Vec::new(),
            target: None,
            slot: None,
            slots_refused: 0,
            sent: now,
            backlog: 0,
            estimate: None,
            reserved: Tokens::ZERO,
            delivery: Delivery::Nothing,
            job,
        };
        let target = self.choose(now, &mut running)?;
        running.reserved = self.reserve(now, &running.job)?;
        let budget = self
            .retry_budgets
            .entry(running.service.clone())
            .or_default();
        budget.record_request(now, &self.settings.retries);
        let key = JobKey(self.next_job);
        self.next_job += 1;
        Ok(self.place(now, key, running, target))
    }

    /// Starts another attempt of a request whose last attempt has failed.
    ///
    /// # Errors
    /// Why there is no other attempt; the request has then ended.
    pub fn retry(
        &mut self,
        now: Millis,
        key: JobKey,
        ending: Ending,
        charge: Charge,
    ) -> Result<Placement, Refusal> {
        let Some(mut running) = self.running.remove(&key) else {
            return Err(Refusal::NoTarget);
        };
        self.end_attempt(now, &mut running, ending);
        match self.retry_target(now, &mut running, charge) {
            Ok(target) => Ok(self.place(now, key, running, target)),
            Err(refusal) => {
                self.settle(&running);
                Err(refusal)
            }
        }
    }

    /// Chooses the target of a retry, if there is one and the retry budget allows it.
    fn retry_target(
        &mut self,
        now: Millis,
        running: &mut Running,
        charge: Charge,
    ) -> Result<TargetKey, Refusal> {
        self.check_quarantine(now, &running.job)?;
        running.arm = match running.job.origin {
            Constraint::Only(origin) => self.arm_of_origin(now, &running.service, origin)?,
            Constraint::Any | Constraint::Unknown => self.rollouts.retry_arm(&running.service),
        };
        let target = self.choose(now, running)?;
        if charge == Charge::Free {
            return Ok(target);
        }
        let routers = self.members.count();
        let budget = self
            .retry_budgets
            .entry(running.service.clone())
            .or_default();
        if budget.withdraw(now, &self.settings.retries, routers) {
            Ok(target)
        } else {
            Err(Refusal::NoRepeats)
        }
    }

    fn place(
        &mut self,
        now: Millis,
        key: JobKey,
        mut running: Running,
        target: TargetKey,
    ) -> Placement {
        running.sent = now;
        let prompt = running.job.prompt.as_ref();
        running.backlog = match (prompt, running.estimate) {
            // What the target is known to have cached takes no time there.
            (Some(_), Some(estimate)) => estimate.work.own_tokens(),
            (Some(prompt), None) => prompt.tokens.0,
            (None, _) => 0,
        };
        running.target = Some(target);
        if running.arm == Some(Arm::Candidate) {
            self.rollouts.note_candidate(&running.service);
        }
        self.targets.begin(now, target, running.backlog);
        let needs_slot = running.slot.is_some();
        if needs_slot {
            self.targets.begin_placed(target);
        }
        self.targets.note_send(now, &self.members, target);
        let estimate = running.estimate;
        self.running.insert(key, running);
        let chosen = self.targets.get(target);
        Placement {
            job: key,
            target,
            instance: chosen.listing.instance.clone(),
            version: chosen.version.clone(),
            address: chosen.listing.address,
            ended: chosen.ended.clone(),
            needs_slot,
            estimate,
        }
    }

    /// Applies a target's notices about itself from the head of its answer; returns those that other routers need to
    /// know.
    pub fn apply_notice(&mut self, now: Millis, key: JobKey, notice: &Notice) -> Vec<Announcement> {
        let Some(running) = self.running.get(&key) else {
            return Vec::new();
        };
        let Some(target) = running.target else {
            return Vec::new();
        };
        let sent = running.sent;
        let news = self.targets.apply_notice(now, target, sent, notice);
        let instance = &self.targets.get(target).listing.instance;
        for error in notice.errors() {
            tracing::warn!(event = "notice_refused", %instance, %error);
        }
        let id = &running.job.id;
        let sent_ago_ms = now.saturating_sub(sent).0;
        if let Ok(Some(rest)) = notice.retry_after {
            tracing::info!(event = "rest_heard", %instance, %id, rest_ms = rest.0);
        }
        for announcement in &news {
            tracing::info!(
                event = "target_says",
                %instance,
                word = %announcement,
                source = "answer",
                %id,
                sent_ago_ms
            );
        }
        news
    }

    /// Merges target notices that another router forwards; returns whether any of them is new.
    pub fn merge(&mut self, now: Millis, reports: &[Report], router: Option<&str>) -> bool {
        let mut is_news = false;
        for report in reports {
            if let Some(target) = self.targets.merge(now, report) {
                is_news = true;
                let instance = &self.targets.get(target).listing.instance;
                let announcement = report.announcement;
                tracing::info!(
                    event = "target_says",
                    %instance,
                    word = %announcement,
                    source = "link",
                    router
                );
            }
        }
        is_news
    }

    /// Records that a target has begun to respond, and the load that it reported.
    pub fn note_response_started(&mut self, now: Millis, key: JobKey, load: Option<Load>) {
        let Some(running) = self.running.get_mut(&key) else {
            return;
        };
        let Some(target) = running.target else {
            return;
        };
        let backlog = std::mem::take(&mut running.backlog);
        self.targets.prefilled(target, backlog);
        if let Some(prompt) = &running.job.prompt {
            self.targets.note_prompt(now, target, prompt);
        }
        if let Some(load) = load {
            self.targets.note_load(now, target, load);
        }
    }

    /// Records that the first event of a target's stream has arrived, and the time since the request was sent.
    pub fn note_first_event(&mut self, now: Millis, key: JobKey, elapsed: Duration) {
        self.note_origin(now, key);
        let Some(running) = self.running.get(&key) else {
            return;
        };
        if let (Some(target), Some(estimate)) = (running.target, running.estimate) {
            let work = estimate.work;
            let sample = Sample::FirstEvent { elapsed, work };
            self.targets.learn(now, target, &sample);
        }
    }

    /// Applies a target's listing. A target that restarted without a notice that it was leaving has crashed.
    pub fn list(&mut self, now: Millis, listing: Listing, freshness: Freshness) -> Change {
        let change = match freshness {
            Freshness::Newest => self.targets.list(listing),
            Freshness::MayBeOld => self.targets.list_maybe_old(listing),
        };
        if let Change::Restarted { former } = change
            && !self.targets.get(former).has_announced_leaving()
        {
            self.note_crash(now, former);
        }
        change
    }

    /// Records that a request has ended.
    pub fn end(&mut self, now: Millis, key: JobKey, ending: Ending) {
        if let Some(mut running) = self.running.remove(&key) {
            if let Some(Outcome::Answered { .. }) = ending.outcome {
                self.note_answered(now, &running.job);
            }
            self.end_attempt(now, &mut running, ending);
            self.settle(&running);
        }
    }

    fn end_attempt(&mut self, now: Millis, running: &mut Running, ending: Ending) {
        running.delivery = running.delivery.then(ending.delivery);
        let Some(target) = running.target.take() else {
            return;
        };
        running.tried.push(target);
        self.release_slot(now, running, target, ending.occupancy);
        self.learn_origin(running, target);
        self.note_rollout_attempt(now, running, target, ending);
        let backlog = std::mem::take(&mut running.backlog);
        self.targets.prefilled(target, backlog);
        self.targets.end(target);
        let estimate = running.estimate.take();
        if let Some(sample) = sample(ending.timing, estimate, running.job.prompt.is_some()) {
            self.targets.learn(now, target, &sample);
        }
        if let Some(outcome) = ending.outcome
            && self.targets.note_outcome(now, target, outcome)
        {
            let instance = &self.targets.get(target).listing.instance;
            tracing::warn!(event = "target_ejected", %instance);
        }
    }

    /// Chooses one of the services of a request's route: the one that began the request's stream, or else one at random.
    fn choose_service(&mut self, job: &Job) -> Result<String, Refusal> {
        let Constraint::Only(origin) = job.origin else {
            return Ok(self.draw_service(job));
        };
        let mut services = job.services.iter().map(|(service, _)| service);
        let service = services.find(|service| {
            let mut origins = self.targets.origins(service);
            origins.any(|known| known == Some(origin))
        });
        service.cloned().ok_or(Refusal::VersionGone)
    }

    /// Chooses one of the services of a request's route at random, by weight.
    fn draw_service(&mut self, job: &Job) -> String {
        let total: f64 = job.services.iter().map(|(_, weight)| weight).sum();
        let mut at = self.random.random::<f64>() * total;
        for (service, weight) in &job.services {
            at -= weight;
            if at < 0.0 {
                return service.clone();
            }
        }
        // Rounding may leave a remainder after the last service; a route without services has no targets.
        let last = job.services.last();
        last.map_or_else(String::new, |(service, _)| service.clone())
    }

    fn choose(&mut self, now: Millis, running: &mut Running) -> Result<TargetKey, Refusal> {
        let service = &running.service;
        let barred = self.targets.barred(now, &self.members, service);
        let other = self.of_other_origins(running)?;
        let excluded = [&barred.targets[..], &running.tried[..], &other[..]].concat();
        let mut candidates = self.targets.candidates(now, service, &excluded);
        let may_repeat_target = running.job.origin != Constraint::Any || running.slots_refused > 0;
        if candidates.is_empty() && may_repeat_target {
            // A target that broke off a stream may go on with it, which no other version can, and one of whose slots none
            // was free at one router may have some at others.
            let excluded = [&barred.targets[..], &other[..]].concat();
            candidates = self.targets.candidates(now, service, &excluded);
        }
        let (arm, candidates) = self.restrict_to_arm(service, running.arm, candidates);
        let candidates = self.targets.avoid_cold(now, &self.members, candidates);
        let candidates = self.prefer_free_slots(now, running, candidates);
        running.arm = arm;
        let hall = &self.settings.me.hall;
        let prompt = running.job.prompt.as_ref();
        let random = &mut self.random;
        let choice = self
            .targets
            .choose(now, service, &candidates, hall, prompt, || random.random());
        running.estimate = choice.and_then(|choice| choice.estimate);
        let shortest = running.estimate.map(|estimate| estimate.shortest);
        let outcome = busy::decide(&Prospect {
            shortest,
            left: running.job.deadline.saturating_sub(now),
        });
        if let (busy::Outcome::Busy { expected }, Some(shortest)) = (outcome, shortest) {
            // A few targets of a new version may be busy while those of the former one are not.
            let is_new = running.job.origin == Constraint::Any;
            if is_new && arm == Some(Arm::Candidate) && self.may_use_stable(service) {
                running.arm = Some(Arm::Stable);
                return self.choose(now, running);
            }
            let returns = self.returns.entry(service.clone()).or_default();
            let after = returns.promise(now, &shortest, candidates.len());
            return Err(Refusal::Busy { expected, after });
        }
        let choice = choice.map(|choice| choice.target);
        running.slot = choice.and_then(|target| self.plan_slot(now, running, target));
        choice.ok_or_else(|| {
            if self.targets.is_evacuated(&running.service) {
                Refusal::Evacuated
            } else if !barred.targets.is_empty() {
                let left = barred.until.map(|until| until.saturating_sub(now));
                Refusal::Barred { left }
            } else {
                Refusal::NoTarget
            }
        })
    }
}

/// What the end of an attempt tells about its target's speed.
fn sample(timing: Timing, estimate: Option<Estimate>, is_model: bool) -> Option<Sample> {
    match timing {
        Timing::Answer(elapsed) if !is_model => {
            let answers = estimate?.work.certain();
            Some(Sample::Answer { elapsed, answers })
        }
        Timing::Events { elapsed, count } if is_model => Some(Sample::Events { elapsed, count }),
        Timing::Unknown | Timing::Answer(_) | Timing::Events { .. } => None,
    }
}
