//! The targets as this router sees them, and which of them a request goes to.
//!
//! A model request goes where its shared parts are thought to be cached: the first target in an
//! order that depends only on the last shared part, so that routers agree without a word. It
//! leaves that target when the work ahead there is longer than what reading the parts anew costs.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ejection::{Health, Outcome};
use crate::gateway::dialect::{Listing, Load, Part, Prompt};
use crate::units::Millis;

/// A target; keys are not used again within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub usize);

/// Tokens of a prompt that weigh as much as one more running request.
const RUNNING_COST: f64 = 60.0;
/// Tokens that a request is taken to have which waits at a target for others.
const WAITING_COST: f64 = 2_500.0;
/// How long a load that a target told counts.
const LOAD_KEPT: Millis = Millis(1_000);
/// What another hall costs a plain request, in requests running at the target.
const HALL_COST: f64 = 1.5;
/// What another hall costs a model request, in tokens.
const HALL_TOKENS: f64 = 150.0;
/// Cost of a target whose slots are all taken.
const FULL_COST: f64 = 1e6;
/// Share of a group's targets that may be ejected.
const EJECTED_SHARE: f64 = 0.5;

/// What reading shared parts anew counts, against waiting for as many tokens: it also takes memory
/// from other parts and time from other requests there.
const STICKINESS: f64 = 2.0;
/// How fast counts of tries fade, in milliseconds.
const TRIES_SPAN: f64 = 3_000.0;
/// Counts below this are not told.
const TRIES_MIN: f64 = 0.1;
/// Tries that are taken to have been answered before any are known.
const TRIES_PRIOR: f64 = 2.0;
/// What a target costs of which all tries fail, in tokens.
const FAILING_TOKENS: f64 = 20_000.0;
/// The same for plain requests, in slots of the target.
const FAILING_SLOTS: f64 = 2.0;

/// How long other routers are told of a target that is gone.
const GONE_KEPT: Millis = Millis(15_000);

/// How long a target is thought to keep a part after its last use.
const CACHE_KEPT: Millis = Millis(20_000);
/// Parts remembered before those that count no more are forgotten.
const SENT_MAX: usize = 20_000;

/// One target.
#[derive(Clone, Debug)]
pub struct Target {
    /// As it lists itself.
    pub listing: Listing,
    /// Requests of this router that it has.
    pub in_flight: u32,
    /// Tokens of prompts of this router's that it has not answered yet.
    pub backlog: u64,
    /// The same of other routers.
    pub others: Outstanding,
    load: Option<(Millis, Load)>,
    health: Health,
    tries: Tries,
    listed: bool,
}

/// How tries ended of late: counts that fade.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    failed: f64,
    answered: f64,
    at: Millis,
}

impl Tries {
    fn at(self, now: Millis) -> Self {
        let elapsed = now.saturating_sub(self.at).0 as f64;
        let fade = (-elapsed / TRIES_SPAN).exp();
        Self {
            failed: self.failed * fade,
            answered: self.answered * fade,
            at: now,
        }
    }

    fn note(&mut self, now: Millis, outcome: Outcome) {
        *self = self.at(now);
        match outcome {
            Outcome::Failed => self.failed += 1.0,
            Outcome::Answered { .. } => self.answered += 1.0,
        }
    }
}

/// Work at a target, and how tries there ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outstanding {
    /// Hash of the target's instance.
    pub instance: u64,
    /// Requests.
    pub in_flight: u32,
    /// Tokens of prompts that are not answered yet.
    pub backlog: u64,
    /// Tries of late that failed; older ones count less.
    pub failed: f32,
    /// Tries of late that were answered, likewise.
    pub answered: f32,
}

/// All targets.
#[derive(Debug, Default)]
pub struct Targets {
    all: Vec<Target>,
    by_instance: HashMap<String, Key>,
    by_hash: HashMap<u64, Key>,
    by_service: HashMap<String, Vec<Key>>,
    sent: HashMap<(Key, u64), Millis>,
    gone: HashMap<String, Millis>,
}

