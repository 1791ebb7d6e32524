//! The routers of the fleet: who is live, who holds a customer's grants, where callers may connect.
//!
//! A router is live while its heartbeats arrive, by the store or by a link, and its link answers. While the store is
//! not read, its silence there says nothing: by links alone a router of a large fleet hears from another one each some
//! ten seconds, and would take most of them for dead, and other routers for the holders of grants. Nothing about
//! money follows from that; a router that is wrongly taken for dead loses callers only.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::units::Millis;

/// Heartbeats that may be missed before a router counts as dead.
const MISSED_MAX: u64 = 3;
/// Heartbeats after which a new router's entry has been read by the others: each reads at every heartbeat of its own.
const JOIN_HEARTBEATS: u64 = 2;
/// Silence after which a router no longer takes a place in the order in which a target's requests are dealt out: its
/// part would stay unused. Longer than any freeze or cut after which it goes on with the place that it had.
const GONE_AFTER: Millis = Millis(60_000);
/// Addresses that callers are told at once: more than they try, and within one packet.
const ADDRESSES_MAX: usize = 64;

/// A router's entry in the store. It is encoded for other processes, so the order of fields is part of
/// its form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// Its name; the next process on the same host has the same.
    pub name: String,
    /// One run of its process; a restart has another.
    pub incarnation: u64,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other routers connect.
    pub link: SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Whether it takes callers.
    pub is_ready: bool,
    /// Number of its last heartbeat.
    pub heartbeat: u64,
}

#[derive(Clone, Debug)]
struct Member {
    router: Router,
    last_heartbeat: Millis,
    /// Whether its link did not answer since.
    is_unreachable: bool,
}

/// Where a heartbeat came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, which has it since some time.
    Store,
    /// The router's own link, just now.
    Link,
}

/// Whether the routers' entries in the store are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// They are not.
    Lost,
    /// They are, since then.
    Since(Millis),
}

/// The routers that are known.
#[derive(Debug)]
pub struct Members {
    /// This router.
    pub me: Router,
    interval: Millis,
    known: BTreeMap<String, Member>,
    largest: usize,
    contact: Contact,
    /// Since when this router's entry is in the store.
    written_since: Option<Millis>,
}

impl Members {
    /// This router alone, with the interval of heartbeats.
    pub fn new(me: Router, interval: Millis) -> Self {
        Self {
            me,
            interval,
            known: BTreeMap::new(),
            largest: 1,
            contact: Contact::Lost,
            written_since: None,
        }
    }

    /// Notes that the routers' entries were read.
    pub fn note_read(&mut self, now: Millis) {
        if self.contact == Contact::Lost {
            self.contact = Contact::Since(now);
        }
    }

    /// Notes that the routers' entries could not be read.
    pub fn note_unread(&mut self) {
        self.contact = Contact::Lost;
    }

