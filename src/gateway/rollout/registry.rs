//! The rollouts that one router knows, with its own counts. It owns the rule that a final stage never changes, and the
//! bound on what this router sends to a new version.

use std::collections::BTreeMap;

use super::{Arm, Evidence, Order, Progress, Stage, View};
use crate::gateway::decision::rollout::{self, Knowledge, Limit, Sends};
use crate::units::Millis;

/// A service's rollout.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// The stage; `None` until the store or another router has told it.
    pub stage: Option<Stage>,
    /// What this router has seen of both versions.
    pub evidence: Evidence,
    /// When the order was given, as far as this router knows.
    ordered_at: Millis,
    /// Since when the stage is known.
    stage_since: Millis,
    /// A time after which the decider's last record was written.
    recorded_at: Option<Millis>,
    requests: u64,
    candidate_attempts: u64,
}

impl Rollout {
    fn new(now: Millis, order: Order) -> Self {
        Self {
            order,
            stage: None,
            evidence: Evidence::default(),
            ordered_at: now,
            stage_since: now,
            recorded_at: None,
            requests: 0,
            candidate_attempts: 0,
        }
    }

    /// Time since the order.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.ordered_at)
    }

    /// Time since this router has known the stage.
    pub fn stage_age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.stage_since)
    }

    /// Upper bound of the time since the decider's last record; `None` if it is not known.
    pub fn record_age(&self, now: Millis) -> Option<Millis> {
        self.recorded_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the rollout has ended.
    pub fn has_ended(&self) -> bool {
        self.stage.is_some_and(Stage::is_final)
    }

    /// The inputs of the decision about a send to the new version, by a router at this position among the fleet's
    /// `routers`.
    fn inputs(&self, now: Millis, routers: usize, place: Option<usize>) -> (Knowledge, Sends) {
        let knowledge = Knowledge {
            stage: self.stage,
            record_age: self.record_age(now),
        };
        let sends = Sends {
            requests: self.requests,
            candidate: self.candidate_attempts,
            routers,
            place,
        };
        (knowledge, sends)
    }

    /// The later one of the known stage and `stage`; returns whether it is a new one.
    fn enter(&mut self, now: Millis, stage: Stage) -> bool {
        let is_later = self.stage.is_none_or(|known| known < stage);
        if is_later {
            self.stage = Some(stage);
            self.stage_since = now;
        }
        is_later
    }

    /// Moves the time of the order back if another router knows of an earlier one.
    fn learn_age(&mut self, now: Millis, age: Millis) {
        self.ordered_at = self.ordered_at.min(now.saturating_sub(age));
    }

    /// The record of the rollout at a stage.
    pub fn progress(&self, now: Millis, stage: Stage) -> Progress {
        Progress {
            version: self.order.version.clone(),
            stage,
            age: self.age(now),
        }
    }
}

/// What is known of when a record was written to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// After this time, at which the record was not there yet.
    After(Millis),
    /// Nothing.
    Unknown,
}

/// The rollouts of all services.
#[derive(Debug)]
pub struct Rollouts {
    limit: Limit,
    by_service: BTreeMap<String, Rollout>,
}