/// What a router knows of the list of targets, for one that cannot read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The targets that are listed.
    pub listed: Vec<Listing>,
    /// Instances that were taken off the list of late.
    pub gone: Vec<String>,
}

/// How a change of the list differs from what was known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target that was not known.
    Added,
    /// It takes no more work.
    Leaving,
    /// It takes work again.
    Returned,
    /// Nothing that matters.
    Same,
}

impl Targets {
    /// Takes a listing in.
    pub fn list(&mut self, listing: Listing) -> Change {
        let Some(key) = self.by_instance.get(&listing.instance).copied() else {
            return self.add(listing);
        };
        self.gone.remove(&listing.instance);
        let target = &mut self.all[key.0];
        let was_ready = target.listed && target.listing.is_ready;
        let is_ready = listing.is_ready;
        target.listing = listing;
        target.listed = true;
        match (was_ready, is_ready) {
            (true, false) => Change::Leaving,
            (false, true) => Change::Returned,
            _ => Change::Same,
        }
    }

    /// Takes in what another router lists. It may have read the list earlier than this one, so a
    /// target that is known to leave does not come back by its word.
    pub fn hear(&mut self, listing: Listing) -> Change {
        match self.by_instance.get(&listing.instance).copied() {
            Some(key) if !self.is_open(key) => Change::Same,
            _ => self.list(listing),
        }
    }

    fn add(&mut self, listing: Listing) -> Change {
        let key = Key(self.all.len());
        self.by_instance.insert(listing.instance.clone(), key);
        self.by_hash
            .insert(xxh3_64(listing.instance.as_bytes()), key);
        let of_service = self.by_service.entry(listing.service.clone()).or_default();
        of_service.push(key);
        self.all.push(Target {
            listing,
            in_flight: 0,
            backlog: 0,
            others: Outstanding::default(),
            load: None,
            health: Health::default(),
            tries: Tries::default(),
            listed: true,
        });
        Change::Added
    }

    /// Takes a target off the list. Whether it was there is returned.
    pub fn unlist(&mut self, now: Millis, instance: &str) -> bool {
        let Some(key) = self.by_instance.get(instance) else {
            return false;
        };
        self.gone.insert(instance.to_owned(), now);
        self.gone
            .retain(|_, at| now.saturating_sub(*at) < GONE_KEPT);
        std::mem::replace(&mut self.all[key.0].listed, false)
    }

    /// What another router is told that cannot read the list.
    pub fn view(&self) -> View {
        View {
            listed: self.listed().map(|target| target.listing.clone()).collect(),
            gone: self.gone.keys().cloned().collect(),
        }
    }

    /// The instances that are listed.
    pub fn listed(&self) -> impl Iterator<Item = &Target> {
        self.all.iter().filter(|target| target.listed)
    }

    /// A target.
    pub fn get(&self, key: Key) -> &Target {
        &self.all[key.0]
    }

    /// Counts a request that is sent there, with so many tokens of prompt.
    pub fn begin(&mut self, key: Key, tokens: u64) {
        let target = &mut self.all[key.0];
        target.in_flight += 1;
        target.backlog += tokens;
    }

    /// Counts that a prompt has been read.
    pub fn read(&mut self, key: Key, tokens: u64) {
        let target = &mut self.all[key.0];
        target.backlog = target.backlog.saturating_sub(tokens);
    }

    /// Counts that a request has ended there.
    pub fn end(&mut self, key: Key) {
        let target = &mut self.all[key.0];
        assert!(target.in_flight > 0, "a request that ends has begun");
        target.in_flight -= 1;
    }

    /// Notes what a target told of its load.
    pub fn note_load(&mut self, now: Millis, key: Key, load: Load) {
        self.all[key.0].load = Some((now, load));
    }

