//! Membership from two sources that both lag: the platform's host list, and gossiped heartbeats.
//!
//! In each round a router sends what it knows of a few routers to a constant number of others. A host is used
//! while its heartbeat counter increases, whether or not the list still shows it; a host that the list marks as
//! leaving is not given to callers. No accounting decision depends on membership.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use super::rank;
use crate::router::key::Incarnation;
use crate::units::{Millis, Offset};

/// Random recipients of a gossip round.
const FAN_OUT: usize = 3;
/// Most other hosts, and most earlier incarnations, described in a gossip message.
const GOSSIP_PEERS_MAX: usize = 8;
/// In a small fleet, a host whose counter has not increased for longer than this is not given to callers.
const ILL_AFTER: Millis = Millis(3_000);
/// Added to [`ILL_AFTER`] for each known host: in a larger fleet, news of a host reaches a given other less often.
const ILL_AFTER_PER_PEER: Millis = Millis(30);
/// A host whose counter has not increased for this long is forgotten.
const FORGET_AFTER: Millis = Millis(60_000);
/// Addresses in an entry answer for a customer with a share of 1.
const ENTRY_HOSTS: usize = 3;

/// A router's description of itself, as gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Heartbeat counter; increases with each round.
    pub counter: u64,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for other routers.
    pub address: SocketAddr,
    /// Data hall of the router.
    pub hall: String,
    /// Region of the router.
    pub region: String,
    /// Epoch in the request ids that the router gives out.
    pub epoch: u32,
    /// Whether the router is about to stop.
    pub leaving: bool,
    /// Witness of the router, if it has one.
    pub witness: Option<Incarnation>,
    /// Last offset of the configuration stream that the router has applied.
    pub applied: Offset,
}

/// State of a peer as this router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The peer's heartbeat counter increases.
    Well,
    /// The peer is leaving, by its own report or by the host list.
    Leaving,
    /// The peer's heartbeat counter has stopped increasing.
    Ill,
}

#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    /// When the peer's heartbeat counter was last seen to increase.
    advanced_at: Millis,
}

/// A router's view of the fleet: itself and its peers.
#[derive(Debug)]
pub struct Membership {
    me: Peer,
    /// Earlier incarnations of this process that are still witnesses; they are gossiped as leaving.
    past_incarnations: Vec<Peer>,
    known: BTreeMap<Incarnation, Known>,
    listed: BTreeSet<SocketAddr>,
    listed_leaving: BTreeSet<SocketAddr>,
}

