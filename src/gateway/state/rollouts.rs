//! How requests and attempts count in rollouts of new versions of targets.

use super::{Running, State};
use crate::ejection::Outcome;
use crate::gateway::decision::rollout;
use crate::gateway::job::{Delivery, Ending};
use crate::gateway::key::TargetKey;
use crate::gateway::rollout::{Arm, AttemptEnd, Stage};
use crate::units::{Millis, Tokens};

/// Prompt tokens that take about as long to process as one token of the answer.
const PROMPT_TOKENS_PER_UNIT: f64 = 256.0;
/// Time after which an attempt that its caller gave up counts as an answer that took this long: callers give up slow
/// answers, so the answers alone would show only the fast ones.
const GIVEN_UP_AFTER: Millis = Millis(1_000);

impl State {
    /// The arm of a new request's first attempt; `None` if its service has no rollout.
    pub(super) fn assign_arm(&mut self, now: Millis, service: &str) -> Option<Arm> {
        let members = &self.members;
        let place = || members.place(now, service);
        self.rollouts.assign(now, service, members.count(), place)
    }

    /// Restricts candidates to an arm of the service's rollout. Where the new version has no usable target, the request
    /// is sent to the others instead; once the rollout is done, to any. Returns the arm that the candidates belong to.
    pub(super) fn restrict_to_arm(
        &self,
        service: &str,
        arm: Option<Arm>,
        candidates: Vec<TargetKey>,
    ) -> (Option<Arm>, Vec<TargetKey>) {
        let Some((arm, rollout)) = arm.zip(self.rollouts.get(service)) else {
            return (None, candidates);
        };
        let version = &rollout.order.version;
        if arm == Arm::Stable {
            let stable = self.targets.of_arm(candidates, Arm::Stable, version);
            return (Some(Arm::Stable), stable);
        }
        let new = self
            .targets
            .of_arm(candidates.clone(), Arm::Candidate, version);
        match rollout.stage {
            Some(Stage::Done) if new.is_empty() => (None, candidates),
            _ if new.is_empty() => {
                let stable = self.targets.of_arm(candidates, Arm::Stable, version);
                (Some(Arm::Stable), stable)
            }
            Some(Stage::Trial) => {
                let stable = self.targets.count_arm(service, Arm::Stable, version);
                let count = rollout::trial_targets(self.rollouts.limit(), stable);
                let trial = self.targets.restrict_to_trial(new, count);
                (Some(Arm::Candidate), trial)
            }
            _ => (Some(Arm::Candidate), new),
        }
    }

    /// Whether requests meant for the new version may go to the former one: until the rollout is done, if any target
    /// has it.
    pub(super) fn may_use_stable(&self, service: &str) -> bool {
        let rollout = self.rollouts.get(service);
        rollout.is_some_and(|rollout| {
            let version = &rollout.order.version;
            rollout.stage != Some(Stage::Done)
                && self.targets.count_arm(service, Arm::Stable, version) > 0
        })
    }

    /// Records the end of an attempt as evidence of its service's rollout.
    pub(super) fn note_rollout_attempt(
        &mut self,
        now: Millis,
        running: &Running,
        target: TargetKey,
        ending: Ending,
    ) {
        let Some(arm) = running.arm else {
            return;
        };
        let took = now.saturating_sub(running.sent);
        let end = match ending.outcome {
            Some(Outcome::Failed) => AttemptEnd::Failed {
                target: self.targets.get(target).hash(),
            },
            Some(Outcome::Answered { took }) => answered(running, took, ending.delivery),
            None if took >= GIVEN_UP_AFTER => answered(running, took, ending.delivery),
            None => return,
        };
        let (service, route) = (&running.service, &running.job.route);
        self.rollouts.note_attempt(service, route, arm, &end);
    }
}

/// An answer, with its duration for each unit of work: a token of the answer, or as much of the prompt.
fn answered(running: &Running, took: Millis, delivery: Delivery) -> AttemptEnd {
    let prompt = running.job.prompt.as_ref();
    let prompt_units = prompt.map_or(0.0, |prompt| {
        prompt.tokens.0 as f64 / PROMPT_TOKENS_PER_UNIT
    });
    let tokens = match delivery {
        Delivery::Counted(Tokens(tokens)) if prompt.is_some() => tokens as f64,
        _ => 0.0,
    };
    AttemptEnd::Answered {
        duration_ms: took.0 as f64 / (1.0 + prompt_units + tokens),
    }
}
