//! The configured targets with this router's view of each, and the choice of a target for a request.
//!
//! A request goes to the less loaded of two targets drawn at random. Routers do not see each other's dispatches and
//! load reports lag, so any rule that always prefers one target would send too much there at once.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use rand::{Rng, RngExt};

use crate::ejection::{self, Health, Outcome};
use crate::router::intent::{Kind, Target};
use crate::units::{Millis, Offset};

/// A load report older than this is ignored.
const REPORT_MAX_AGE: Millis = Millis(5_000);

/// A target's index in the pool of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u32);

/// The requirements of a request on a target.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// Engine or service.
    pub kind: Kind,
    /// Model or service name.
    pub serves: &'a str,
    /// Targets that this request has already tried.
    pub tried: &'a [TargetKey],
}

/// A chosen target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// Address of the target.
    pub address: SocketAddr,
    /// Fence sent with the request: the version of the target's object.
    pub fence: Offset,
}

/// A target and its state as this router sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Version of the target's configuration object, sent with requests so that the target can reject outdated ones.
    pub fence: Offset,
    /// The target's configuration object.
    pub spec: Target,
    /// Requests from this router that it is running.
    pub in_flight: u32,
    /// Recent outcomes of the target, and whether it is ejected.
    pub health: Health,
    listed: bool,
    leaving: bool,
    /// Requests from elsewhere in the target's last load report.
    reported_others: u32,
    reported_at: Option<Millis>,
}

impl Member {
    fn load(&self, now: Millis) -> f64 {
        let is_fresh = self
            .reported_at
            .is_some_and(|at| now <= at + REPORT_MAX_AGE);
        let others = if is_fresh { self.reported_others } else { 0 };
        f64::from(self.in_flight + others)
    }

    /// Whether the target gets no new requests for a reason other than its health: it is leaving, draining or not
    /// configured.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.spec.draining || !self.listed
    }

    fn has_slot(&self, now: Millis) -> bool {
        self.load(now) < f64::from(self.spec.slots)
    }
}

/// All targets, grouped by what they serve.
#[derive(Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    names: HashMap<String, TargetKey>,
    groups: BTreeMap<(Kind, String), Vec<TargetKey>>,
}

