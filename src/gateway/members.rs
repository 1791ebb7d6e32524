//! The routers of the fleet, as they list themselves in the store and are heard on their links.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::units::Millis;

/// Heartbeats that may be missed before a router counts as gone.
const MISSED_MAX: u64 = 3;
/// Addresses of one answer.
const ADDRESSES_MAX: usize = 64;

/// A router, as it lists itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// Its name, which a process that follows on the same host has too.
    pub name: String,
    /// This process.
    pub incarnation: u64,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other routers connect.
    pub link: SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Whether it takes callers.
    pub is_ready: bool,
    /// Counts its heartbeats.
    pub beat: u64,
}

#[derive(Clone, Debug)]
struct Member {
    router: Router,
    heard: Millis,
    unreachable: bool,
}

/// How a router was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// By what it wrote to the store, at some time.
    Store,
    /// By itself, now.
    Link,
}

/// The routers that are known.
#[derive(Debug)]
pub struct Members {
    /// This router.
    pub me: Router,
    interval: Millis,
    known: BTreeMap<String, Member>,
    most: usize,
}

impl Members {
    /// Only this router, with the interval of heartbeats.
    pub fn new(me: Router, interval: Millis) -> Self {
        Self {
            me,
            interval,
            known: BTreeMap::new(),
            most: 1,
        }
    }

    /// Takes in what a router tells of itself. Whether that is a change is returned.
    pub fn hear(&mut self, now: Millis, router: Router, source: Source) -> bool {
        if router.name == self.me.name {
            return false;
        }
        let known = self.known.get(&router.name);
        let newer = known.is_none_or(|member| {
            member.router.incarnation != router.incarnation || member.router.beat < router.beat
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
            heard: now,
            unreachable: false,
            router,
        };
        self.known.insert(member.router.name.clone(), member);
        self.most = self.most.max(self.known.len() + 1);
        changed
    }

    /// Notes that a router does not answer on its link.
    pub fn miss(&mut self, name: &str, incarnation: u64) -> bool {
        match self.known.get_mut(name) {
            Some(member) if member.router.incarnation == incarnation => {
                !std::mem::replace(&mut member.unreachable, true)
            }
            _ => false,
        }
    }

    fn is_live(&self, now: Millis, member: &Member) -> bool {
        let silent = now.saturating_sub(member.heard);
        !member.unreachable && silent.0 <= self.interval.0 * MISSED_MAX
    }

    /// Interval of heartbeats.
    pub fn interval(&self) -> std::time::Duration {
        std::time::Duration::from_millis(self.interval.0)
    }

    /// The other routers, live ones only.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Router> {
        let live = self
            .known
            .values()
            .filter(move |member| self.is_live(now, member));
        live.map(|member| &member.router)
    }

    /// The routers that hold a customer's grants, at most `count`: those that come first in an order
    /// that depends only on the customer, so that routers agree without a word.
    pub fn holders(&self, now: Millis, customer: &str, count: usize) -> Vec<&Router> {
        let seed = xxh3_64(customer.as_bytes());
        let ready = self.live(now).filter(|router| router.is_ready);
        let me = self.me.is_ready.then_some(&self.me);
        let mut holders: Vec<&Router> = ready.chain(me).collect();
        holders.sort_by_key(|router| xxh3_64_with_seed(router.name.as_bytes(), seed));
        holders.truncate(count);
        holders
    }

    /// All other routers that were ever heard of.
    pub fn known(&self) -> impl Iterator<Item = &Router> {
        self.known.values().map(|member| &member.router)
    }

    /// Routers of the fleet, at most seen so far.
    pub fn count(&self) -> usize {
        self.most
    }

    /// Where callers may connect: the live routers that take them. Where nobody is heard, silence
    /// proves nothing about the others, so all that are known are told.
    pub fn fronts(&self, now: Millis) -> Vec<SocketAddr> {
        let ready = |router: &&Router| router.is_ready;
        let mut fronts: Vec<SocketAddr> = self
            .live(now)
            .filter(ready)
            .map(|router| router.front)
            .collect();
        if self.live(now).next().is_none() {
            let routers = self.known.values().map(|member| &member.router);
            fronts = routers.filter(ready).map(|router| router.front).collect();
        }
        if self.me.is_ready || fronts.is_empty() {
            fronts.push(self.me.front);
        }
        fronts.sort_unstable();
        fronts.truncate(ADDRESSES_MAX);
        fronts
    }
}
