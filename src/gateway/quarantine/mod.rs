//! Tracks requests that were in flight at targets when those crashed, and the blocks of their prompts, across all
//! routers, and quarantines the likely causes.
//!
//! For each such request or block it owns the crashes, and when it last succeeded anywhere, which clears it. Both are
//! only ever added to, so reports may arrive late, duplicated and in any order, and all routers converge on the same
//! state. It relies on its caller for the time, for detecting crashes of targets, and for sending reports to other
//! routers. [`decision::quarantine`](super::decision::quarantine) defines which crashes count.
//!
//! Memory is bounded whatever is sent: a customer whose requests crash many targets evicts its own entries first.

mod answered;
mod held;
mod report;
mod suspect;

use std::collections::{BTreeMap, HashMap, VecDeque};

use self::answered::Answered;
pub use self::held::{QuarantinedRequest, text};
pub use self::report::{Report, Row};
use self::suspect::{CRASHES_MAX, Suspect};
use super::decision::quarantine::{self, Crash, Suspicion};
use super::fingerprint::{Fingerprint, Kind};
use crate::units::Millis;

/// How long the crashes and the success of a request are kept after the last of them. After that, the request is sent
/// to targets again, since the targets may have been fixed. If they have not been, it crashes as many targets as the
/// rule allows every ten minutes.
pub const RETENTION: Millis = Millis(600_000);
/// Maximum number of requests and blocks with known crashes, about 100 bytes each.
const SUSPECTS_MAX: usize = 2_048;
/// How long after an attempt broke off the crash of its target may still be detected: a target that restarts under its
/// id is back within seconds, and its entry is read every half second.
const CONFIRMATION_WINDOW: Millis = Millis(5_000);
/// Maximum number of attempts that broke off, and of crashed targets, that are kept for [`CONFIRMATION_WINDOW`].
const UNCONFIRMED_MAX: usize = 1_024;
/// Number of gossip rounds in which a change is reported. Each round reaches three routers. If all routers do the same,
/// one in ten thousand gets none of the nine messages; it reads the change from the store.
const GOSSIP_ROUNDS: u32 = 3;
/// Maximum number of reports in one message: half a kilobyte, so that gossip takes less than 5 kB a second whatever is
/// sent.
const REPORTS_MAX: usize = 12;

/// Maximum number of requests in a router's row: a few kilobytes, far below the size limit of a record.
const ROW_REPORTS_MAX: usize = 64;

/// An attempt that broke off at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenAttempt {
    /// The request, or a block of its prompt.
    pub fingerprint: Fingerprint,
    /// Hash of the target's instance.
    pub instance: u64,
    /// When the request was sent to the target.
    pub sent: Millis,
}

/// Why a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Consecutive crashes that no other request explains.
    pub crashes: usize,
    /// Time of the last crash.
    pub last: Millis,
}

impl Hold {
    /// Remaining time of the quarantine.
    pub fn left(&self, now: Millis) -> Millis {
        (self.last + RETENTION).saturating_sub(now)
    }
}

/// State of all requests that were in flight at crashing targets, and of the blocks of their prompts.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    answered: Answered,
    /// Attempts that broke off at targets without a known crash, and when.
    unconfirmed: VecDeque<(Millis, BrokenAttempt)>,
    /// Targets that crashed recently, and when.
    crashed: VecDeque<(Millis, u64)>,
    holds: BTreeMap<Fingerprint, Hold>,
    /// Blocks with enough successive crashes to be the cause, held or not.
    suspected_blocks: Vec<Fingerprint>,
    /// When this router last sent a request with a quarantined block, by block.
    trials: BTreeMap<Fingerprint, Millis>,
    /// When this router began to track crashes.
    begun: Option<Millis>,
    /// When a prompt with a shared block was last answered here.
    last_answer: Millis,
}

