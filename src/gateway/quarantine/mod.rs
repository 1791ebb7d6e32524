//! Requests that were beside crashes of targets, over all routers, and those that are held back for it.
//!
//! Owns what is known of each such request: the crashes, and whether it was answered well anywhere, which clears it.
//! Both only ever add to what is known, so that reports may come late, twice and in any order, and all routers
//! come to the same view. Relies on its caller for the time, for the word that a target has crashed, and for
//! telling others; which crashes count is [`decision::quarantine`](super::decision::quarantine)'s rule.
//!
//! Bounded whatever is sent: a customer whose requests crash many targets pushes its own out first.

mod answered;
mod held;
mod report;

use std::collections::{BTreeMap, HashMap, VecDeque};

use self::answered::Answered;
pub use self::held::{Held, text};
pub use self::report::{Report, Row};
use super::decision::quarantine::{self, Crash};
use super::fingerprint::Fingerprint;
use crate::units::Millis;

/// How long a request's crashes, and its being cleared, are remembered after the last. It is sent again after that,
/// since whoever runs the targets may have mended them; if not, it costs as many targets as the rule allows, each
/// ten minutes.
pub const REMEMBERED: Millis = Millis(600_000);
/// Requests of which crashes are known at most: a hundred bytes each.
const SUSPECTS_MAX: usize = 1_024;
/// Crashes that are kept of a request: as many as any rule asks for.
const CRASHES_MAX: usize = 5;
/// How long after a request broke off its target's crash may become known: a target that starts again under its id
/// is back within seconds, and its entry is read each half second.
const CONFIRMED_WITHIN: Millis = Millis(5_000);
/// Requests that broke off and targets that crashed which are remembered for that time, at most.
const UNCONFIRMED_MAX: usize = 256;
/// Rounds of telling others in which a change is told. Each reaches three routers; where all do the same, one in ten
/// thousand is not told by nine messages, and reads it in the store.
const TELLINGS: u32 = 3;
/// Requests that are told of in one message: half a kilobyte, so that telling costs under 5 KB a second whatever is
/// sent.
const TOLD_MAX: usize = 12;

/// Requests in a router's row: some kilobytes, far below what a record may have.
const ROW_MAX: usize = 64;

/// A request that broke off at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Hash of the target's instance.
    pub instance: u64,
    /// When it was sent there.
    pub sent: Millis,
}

/// Why a request is held back, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Crashes in a row that nothing else explains.
    pub crashes: usize,
    /// The last of them.
    pub last: Millis,
}

impl Hold {
    /// How long it is still held back.
    pub fn left(&self, now: Millis) -> Millis {
        (self.last + REMEMBERED).saturating_sub(now)
    }
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    /// When it was answered well; its crashes say nothing then.
    answered: Option<Millis>,
    /// Whether this router has seen one of its crashes itself.
    is_own: bool,
    tellings: u32,
}

impl Suspect {
    fn last(&self) -> Millis {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.max(self.answered).unwrap_or_default()
    }

    /// Adds a crash; whether it was not known.
    fn add(&mut self, crash: Crash) -> bool {
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.instance == crash.instance);
        if self.answered.is_some() || is_known {
            return false;
        }
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(place, crash);
        if self.crashes.len() > CRASHES_MAX {
            self.drop_least();
        }
        true
    }

    /// Drops the oldest crash that does not lengthen the row, so that many at once do not push out those before.
    fn drop_least(&mut self) {
        let row = quarantine::successive_crashes(self.crashes.iter().copied());
        let least = self.crashes.iter().position(|crash| !row.contains(crash));
        self.crashes.remove(least.unwrap_or(0));
    }

    fn clear(&mut self, at: Millis) {
        self.answered = self.answered.max(Some(at));
        self.crashes.clear();
    }

    fn in_a_row(&self) -> usize {
        quarantine::in_a_row(self.crashes.iter().copied())
    }

    fn was_beside(&self, instance: u64) -> bool {
        self.crashes.iter().any(|crash| crash.instance == instance)
    }
}

/// What is known of requests that were beside crashes.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    answered: Answered,
    /// Requests that broke off at targets of which no crash is known, and when.
    unconfirmed: VecDeque<(Millis, Broken)>,
    /// Targets that have crashed of late.
    crashed: VecDeque<(Millis, u64)>,
    holds: BTreeMap<Fingerprint, Hold>,
}

