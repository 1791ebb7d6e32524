//! Registry of the targets that are listed or recently were, with this router's state of each incarnation.
//!
//! The registry owns each target's entry, this router's requests there, its load and its health. It relies on its
//! caller for the time, and to report the begin and the end of each request at a target exactly once.

use std::borrow::Borrow;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::hash::Hash;
use std::net::SocketAddr;

use super::cache::Cache;
use super::outstanding::{Outstanding, View};
use super::speed;
use super::target::{Target, hash};
use crate::ejection::{self, Outcome};
use crate::gateway::dialect::{Entry, Listing, Load, Prompt};
use crate::gateway::incarnation;
use crate::gateway::key::TargetKey;
use crate::gateway::proxy::Located;
use crate::gateway::route::ColdStart;
use crate::units::Millis;

/// How long the removal of a target is reported to other routers: longer than a router that is cut off from the store
/// takes to learn of it over the links.
const REMOVED_REPORTED_FOR: Millis = Millis(15_000);

/// Maximum number of targets in a heartbeat; those with most of this router's requests are included. Without a bound,
/// heartbeats grow with the number of targets, so the heartbeat traffic of a fleet that grows along with its targets
/// grows faster than the square of its size.
const OUTSTANDING_MAX: usize = 64;
/// How long an ended or unlisted incarnation is kept after its last request: longer than other routers report on it.
const ENDED_RETAINED_FOR: Millis = Millis(60_000);

/// All targets. An incarnation that is removed leaves an empty slot so that its key is never reused. A slot takes
/// 8 bytes: 440 kB in a year of 150 restarts a day.
#[derive(Debug, Default)]
pub struct Targets {
    all: Vec<Option<Box<Target>>>,
    by_instance: HashMap<String, TargetKey>,
    /// The newest incarnation of each target, by target id.
    by_id: HashMap<String, TargetKey>,
    pub(super) by_hash: HashMap<u64, TargetKey>,
    pub(super) by_service: HashMap<String, Vec<TargetKey>>,
    /// Targets that this router has sent requests to and may still have something to report on.
    active: BTreeSet<TargetKey>,
    /// Targets that other routers have reported on.
    reported: Vec<TargetKey>,
    /// Number of changes of the list: of targets, their entries, versions or cold times.
    revision: u64,
    pub(super) cache: Cache,
    /// Instances recently removed from the list, with the times of removal.
    removed: HashMap<String, Millis>,
    /// Halls whose targets get no requests.
    pub(super) evacuated: BTreeSet<String>,
    /// Cold start parameters, by service.
    pub(super) cold_starts: HashMap<String, ColdStart>,
    /// How fast each service's targets work on average, for services whose targets report a slowdown.
    pub(super) services: HashMap<String, speed::Service>,
}

/// Whether a list entry may be older than the known state of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The entry is the newest of its target.
    Newest,
    /// The entry may be older than the known state.
    MayBeOld,
}

/// How an entry changes the known state of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target was unknown.
    Added,
    /// The target has restarted: its former incarnation has ended.
    Restarted {
        /// The former incarnation.
        former: TargetKey,
    },
    /// The target no longer accepts requests.
    Leaving,
    /// The target accepts requests again.
    Returned,
    /// The entry is not the target's own: it has no start time, and the target has told one.
    Refused,
    /// No relevant change.
    Same,
}

impl Targets {
    /// Applies an entry read from the store. The store's newest entry is authoritative, whatever start time it has.
    /// One without a start time does not name an incarnation of a target that has told its own, and changes nothing.
    pub fn list(&mut self, listing: Listing) -> Change {
        if incarnation::start_time(&listing.instance).is_none()
            && self.has_told_start(incarnation::id(&listing.instance))
        {
            return Change::Refused;
        }
        let known = self.by_instance.get(&listing.instance).copied();
        let known = known.filter(|key| !self.get(*key).ended.is_cancelled());
        let Some(key) = known else {
            return self.add(listing);
        };
        self.removed.remove(&listing.instance);
        self.move_to_service(key, &listing.service);
        let target = self.get_mut(key);
        let was_ready = target.is_listed_ready();
        let is_ready = listing.is_ready;
        let is_same = target.is_listed && target.listing == listing;
        target.listing = listing;
        target.is_listed = true;
        target.is_missing = false;
        self.revision += u64::from(!is_same);
        match (was_ready, is_ready) {
            (true, false) => Change::Leaving,
            (false, true) => Change::Returned,
            _ => Change::Same,
        }
    }