impl Pool {
    /// Replaces the configured targets: name, version, object. A target that is no longer configured gets no new
    /// requests, but keeps its key for the requests that it is still running.
    pub fn update<'a>(&mut self, targets: impl Iterator<Item = (&'a str, Offset, &'a Target)>) {
        for member in &mut self.members {
            member.listed = false;
        }
        for (name, version, target) in targets {
            let key = self.find_or_add(name, target);
            let member = &mut self.members[key.0 as usize];
            member.listed = true;
            // Only a newer version replaces the object and clears the leaving mark.
            if version > member.fence {
                member.fence = version;
                member.spec = target.clone();
                member.leaving = false;
            }
        }
        self.regroup();
    }

    fn find_or_add(&mut self, name: &str, target: &Target) -> TargetKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = TargetKey(u32::try_from(self.members.len()).expect("fewer than 2^32 targets"));
        self.members.push(Member {
            fence: Offset::ZERO,
            spec: target.clone(),
            in_flight: 0,
            health: Health::default(),
            listed: true,
            leaving: false,
            reported_others: 0,
            reported_at: None,
        });
        self.names.insert(name.to_owned(), key);
        key
    }

    fn regroup(&mut self) {
        self.groups.clear();
        for (index, member) in (0..).zip(&self.members) {
            if member.listed {
                let group = (member.spec.kind, member.spec.serves.clone());
                self.groups.entry(group).or_default().push(TargetKey(index));
            }
        }
    }

    /// The target with this key.
    pub fn member(&self, key: TargetKey) -> &Member {
        &self.members[key.0 as usize]
    }

    /// All targets.
    pub fn members(&self) -> impl Iterator<Item = (TargetKey, &Member)> {
        (0..).map(TargetKey).zip(&self.members)
    }

    /// The configured target at an address.
    pub fn find(&self, address: SocketAddr) -> Option<TargetKey> {
        let mut members = self.members();
        members
            .find(|(_, member)| member.listed && member.spec.address == address)
            .map(|(key, _)| key)
    }

    /// Whether a target that is not leaving serves this, healthy or not.
    pub fn serves(&self, kind: Kind, name: &str) -> bool {
        self.group(kind, name)
            .iter()
            .any(|key| !self.member(*key).is_leaving())
    }

    fn group(&self, kind: Kind, name: &str) -> &[TargetKey] {
        let group = self.groups.get(&(kind, name.to_owned()));
        group.map_or(&[], Vec::as_slice)
    }

    /// Marks the target at this address as leaving, or as available again, by the host list.
    pub fn set_leaving(&mut self, address: SocketAddr, leaving: bool) {
        for member in &mut self.members {
            if member.spec.address == address {
                member.leaving = leaving;
            }
        }
    }

    /// Records a target's load report: the number of requests that it is running for all routers.
    pub fn report(&mut self, now: Millis, key: TargetKey, running: u32) {
        let member = &mut self.members[key.0 as usize];
        member.reported_others = running.saturating_sub(member.in_flight);
        member.reported_at = Some(now);
    }

    /// Chooses a target with a free slot; `None` if there is none.
    pub fn choose<R: Rng>(
        &self,
        now: Millis,
        query: &TargetQuery<'_>,
        rng: &mut R,
    ) -> Option<Choice> {
        let candidates = self.candidates(now, query);
        let (a, b) = (draw(&candidates, rng)?, draw(&candidates, rng)?);
        let target = less_loaded(a, b, rng);
        let member = self.member(target);
        Some(Choice {
            target,
            address: member.spec.address,
            fence: member.fence,
        })
    }

    fn candidates(&self, now: Millis, query: &TargetQuery<'_>) -> Vec<Candidate> {
        let group = self.group(query.kind, query.serves);
        let fits = |key: &&TargetKey| {
            let member = self.member(**key);
            !member.is_leaving()
                && !member.health.is_ejected(now)
                && member.has_slot(now)
                && !query.tried.contains(*key)
        };
        let candidate = |key: &TargetKey| {
            let member = self.member(*key);
            Candidate {
                target: *key,
                utilization: member.load(now) / f64::from(member.spec.slots.max(1)),
            }
        };
        group.iter().filter(fits).map(candidate).collect()
    }

    /// Records that a request was dispatched to a target.
    pub fn dispatched(&mut self, key: TargetKey) {
        self.members[key.0 as usize].in_flight += 1;
    }

    /// Records that a request to a target has ended, with the outcome if it counts for the target's health.
    pub fn finished(&mut self, now: Millis, key: TargetKey, outcome: Option<Outcome>) {
        let member = &mut self.members[key.0 as usize];
        member.in_flight = member.in_flight.saturating_sub(1);
        let Some(outcome) = outcome else {
            return;
        };
        if member.health.record(outcome) {
            let group = (member.spec.kind, member.spec.serves.clone());
            if self.may_eject(now, &group) {
                self.members[key.0 as usize].health.eject(now);
            }
        }
    }

    fn may_eject(&self, now: Millis, group: &(Kind, String)) -> bool {
        let group = self.groups.get(group).map_or(&[][..], Vec::as_slice);
        let ejected = group
            .iter()
            .filter(|key| self.member(**key).health.is_ejected(now));
        ejection::leaves_enough(ejected.count(), group.len())
    }

    /// Estimated throughput of a group in requests per second: slots over mean request time, 1 s for a target
    /// without a mean.
    pub fn rate(&self, now: Millis, kind: Kind, serves: &str) -> f64 {
        let group = self.group(kind, serves);
        let usable = group
            .iter()
            .map(|key| self.member(*key))
            .filter(|member| !member.is_leaving() && !member.health.is_ejected(now));
        usable
            .map(|member| {
                let mean_ms = member.health.mean_time().unwrap_or(1_000.0).max(1.0);
                f64::from(member.spec.slots) * 1_000.0 / mean_ms
            })
            .sum()
    }
}

/// A target that fits the request.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    target: TargetKey,
    /// Estimated load as a fraction of its slots.
    utilization: f64,
}

fn draw<R: Rng>(candidates: &[Candidate], rng: &mut R) -> Option<Candidate> {
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[rng.random_range(0..candidates.len())])
}

/// The less loaded of two; a tie is broken at random, so that routers do not all choose the first.
fn less_loaded<R: Rng>(a: Candidate, b: Candidate, rng: &mut R) -> TargetKey {
    let takes_second = match b.utilization.total_cmp(&a.utilization) {
        std::cmp::Ordering::Less => true,
        std::cmp::Ordering::Equal => rng.random_range(0..=1) == 0,
        std::cmp::Ordering::Greater => false,
    };
    if takes_second { b.target } else { a.target }
}
