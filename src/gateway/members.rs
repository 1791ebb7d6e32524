//! The routers of the fleet: which are live, which hold a customer's grants, and which addresses callers may use.
//!
//! A router is live while its heartbeats arrive, through the store or over a link, and its link answers. While the
//! entries in the store are not read, missing heartbeats do not count: over links alone, a router of a large fleet
//! hears from each other router only about every ten seconds. It would consider most of them dead, and take other
//! routers for the holders of grants. The accounting of tokens does not depend on liveness: a router that is wrongly
//! considered dead only loses callers.

mod capacities;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::decision::capacity::{
    ADDRESSES_MAX, Basis, Candidate, Capacity, Median, Spread, Weight,
};
use super::decision::capacity::{sample, spread, weight};
use super::streams;
use crate::units::Millis;

pub use capacities::{Coverage, Usage};

/// Consecutive heartbeats that may be missed before a router is considered dead.
const MISSED_HEARTBEATS_MAX: u64 = 3;
/// Heartbeat intervals after which all other routers have read a new router's entry: each reads the entries once per
/// heartbeat of its own.
const JOIN_HEARTBEATS: u64 = 2;
/// A fleet is still starting while a read of the entries brings more than this part of all known routers.
const GROWTH_DIVISOR: usize = 8;
/// Silence after which a router no longer counts when a target's requests are divided among the routers: its share
/// would stay unused. It exceeds any pause or network partition after which a router continues with its old share.
const DEPARTED_AFTER: Millis = Millis(60_000);
/// Number of routers that a router exchanges messages with: enough that gossip reaches all others although most of them
/// are down, and few enough connections for the smallest host.
const NEIGHBOURS: usize = 48;

/// A router's entry in the store. It is encoded by position for other processes, so the order of its fields must not
/// change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// The router's name. It stays the same when the process restarts on the same host.
    pub name: String,
    /// Identifies one run of the process. It changes at a restart.
    pub incarnation: u64,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for other routers.
    pub link: SocketAddr,
    /// The router's data hall.
    pub hall: String,
    /// Whether the router accepts callers.
    pub is_ready: bool,
    /// Sequence number of the last heartbeat.
    pub heartbeat: u64,
}

#[derive(Clone, Debug)]
struct Member {
    router: Router,
    last_heartbeat: Millis,
    /// Since when the link to the router has not answered, if that was after the router's last heartbeat.
    unreachable_since: Option<Millis>,
    /// The capacity that was last learnt, if any, and the incarnation that it is of. An earlier incarnation's is used
    /// until the present one's is learnt, since hosts rarely change.
    capacity: Option<(u64, Capacity)>,
    /// Weight among the holders of grants.
    weight: Weight,
    /// When this incarnation last did not answer a question for capacities.
    capacities_unanswered: Option<Millis>,
    /// Whether this incarnation has ever been seen to accept callers.
    has_been_ready: bool,
}

impl Member {
    /// Whether the router has stopped accepting callers. One that has never accepted any is starting.
    fn is_leaving(&self) -> bool {
        self.has_been_ready && !self.router.is_ready
    }
}

/// How a heartbeat arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Read from the store, where it may have been for some time.
    Store,
    /// Received from the router itself over a link.
    Link,
}

/// Whether the routers' entries in the store can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// None has ended yet.
    Unread,
    /// The last read failed.
    Lost,
    /// All reads have succeeded since this time.
    Since(Millis),
}

/// The known routers of the fleet.
#[derive(Debug)]
pub struct Members {
    /// This router.
    pub me: Router,
    interval: Millis,
    known: BTreeMap<String, Member>,
    largest_count: usize,
    contact: Contact,
    /// When this router's entry was first written to the store.
    written_since: Option<Millis>,
    /// Whether the others' entries were read after this router's own had been written.
    is_acquainted: bool,
    /// Whether this router has ever accepted callers.
    has_been_ready: bool,
    own_capacity: Capacity,
    own_weight: Weight,
    median: Median,
    /// How much all known capacities differ.
    spread: Spread,
    basis: Basis,
}

impl Members {
    /// Creates a view that contains only this router. `interval` is the time between two heartbeats.
    pub fn new(me: Router, interval: Millis) -> Self {
        Self {
            has_been_ready: me.is_ready,
            is_acquainted: false,
            me,
            interval,
            known: BTreeMap::new(),
            largest_count: 1,
            contact: Contact::Unread,
            written_since: None,
            own_capacity: Capacity::default(),
            own_weight: Weight::MEDIAN,
            median: Median::default(),
            spread: Spread::Similar,
            basis: Basis::Names,
        }
    }