    /// Applies an entry that may be outdated, since another router read it earlier or the store was restored from a
    /// copy. It cannot bring back a target that is known to be leaving or removed, or a former incarnation.
    pub fn list_maybe_old(&mut self, listing: Listing) -> Change {
        if let Some(key) = self.by_instance.get(&listing.instance)
            && !self.get(*key).accepts_requests()
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

    fn has_told_start(&self, id: &str) -> bool {
        let newest = self.by_id.get(id).map(|key| self.get(*key));
        newest.is_some_and(|target| incarnation::start_time(&target.listing.instance).is_some())
    }

    /// Adds an incarnation, and ends the former one of the same target.
    fn add(&mut self, listing: Listing) -> Change {
        let id = incarnation::id(&listing.instance).to_owned();
        let former = self.by_id.get(&id).copied();
        if let Some(former) = former {
            self.end_incarnation(former);
        }
        self.revision += 1;
        self.removed.remove(&listing.instance);
        let key = TargetKey(self.all.len());
        self.by_id.insert(id, key);
        self.by_instance.insert(listing.instance.clone(), key);
        self.by_hash.insert(hash(&listing.instance), key);
        self.join_service(key, &listing.service);
        self.all.push(Some(Box::new(Target::new(listing))));
        former.map_or(Change::Added, |former| Change::Restarted { former })
    }

    fn join_service(&mut self, key: TargetKey, service: &str) {
        let group = self.by_service.entry(service.to_owned()).or_default();
        group.push(key);
    }

    fn leave_service(&mut self, key: TargetKey, service: &str) {
        let Some(group) = self.by_service.get_mut(service) else {
            return;
        };
        group.retain(|other| *other != key);
        if group.is_empty() {
            self.by_service.remove(service);
        }
    }

    /// Moves a known target to the service that its newest entry names. An incarnation has one service, but another
    /// writer's entry may have named another one.
    fn move_to_service(&mut self, key: TargetKey, service: &str) {
        let former = &self.get(key).listing.service;
        if former != service {
            let former = former.clone();
            self.leave_service(key, &former);
            self.join_service(key, service);
        }
    }

    /// Ends an incarnation, and notifies the requests that wait there.
    fn end_incarnation(&mut self, key: TargetKey) {
        let target = self.get_mut(key);
        target.is_listed = false;
        target.ended.cancel();
    }

    /// Removes a target from the list, by its id or by the name of an incarnation that has a start time. Returns whether
    /// it was listed.
    pub fn unlist(&mut self, now: Millis, name: &str) -> bool {
        // An id may be the name of an incarnation without a start time too, which need not be the newest.
        let key = match incarnation::start_time(name) {
            Some(_) => self.by_instance.get(name),
            None => self.by_id.get(name),
        };
        key.copied().is_some_and(|key| self.unlist_key(now, key))
    }

    /// Removes an incarnation from the list, by its name. Returns whether it was listed.
    pub fn unlist_instance(&mut self, now: Millis, instance: &str) -> bool {
        let key = self.by_instance.get(instance).copied();
        key.is_some_and(|key| self.unlist_key(now, key))
    }

    fn unlist_key(&mut self, now: Millis, key: TargetKey) -> bool {
        self.removed
            .retain(|_, at| now.saturating_sub(*at) < REMOVED_REPORTED_FOR);
        let instance = self.get(key).listing.instance.clone();
        self.removed.insert(instance, now);
        let was_listed = std::mem::replace(&mut self.get_mut(key).is_listed, false);
        self.revision += u64::from(was_listed);
        was_listed
    }

    /// Sets the halls that operators have evacuated. Targets of a hall that is no longer evacuated are treated as cold,
    /// since they may just have turned cold and their entries only show it some seconds later.
    pub fn set_evacuated(&mut self, now: Millis, halls: &BTreeSet<String>) {
        let before = std::mem::replace(&mut self.evacuated, halls.clone());
        for target in self.all.iter_mut().flatten() {
            let hall = &target.listing.hall;
            if before.contains(hall) && !halls.contains(hall) {
                let left = cold_time(&self.cold_starts, &target.listing.service);
                target.warmup.extend(now, left);
                self.revision += 1;
            }
        }
    }

    /// Sets the cold start parameters, by service.
    pub fn set_cold_starts(&mut self, cold_starts: HashMap<String, ColdStart>) {
        self.cold_starts = cold_starts;
    }

    /// Records that a target stays cold for `left`.
    pub fn note_cold(&mut self, now: Millis, instance: &str, left: Millis) {
        if let Some(key) = self.by_instance.get(instance).copied() {
            let is_colder = self.get_mut(key).warmup.extend(now, left);
            self.revision += u64::from(is_colder);
        }
    }

    /// Records the version of a target's software.
    pub fn note_version(&mut self, instance: &str, version: &str) {
        if let Some(key) = self.by_instance.get(instance).copied() {
            let known = &mut self.get_mut(key).version;
            if known.as_deref() != Some(version) {
                *known = Some(version.to_owned());
                self.revision += 1;
            }
        }
    }

    /// Records that a target has, as far as this router knows, just started: it is cold for the full cold time of its
    /// service.
    pub fn note_started(&mut self, now: Millis, instance: &str) {
        let Some(key) = self.by_instance.get(instance).copied() else {
            return;
        };
        let left = cold_time(&self.cold_starts, &self.get(key).listing.service);
        self.get_mut(key).warmup.extend(now, left);
        self.revision += 1;
    }

    /// Removes incarnations that have been unlisted and without requests for `ENDED_RETAINED_FOR`.
    pub fn forget(&mut self, now: Millis) {
        let mut expired = Vec::new();
        for (index, target) in self.all.iter_mut().enumerate() {
            let Some(target) = target else {
                continue;
            };
            if target.is_listed || target.in_flight > 0 {
                target.unused_since = None;
                continue;
            }
            let since = *target.unused_since.get_or_insert(now);
            if now.saturating_sub(since) >= ENDED_RETAINED_FOR {
                expired.push(TargetKey(index));
            }
        }
        for key in expired {
            self.drop_target(key);
        }
    }

    fn drop_target(&mut self, key: TargetKey) {
        let Some(target) = self.all[key.0].take() else {
            return;
        };
        let listing = &target.listing;
        let id = incarnation::id(&listing.instance);
        remove_if_owned(&mut self.by_instance, &listing.instance, key);
        remove_if_owned(&mut self.by_id, id, key);
        remove_if_owned(&mut self.by_hash, &target.hash(), key);
        self.leave_service(key, &listing.service);
        self.cache.remove_target(key);
        self.active.remove(&key);
    }

    /// Records that a target is missing from the list that was read. It is kept for a while, since its entry may only
    /// have expired. Returns whether it was not missing before.
    pub fn note_missing(&mut self, instance: &str) -> bool {
        let Some(key) = self.by_instance.get(instance).copied() else {
            return false;
        };
        !std::mem::replace(&mut self.get_mut(key).is_missing, true)
    }

    /// The list of targets, for a router that cannot read the store.
    pub fn view(&self) -> View {
        View {
            listed: self.listed().map(|target| target.listing.clone()).collect(),
            gone: self.removed.keys().cloned().collect(),
        }
    }

    /// The listed targets.
    pub fn listed(&self) -> impl Iterator<Item = &Target> {
        self.known().filter(|target| target.is_listed)
    }

    /// The entries of the listed targets, without those whose version is not known, which the store has not listed.
    pub fn entries(&self, now: Millis) -> impl Iterator<Item = Entry> {
        self.listed()
            .filter(|target| target.version.is_some() || !target.listing.is_ready)
            .map(move |target| Entry {
                listing: target.listing.clone(),
                cold_left: target.warmup.left(now),
                version: target.version.clone(),
            })
    }

    /// Number of changes of the list so far. While it stays the same, so do the entries, but for cold times that run
    /// down.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Addresses of the listed targets.
    pub fn addresses(&self) -> HashSet<SocketAddr> {
        self.listed().map(|target| target.listing.address).collect()
    }

    /// Where an incarnation is; `None` if it is not known or has ended.
    pub fn locate(&self, instance: &str) -> Option<Located> {
        let target = self.get(*self.by_instance.get(instance)?);
        (!target.ended.is_cancelled()).then(|| Located {
            address: target.listing.address,
            ended: target.ended.clone(),
        })
    }

    /// Number of incarnations in the registry.
    pub fn known_count(&self) -> usize {
        self.known().count()
    }

    pub(super) fn known(&self) -> impl Iterator<Item = &Target> {
        self.all.iter().flatten().map(Box::as_ref)
    }

    /// Returns a target.
    ///
    /// # Panics
    /// If the target has been removed. It is not removed while it has requests.
    pub fn get(&self, key: TargetKey) -> &Target {
        let target = self.all[key.0].as_ref();
        target.expect("a target is not removed while it has requests")
    }

    pub(super) fn get_mut(&mut self, key: TargetKey) -> &mut Target {
        let target = self.all[key.0].as_mut();
        target.expect("a target is not removed while it has requests")
    }

    pub(super) fn all_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.all.get_mut(key.0)?.as_deref_mut()
    }