    /// Notes how a request ended there. Whether the target is ejected by it is returned.
    pub fn note(&mut self, now: Millis, key: Key, outcome: Outcome) -> bool {
        self.all[key.0].tries.note(now, outcome);
        let wants = self.all[key.0].health.note(outcome);
        if !wants || self.all[key.0].health.is_ejected(now) {
            return false;
        }
        let service = &self.all[key.0].listing.service;
        let group = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let usable = group.iter().filter(|key| self.is_open(**key)).count();
        let ejected = group
            .iter()
            .filter(|key| self.is_open(**key) && self.all[key.0].health.is_ejected(now))
            .count();
        if (ejected + 1) as f64 > usable as f64 * EJECTED_SHARE {
            return false;
        }
        self.all[key.0].health.eject(now);
        true
    }

    fn is_open(&self, key: Key) -> bool {
        let target = &self.all[key.0];
        target.listed && target.listing.is_ready
    }

    /// Targets of a service that take work, without those that were tried. Ejected ones count only
    /// where there are no others.
    pub fn candidates(&self, now: Millis, service: &str, tried: &[Key]) -> Vec<Key> {
        let group = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let open = |key: &Key| self.is_open(*key) && !tried.contains(key);
        let open: Vec<Key> = group.iter().copied().filter(open).collect();
        let well = |key: &Key| !self.all[key.0].health.is_ejected(now);
        let well: Vec<Key> = open.iter().copied().filter(well).collect();
        if well.is_empty() { open } else { well }
    }

    /// Chooses for a plain request: the least busy, the own hall first.
    pub fn choose_plain(
        &self,
        now: Millis,
        candidates: &[Key],
        hall: &str,
        seed: u64,
    ) -> Option<Key> {
        let cost = |key: &Key| {
            let target = &self.all[key.0];
            let slots = f64::from(target.listing.slots);
            let busy = target.busy(now);
            let away = if target.listing.hall == hall {
                0.0
            } else {
                HALL_COST
            };
            let failing = target.failing(now) * slots * FAILING_SLOTS;
            let full = if busy >= slots { FULL_COST } else { 0.0 };
            (busy + away + failing + full, tie(key, seed))
        };
        least(candidates, cost)
    }

    /// Chooses for a model request: the least work before its first token.
    pub fn choose_model(
        &self,
        now: Millis,
        candidates: &[Key],
        hall: &str,
        prompt: &Prompt,
    ) -> Option<Key> {
        let shared = prompt.parts.len().saturating_sub(1);
        let shared = &prompt.parts[..shared];
        let anchor = shared.last().map_or(0, |part| part.id);
        let affine = candidates
            .iter()
            .copied()
            .max_by_key(|key| self.affinity(*key, anchor));
        let cost = |key: &Key| {
            let target = &self.all[key.0];
            let is_affine = Some(*key) == affine;
            let anew = if is_affine {
                0
            } else {
                self.uncached(now, *key, shared)
            };
            let anew = anew as f64 * STICKINESS;
            let away = if target.listing.hall == hall {
                0.0
            } else {
                HALL_TOKENS
            };
            let cost = target.queued(now) + anew + away;
            (cost, u64::MAX - self.affinity(*key, anchor))
        };
        least(candidates, cost)
    }

    /// Tokens of shared parts that a target would read anew, as far as this router knows. A part is
    /// kept only where all before it are.
    fn uncached(&self, now: Millis, key: Key, shared: &[Part]) -> u64 {
        let is_cached = |part: &&Part| {
            let sent = self.sent.get(&(key, part.id));
            sent.is_some_and(|at| now.saturating_sub(*at) < CACHE_KEPT)
        };
        let cached = shared.iter().take_while(is_cached).count();
        shared[cached..].iter().map(|part| part.tokens.0).sum()
    }

