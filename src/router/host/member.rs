//! Membership from two sources that both lag: the platform's host list, and heartbeats.
//!
//! A router tells a constant number of others each round what it knows of a few. A host is used
//! while its own counter goes on, whether or not the list still shows it; a host that the list
//! calls leaving is not given to callers. Nothing about money follows from any of this.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use super::rank;
use crate::router::key::Incarnation;
use crate::units::{Millis, Offset};

/// Others told in a round.
const FAN_OUT: usize = 3;
/// Hosts told of in a message.
const TOLD_MAX: usize = 8;
/// A host whose counter has stood still for this long, in a small fleet, is not given to callers.
const ILL_AFTER: Millis = Millis(3_000);
/// What each known host adds to that: news of one reaches a given other less often among many.
const ILL_PER_PEER: Millis = Millis(30);
/// A host whose counter has stood still for this long is forgotten.
const FORGET_AFTER: Millis = Millis(60_000);
/// Addresses in an entry answer for an ordinary customer.
const ENTRIES: usize = 3;

/// What a router says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The process.
    pub incarnation: Incarnation,
    /// Goes up with each round.
    pub counter: u64,
    /// Where callers connect.
    pub entry: SocketAddr,
    /// Where other routers connect.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// Its region.
    pub region: String,
    /// Epoch of the ids that it gives out.
    pub epoch: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Its witness.
    pub witness: Option<Incarnation>,
    /// How far it has read the configuration.
    pub applied: Offset,
}

/// How a peer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its counter goes on.
    Well,
    /// It says, or the host list says, that it leaves.
    Leaving,
    /// Its counter stands still.
    Ill,
}

#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    moved: Millis,
}

/// All that a router knows of the others and of itself.
#[derive(Debug)]
pub struct Membership {
    me: Peer,
    /// Earlier incarnations of this process that are still witnesses; they are told of as leaving.
    past: Vec<Peer>,
    known: BTreeMap<Incarnation, Known>,
    listed: BTreeSet<SocketAddr>,
    leaving: BTreeSet<SocketAddr>,
}

impl Membership {
    /// Knows only itself.
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            past: Vec::new(),
            known: BTreeMap::new(),
            listed: BTreeSet::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// This router.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// This process goes on under a new incarnation.
    pub fn renew(&mut self, incarnation: Incarnation) {
        let mut past = self.me.clone();
        past.leaving = true;
        self.past.push(past);
        self.me.incarnation = incarnation;
        self.me.witness = None;
        self.me.epoch = 1;
    }

    /// Tells no more of earlier incarnations that `keep` does not hold for.
    pub fn drop_past(&mut self, keep: impl Fn(Incarnation) -> bool) {
        self.past.retain(|one| keep(one.incarnation));
    }

    /// This router, to be changed.
    pub fn me_mut(&mut self) -> &mut Peer {
        &mut self.me
    }

    /// The platform's host list: peer addresses, and whether each leaves. A list that is out
    /// leaves what was known.
    pub fn list(&mut self, hosts: &[(SocketAddr, bool)]) {
        self.listed = hosts.iter().map(|(address, _)| *address).collect();
        let leaving = hosts.iter().filter(|(_, leaving)| *leaving);
        self.leaving = leaving.map(|(address, _)| *address).collect();
    }

    /// Somebody tells of a peer.
    pub fn heard(&mut self, now: Millis, peer: &Peer) {
        let mut ours = self.past.iter().chain([&self.me]);
        if ours.any(|one| one.incarnation == peer.incarnation) {
            return;
        }
        match self.known.get_mut(&peer.incarnation) {
            Some(known) if known.peer.counter < peer.counter => {
                known.peer = peer.clone();
                known.moved = now;
            }
            Some(_) => {}
            None => {
                let peer = peer.clone();
                let incarnation = peer.incarnation;
                self.known.insert(incarnation, Known { peer, moved: now });
            }
        }
    }

    /// Starts a round: whom to tell.
    pub fn round<R: Rng>(&mut self, now: Millis, rng: &mut R) -> Vec<SocketAddr> {
        for one in self.past.iter_mut().chain([&mut self.me]) {
            one.counter += 1;
        }
        self.known
            .retain(|_, known| now < known.moved + FORGET_AFTER);
        let known = self.known.values().map(|known| known.peer.address);
        let all: BTreeSet<SocketAddr> = known.chain(self.listed.iter().copied()).collect();
        let others = all
            .into_iter()
            .filter(|address| *address != self.me.address);
        let mut told = others.sample(rng, FAN_OUT);
        let witness = self.me.witness.and_then(|witness| self.address_of(witness));
        if let Some(witness) = witness
            && !told.contains(&witness)
        {
            told.push(witness);
        }
        told
    }