    /// Sets this router's own capacity.
    pub fn with_capacity(self, own_capacity: Capacity) -> Self {
        Self {
            own_capacity,
            ..self
        }
    }

    /// Sets whether this router accepts callers.
    pub fn set_ready(&mut self, is_ready: bool) {
        self.me.is_ready = is_ready;
        self.has_been_ready |= is_ready;
    }

    /// Records that the routers' entries were read.
    pub fn record_read(&mut self, now: Millis) {
        if matches!(self.contact, Contact::Unread | Contact::Lost) {
            self.contact = Contact::Since(now);
        }
    }

    /// Whether the last read of the routers' entries failed.
    pub fn is_lost(&self) -> bool {
        self.contact == Contact::Lost
    }

    /// Records that the others' entries have just been read, when `known_before` routers were known.
    pub fn record_entries(&mut self, known_before: usize) {
        let new = self.count().saturating_sub(known_before);
        let is_growing = new * GROWTH_DIVISOR > self.count();
        self.is_acquainted |= self.written_since.is_some() && !is_growing;
    }

    /// Whether this router knows the others. Of two that start at the same time, the one that writes its entry later knows
    /// the other; if all start at once, many are still to come while each read shows many new ones.
    pub fn is_acquainted(&self) -> bool {
        self.is_acquainted
    }

    /// Records that the routers' entries could not be read.
    pub fn record_failed_read(&mut self) {
        self.contact = Contact::Lost;
    }

    /// Processes a router's heartbeat. Returns whether the router is new or restarted, came back to life, or changed
    /// its readiness.
    pub fn update(&mut self, now: Millis, router: Router, source: Source) -> bool {
        if router.name == self.me.name {
            return false;
        }
        let known = self.known.get(&router.name);
        let newer = known.is_none_or(|member| {
            member.router.incarnation != router.incarnation
                || member.router.heartbeat < router.heartbeat
        });
        if !newer && source == Source::Store {
            return false;
        }
        let changed = known.is_none_or(|member| {
            member.router.incarnation != router.incarnation
                || member.router.is_ready != router.is_ready
                || !self.is_live(now, member)
        });
        let incarnation = router.incarnation;
        let member = Member {
            last_heartbeat: now,
            unreachable_since: None,
            capacity: known.and_then(|member| member.capacity),
            weight: known.map_or(Weight::MEDIAN, |member| member.weight),
            capacities_unanswered: known
                .filter(|member| member.router.incarnation == incarnation)
                .and_then(|member| member.capacities_unanswered),
            has_been_ready: router.is_ready
                || known.is_some_and(|member| {
                    member.has_been_ready && member.router.incarnation == incarnation
                }),
            router,
        };
        self.known.insert(member.router.name.clone(), member);
        self.largest_count = self.largest_count.max(self.known.len() + 1);
        changed
    }

    /// Records that a router's link does not answer. Returns whether this was not known before.
    pub fn set_unreachable(&mut self, now: Millis, name: &str, incarnation: u64) -> bool {
        match self.known.get_mut(name) {
            Some(member) if member.router.incarnation == incarnation => {
                let is_new = member.unreachable_since.is_none();
                member.unreachable_since.get_or_insert(now);
                is_new
            }
            _ => false,
        }
    }

    fn is_live(&self, now: Millis, member: &Member) -> bool {
        member.unreachable_since.is_none() && !self.misses_heartbeats(now, member)
    }

    fn misses_heartbeats(&self, now: Millis, member: &Member) -> bool {
        self.silence(now, member).0 > self.interval.0 * MISSED_HEARTBEATS_MAX
    }

    /// Whether the link to a router has not answered since the router's last heartbeat.
    pub fn is_unreachable(&self, name: &str) -> bool {
        let member = self.known.get(name);
        member.is_some_and(|member| member.unreachable_since.is_some())
    }

    /// Time between two heartbeats.
    pub fn interval(&self) -> std::time::Duration {
        std::time::Duration::from_millis(self.interval.0)
    }

