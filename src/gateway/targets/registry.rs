//! The targets that are or were of late listed, with what this router knows of each incarnation.
//!
//! The registry owns each target's entry, its requests of this router, its load and its health. It
//! relies on its caller for the time, and to say that a request has begun and ended at a target
//! exactly once each.

use std::borrow::Borrow;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::Hash;
use std::net::SocketAddr;

use super::cache::Cache;
use super::outstanding::{Outstanding, View};
use super::target::{Target, hash};
use crate::ejection::{self, Outcome};
use crate::gateway::dialect::{Listing, Load, Prompt};
use crate::gateway::incarnation;
use crate::gateway::key::TargetKey;
use crate::gateway::route::ColdStart;
use crate::units::Millis;

/// How long other routers are told that a target was removed: longer than a router that was cut off
/// from the store takes to hear of it over the links.
const REMOVED_TOLD: Millis = Millis(15_000);

/// Targets of which others are told in a heartbeat: those where this router has most. Without a bound a heartbeat
/// grows with the targets, so the bytes of a fleet that grows with them grow faster than its square.
const TOLD_MAX: usize = 64;
/// How long an incarnation that has ended, and that no request is at any more, is remembered: longer than others
/// speak of it.
const ENDED_REMEMBERED: Millis = Millis(60_000);

/// All targets. What has ended leaves an empty place, so that no key is used twice: eight bytes for each, 440 kB in a
/// year of 150 restarts a day.
#[derive(Debug, Default)]
pub struct Targets {
    all: Vec<Option<Box<Target>>>,
    by_instance: HashMap<String, TargetKey>,
    /// The newest incarnation of each target, by its id.
    by_id: HashMap<String, TargetKey>,
    pub(super) by_hash: HashMap<u64, TargetKey>,
    pub(super) by_service: HashMap<String, Vec<TargetKey>>,
    pub(super) cache: Cache,
    removed: HashMap<String, Millis>,
    /// Halls whose targets get nothing.
    pub(super) evacuated: BTreeSet<String>,
    /// How targets are after a start, by service.
    pub(super) cold_starts: HashMap<String, ColdStart>,
}

/// Whether an entry of the list may be older than what is known of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is the newest word on its target.
    Newest,
    /// It may be older.
    MayBeOld,
}

/// How an entry differs from what was known of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target was not known.
    Added,
    /// The target has started again: its former incarnation has ended.
    Restarted {
        /// The former incarnation.
        former: TargetKey,
    },
    /// It takes no more requests.
    Leaving,
    /// It takes requests again.
    Returned,
    /// Nothing that matters.
    Same,
}

impl Targets {
    /// Takes in an entry of the list, whose newest word on a target counts, whatever start it tells.
    pub fn list(&mut self, listing: Listing) -> Change {
        let known = self.by_instance.get(&listing.instance).copied();
        let known = known.filter(|key| !self.get(*key).ended.is_cancelled());
        let Some(key) = known else {
            return self.add(listing);
        };
        self.removed.remove(&listing.instance);
        let target = self.get_mut(key);
        let was_open = target.is_listed_open();
        let is_ready = listing.is_ready;
        target.listing = listing;
        target.is_listed = true;
        target.is_missing = false;
        match (was_open, is_ready) {
            (true, false) => Change::Leaving,
            (false, true) => Change::Returned,
            _ => Change::Same,
        }
    }

    /// Takes in an entry that may be older than what is known: another router has read the list earlier, or the store
    /// has come back from a copy. Neither a target that is known to leave or to be gone nor a former incarnation comes
    /// back by it.
    pub fn list_maybe_old(&mut self, listing: Listing) -> Change {
        if let Some(key) = self.by_instance.get(&listing.instance)
            && !self.get(*key).is_open()
        {
            return Change::Same;
        }
        let newest = self.by_id.get(incarnation::id(&listing.instance));
        let newest = newest.map(|key| &self.get(*key).listing.instance);
        if newest.is_some_and(|newest| incarnation::is_older(&listing.instance, newest)) {
            return Change::Same;
        }
        self.list(listing)
    }

    /// Adds an incarnation; the former one of its target has ended.
    fn add(&mut self, listing: Listing) -> Change {
        let id = incarnation::id(&listing.instance).to_owned();
        let former = self.by_id.get(&id).copied();
        if let Some(former) = former {
            self.end_incarnation(former);
        }
        self.removed.remove(&listing.instance);
        let key = TargetKey(self.all.len());
        self.by_id.insert(id, key);
        self.by_instance.insert(listing.instance.clone(), key);
        self.by_hash.insert(hash(&listing.instance), key);
        let group = self.by_service.entry(listing.service.clone()).or_default();
        group.push(key);
        self.all.push(Some(Box::new(Target::new(listing))));
        former.map_or(Change::Added, |former| Change::Restarted { former })
    }