    /// Notes the shared parts that a target has read.
    pub fn note_parts(&mut self, now: Millis, key: Key, prompt: &Prompt) {
        let shared = prompt.parts.len().saturating_sub(1);
        for part in &prompt.parts[..shared] {
            self.sent.insert((key, part.id), now);
        }
        if self.sent.len() > SENT_MAX {
            self.sent
                .retain(|_, at| now.saturating_sub(*at) < CACHE_KEPT);
        }
    }

    fn affinity(&self, key: Key, anchor: u64) -> u64 {
        xxh3_64_with_seed(self.all[key.0].listing.instance.as_bytes(), anchor)
    }

    /// Addresses of the listed targets.
    pub fn addresses(&self) -> HashSet<std::net::SocketAddr> {
        self.listed().map(|target| target.listing.address).collect()
    }

    /// Forgets what other routers told, and takes this in its place.
    pub fn set_others<'a>(&mut self, others: impl Iterator<Item = &'a Outstanding>) {
        for target in &mut self.all {
            target.others = Outstanding::default();
        }
        for outstanding in others {
            if let Some(key) = self.by_hash.get(&outstanding.instance) {
                let sum = &mut self.all[key.0].others;
                sum.in_flight += outstanding.in_flight;
                sum.backlog += outstanding.backlog;
                sum.failed += outstanding.failed;
                sum.answered += outstanding.answered;
            }
        }
    }

    /// What this router has at each target, and how its tries ended there.
    pub fn outstanding(&self, now: Millis) -> Vec<Outstanding> {
        let told = self.all.iter().filter_map(|target| {
            let tries = target.tries.at(now);
            let is_quiet = tries.failed < TRIES_MIN && tries.answered < TRIES_MIN;
            let outstanding = Outstanding {
                instance: xxh3_64(target.listing.instance.as_bytes()),
                in_flight: target.in_flight,
                backlog: target.backlog,
                failed: tries.failed as f32,
                answered: tries.answered as f32,
            };
            (target.in_flight > 0 || !is_quiet).then_some(outstanding)
        });
        told.collect()
    }
}

impl Target {
    /// Requests that it is thought to have.
    fn busy(&self, now: Millis) -> f64 {
        let seen = f64::from(self.in_flight + self.others.in_flight);
        let told = self
            .told(now)
            .map_or(0.0, |load| f64::from(load.running + load.waiting));
        seen.max(told)
    }

    /// Work before a new request's first token, in tokens.
    fn queued(&self, now: Millis) -> f64 {
        let told = self.told(now).unwrap_or_default();
        let waiting = f64::from(told.waiting) * WAITING_COST;
        let seen = (self.backlog + self.others.backlog) as f64;
        let busy = self.busy(now);
        let full = if busy >= f64::from(self.listing.slots) {
            FULL_COST
        } else {
            0.0
        };
        let failing = self.failing(now) * FAILING_TOKENS;
        waiting.max(seen) + busy * RUNNING_COST + full + failing
    }

    /// Share of tries of late that failed, over all routers; few tries say little.
    fn failing(&self, now: Millis) -> f64 {
        let own = self.tries.at(now);
        let failed = own.failed + f64::from(self.others.failed);
        let answered = own.answered + f64::from(self.others.answered);
        failed / (failed + answered + TRIES_PRIOR)
    }

    fn told(&self, now: Millis) -> Option<Load> {
        let (since, load) = self.load?;
        (now.saturating_sub(since) < LOAD_KEPT).then_some(load)
    }
}

fn tie(key: &Key, seed: u64) -> u64 {
    xxh3_64_with_seed(&key.0.to_le_bytes(), seed)
}

fn least(candidates: &[Key], cost: impl Fn(&Key) -> (f64, u64)) -> Option<Key> {
    let costs = candidates.iter().map(|key| (cost(key), *key));
    let least = costs.min_by(|(a, _), (b, _)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    least.map(|(_, key)| key)
}