    /// The other live routers.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Router> {
        self.live_members(now).map(|member| &member.router)
    }

    /// The other live routers, with what is kept of each.
    fn live_members(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let known = self.known.values();
        known.filter(move |member| self.is_live(now, member))
    }

    /// The routers that hold a customer's grants, at most `count`. They are chosen by rendezvous hashing of the
    /// customer and the routers' names, weighted by capacity once capacities are used, so that routers with the same
    /// knowledge agree without communication. Routers that are starting count: when all start at once, each learns only
    /// later which others are ready, and would take itself and the few it knows of for the holders of every customer.
    pub fn holders(&self, now: Millis, customer: &str, count: usize) -> Vec<&Router> {
        let staying = self
            .live_members(now)
            .filter(|member| !member.is_leaving())
            .map(|member| (&member.router, member.weight));
        let is_leaving = self.has_been_ready && !self.me.is_ready;
        let me = (!is_leaving).then_some((&self.me, self.own_weight));
        let candidates = staying.chain(me);
        match (self.basis, self.spread) {
            (Basis::Capacities, Spread::Unequal) => {
                first(candidates, customer, count, Candidate::rank)
            }
            (Basis::Names, _) | (_, Spread::Similar) => {
                first(candidates, customer, count, |candidate| candidate.hash)
            }
        }
    }

    /// The router that decides for a key, such as a service in a rollout: the first by rendezvous hashing of the live
    /// routers that accept callers. Capacities do not count, since it has little to do and its decisions must not move.
    pub fn decider(&self, now: Millis, key: &str) -> Option<&Router> {
        let ready = self.deciders(now);
        let decider = first(ready, key, 1, |candidate| candidate.hash);
        decider.into_iter().next()
    }

    /// This router's place among the live routers that accept callers in the order in which they decide for a key, from
    /// 0; `None` if it accepts none.
    pub fn rank(&self, now: Millis, key: &str) -> Option<usize> {
        let seed = xxh3_64(key.as_bytes());
        let own = hash_router(&self.me, seed);
        let before = self
            .deciders(now)
            .filter(|(router, _)| hash_router(router, seed) < own);
        self.me.is_ready.then(|| before.count())
    }

    /// The live routers that accept callers, this one included.
    fn deciders(&self, now: Millis) -> impl Iterator<Item = (&Router, Weight)> {
        let ready = self
            .live_members(now)
            .filter(|member| member.router.is_ready)
            .map(|member| (&member.router, member.weight));
        let me = self.me.is_ready.then_some((&self.me, self.own_weight));
        ready.chain(me)
    }

    /// The other routers that keep a record of a stream: the first by rendezvous hashing of all that have not left for good,
    /// from different halls where there are enough. Whether they answer does not count, since routers may differ in that.
    pub fn keepers(&self, now: Millis, stream: streams::Id) -> Vec<&Router> {
        let staying = self
            .known
            .values()
            .filter(|member| !self.has_departed(now, member));
        let routers = staying.map(|member| &member.router).chain([&self.me]);
        let mut ranked: Vec<(u64, &Router)> = routers
            .map(|router| (hash_router(router, stream.seed()), router))
            .collect();
        ranked.sort_unstable_by_key(|(hash, _)| *hash);
        let mut halls = BTreeSet::new();
        let (first, rest): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|(_, router)| halls.insert(router.hall.as_str()));
        let keepers = first.into_iter().chain(rest).take(stream.keepers());
        keepers
            .map(|(_, router)| router)
            .filter(|router| router.name != self.me.name)
            .collect()
    }

    /// Processes what another router knows of all routers, as it has read their entries: those whose names have the
    /// hashes `dead` have missed their heartbeats, and the others have not. Changed entries are processed by
    /// [`update`](Self::update). Returns whether any router's liveness changed.
    pub fn confirm(&mut self, now: Millis, dead: &[u64]) -> bool {
        self.record_read(now);
        self.is_acquainted |= self.written_since.is_some();
        let dead: HashSet<u64> = dead.iter().copied().collect();
        // After a failed call, that many heartbeats in the store show that the router is back.
        let answered_before = now.saturating_sub(Millis(self.interval.0 * MISSED_HEARTBEATS_MAX));
        let mut is_change = false;
        for (name, member) in &mut self.known {
            if dead.contains(&hash_name(name)) {
                continue;
            }
            let silence = now.saturating_sub(member.last_heartbeat);
            is_change |= silence.0 > self.interval.0 * MISSED_HEARTBEATS_MAX;
            member.last_heartbeat = now;
            if member
                .unreachable_since
                .is_some_and(|since| since < answered_before)
            {
                member.unreachable_since = None;
                is_change = true;
            }
        }
        is_change
    }

    /// Hashes of the names of the routers that are known and have missed their heartbeats.
    pub fn dead(&self, now: Millis) -> Vec<u64> {
        let known = self.known.iter();
        let dead = known.filter(|(_, member)| self.misses_heartbeats(now, member));
        dead.map(|(name, _)| hash_name(name)).collect()
    }

    /// The first `count` of the routers in this router's hall that write heartbeats, itself included, in an order that
    /// depends only on their capacities and names, so that routers agree on it without communication. Whether their links
    /// answer this router does not count, since others may reach them.
    pub fn first_in_hall(&self, now: Millis, count: usize) -> Vec<&Router> {
        self.first_of(&self.me.hall, now, count)
    }

    /// The first `count` routers of each other hall.
    pub fn first_in_other_halls(&self, now: Millis, count: usize) -> Vec<&Router> {
        let halls = self.known().map(|router| router.hall.as_str());
        let halls: BTreeSet<&str> = halls.filter(|hall| *hall != self.me.hall).collect();
        let first = halls
            .into_iter()
            .map(|hall| self.first_of(hall, now, count));
        first.flatten().collect()
    }

    fn first_of(&self, hall: &str, now: Millis, count: usize) -> Vec<&Router> {
        let seed = xxh3_64(hall.as_bytes());
        let others = self
            .known
            .values()
            .filter(|member| !self.misses_heartbeats(now, member))
            .map(|member| (&member.router, member.weight));
        let mut ordered: Vec<_> = others
            .chain([(&self.me, self.own_weight)])
            .filter(|(router, _)| router.hall == hall)
            .map(|(router, weight)| {
                let strongest = Reverse(weight.doublings());
                (strongest, hash_router(router, seed), router)
            })
            .collect();
        ordered.sort_unstable_by_key(|(strongest, hash, _)| (*strongest, *hash));
        ordered.truncate(count);
        ordered.into_iter().map(|(_, _, router)| router).collect()
    }

    /// The routers that this one exchanges messages with, live or not: those next to it by rendezvous hashing. Each
    /// router has others, so what they pass on reaches the whole fleet in a few rounds, over a number of connections
    /// that does not grow with the fleet.
    pub fn neighbours(&self) -> Vec<&Router> {
        let seed = xxh3_64(self.me.name.as_bytes());
        let mut known: Vec<(u64, &Router)> = self
            .known()
            .map(|router| (hash_router(router, seed), router))
            .collect();
        if known.len() > NEIGHBOURS {
            known.select_nth_unstable_by_key(NEIGHBOURS, |(hash, _)| *hash);
            known.truncate(NEIGHBOURS);
        }
        known.into_iter().map(|(_, router)| router).collect()
    }

    /// Whether the other routers have had time to read this router's first entry, and this one theirs.
    pub fn is_settled(&self, now: Millis) -> bool {
        self.written_since.is_some_and(|written| {
            now.saturating_sub(written).0 > self.interval.0 * JOIN_HEARTBEATS
        })
    }

    /// Whether this router's entry was written to the store.
    pub fn is_written(&self) -> bool {
        self.written_since.is_some()
    }

    /// Records that this router's entry was written to the store.
    pub fn record_write(&mut self, now: Millis) {
        self.written_since.get_or_insert(now);
    }

    /// This router's position among all routers that may be live, in an order that depends only on their names and
    /// `key`. `None` until the other routers have had time to read this router's first entry: before that, one of them
    /// may still assume the same position.
    pub fn place(&self, now: Millis, key: &str) -> Option<usize> {
        if !self.is_settled(now) {
            return None;
        }
        let seed = xxh3_64(key.as_bytes());
        let own = hash_router(&self.me, seed);
        let counted = self
            .known
            .values()
            .filter(|member| !self.has_departed(now, member));
        let before = counted.filter(|member| hash_router(&member.router, seed) < own);
        Some(before.count())
    }

    /// The other live routers among the first `count` in the order of [`place`](Self::place).
    pub fn live_first(&self, now: Millis, key: &str, count: usize) -> Vec<&Router> {
        let seed = xxh3_64(key.as_bytes());
        let counted = self
            .known
            .values()
            .filter(|member| !self.has_departed(now, member));
        let others = counted.map(|member| (&member.router, self.is_live(now, member)));
        let mut ranked: Vec<(u64, &Router, bool)> = others
            .chain([(&self.me, false)])
            .map(|(router, is_live)| (hash_router(router, seed), router, is_live))
            .collect();
        if (1..ranked.len()).contains(&count) {
            ranked.select_nth_unstable_by_key(count - 1, |(hash, _, _)| *hash);
            ranked.truncate(count);
        }
        let live = ranked.into_iter().filter(|(_, _, is_live)| *is_live);
        live.map(|(_, router, _)| router).collect()
    }

    /// Whether a router has been silent for so long, while the entries could be read, that it has left for good.
    fn has_departed(&self, now: Millis, member: &Member) -> bool {
        self.silence(now, member) > DEPARTED_AFTER
    }

    /// How long a router has been silent: zero while the entries cannot be read.
    fn silence(&self, now: Millis, member: &Member) -> Millis {
        match self.contact {
            Contact::Unread | Contact::Lost => Millis::ZERO,
            // Routers that could not write their entries during an outage write them soon after its end, so silence
            // counts from there.
            Contact::Since(since) => now.saturating_sub(member.last_heartbeat.max(since)),
        }
    }

    /// All other routers that have ever been seen, live or not.
    pub fn known(&self) -> impl Iterator<Item = &Router> {
        self.known.values().map(|member| &member.router)
    }

    /// The largest number of routers seen so far, this one included. Fleet-wide limits are divided by it, so it does
    /// not decrease when routers are merely silent.
    pub fn count(&self) -> usize {
        self.largest_count
    }

    /// Chooses among the addresses: a sample by capacity if capacities are used and differ enough, and otherwise all, at
    /// most [`ADDRESSES_MAX`]. Each router leaves out different ones, so that callers spread over a large fleet.
    fn choose_addresses(&self, candidates: Vec<(SocketAddr, Capacity)>) -> Vec<SocketAddr> {
        let seed = xxh3_64(self.me.name.as_bytes());
        let known = candidates.iter().map(|(_, capacity)| *capacity);
        let known = known.filter(Capacity::is_known);
        let spread = spread(known.map(|capacity| weight(capacity, self.median)));
        let mut addresses: Vec<SocketAddr> = match (self.basis, spread) {
            (Basis::Capacities, Spread::Unequal) => {
                let hashed = candidates.iter().map(|(address, capacity)| Candidate {
                    hash: hash_address(address, seed),
                    weight: weight(*capacity, self.median),
                });
                let hashed: Vec<Candidate> = hashed.collect();
                let named = sample(&hashed).into_iter();
                named.map(|index| candidates[index].0).collect()
            }
            (Basis::Names, _) | (_, Spread::Similar) => {
                candidates.into_iter().map(|(address, _)| address).collect()
            }
        };
        if addresses.len() > ADDRESSES_MAX {
            addresses.sort_by_cached_key(|address| hash_address(address, seed));
            addresses.truncate(ADDRESSES_MAX);
        }
        addresses.sort_unstable();
        addresses
    }

    /// The addresses that callers may use: those of the live routers that accept callers. If no other router is live,
    /// this router is more likely to be partitioned off than the others dead, so those of all known routers are
    /// included. Where capacities differ, a sample of them is named.
    pub fn caller_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let candidate = |member: &Member| (member.router.front, member.capacity());
        let ready = |member: &&Member| member.router.is_ready;
        let live = self.live_members(now).filter(ready);
        let mut candidates: Vec<(SocketAddr, Capacity)> = live.map(candidate).collect();
        if self.live(now).next().is_none() {
            candidates = self.known.values().filter(ready).map(candidate).collect();
        }
        if self.me.is_ready || candidates.is_empty() {
            candidates.push((self.me.front, self.own_capacity));
        }
        self.choose_addresses(candidates)
    }
}

/// The first `count` of these routers by the rank that `rank` gives them for a key.
fn first<'a, R: Ord + Copy>(
    routers: impl Iterator<Item = (&'a Router, Weight)>,
    key: &str,
    count: usize,
    rank: impl Fn(&Candidate) -> R,
) -> Vec<&'a Router> {
    let seed = xxh3_64(key.as_bytes());
    let mut ranked: Vec<(R, &Router)> = routers
        .map(|(router, weight)| {
            let hash = hash_router(router, seed);
            (rank(&Candidate { hash, weight }), router)
        })
        .collect();
    if (1..ranked.len()).contains(&count) {
        ranked.select_nth_unstable_by_key(count - 1, |(rank, _)| *rank);
    }
    ranked.truncate(count);
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, router)| router).collect()
}

/// Hash of a router's name, which identifies it between routers.
fn hash_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A router's sort key for this seed.
fn hash_router(router: &Router, seed: u64) -> u64 {
    xxh3_64_with_seed(router.name.as_bytes(), seed)
}

/// An address's sort key for this seed.
fn hash_address(address: &SocketAddr, seed: u64) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let seed = seed ^ u64::from(address.port());
    xxh3_64_with_seed(&ip.octets(), seed)
}