    /// What to tell: this router first, then its earlier incarnations, then a few others that are well.
    pub fn tell<R: Rng>(&self, now: Millis, rng: &mut R) -> Vec<Peer> {
        let ill_after = self.ill_after();
        let well = self
            .known
            .values()
            .filter(|known| now <= known.moved + ill_after);
        let mut told = vec![self.me.clone()];
        told.extend(self.past.iter().cloned().sample(rng, TOLD_MAX));
        told.extend(well.map(|known| known.peer.clone()).sample(rng, TOLD_MAX));
        told
    }

    /// A peer by incarnation.
    pub fn peer(&self, incarnation: Incarnation) -> Option<&Peer> {
        self.known.get(&incarnation).map(|known| &known.peer)
    }

    /// Where a peer's other routers reach it.
    pub fn address_of(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        self.peer(incarnation).map(|peer| peer.address)
    }

    fn ill_after(&self) -> Millis {
        ILL_AFTER + Millis(ILL_PER_PEER.0 * self.known.len() as u64)
    }

    fn stand(&self, now: Millis, known: &Known) -> Standing {
        if now > known.moved + self.ill_after() {
            Standing::Ill
        } else if known.peer.leaving || self.leaving.contains(&known.peer.address) {
            Standing::Leaving
        } else {
            Standing::Well
        }
    }

    /// Whether a peer is still there and says, or the host list says, that it leaves.
    pub fn is_leaving(&self, now: Millis, incarnation: Incarnation) -> bool {
        let known = self.known.get(&incarnation);
        known.is_some_and(|known| self.stand(now, known) == Standing::Leaving)
    }

    /// Whether the host list calls this router leaving.
    pub fn am_leaving(&self) -> bool {
        self.me.leaving || self.leaving.contains(&self.me.address)
    }

    /// Peers that are well; of two processes seen at one address, the one that moved last.
    pub fn well(&self, now: Millis) -> Vec<&Peer> {
        let mut by_address: BTreeMap<SocketAddr, &Known> = BTreeMap::new();
        for known in self.known.values() {
            if self.stand(now, known) != Standing::Well {
                continue;
            }
            let slot = by_address.entry(known.peer.address).or_insert(known);
            if slot.moved < known.moved {
                *slot = known;
            }
        }
        by_address.into_values().map(|known| &known.peer).collect()
    }

    /// Whom this router asks to be its witness: well, in another hall of its region if there is
    /// one, else elsewhere in the region, else anybody. `fits` rules out those that failed.
    pub fn witness(&self, now: Millis, fits: impl Fn(&&Peer) -> bool) -> Option<&Peer> {
        let name = self.me.incarnation.to_string();
        let well = self.well(now).into_iter().filter(fits);
        let ranked = rank(&name, well, |peer| peer.incarnation.0);
        let distance = |peer: &&Peer| {
            let same_region = peer.region == self.me.region;
            (!same_region, same_region && peer.hall == self.me.hall)
        };
        ranked.into_iter().min_by_key(distance)
    }

    /// The hosts that a customer should use, best first. `share` widens the set for customers
    /// that send much.
    pub fn entries(&self, now: Millis, customer: &str, share: usize) -> Vec<&Peer> {
        let mut hosts = self.well(now);
        if !self.am_leaving() {
            hosts.push(&self.me);
        }
        let mut ranked = rank(customer, hosts.into_iter(), |peer| host_seed(peer.entry));
        ranked.truncate(ENTRIES * share.max(1));
        ranked
    }

    /// All that is known, for status reports.
    pub fn peers(&self, now: Millis) -> Vec<(&Peer, Standing)> {
        let known = self.known.values();
        known
            .map(|known| (&known.peer, self.stand(now, known)))
            .collect()
    }
}

/// A host keeps its place when its process is replaced, so the seed is its address.
fn host_seed(address: SocketAddr) -> u64 {
    super::score(&address.to_string(), 0)
}
