//! Filters the listed targets down to those that a request may be sent to, and chooses among them.
//!
//! Targets are excluded in this order: those already tried or barred by their own announcements, those in evacuated
//! halls, those missing from the store's list, those ejected, those of a version that the request is not meant for, and
//! those cold. [`placement`] chooses among the rest.
//! The documentation of each step says when it excludes nothing.

use super::registry::Targets;
use crate::gateway::decision::cold;
use crate::gateway::decision::origin::{Constraint, Origin};
use crate::gateway::decision::placement::{self, Candidate, Choice, ModelCandidate, Pace, Usual};
use crate::gateway::dialect::Prompt;
use crate::gateway::key::TargetKey;
use crate::gateway::members::Members;
use crate::gateway::rollout::Arm;
use crate::units::Millis;

impl Targets {
    /// Targets of a service that accept requests.
    pub(super) fn accepting(&self, service: &str) -> impl Iterator<Item = TargetKey> {
        let group = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        group
            .iter()
            .copied()
            .filter(|key| self.get(*key).accepts_requests())
    }

    /// Whether a service has targets that accept requests, but all of them are in evacuated halls.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let mut open = self.accepting(service).peekable();
        open.peek().is_some() && open.all(|key| self.is_in_evacuated_hall(key))
    }

    /// The origin of streams that a target begins; `None` if its version is not known.
    pub fn origin(&self, key: TargetKey) -> Option<Origin> {
        self.get(key).origin()
    }

    /// The origins of the streams of all targets of a service that are listed or were lately.
    pub fn origins(&self, service: &str) -> impl Iterator<Item = Option<Origin>> {
        let group = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        group.iter().map(|key| self.origin(*key))
    }

    /// The targets of a service that accept requests: those that a stream of this origin may be sent to, and the others.
    pub fn split_by_origin(
        &self,
        service: &str,
        origin: Constraint,
    ) -> (Vec<TargetKey>, Vec<TargetKey>) {
        self.accepting(service)
            .partition(|key| origin.allows(self.origin(*key)))
    }

    fn is_in_evacuated_hall(&self, key: TargetKey) -> bool {
        self.evacuated.contains(&self.get(key).listing.hall)
    }

    /// Targets of a service that a request may be sent to. `excluded` holds the targets that were already tried or are
    /// barred by their own announcements. Targets in evacuated halls are never returned; ejected ones only if no
    /// others are left.
    pub fn candidates(&self, now: Millis, service: &str, excluded: &[TargetKey]) -> Vec<TargetKey> {
        let open = self
            .accepting(service)
            .filter(|key| !excluded.contains(key));
        let open: Vec<TargetKey> = open
            .filter(|key| !self.is_in_evacuated_hall(*key))
            .collect();
        let open = self.avoid_missing(open);
        let is_healthy = |key: &TargetKey| !self.get(*key).health.is_ejected(now);
        let healthy: Vec<TargetKey> = open.iter().copied().filter(is_healthy).collect();
        if healthy.is_empty() { open } else { healthy }
    }

    /// Removes the targets that are missing from the store's list, unless they are the majority: then their entries
    /// expired during an outage of the store, and the few targets that are listed again first would get all requests.
    fn avoid_missing(&self, mut open: Vec<TargetKey>) -> Vec<TargetKey> {
        let missing = open.iter().filter(|key| self.get(**key).is_missing).count();
        if missing * 2 <= open.len() {
            open.retain(|key| !self.get(*key).is_missing);
        }
        open
    }

    /// Whether a target belongs to an arm of the rollout of `version`. One of an unknown version belongs to neither.
    fn is_of_arm(&self, key: TargetKey, arm: Arm, version: &str) -> bool {
        let known = self.get(key).version.as_deref();
        known.is_some_and(|known| match arm {
            Arm::Stable => known != version,
            Arm::Candidate => known == version,
        })
    }

    /// Removes the targets that do not belong to an arm of the rollout of `version`.
    pub fn of_arm(
        &self,
        mut candidates: Vec<TargetKey>,
        arm: Arm,
        version: &str,
    ) -> Vec<TargetKey> {
        candidates.retain(|key| self.is_of_arm(*key, arm, version));
        candidates
    }

    /// Number of a service's targets that accept requests and belong to an arm of the rollout of `version`.
    pub fn count_arm(&self, service: &str, arm: Arm, version: &str) -> usize {
        let open = self.accepting(service);
        open.filter(|key| self.is_of_arm(*key, arm, version))
            .count()
    }

    /// Restricts candidates to the `count` that a rollout's trial uses, which are the same at all routers.
    pub fn restrict_to_trial(
        &self,
        mut candidates: Vec<TargetKey>,
        count: usize,
    ) -> Vec<TargetKey> {
        candidates.sort_by_cached_key(|key| self.get(*key).hash());
        candidates.truncate(count);
        candidates
    }

    /// Removes cold targets from the candidates while a warm one has a free slot. Otherwise keeps those cold targets to
    /// which this router may send.
    pub fn avoid_cold(
        &self,
        now: Millis,
        routers: &Members,
        mut candidates: Vec<TargetKey>,
    ) -> Vec<TargetKey> {
        let is_cold = |key: &TargetKey| self.get(*key).warmup.is_cold(now);
        if !candidates.iter().any(is_cold) {
            return candidates;
        }
        let has_free_slot = |key: &TargetKey| !is_cold(key) && self.get(*key).has_free_slot(now);
        let has_warm_slot = candidates.iter().any(has_free_slot);
        candidates.retain(|key| {
            !is_cold(key) || (!has_warm_slot && self.may_send_cold(now, routers, *key))
        });
        candidates
    }

    /// Whether this router's share of a cold target's capacity allows one more request.
    fn may_send_cold(&self, now: Millis, routers: &Members, key: TargetKey) -> bool {
        let target = self.get(key);
        let Some(cold_start) = self.cold_starts.get(&target.listing.service) else {
            return true;
        };
        let allocation = cold::allocation(cold_start, routers.count());
        let place = routers.place(now, &target.listing.instance);
        place.is_some_and(|place| target.warmup.recent_sends(now) < allocation.quota(place))
    }

    /// Chooses a target for a request of a service: by expected time if the service's targets report a slowdown, by
    /// the work at each otherwise. `seed` is drawn only if the choice is random.
    pub fn choose(
        &self,
        now: Millis,
        service: &str,
        candidates: &[TargetKey],
        hall: &str,
        prompt: Option<&Prompt>,
        seed: impl FnOnce() -> u64,
    ) -> Option<Choice> {
        let usual = self.services.get(service);
        let usual = usual.and_then(|service| service.usual(now));
        match (prompt, usual) {
            (Some(prompt), Some(usual)) => {
                self.choose_model_by_time(now, candidates, hall, prompt, &usual, seed())
            }
            (None, Some(usual)) => self.choose_plain_by_time(now, candidates, hall, &usual, seed()),
            (Some(prompt), None) => self
                .choose_model(now, candidates, hall, prompt)
                .map(Choice::without_estimate),
            (None, None) => self
                .choose_plain(now, candidates, hall, seed())
                .map(Choice::without_estimate),
        }
    }

    /// The pace of a target: its learned speed, and the slowdown that it reported.
    fn pace(&self, now: Millis, key: TargetKey, usual: &Usual) -> Pace {
        let target = self.get(key);
        target.speed.pace(now, usual, target.slowdown())
    }

    /// Chooses a target for a plain request by expected time; `seed` selects among nearly equal ones.
    fn choose_plain_by_time(
        &self,
        now: Millis,
        candidates: &[TargetKey],
        hall: &str,
        usual: &Usual,
        seed: u64,
    ) -> Option<Choice> {
        let timed = candidates.iter().map(|key| {
            let candidate = self.get(*key).candidate(now, *key, hall);
            (candidate, self.pace(now, *key, usual))
        });
        placement::choose_plain_by_time(&timed.collect::<Vec<_>>(), usual, seed)
    }

    /// Chooses a target for a model request by expected time; `seed` selects among nearly equal ones.
    fn choose_model_by_time(
        &self,
        now: Millis,
        candidates: &[TargetKey],
        hall: &str,
        prompt: &Prompt,
        usual: &Usual,
        seed: u64,
    ) -> Option<Choice> {
        let timed: Vec<(ModelCandidate, Pace)> = self
            .model_candidates(now, candidates, hall, prompt)
            .map(|candidate| (candidate, self.pace(now, candidate.target.key, usual)))
            .collect();
        placement::choose_model_by_time(&timed, prompt, usual, seed)
    }

    /// Chooses a target for a plain request; `seed` breaks ties.
    pub fn choose_plain(
        &self,
        now: Millis,
        candidates: &[TargetKey],
        hall: &str,
        seed: u64,
    ) -> Option<TargetKey> {
        let candidate = |key: &TargetKey| self.get(*key).candidate(now, *key, hall);
        let candidates: Vec<Candidate> = candidates.iter().map(candidate).collect();
        placement::choose_plain(&candidates, seed)
    }

    /// Chooses a target for a model request.
    pub fn choose_model(
        &self,
        now: Millis,
        candidates: &[TargetKey],
        hall: &str,
        prompt: &Prompt,
    ) -> Option<TargetKey> {
        let candidates: Vec<ModelCandidate> = self
            .model_candidates(now, candidates, hall, prompt)
            .collect();
        placement::choose_model(&candidates)
    }

    fn model_candidates<'a>(
        &'a self,
        now: Millis,
        candidates: &'a [TargetKey],
        hall: &'a str,
        prompt: &'a Prompt,
    ) -> impl Iterator<Item = ModelCandidate> + 'a {
        let shared = prompt.shared_blocks();
        let last = shared.last().map_or(0, |block| block.id);
        candidates.iter().map(move |key| {
            let target = self.get(*key);
            ModelCandidate {
                target: target.candidate(now, *key, hall),
                affinity: placement::affinity(&target.listing.instance, last),
                uncached: self.cache.uncached_tokens(now, *key, shared),
            }
        })
    }
}