    pub(super) fn all_with_keys_mut(&mut self) -> impl Iterator<Item = (TargetKey, &mut Target)> {
        let all = self.all.iter_mut().enumerate();
        all.filter_map(|(index, target)| Some((TargetKey(index), target.as_deref_mut()?)))
    }

    /// Counts a request sent to a target, and the tokens of its prompt.
    pub fn begin(&mut self, now: Millis, key: TargetKey, prompt_tokens: u64) {
        let target = self.get_mut(key);
        target.warmup.record_send(now);
        target.in_flight += 1;
        target.backlog += prompt_tokens;
        self.active.insert(key);
    }

    /// Subtracts a prompt from a target's backlog: its response has begun, so the prompt has been processed.
    pub fn prefilled(&mut self, key: TargetKey, prompt_tokens: u64) {
        let target = self.get_mut(key);
        target.backlog = target.backlog.saturating_sub(prompt_tokens);
    }

    /// Counts the end of a request at a target.
    pub fn end(&mut self, key: TargetKey) {
        let target = self.get_mut(key);
        assert!(
            target.in_flight > 0,
            "a request ends only after it has begun"
        );
        target.in_flight -= 1;
    }

    /// Records the load that a target reported.
    pub fn note_load(&mut self, now: Millis, key: TargetKey, load: Load) {
        let target = self.get_mut(key);
        target.load = Some((now, load));
        if load.slowdown.is_some() {
            let service = target.listing.service.clone();
            self.services.entry(service).or_default().note_report(now);
        }
    }