impl Quarantine {
    /// Why a request is held back, if it is.
    pub fn hold(&self, now: Millis, fingerprint: Fingerprint) -> Option<Hold> {
        let hold = self.holds.get(&fingerprint).copied()?;
        (hold.left(now) > Millis::ZERO).then_some(hold)
    }

    /// All requests that are held back.
    pub fn holds(&self) -> &BTreeMap<Fingerprint, Hold> {
        &self.holds
    }

    /// Notes a request that broke off; whether its target is known to have crashed.
    pub fn note_broken(&mut self, now: Millis, broken: Broken) -> bool {
        let has_crashed = self
            .crashed
            .iter()
            .any(|(_, instance)| *instance == broken.instance);
        if has_crashed {
            self.charge(now, now, broken);
        } else {
            push(&mut self.unconfirmed, (now, broken));
        }
        has_crashed
    }

    /// Notes that a target has crashed. The requests that broke off there of late are returned.
    pub fn note_crash(&mut self, now: Millis, instance: u64) -> Vec<Broken> {
        self.crashed
            .retain(|(at, _)| now.saturating_sub(*at) < CONFIRMED_WITHIN);
        push(&mut self.crashed, (now, instance));
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let is_recent = |at: Millis| now.saturating_sub(at) < CONFIRMED_WITHIN;
        let recent = unconfirmed.into_iter().filter(|(at, _)| is_recent(*at));
        let (confirmed, rest): (Vec<_>, _) =
            recent.partition(|(_, broken)| broken.instance == instance);
        self.unconfirmed = rest.into();
        for (at, broken) in &confirmed {
            self.charge(now, *at, *broken);
        }
        confirmed.into_iter().map(|(_, broken)| broken).collect()
    }

    fn charge(&mut self, now: Millis, at: Millis, broken: Broken) {
        let crash = Crash {
            instance: broken.instance,
            sent: broken.sent,
            at,
        };
        let answered = self.answered(now, broken.fingerprint);
        let suspect = self.suspect(now, broken.fingerprint);
        if let Some(at) = answered {
            suspect.clear(at);
        }
        if suspect.add(crash) {
            suspect.is_own = true;
            suspect.tellings = 0;
        }
        self.judge(now);
    }

    /// Notes that a request was answered well.
    pub fn note_answered(&mut self, now: Millis, fingerprint: Fingerprint) {
        self.answered.note(now, fingerprint);
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if suspect.answered.is_none() {
            suspect.clear(now);
            suspect.tellings = 0;
            self.judge(now);
        }
    }

    /// Takes in what another router tells of a request.
    pub fn merge(&mut self, now: Millis, report: &Report) {
        let ages = report.crashes.iter().map(|crash| crash.ago);
        let youngest = ages.chain(report.answered_ago).min();
        if youngest.is_none_or(|ago| ago >= REMEMBERED) {
            return;
        }
        let ago = |ago: Millis| now.saturating_sub(ago);
        let told = report.answered_ago.map(ago);
        let answered = told.max(self.answered(now, report.fingerprint));
        let suspect = self.suspect(now, report.fingerprint);
        let mut is_change = false;
        if let Some(at) = answered {
            is_change = suspect.answered.is_none();
            suspect.clear(at);
        }
        for crash in report.crashes.iter().take(CRASHES_MAX) {
            is_change |= suspect.add(Crash {
                instance: crash.instance,
                sent: ago(crash.sent_ago),
                at: ago(crash.ago),
            });
        }
        if is_change {
            suspect.tellings = 0;
            self.judge(now);
        }
    }

    /// When a request was answered well, as far as that still clears it.
    fn answered(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        let at = self.answered.last(fingerprint)?;
        (now.saturating_sub(at) < REMEMBERED).then_some(at)
    }