impl Rollouts {
    /// Creates an empty registry with the bound on what a bad version may get.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            by_service: BTreeMap::new(),
        }
    }

    /// The bound on what a bad version may get.
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// The rollout of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// All rollouts, by service.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Rollout)> {
        self.by_service
            .iter()
            .map(|(service, rollout)| (service.as_str(), rollout))
    }

    /// Whether any rollout has not ended, or its stage is not known.
    pub fn has_open(&self) -> bool {
        self.by_service.values().any(|rollout| !rollout.has_ended())
    }

    /// Applies an order. One for the version that is being rolled out, or was rolled back, changes nothing. Returns
    /// whether it is a new one.
    pub fn order(&mut self, now: Millis, service: &str, order: Order) -> bool {
        if let Some(known) = self.by_service.get(service)
            && known.order.version == order.version
        {
            return false;
        }
        let rollout = Rollout::new(now, order);
        self.by_service.insert(service.to_owned(), rollout);
        true
    }

    /// Applies a record of the store. Returns the stage if it is new. A record of a version that is not ordered is
    /// ignored.
    pub fn record(
        &mut self,
        now: Millis,
        service: &str,
        progress: &Progress,
        written: Written,
    ) -> Option<Stage> {
        let rollout = self.by_service.get_mut(service)?;
        if rollout.order.version != progress.version {
            return None;
        }
        rollout.learn_age(now, progress.age);
        // A record from before a stage that is already known does not extend the permission to send.
        let is_current = rollout.stage.is_none_or(|known| known <= progress.stage);
        if let Written::After(after) = written
            && is_current
        {
            rollout.recorded_at = rollout.recorded_at.max(Some(after));
        }
        rollout.enter(now, progress.stage).then_some(progress.stage)
    }

    /// Notes that the store has no record of a service's rollout: it is in its first stage.
    pub fn note_unrecorded(&mut self, now: Millis, service: &str) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.enter(now, Stage::Trial);
        }
    }

    /// Applies what another router knows, while the store does not answer this one. Returns whether anything is new.
    pub fn merge(&mut self, now: Millis, view: &View) -> bool {
        let is_order = self.order(now, &view.service, view.order.clone());
        let Some(rollout) = self.by_service.get_mut(&view.service) else {
            return is_order;
        };
        if rollout.order != view.order {
            return is_order;
        }
        rollout.learn_age(now, view.age);
        view.stage.is_some_and(|stage| rollout.enter(now, stage)) || is_order
    }

    /// What this router tells others.
    pub fn views(&self, now: Millis) -> Vec<View> {
        let views = self.iter().map(|(service, rollout)| View {
            service: service.to_owned(),
            order: rollout.order.clone(),
            stage: rollout.stage,
            age: rollout.age(now),
        });
        views.collect()
    }

    /// Counts a request for a service, and returns the arm of its first attempt; `None` where there is no rollout.
    /// `place` is this router's position among the fleet's `routers`.
    pub fn assign(
        &mut self,
        now: Millis,
        service: &str,
        routers: usize,
        place: impl FnOnce() -> Option<usize>,
    ) -> Option<Arm> {
        let rollout = self.by_service.get_mut(service)?;
        rollout.requests += 1;
        let (knowledge, sends) = rollout.inputs(now, routers, place());
        let may_send = rollout::may_send(&self.limit, knowledge, &sends);
        Some(if may_send {
            Arm::Candidate
        } else {
            Arm::Stable
        })
    }

    /// Whether a stream that the new version has begun may go on there. Unlike in [`assign`](Self::assign), it is no new
    /// request.
    pub fn may_continue(
        &self,
        now: Millis,
        service: &str,
        routers: usize,
        place: Option<usize>,
    ) -> bool {
        let rollout = self.by_service.get(service);
        rollout.is_some_and(|rollout| {
            let (knowledge, sends) = rollout.inputs(now, routers, place);
            rollout::may_continue(&self.limit, knowledge, &sends)
        })
    }

    /// The arm of a retry: a request that the new version failed is not sent there again.
    pub fn retry_arm(&self, service: &str) -> Option<Arm> {
        let rollout = self.by_service.get(service)?;
        Some(match rollout.stage {
            Some(Stage::Done) => Arm::Candidate,
            _ => Arm::Stable,
        })
    }

    /// Counts an attempt sent to the new version.
    pub fn note_candidate(&mut self, service: &str) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.candidate_attempts += 1;
        }
    }

    /// Records how an attempt ended.
    pub fn note_attempt(&mut self, service: &str, route: &str, arm: Arm, end: &AttemptEnd) {
        let Some(rollout) = self.by_service.get_mut(service) else {
            return;
        };
        if rollout.has_ended() {
            return;
        }
        let tally = rollout.evidence.route_mut(route).arm_mut(arm);
        match *end {
            AttemptEnd::Answered { duration_ms } => tally.record_answer(duration_ms),
            AttemptEnd::Failed { target } => tally.record_failure(target),
        }
    }
}

/// How an attempt ended, as far as a rollout is judged by it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The target answered, or its caller gave up after a long wait.
    Answered {
        /// Duration in milliseconds for each unit of work.
        duration_ms: f64,
    },
    /// The attempt failed.
    Failed {
        /// Hash of the target.
        target: u64,
    },
}