    /// Learns a target's speed from a part of an answer. Only targets that report a slowdown have one.
    pub fn learn(&mut self, now: Millis, key: TargetKey, sample: &speed::Sample) {
        let Some(target) = self.all[key.0].as_mut() else {
            return;
        };
        let Some(report) = target.slowdown() else {
            return;
        };
        let slowdown = report.slowdown(now);
        if let Some(service) = self.services.get_mut(&target.listing.service) {
            service.learn(now, &mut target.speed, slowdown, sample);
        }
    }

    /// Records the blocks of a prompt as cached by a target.
    pub fn note_prompt(&mut self, now: Millis, key: TargetKey, prompt: &Prompt) {
        self.cache.record_prompt(now, key, prompt);
    }

    /// Records the outcome of an attempt at a target; returns whether the target is ejected because of it.
    pub fn note_outcome(&mut self, now: Millis, key: TargetKey, outcome: Outcome) -> bool {
        let target = self.get_mut(key);
        target.attempts.record(now, outcome);
        let fails_too_often = target.health.record(outcome);
        fails_too_often && self.eject_if_enough_remain(now, key)
    }

    /// Ejects a target that closes new connections, unless too few targets of its service would remain; returns whether
    /// the target is ejected because of it.
    pub fn note_closing(&mut self, now: Millis, key: TargetKey) -> bool {
        self.eject_if_enough_remain(now, key)
    }

