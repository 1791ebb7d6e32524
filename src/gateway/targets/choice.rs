//! Which of the listed targets a request may be sent to, and the choice among them.
//!
//! Left out are, in this order, those that were tried or are barred by their own word, those in halls that are
//! emptied, those that the list lacks, those that are ejected and those that are cold; what is left goes to
//! [`placement`]. Each step says when it leaves all in.

use super::registry::Targets;
use crate::gateway::decision::cold;
use crate::gateway::decision::placement::{self, Candidate, ModelCandidate};
use crate::gateway::dialect::Prompt;
use crate::gateway::key::TargetKey;
use crate::gateway::members::Members;
use crate::units::Millis;

impl Targets {
    /// Targets of a service that take requests.
    pub(super) fn open(&self, service: &str) -> impl Iterator<Item = TargetKey> {
        let group = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        group.iter().copied().filter(|key| self.get(*key).is_open())
    }

    /// Whether a service has targets that take requests, all of them in halls that are emptied.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let mut open = self.open(service).peekable();
        open.peek().is_some() && open.all(|key| self.is_emptied(key))
    }

    fn is_emptied(&self, key: TargetKey) -> bool {
        self.evacuated.contains(&self.get(key).listing.hall)
    }

    /// Targets of a service that a request may be sent to, without those to be left out, which were tried or are barred
    /// by their own word, and those in halls that are emptied. Ejected ones are left out unless there are no others.
    pub fn candidates(&self, now: Millis, service: &str, left_out: &[TargetKey]) -> Vec<TargetKey> {
        let open = self.open(service).filter(|key| !left_out.contains(key));
        let open: Vec<TargetKey> = open.filter(|key| !self.is_emptied(*key)).collect();
        let open = self.avoid_missing(open);
        let is_well = |key: &TargetKey| !self.get(*key).health.is_ejected(now);
        let well: Vec<TargetKey> = open.iter().copied().filter(is_well).collect();
        if well.is_empty() { open } else { well }
    }

    /// Takes out the targets that the list lacks, unless those are more than the others: then entries have lapsed while
    /// the store was away, and those that are back first would get all requests.
    fn avoid_missing(&self, mut open: Vec<TargetKey>) -> Vec<TargetKey> {
        let missing = open.iter().filter(|key| self.get(**key).is_missing).count();
        if missing * 2 <= open.len() {
            open.retain(|key| !self.get(*key).is_missing);
        }
        open
    }

    /// Takes cold targets out of the candidates while a warm one has a free slot; else those stay to which this one of
    /// the routers may send.
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
        let has_room = |key: &TargetKey| !is_cold(key) && self.get(*key).has_room(now);
        let has_warm_room = candidates.iter().any(has_room);
        candidates.retain(|key| {
            !is_cold(key) || (!has_warm_room && self.may_send_cold(now, routers, *key))
        });
        candidates
    }

    /// Whether this one of the routers may send one more request to a cold target.
    fn may_send_cold(&self, now: Millis, routers: &Members, key: TargetKey) -> bool {
        let target = self.get(key);
        let Some(cold_start) = self.cold_starts.get(&target.listing.service) else {
            return true;
        };
        let allocation = cold::allocation(cold_start, routers.count());
        let place = routers.place(now, &target.listing.instance);
        place.is_some_and(|place| target.warmup.recent_sends(now) < allocation.quota(place))
    }

    /// Chooses a target for a plain request; `seed` draws among equals.
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
        let shared = prompt.shared_blocks();
        let last = shared.last().map_or(0, |block| block.id);
        let candidate = |key: &TargetKey| {
            let target = self.get(*key);
            ModelCandidate {
                target: target.candidate(now, *key, hall),
                affinity: placement::affinity(&target.listing.instance, last),
                uncached: self.cache.uncached(now, *key, shared),
            }
        };
        let candidates: Vec<ModelCandidate> = candidates.iter().map(candidate).collect();
        placement::choose_model(&candidates)
    }
}