    /// Ends an incarnation: what waits there is told.
    fn end_incarnation(&mut self, key: TargetKey) {
        let target = self.get_mut(key);
        target.is_listed = false;
        target.ended.cancel();
    }

    /// Removes a target from the list, by its id or by the name of its incarnation; whether it was there.
    pub fn unlist(&mut self, now: Millis, name: &str) -> bool {
        let by_instance = self.by_instance.get(name);
        let Some(key) = by_instance.or_else(|| self.by_id.get(name)).copied() else {
            return false;
        };
        self.removed
            .retain(|_, at| now.saturating_sub(*at) < REMOVED_TOLD);
        let instance = self.get(key).listing.instance.clone();
        self.removed.insert(instance, now);
        std::mem::replace(&mut self.get_mut(key).is_listed, false)
    }

    /// Sets which halls the operators have emptied. The targets of one that is taken back may have turned cold
    /// shortly before, which their entries tell some seconds later.
    pub fn set_evacuated(&mut self, now: Millis, halls: &BTreeSet<String>) {
        let before = std::mem::replace(&mut self.evacuated, halls.clone());
        for target in self.all.iter_mut().flatten() {
            let hall = &target.listing.hall;
            if before.contains(hall) && !halls.contains(hall) {
                let left = cold_time(&self.cold_starts, &target.listing.service);
                target.warmup.note(now, left);
            }
        }
    }

    /// Sets how targets are after a start, by service.
    pub fn set_cold_starts(&mut self, cold_starts: HashMap<String, ColdStart>) {
        self.cold_starts = cold_starts;
    }

    /// Notes that a target is cold for so long.
    pub fn note_cold(&mut self, now: Millis, instance: &str, left: Millis) {
        if let Some(key) = self.by_instance.get(instance).copied() {
            self.get_mut(key).warmup.note(now, left);
        }
    }

    /// Notes that a target has just started, as far as this router knows: it is cold for the whole time of its
    /// service.
    pub fn note_started(&mut self, now: Millis, instance: &str) {
        let Some(key) = self.by_instance.get(instance).copied() else {
            return;
        };
        let left = cold_time(&self.cold_starts, &self.get(key).listing.service);
        self.get_mut(key).warmup.note(now, left);
    }

    /// Forgets incarnations that have ended, or have not been listed for long, once no request is there.
    pub fn forget(&mut self, now: Millis) {
        let mut forgotten = Vec::new();
        for (place, target) in self.all.iter_mut().enumerate() {
            let Some(target) = target else {
                continue;
            };
            if target.is_listed || target.in_flight > 0 {
                target.unused_since = None;
                continue;
            }
            let since = *target.unused_since.get_or_insert(now);
            if now.saturating_sub(since) >= ENDED_REMEMBERED {
                forgotten.push(TargetKey(place));
            }
        }
        for key in forgotten {
            self.drop_target(key);
        }
    }

    fn drop_target(&mut self, key: TargetKey) {
        let Some(target) = self.all[key.0].take() else {
            return;
        };
        let listing = &target.listing;
        let id = incarnation::id(&listing.instance);
        remove_if(&mut self.by_instance, &listing.instance, key);
        remove_if(&mut self.by_id, id, key);
        remove_if(&mut self.by_hash, &target.hash(), key);
        if let Some(group) = self.by_service.get_mut(&listing.service) {
            group.retain(|other| *other != key);
        }
        self.cache.forget(key);
    }

    /// Notes that the list that was read lacks a target, which stays for a while: its entry may only have lapsed.
    pub fn note_missing(&mut self, instance: &str) {
        if let Some(key) = self.by_instance.get(instance).copied() {
            self.get_mut(key).is_missing = true;
        }
    }

    /// The list, for a router that cannot read it.
    pub fn view(&self) -> View {
        View {
            listed: self.listed().map(|target| target.listing.clone()).collect(),
            gone: self.removed.keys().cloned().collect(),
        }
    }

    /// The targets that are listed.
    pub fn listed(&self) -> impl Iterator<Item = &Target> {
        self.known().filter(|target| target.is_listed)
    }

    /// Addresses of the listed targets.
    pub fn addresses(&self) -> HashSet<SocketAddr> {
        self.listed().map(|target| target.listing.address).collect()
    }

    /// How many incarnations are remembered.
    pub fn known_count(&self) -> usize {
        self.known().count()
    }

    pub(super) fn known(&self) -> impl Iterator<Item = &Target> {
        self.all.iter().flatten().map(Box::as_ref)
    }

    /// A target.
    ///
    /// # Panics
    /// Where it has been forgotten: whoever has a request there keeps it from being.
    pub fn get(&self, key: TargetKey) -> &Target {
        let target = self.all[key.0].as_ref();
        target.expect("a target is known for as long as a request is there")
    }