impl Quarantine {
    /// Whether a request is sent after all, given itself and its blocks, and this router's rank among those that may send
    /// it. If so, the next one is due later.
    pub fn begin_trial(&mut self, now: Millis, request: &[Fingerprint], rank: usize) -> bool {
        let held = self.held_of(now, request);
        let is_early = self.is_early_trial(&held, request);
        let is_due = quarantine::is_trial_due(now, &held, is_early, rank);
        if is_due {
            self.trials
                .retain(|other, _| self.holds.contains_key(other));
            let holds = self.holds.keys().filter(|own| request.contains(own));
            self.trials.extend(holds.map(|own| (*own, now)));
        }
        is_due
    }

    /// How long a request is refused at least, given itself and its blocks; `None` if nothing of it is quarantined.
    pub fn refused_for(&self, now: Millis, request: &[Fingerprint]) -> Option<Millis> {
        let first = request.iter().find_map(|own| self.hold(now, *own))?;
        let held = self.held_of(now, request);
        let left = first.left(now);
        Some(match self.is_early_trial(&held, request) {
            true => left.min(quarantine::EARLY_TRIAL_INTERVAL),
            false => left,
        })
    }

    fn is_early_trial(&self, held: &[quarantine::Held], request: &[Fingerprint]) -> bool {
        let others = request
            .iter()
            .filter(|own| own.kind() == Kind::Block && !self.holds.contains_key(own));
        let others = others.filter_map(|other| self.suspects.get(other));
        let crashes = others.map(Suspect::in_a_row).max().unwrap_or(0);
        quarantine::is_early_trial(held, crashes)
    }

    /// What is quarantined of a request.
    fn held_of(&self, now: Millis, request: &[Fingerprint]) -> Vec<quarantine::Held> {
        let held = request.iter().filter_map(|own| {
            let hold = self.hold(now, *own)?;
            let suspect = self.suspects.get(own)?;
            let trial = self.trials.get(own).copied().unwrap_or_default();
            Some(quarantine::Held {
                kind: own.kind(),
                last: hold.last.max(trial),
                longest_gap: suspect.longest_gap(),
                shared: self.shared_crashes(suspect, request),
                is_unanswered: self.is_unanswered_since(suspect.crashes.first()?.at),
            })
        });
        held.collect()
    }

    /// Whether this router was there at a time, and has seen no prompt answered since.
    fn is_unanswered_since(&self, at: Millis) -> bool {
        self.last_answer < at && self.begun.is_some_and(|begun| begun <= at)
    }

    /// The greatest number of a suspect's crashes at which one suspected block was involved that the request does not
    /// have.
    fn shared_crashes(&self, suspect: &Suspect, request: &[Fingerprint]) -> usize {
        let others = self.suspected_blocks.iter();
        let others = others.filter(|other| !request.contains(other));
        let others = others.filter_map(|other| self.suspects.get(other));
        let shared = others.map(|other| {
            let crashes = suspect.crashes.iter();
            let is_shared = |crash: &&Crash| other.was_in_flight_at(crash.instance);
            crashes.filter(is_shared).count()
        });
        shared.max().unwrap_or(0)
    }

    /// Why a request is quarantined, if it is.
    pub fn hold(&self, now: Millis, fingerprint: Fingerprint) -> Option<Hold> {
        let hold = self.holds.get(&fingerprint).copied()?;
        (hold.left(now) > Millis::ZERO).then_some(hold)
    }

    /// All quarantined requests.
    pub fn holds(&self) -> &BTreeMap<Fingerprint, Hold> {
        &self.holds
    }

    /// Records an attempt that broke off; returns whether its target is known to have crashed.
    pub fn note_broken(&mut self, now: Millis, broken: BrokenAttempt) -> bool {
        self.begun.get_or_insert(now);
        let has_crashed = self
            .crashed
            .iter()
            .any(|(_, instance)| *instance == broken.instance);
        if has_crashed {
            self.attribute_crash(now, now, broken);
            self.update_holds(now);
        } else {
            push_bounded(&mut self.unconfirmed, (now, broken));
        }
        has_crashed
    }