impl Membership {
    /// A membership that consists of this router only.
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            past_incarnations: Vec::new(),
            known: BTreeMap::new(),
            listed: BTreeSet::new(),
            listed_leaving: BTreeSet::new(),
        }
    }

    /// This router's own entry.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Continues this process under a new incarnation, which has no witness and starts at epoch 1.
    pub fn renew(&mut self, incarnation: Incarnation) {
        let mut previous = self.me.clone();
        previous.leaving = true;
        self.past_incarnations.push(previous);
        self.me.incarnation = incarnation;
        self.me.witness = None;
        self.me.epoch = 1;
    }

    /// Stops gossiping earlier incarnations that do not match `keep`.
    pub fn retain_past(&mut self, keep: impl Fn(Incarnation) -> bool) {
        self.past_incarnations.retain(|peer| keep(peer.incarnation));
    }

    /// This router's own entry, mutable.
    pub fn me_mut(&mut self) -> &mut Peer {
        &mut self.me
    }

    /// Replaces the platform's host list: peer addresses, and whether each is leaving. While the list is
    /// unavailable, the last one stays.
    pub fn set_listed(&mut self, hosts: &[(SocketAddr, bool)]) {
        self.listed = hosts.iter().map(|(address, _)| *address).collect();
        let leaving = hosts.iter().filter(|(_, leaving)| *leaving);
        self.listed_leaving = leaving.map(|(address, _)| *address).collect();
    }

    /// Takes in a peer's description from a gossip message. Only a higher counter replaces what is known, and
    /// descriptions of this process are ignored.
    pub fn observe(&mut self, now: Millis, peer: &Peer) {
        let mut own = self.past_incarnations.iter().chain([&self.me]);
        if own.any(|own| own.incarnation == peer.incarnation) {
            return;
        }
        match self.known.get_mut(&peer.incarnation) {
            Some(known) if known.peer.counter < peer.counter => {
                known.peer = peer.clone();
                known.advanced_at = now;
            }
            Some(_) => {}
            None => {
                let peer = peer.clone();
                let incarnation = peer.incarnation;
                self.known.insert(
                    incarnation,
                    Known {
                        peer,
                        advanced_at: now,
                    },
                );
            }
        }
    }

    /// Starts a gossip round and returns the recipients' addresses: a random few, and this router's witness.
    pub fn start_round<R: Rng>(&mut self, now: Millis, rng: &mut R) -> Vec<SocketAddr> {
        for own in self.past_incarnations.iter_mut().chain([&mut self.me]) {
            own.counter += 1;
        }
        self.known
            .retain(|_, known| now < known.advanced_at + FORGET_AFTER);
        let known = self.known.values().map(|known| known.peer.address);
        let all: BTreeSet<SocketAddr> = known.chain(self.listed.iter().copied()).collect();
        let others = all
            .into_iter()
            .filter(|address| *address != self.me.address);
        let mut recipients = others.sample(rng, FAN_OUT);
        let witness = self.me.witness.and_then(|witness| self.address_of(witness));
        if let Some(witness) = witness
            && !recipients.contains(&witness)
        {
            recipients.push(witness);
        }
        recipients
    }

    /// The content of a gossip message: this router first, then its earlier incarnations, then a few others whose
    /// counters increase.
    pub fn gossip<R: Rng>(&self, now: Millis, rng: &mut R) -> Vec<Peer> {
        let ill_after = self.ill_after();
        let well = self
            .known
            .values()
            .filter(|known| now <= known.advanced_at + ill_after);
        let mut peers = vec![self.me.clone()];
        peers.extend(
            self.past_incarnations
                .iter()
                .cloned()
                .sample(rng, GOSSIP_PEERS_MAX),
        );
        peers.extend(
            well.map(|known| known.peer.clone())
                .sample(rng, GOSSIP_PEERS_MAX),
        );
        peers
    }

    /// A peer by incarnation.
    pub fn peer(&self, incarnation: Incarnation) -> Option<&Peer> {
        self.known.get(&incarnation).map(|known| &known.peer)
    }

    /// A peer's address for other routers.
    pub fn address_of(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        self.peer(incarnation).map(|peer| peer.address)
    }

    fn ill_after(&self) -> Millis {
        ILL_AFTER + Millis(ILL_AFTER_PER_PEER.0 * self.known.len() as u64)
    }

    fn standing(&self, now: Millis, known: &Known) -> Standing {
        if now > known.advanced_at + self.ill_after() {
            Standing::Ill
        } else if known.peer.leaving || self.listed_leaving.contains(&known.peer.address) {
            Standing::Leaving
        } else {
            Standing::Well
        }
    }

    /// Whether a peer's counter increases and it is leaving, by its own report or by the host list.
    pub fn is_leaving(&self, now: Millis, incarnation: Incarnation) -> bool {
        let known = self.known.get(&incarnation);
        known.is_some_and(|known| self.standing(now, known) == Standing::Leaving)
    }

    /// Whether this router is leaving, by its own state or by the host list.
    pub fn is_self_leaving(&self) -> bool {
        self.me.leaving || self.listed_leaving.contains(&self.me.address)
    }

    /// Peers with the standing [`Standing::Well`]; of two processes at one address, the one whose counter increased
    /// last.
    pub fn well(&self, now: Millis) -> Vec<&Peer> {
        let mut by_address: BTreeMap<SocketAddr, &Known> = BTreeMap::new();
        for known in self.known.values() {
            if self.standing(now, known) != Standing::Well {
                continue;
            }
            let slot = by_address.entry(known.peer.address).or_insert(known);
            if slot.advanced_at < known.advanced_at {
                *slot = known;
            }
        }
        by_address.into_values().map(|known| &known.peer).collect()
    }

    /// The peer that this router should ask to be its witness: one that is well and matches `fits`, preferably in
    /// another hall of its region, else in its own hall, else in another region. `fits` rules out peers that failed.
    pub fn choose_witness(&self, now: Millis, fits: impl Fn(&&Peer) -> bool) -> Option<&Peer> {
        let name = self.me.incarnation.to_string();
        let well = self.well(now).into_iter().filter(fits);
        let ranked = rank(&name, well, |peer| peer.incarnation.0);
        let distance = |peer: &&Peer| {
            let same_region = peer.region == self.me.region;
            (!same_region, same_region && peer.hall == self.me.hall)
        };
        ranked.into_iter().min_by_key(distance)
    }

    /// The hosts that a customer should use, best first. `share` multiplies their number, for customers with much
    /// traffic.
    pub fn entry_hosts(&self, now: Millis, customer: &str, share: usize) -> Vec<&Peer> {
        let mut hosts = self.well(now);
        if !self.is_self_leaving() {
            hosts.push(&self.me);
        }
        let mut ranked = rank(customer, hosts.into_iter(), |peer| host_seed(peer.entry));
        ranked.truncate(ENTRY_HOSTS * share.max(1));
        ranked
    }

    /// All known peers with their standings, for status reports.
    pub fn peers(&self, now: Millis) -> Vec<(&Peer, Standing)> {
        let known = self.known.values();
        known
            .map(|known| (&known.peer, self.standing(now, known)))
            .collect()
    }
}

/// The seed is derived from the address, so that a host keeps its rank when its process is replaced.
fn host_seed(address: SocketAddr) -> u64 {
    super::score(&address.to_string(), 0)
}