    /// What is known of a request; room is made for one of which nothing is.
    fn suspect(&mut self, now: Millis, fingerprint: Fingerprint) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= SUSPECTS_MAX {
            self.forget(now);
            self.make_room();
        }
        self.suspects.entry(fingerprint).or_default()
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Millis) {
        self.suspects
            .retain(|_, suspect| now.saturating_sub(suspect.last()) < REMEMBERED);
        self.judge(now);
    }

    /// Forgets the least of the customer of which most is known, so that nobody pushes out another's.
    fn make_room(&mut self) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let mut of_customer: HashMap<u64, usize> = HashMap::new();
        for fingerprint in self.suspects.keys() {
            *of_customer.entry(fingerprint.customer).or_default() += 1;
        }
        let most = of_customer.iter().max_by_key(|(_, count)| **count);
        let most = most.map(|(customer, _)| *customer);
        let of_most = self
            .suspects
            .iter()
            .filter(|(fingerprint, _)| Some(fingerprint.customer) == most);
        let least = of_most.min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.last()));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Judges anew which requests are held back. A request that was not beside enough crashes of its own is not
    /// compared with others, so this costs as much as the few that were.
    fn judge(&mut self, now: Millis) {
        let suspects = self.suspects.iter();
        let in_a_row: Vec<(&Fingerprint, &Suspect, usize)> = suspects
            .map(|(fingerprint, suspect)| (fingerprint, suspect, suspect.in_a_row()))
            .filter(|(_, _, count)| quarantine::is_held(*count))
            .collect();
        let is_explained = |own: &Fingerprint, count: usize, crash: &Crash| {
            in_a_row.iter().any(|(other, suspect, others)| {
                *other != own
                    && suspect.was_beside(crash.instance)
                    && quarantine::is_explained(count, *others)
            })
        };
        let mut holds = BTreeMap::new();
        for (fingerprint, suspect, count) in &in_a_row {
            let left = suspect.crashes.iter().copied();
            let left = left.filter(|crash| !is_explained(fingerprint, *count, crash));
            let hold = Hold {
                crashes: quarantine::in_a_row(left),
                last: suspect.last(),
            };
            if quarantine::is_held(hold.crashes) && hold.left(now) > Millis::ZERO {
                holds.insert(**fingerprint, hold);
            }
        }
        self.holds = holds;
    }

    /// What is to be told to other routers in this round.
    pub fn tell(&mut self, now: Millis) -> Vec<Report> {
        let suspects = self.suspects.iter_mut();
        let mut untold: Vec<(&Fingerprint, &mut Suspect)> = suspects
            .filter(|(_, suspect)| suspect.tellings < TELLINGS)
            .collect();
        // What was told least goes first, then what is nearest to being held back.
        untold.sort_by_key(|(_, suspect)| {
            let crashes = std::cmp::Reverse(suspect.crashes.len());
            (suspect.tellings, crashes, std::cmp::Reverse(suspect.last()))
        });
        let told = untold.into_iter().take(TOLD_MAX);
        let told = told.map(|(fingerprint, suspect)| {
            suspect.tellings += 1;
            report(now, *fingerprint, suspect)
        });
        told.collect()
    }

    /// Has the requests that are held back told once more, for routers that have started since.
    pub fn tell_holds_again(&mut self) {
        for fingerprint in self.holds.keys() {
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                suspect.tellings = suspect.tellings.min(TELLINGS - 1);
            }
        }
    }

    /// The requests that are held back and of whose crashes this router has seen one itself, the most recent first.
    pub fn own_holds(&self, now: Millis) -> Vec<Report> {
        let mut own: Vec<(&Fingerprint, &Suspect)> = self
            .holds
            .keys()
            .filter_map(|fingerprint| Some((fingerprint, self.suspects.get(fingerprint)?)))
            .filter(|(_, suspect)| suspect.is_own)
            .collect();
        own.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.last()));
        own.truncate(ROW_MAX);
        own.iter()
            .map(|(fingerprint, suspect)| report(now, **fingerprint, suspect))
            .collect()
    }

    /// Notes that a row of this router's last process has a request, which stays there for as long as it is held.
    pub fn adopt(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.is_own = true;
        }
    }
}

fn push<T>(recent: &mut VecDeque<T>, one: T) {
    recent.push_back(one);
    if recent.len() > UNCONFIRMED_MAX {
        recent.pop_front();
    }
}

fn report(now: Millis, fingerprint: Fingerprint, suspect: &Suspect) -> Report {
    let ago = |at: Millis| now.saturating_sub(at);
    let crashes = suspect.crashes.iter().map(|crash| report::Crash {
        instance: crash.instance,
        sent_ago: ago(crash.sent),
        ago: ago(crash.at),
    });
    Report {
        fingerprint,
        crashes: crashes.collect(),
        answered_ago: suspect.answered.map(ago),
    }
}