    /// Records the crash of a target; returns the attempts that recently broke off there.
    pub fn note_crash(&mut self, now: Millis, instance: u64) -> Vec<BrokenAttempt> {
        self.crashed
            .retain(|(at, _)| now.saturating_sub(*at) < CONFIRMATION_WINDOW);
        push_bounded(&mut self.crashed, (now, instance));
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let is_recent = |at: Millis| now.saturating_sub(at) < CONFIRMATION_WINDOW;
        let recent = unconfirmed.into_iter().filter(|(at, _)| is_recent(*at));
        let (confirmed, rest): (Vec<_>, _) =
            recent.partition(|(_, broken)| broken.instance == instance);
        self.unconfirmed = rest.into();
        for (at, broken) in &confirmed {
            self.attribute_crash(now, *at, *broken);
        }
        self.update_holds(now);
        confirmed.into_iter().map(|(_, broken)| broken).collect()
    }

    /// Adds a crash to the suspect of an attempt that broke off.
    fn attribute_crash(&mut self, now: Millis, at: Millis, broken: BrokenAttempt) {
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
        if suspect.add_crash(crash) {
            suspect.has_own_crash = true;
            suspect.rounds_reported = 0;
        }
    }

    /// Records that a request, or one with a block, succeeded.
    pub fn note_answered(&mut self, now: Millis, fingerprint: Fingerprint) {
        if fingerprint.kind() == Kind::Block {
            self.last_answer = self.last_answer.max(now);
        }
        self.answered.record(now, fingerprint);
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if suspect.clear(now) {
            suspect.rounds_reported = 0;
            self.update_holds(now);
        }
    }

    /// Merges another router's report on a request or block.
    pub fn merge(&mut self, now: Millis, report: &Report) {
        self.merge_all(now, std::slice::from_ref(report));
    }

    /// Merges the reports of a message. The holds are computed once for all of them.
    pub fn merge_all(&mut self, now: Millis, reports: &[Report]) {
        self.begun.get_or_insert(now);
        let mut is_change = false;
        for report in reports {
            is_change |= self.merge_one(now, report);
        }
        if is_change {
            self.update_holds(now);
        }
    }

    /// Merges a report; returns whether it changes anything.
    fn merge_one(&mut self, now: Millis, report: &Report) -> bool {
        let ages = report.crashes.iter().map(|crash| crash.ago);
        let youngest = ages.chain(report.answered_ago).min();
        if youngest.is_none_or(|ago| ago >= RETENTION) {
            return false;
        }
        let ago = |ago: Millis| now.saturating_sub(ago);
        let reported = report.answered_ago.map(ago);
        let answered = reported.max(self.answered(now, report.fingerprint));
        let suspect = self.suspect(now, report.fingerprint);
        let mut is_change = false;
        if let Some(at) = answered {
            is_change = suspect.clear(at);
        }
        for crash in report.crashes.iter().take(CRASHES_MAX) {
            is_change |= suspect.add_crash(Crash {
                instance: crash.instance,
                sent: ago(crash.sent_ago),
                at: ago(crash.ago),
            });
        }
        if is_change {
            suspect.rounds_reported = 0;
        }
        is_change
    }

    /// When a suspect succeeded, if that is recent enough to clear it; `now` if its successes prove that it is not the
    /// cause of crashes at all.
    fn answered(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        let successes = self.answered.get(fingerprint)?;
        let is_recent = now.saturating_sub(successes.last) < RETENTION;
        let is_proven = quarantine::is_proven(fingerprint.kind(), successes.count);
        is_recent.then_some(if is_proven { now } else { successes.last })
    }

