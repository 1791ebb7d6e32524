//! All targets of the configuration, with what this router knows of each, and the choice among them.
//!
//! A request goes to the less loaded of two targets drawn at random. Routers do not see each other's
//! dispatches and loads lag, so every choice that prefers one place sends too much there at once.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use rand::{Rng, RngExt};

use crate::ejection::{self, Health, Outcome};
use crate::router::intent::{Kind, Target};
use crate::units::{Millis, Offset};

/// A load report older than this counts for nothing.
const REPORT_KEEP: Millis = Millis(5_000);

/// A target's place in the pool of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u32);

/// What a request asks of a target.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    /// Engine or service.
    pub kind: Kind,
    /// Model or service name.
    pub serves: &'a str,
    /// Targets that this request has tried.
    pub tried: &'a [TargetKey],
}

/// A chosen target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// Fence of the order.
    pub fence: Offset,
}

/// A target with what is known of it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Version of its object.
    pub fence: Offset,
    /// Its object.
    pub spec: Target,
    /// Requests of ours that it has.
    pub in_flight: u32,
    /// How it has behaved.
    pub health: Health,
    listed: bool,
    leaving: bool,
    others: u32,
    reported: Option<Millis>,
}

impl Member {
    fn load(&self, now: Millis) -> f64 {
        let fresh = self.reported.is_some_and(|at| now <= at + REPORT_KEEP);
        let others = if fresh { self.others } else { 0 };
        f64::from(self.in_flight + others)
    }

    /// Whether it gets no new work for a reason that is not its health.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.spec.draining || !self.listed
    }

    fn has_slot(&self, now: Millis) -> bool {
        self.load(now) < f64::from(self.spec.slots)
    }
}

/// The pool.
#[derive(Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    names: HashMap<String, TargetKey>,
    groups: BTreeMap<(Kind, String), Vec<TargetKey>>,
}

impl Pool {
    /// Takes over the targets in force: name, version, object. Those no longer named get no work,
    /// but keep their place for the requests that they still have.
    pub fn update<'a>(&mut self, targets: impl Iterator<Item = (&'a str, Offset, &'a Target)>) {
        for member in &mut self.members {
            member.listed = false;
        }
        for (name, version, target) in targets {
            let key = self.place(name, target);
            let member = &mut self.members[key.0 as usize];
            member.listed = true;
            // A mark is only ever removed by a newer one.
            if version > member.fence {
                member.fence = version;
                member.spec = target.clone();
                member.leaving = false;
            }
        }
        self.regroup();
    }

    fn place(&mut self, name: &str, target: &Target) -> TargetKey {
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
            others: 0,
            reported: None,
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

    /// A target's state.
    pub fn member(&self, key: TargetKey) -> &Member {
        &self.members[key.0 as usize]
    }

    /// All targets.
    pub fn members(&self) -> impl Iterator<Item = (TargetKey, &Member)> {
        (0..).map(TargetKey).zip(&self.members)
    }

    /// The target at an address.
    pub fn find(&self, address: SocketAddr) -> Option<TargetKey> {
        let mut members = self.members();
        members
            .find(|(_, member)| member.listed && member.spec.address == address)
            .map(|(key, _)| key)
    }

    /// Whether anything serves this, leaving or ill ones apart.
    pub fn serves(&self, kind: Kind, name: &str) -> bool {
        self.group(kind, name)
            .iter()
            .any(|key| !self.member(*key).is_leaving())
    }

    fn group(&self, kind: Kind, name: &str) -> &[TargetKey] {
        let group = self.groups.get(&(kind, name.to_owned()));
        group.map_or(&[], Vec::as_slice)
    }

    /// The host list says that the target at this address leaves, or is live again.
    pub fn set_leaving(&mut self, address: SocketAddr, leaving: bool) {
        for member in &mut self.members {
            if member.spec.address == address {
                member.leaving = leaving;
            }
        }
    }

    /// A target's own report: requests that it has in all.
    pub fn report(&mut self, now: Millis, key: TargetKey, running: u32) {
        let member = &mut self.members[key.0 as usize];
        member.others = running.saturating_sub(member.in_flight);
        member.reported = Some(now);
    }

    /// Chooses a target with a free slot; `None` where there is none now.
    pub fn choose<R: Rng>(&self, now: Millis, want: &Want<'_>, rng: &mut R) -> Option<Choice> {
        let candidates = self.candidates(now, want);
        let (a, b) = (draw(&candidates, rng)?, draw(&candidates, rng)?);
        let target = less_loaded(a, b, rng);
        let member = self.member(target);
        Some(Choice {
            target,
            address: member.spec.address,
            fence: member.fence,
        })
    }

    fn candidates(&self, now: Millis, want: &Want<'_>) -> Vec<Candidate> {
        let group = self.group(want.kind, want.serves);
        let fits = |key: &&TargetKey| {
            let member = self.member(**key);
            !member.is_leaving()
                && !member.health.is_ejected(now)
                && member.has_slot(now)
                && !want.tried.contains(*key)
        };
        let candidate = |key: &TargetKey| {
            let member = self.member(*key);
            Candidate {
                target: *key,
                busy: member.load(now) / f64::from(member.spec.slots.max(1)),
            }
        };
        group.iter().filter(fits).map(candidate).collect()
    }

    /// A request goes to a target.
    pub fn dispatched(&mut self, key: TargetKey) {
        self.members[key.0 as usize].in_flight += 1;
    }

    /// A request has come back from a target.
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
        let out = group
            .iter()
            .filter(|key| self.member(**key).health.is_ejected(now));
        ejection::leaves_enough(out.count(), group.len())
    }

    /// Requests a second that a group finishes, as far as known: slots over average time.
    pub fn rate(&self, now: Millis, kind: Kind, serves: &str) -> f64 {
        let group = self.group(kind, serves);
        let usable = group
            .iter()
            .map(|key| self.member(*key))
            .filter(|member| !member.is_leaving() && !member.health.is_ejected(now));
        usable
            .map(|member| {
                let whole = member.health.mean_time().unwrap_or(1_000.0).max(1.0);
                f64::from(member.spec.slots) * 1_000.0 / whole
            })
            .sum()
    }
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    target: TargetKey,
    /// Requests that it is thought to have, as a share of its slots.
    busy: f64,
}

fn draw<R: Rng>(candidates: &[Candidate], rng: &mut R) -> Option<Candidate> {
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[rng.random_range(0..candidates.len())])
}

/// The less loaded of two; a tie is drawn, lest all routers agree on the first.
fn less_loaded<R: Rng>(a: Candidate, b: Candidate, rng: &mut R) -> TargetKey {
    let takes_second = match b.busy.total_cmp(&a.busy) {
        std::cmp::Ordering::Less => true,
        std::cmp::Ordering::Equal => rng.random_range(0..=1) == 0,
        std::cmp::Ordering::Greater => false,
    };
    if takes_second { b.target } else { a.target }
}