    pub(super) fn get_mut(&mut self, key: TargetKey) -> &mut Target {
        let target = self.all[key.0].as_mut();
        target.expect("a target is known for as long as a request is there")
    }

    /// Counts a request that is sent there, with so many tokens of prompt.
    pub fn begin(&mut self, now: Millis, key: TargetKey, prompt_tokens: u64) {
        let target = self.get_mut(key);
        target.warmup.note_send(now);
        target.in_flight += 1;
        target.backlog += prompt_tokens;
    }

    /// Counts that a target has begun to answer, and so has processed a prompt of so many tokens.
    pub fn prefilled(&mut self, key: TargetKey, prompt_tokens: u64) {
        let target = self.get_mut(key);
        target.backlog = target.backlog.saturating_sub(prompt_tokens);
    }

    /// Counts that a request has ended there.
    pub fn end(&mut self, key: TargetKey) {
        let target = self.get_mut(key);
        assert!(target.in_flight > 0, "a request that ends has begun");
        target.in_flight -= 1;
    }

    /// Notes the load that a target reported.
    pub fn note_load(&mut self, now: Millis, key: TargetKey, load: Load) {
        self.get_mut(key).load = Some((now, load));
    }

    /// Notes the blocks that a target has most likely cached now.
    pub fn note_prompt(&mut self, now: Millis, key: TargetKey, prompt: &Prompt) {
        self.cache.note(now, key, prompt);
    }

    /// Notes how an attempt ended there; whether the target is ejected by it.
    pub fn note_outcome(&mut self, now: Millis, key: TargetKey, outcome: Outcome) -> bool {
        let target = self.get_mut(key);
        target.attempts.note(now, outcome);
        let fails = target.health.record(outcome);
        if !fails || target.health.is_ejected(now) {
            return false;
        }
        let open = self.open(&self.get(key).listing.service);
        let (mut usable, mut ejected) = (0, 0);
        for key in open {
            usable += 1;
            ejected += usize::from(self.get(key).health.is_ejected(now));
        }
        if !ejection::leaves_enough(ejected, usable) {
            return false;
        }
        self.get_mut(key).health.eject(now);
        true
    }

    /// Notes that a target has crashed: it gets no requests for as long as one ejection lasts, however many it had.
    pub fn note_crash(&mut self, now: Millis, key: TargetKey) {
        let target = self.get_mut(key);
        if !target.health.is_ejected(now) {
            target.health.eject(now);
        }
    }

    /// Replaces what other routers have at the targets.
    pub fn set_others<'a>(&mut self, others: impl Iterator<Item = &'a Outstanding>) {
        for target in self.all.iter_mut().flatten() {
            target.others = Outstanding::default();
        }
        for outstanding in others {
            let key = self.by_hash.get(&outstanding.instance);
            if let Some(target) = key.and_then(|key| self.all[key.0].as_mut()) {
                let sum = &mut target.others;
                sum.in_flight += outstanding.in_flight;
                sum.backlog += outstanding.backlog;
                sum.failed += outstanding.failed;
                sum.answered += outstanding.answered;
            }
        }
    }

    /// What this router has at the targets where it has most, for the other routers.
    pub fn outstanding(&self, now: Millis) -> Vec<Outstanding> {
        let told = self.known().filter_map(|target| {
            let attempts = target.attempts.at(now);
            let is_worth_telling = target.in_flight > 0 || !attempts.is_quiet();
            is_worth_telling.then(|| Outstanding {
                instance: target.hash(),
                in_flight: target.in_flight,
                backlog: target.backlog,
                failed: attempts.failed as f32,
                answered: attempts.answered as f32,
            })
        });
        let mut told: Vec<Outstanding> = told.collect();
        if told.len() > TOLD_MAX {
            let weight = |one: &Outstanding| (one.in_flight, one.backlog);
            told.select_nth_unstable_by(TOLD_MAX, |a, b| weight(b).cmp(&weight(a)));
            told.truncate(TOLD_MAX);
        }
        told
    }
}

/// How long the targets of a service are cold after a start.
fn cold_time(cold_starts: &HashMap<String, ColdStart>, service: &str) -> Millis {
    let cold_start = cold_starts.get(service);
    cold_start.map_or(Millis::ZERO, |cold| cold.time)
}

/// Takes a name off its target, unless a later one has it.
fn remove_if<K, Q>(names: &mut HashMap<K, TargetKey>, name: &Q, key: TargetKey)
where
    K: Borrow<Q> + Eq + Hash,
    Q: Eq + Hash + ?Sized,
{
    if names.get(name) == Some(&key) {
        names.remove(name);
    }
}