    /// The state of a request. Evicts another request if a new entry does not fit.
    fn suspect(&mut self, now: Millis, fingerprint: Fingerprint) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= SUSPECTS_MAX {
            self.forget(now);
            self.evict_if_full();
        }
        let suspect = self.suspects.entry(fingerprint);
        suspect.or_insert_with(|| Suspect::new(fingerprint.kind()))
    }

    /// Removes expired entries.
    pub fn forget(&mut self, now: Millis) {
        self.begun.get_or_insert(now);
        self.suspects
            .retain(|_, suspect| now.saturating_sub(suspect.last()) < RETENTION);
        self.update_holds(now);
    }

    /// Evicts an entry of the customer with most entries, so that no customer evicts another's. Of these, the one with
    /// fewest crashes goes, the oldest on a tie.
    fn evict_if_full(&mut self) {
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

    /// Recomputes which requests are quarantined. Only requests with enough consecutive crashes of their own are
    /// compared with each other, so the cost depends on these few.
    fn update_holds(&mut self, now: Millis) {
        let suspects = self.suspects.iter();
        let in_a_row: Vec<(&Fingerprint, &Suspect, Suspicion)> = suspects
            .filter(|(_, suspect)| quarantine::is_suspected(suspect.crashes.len()))
            .map(|(fingerprint, suspect)| (fingerprint, suspect, suspect.suspicion()))
            .filter(|(_, _, suspicion)| quarantine::is_suspected(suspicion.crashes))
            .collect();
        let is_explained = |own: &Fingerprint, suspicion: Suspicion, crash: &Crash| {
            in_a_row.iter().any(|(other, suspect, others)| {
                *other != own
                    && suspect.was_in_flight_at(crash.instance)
                    && quarantine::is_explained(suspicion, *others)
            })
        };
        let mut holds = BTreeMap::new();
        for (fingerprint, suspect, suspicion) in &in_a_row {
            let left = suspect.crashes.iter().copied();
            let left = left.filter(|crash| !is_explained(fingerprint, *suspicion, crash));
            let hold = Hold {
                crashes: quarantine::in_a_row(left),
                last: suspect.last(),
            };
            let answers = self.answered.get(**fingerprint);
            let answers = answers.map_or(0, |successes| successes.count);
            if quarantine::is_held(suspect.kind, hold.crashes, answers)
                && hold.left(now) > Millis::ZERO
            {
                holds.insert(**fingerprint, hold);
            }
        }
        let suspected = in_a_row.iter().map(|(fingerprint, ..)| **fingerprint);
        self.suspected_blocks = suspected
            .filter(|suspect| suspect.kind() == Kind::Block)
            .collect();
        self.holds = holds;
    }

    /// The reports to send to other routers in this round.
    pub fn next_reports(&mut self, now: Millis) -> Vec<Report> {
        let suspects = self.suspects.iter_mut();
        let mut pending: Vec<(&Fingerprint, &mut Suspect)> = suspects
            .filter(|(_, suspect)| suspect.rounds_reported < GOSSIP_ROUNDS)
            .collect();
        // Least reported first, then those closest to quarantine.
        pending.sort_by_key(|(_, suspect)| {
            let crashes = std::cmp::Reverse(suspect.crashes.len());
            (
                suspect.rounds_reported,
                crashes,
                std::cmp::Reverse(suspect.last()),
            )
        });
        let reported = pending.into_iter().take(REPORTS_MAX);
        let reported = reported.map(|(fingerprint, suspect)| {
            suspect.rounds_reported += 1;
            report(now, *fingerprint, suspect)
        });
        reported.collect()
    }

    /// Reports the quarantined requests once more, for routers that have started since.
    pub fn report_holds_again(&mut self) {
        for fingerprint in self.holds.keys() {
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                suspect.rounds_reported = suspect.rounds_reported.min(GOSSIP_ROUNDS - 1);
            }
        }
    }

    /// The quarantined requests of which this router has seen at least one crash itself, most recent first.
    pub fn own_holds(&self, now: Millis) -> Vec<Report> {
        let mut own: Vec<(&Fingerprint, &Suspect)> = self
            .holds
            .keys()
            .filter_map(|fingerprint| Some((fingerprint, self.suspects.get(fingerprint)?)))
            .filter(|(_, suspect)| suspect.has_own_crash)
            .collect();
        own.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.last()));
        own.truncate(ROW_REPORTS_MAX);
        own.iter()
            .map(|(fingerprint, suspect)| report(now, **fingerprint, suspect))
            .collect()
    }

    /// Marks a request that the row of this router's previous process contains, so that it stays in the row while it is
    /// quarantined.
    pub fn mark_own(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.has_own_crash = true;
        }
    }
}

/// Appends to a queue, and drops the oldest item if it has more than [`UNCONFIRMED_MAX`].
fn push_bounded<T>(recent: &mut VecDeque<T>, item: T) {
    recent.push_back(item);
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