    fn eject_if_enough_remain(&mut self, now: Millis, key: TargetKey) -> bool {
        let target = self.get(key);
        if target.health.is_ejected(now) {
            return false;
        }
        let open = self.accepting(&target.listing.service);
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

    /// Ejects a target that has crashed, unless it is ejected already: it gets no requests for the length of one
    /// ejection, however many requests it had.
    pub fn note_crash(&mut self, now: Millis, key: TargetKey) {
        let target = self.get_mut(key);
        if !target.health.is_ejected(now) {
            target.health.eject(now);
        }
    }

    /// Replaces the other routers' outstanding requests and attempts at the targets.
    pub fn set_others<'a>(&mut self, others: impl Iterator<Item = &'a Outstanding>) {
        for key in std::mem::take(&mut self.reported) {
            if let Some(target) = self.all[key.0].as_mut() {
                target.others = Outstanding::default();
            }
        }
        for outstanding in others {
            let Some(key) = self.by_hash.get(&outstanding.instance).copied() else {
                continue;
            };
            if let Some(target) = self.all[key.0].as_mut() {
                self.reported.push(key);
                let sum = &mut target.others;
                sum.in_flight += outstanding.in_flight;
                sum.backlog += outstanding.backlog;
                sum.failed += outstanding.failed;
                sum.answered += outstanding.answered;
            }
        }
    }

    /// This router's outstanding requests, as reported to the other routers: those at the targets with most of them, at
    /// most `OUTSTANDING_MAX` targets.
    pub fn outstanding(&mut self, now: Millis) -> Vec<Outstanding> {
        let all = &self.all;
        self.active.retain(|key| {
            let target = all[key.0].as_ref();
            target.is_some_and(|target| {
                target.in_flight > 0 || !target.attempts.at(now).is_negligible()
            })
        });
        let active = self.active.iter().map(|key| self.get(*key));
        let reported = active.map(|target| {
            let attempts = target.attempts.at(now);
            Outstanding {
                instance: target.hash(),
                in_flight: target.in_flight,
                backlog: target.backlog,
                failed: attempts.failed as f32,
                answered: attempts.answered as f32,
            }
        });
        let mut reported: Vec<Outstanding> = reported.collect();
        if reported.len() > OUTSTANDING_MAX {
            let weight = |entry: &Outstanding| (entry.in_flight, entry.backlog);
            reported.select_nth_unstable_by(OUTSTANDING_MAX, |a, b| weight(b).cmp(&weight(a)));
            reported.truncate(OUTSTANDING_MAX);
        }
        reported
    }
}

/// How long targets of a service stay cold after a start.
fn cold_time(cold_starts: &HashMap<String, ColdStart>, service: &str) -> Millis {
    let cold_start = cold_starts.get(service);
    cold_start.map_or(Millis::ZERO, |cold| cold.time)
}

/// Removes a name from the index, unless it belongs to a newer target by now.
fn remove_if_owned<K, Q>(names: &mut HashMap<K, TargetKey>, name: &Q, key: TargetKey)
where
    K: Borrow<Q> + Eq + Hash,
    Q: Eq + Hash + ?Sized,
{
    if names.get(name) == Some(&key) {
        names.remove(name);
    }
}