    /// Takes in a router's heartbeat; whether something changed that others depend on.
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
        let member = Member {
            last_heartbeat: now,
            is_unreachable: false,
            router,
        };
        self.known.insert(member.router.name.clone(), member);
        self.largest = self.largest.max(self.known.len() + 1);
        changed
    }

    /// Notes that a router's link does not answer; whether that is new.
    pub fn set_unreachable(&mut self, name: &str, incarnation: u64) -> bool {
        match self.known.get_mut(name) {
            Some(member) if member.router.incarnation == incarnation => {
                !std::mem::replace(&mut member.is_unreachable, true)
            }
            _ => false,
        }
    }

    fn is_live(&self, now: Millis, member: &Member) -> bool {
        let silence = self.silence(now, member);
        !member.is_unreachable && silence.0 <= self.interval.0 * MISSED_MAX
    }

    /// Interval of heartbeats.
    pub fn interval(&self) -> std::time::Duration {
        std::time::Duration::from_millis(self.interval.0)
    }

    /// The other routers that are live.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Router> {
        let live = self
            .known
            .values()
            .filter(move |member| self.is_live(now, member));
        live.map(|member| &member.router)
    }

    /// The routers that hold a customer's grants, at most `count`: those that come first in an order
    /// that depends on the customer and the names only, so that routers agree without asking.
    pub fn holders(&self, now: Millis, customer: &str, count: usize) -> Vec<&Router> {
        let seed = xxh3_64(customer.as_bytes());
        let ready = self.live(now).filter(|router| router.is_ready);
        let me = self.me.is_ready.then_some(&self.me);
        let mut placed: Vec<(u64, &Router)> = ready
            .chain(me)
            .map(|router| (place(router, seed), router))
            .collect();
        if (1..placed.len()).contains(&count) {
            placed.select_nth_unstable_by_key(count - 1, |(place, _)| *place);
        }
        placed.truncate(count);
        placed.sort_unstable_by_key(|(place, _)| *place);
        placed.into_iter().map(|(_, router)| router).collect()
    }

    /// Notes that this router's entry was written.
    pub fn note_written(&mut self, now: Millis) {
        self.written_since.get_or_insert(now);
    }

    /// This router's place in an order of all that may be live, which depends on their names and `key` only. It has
    /// none until the others have had the time to read its first entry: they may still count one of themselves in its
    /// place.
    pub fn place(&self, now: Millis, key: &str) -> Option<usize> {
        let written = self.written_since?;
        if now.saturating_sub(written).0 <= self.interval.0 * JOIN_HEARTBEATS {
            return None;
        }
        let seed = xxh3_64(key.as_bytes());
        let own = place(&self.me, seed);
        let counted = self
            .known
            .values()
            .filter(|member| !self.has_gone(now, member));
        let before = counted.filter(|member| place(&member.router, seed) < own);
        Some(before.count())
    }

    /// Whether a router has been silent for so long, while the routers' entries were read, that it has ended for good.
    fn has_gone(&self, now: Millis, member: &Member) -> bool {
        self.silence(now, member) > GONE_AFTER
    }

    /// How long a router has been silent. While its entry is not read that says nothing.
    fn silence(&self, now: Millis, member: &Member) -> Millis {
        match self.contact {
            Contact::Lost => Millis::ZERO,
            // Entries that could not be written meanwhile are written soon after the contact is back.
            Contact::Since(since) => now.saturating_sub(member.last_heartbeat.max(since)),
        }
    }

    /// All other routers that were ever live.
    pub fn known(&self) -> impl Iterator<Item = &Router> {
        self.known.values().map(|member| &member.router)
    }

    /// Largest number of routers that the fleet was seen to have. Bounds that the fleet shares are
    /// divided by it, so it does not fall when routers are only silent.
    pub fn count(&self) -> usize {
        self.largest
    }

    /// As many addresses as callers are told. Each router leaves out others, so that a large fleet gets its
    /// callers evenly.
    fn choose_addresses(&self, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        if addresses.len() > ADDRESSES_MAX {
            let seed = xxh3_64(self.me.name.as_bytes());
            addresses.sort_by_cached_key(|one| place_of(one, seed));
            addresses.truncate(ADDRESSES_MAX);
        }
        addresses.sort_unstable();
        addresses
    }

    /// Where callers may connect: the live routers that take them. Where no other is live, it is more
    /// likely this router that is cut off, so all that were ever live are told.
    pub fn caller_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let ready = |router: &&Router| router.is_ready;
        let mut addresses: Vec<SocketAddr> = self
            .live(now)
            .filter(ready)
            .map(|router| router.front)
            .collect();
        if self.live(now).next().is_none() {
            let routers = self.known.values().map(|member| &member.router);
            addresses = routers.filter(ready).map(|router| router.front).collect();
        }
        if self.me.is_ready || addresses.is_empty() {
            addresses.push(self.me.front);
        }
        self.choose_addresses(addresses)
    }
}

/// A router's place in an order that depends on the seed.
fn place(router: &Router, seed: u64) -> u64 {
    xxh3_64_with_seed(router.name.as_bytes(), seed)
}

/// An address's place in an order that depends on the seed.
fn place_of(address: &SocketAddr, seed: u64) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let seed = seed ^ u64::from(address.port());
    xxh3_64_with_seed(&ip.octets(), seed)
}
