//! Whether a request, or a block that prompts share, is the cause of the target crashes that it was involved in, and
//! must not be sent again.
//!
//! A target that crashes fails all requests that it is processing, so a single crash says almost nothing about any one
//! of them. Only successive crashes count: the request was sent to another target after the previous one had crashed,
//! and that target crashed as well. A failed rack, a network partition or reset connections affect everything in flight
//! once, and so count once. A request that any target has answered successfully is not the cause;
//! [`Quarantine`](crate::gateway::quarantine::Quarantine) handles that case and drops the crashes of such a request.
//!
//! A block is in many requests. An answer clears it of earlier crashes only, so that one that turns bad is found too;
//! many answers clear it for good.

use crate::gateway::fingerprint::Kind;
use crate::units::Millis;

/// Successive crashes after which a request is taken to be their cause. One may happen to any request, and two to an
/// innocent request whose caller retried it immediately while the cause was still being sent. Each further crash fails
/// all requests in flight at one more target.
pub const CRASHES_HELD: usize = 3;
/// Successive crashes after which a request is quarantined even though another request was involved in each of them.
/// Two requests that always occur together cannot be told apart, and targets have to be protected from both. Two more
/// than where they can be told apart.
const CRASHES_TIED: usize = 5;
/// How long before the previous crash a request may appear to have been sent and still count as sent after it, since
/// routers exchange these times over links with latency. A few times the one-way latency between two regions.
const ORDER_SLACK: Millis = Millis(50);

/// A crash of a target while a request was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the target's instance.
    pub instance: u64,
    /// When the request was sent to the target.
    pub sent: Millis,
    /// When the connection to the target broke.
    pub at: Millis,
}

/// Selects the longest sequence of successive crashes from the crashes of a request. Both input and output are ordered
/// by time.
pub fn successive_crashes(crashes: impl IntoIterator<Item = Crash>) -> Vec<Crash> {
    let mut successive: Vec<Crash> = Vec::new();
    for crash in crashes {
        let is_next = |last: &Crash| crash.sent + ORDER_SLACK >= last.at;
        if successive.last().is_none_or(is_next) {
            successive.push(crash);
        }
    }
    successive
}

/// Number of successive crashes of a request.
pub fn in_a_row(crashes: impl IntoIterator<Item = Crash>) -> usize {
    successive_crashes(crashes).len()
}

/// Number of separate seconds with an answer after which a block is not taken to be the cause of crashes: its content
/// stays the same, and holding a block that most requests share would refuse most callers.
const PROVEN_ANSWERS: u32 = 8;
/// Number of separate seconds with an answer after which a block is quarantined only at [`CRASHES_TIED`]: a block in most
/// prompts is involved in most crashes, whatever their cause.
const TRUSTED_ANSWERS: u32 = 2;
/// How long after the last crash one request with a quarantined block is sent to a target again, to learn whether the
/// block is answered now.
const TRIAL_INTERVAL: Millis = Millis(60_000);
/// The same after a burst of crashes without an answer that could have cleared the block. A crash in the trial ends the
/// burst. A trial with neither an answer nor a crash is repeated.
pub const EARLY_TRIAL_INTERVAL: Millis = Millis(5_000);
/// Greatest number of successive crashes of the other blocks of a request in an early trial: one may happen to any.
const OTHERS_CRASHES_MAX: usize = 1;

/// Number of routers of a fleet that send trials of a block.
const TRIAL_ROUTERS: usize = 3;

/// Whether this many answers in separate seconds prove that a suspect is not the cause of crashes.
pub fn is_proven(kind: Kind, answers: u32) -> bool {
    kind == Kind::Block && answers >= PROVEN_ANSWERS
}

/// A quarantined suspect of a request that may be sent as a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// What is quarantined.
    pub kind: Kind,
    /// Time of the last crash or trial.
    pub last: Millis,
    /// Longest time between two crashes that follow each other.
    pub longest_gap: Millis,
    /// Greatest number of its crashes at which one block was involved that the request does not have.
    pub shared: usize,
    /// Whether this router has seen all of its crashes, and no prompt answered since the first.
    pub is_unanswered: bool,
}

/// Whether an early trial with a request tells something, given all that is quarantined of it and the greatest number of
/// successive crashes of its other blocks. A block of most prompts is involved in most crashes, whatever their cause. So
/// a request with one held block tells whether it is the cause, and one with several does if a block that it does not
/// have may be the cause of them all.
pub fn is_early_trial(held: &[Held], others_crashes: usize) -> bool {
    let is_burst = |held: &Held| {
        let is_short = held.longest_gap < EARLY_TRIAL_INTERVAL;
        held.kind == Kind::Block && held.is_unanswered && is_short
    };
    let has_rival = |held: &Held| is_suspected(held.shared);
    others_crashes <= OTHERS_CRASHES_MAX
        && held.iter().all(is_burst)
        && (held.len() == 1 || held.iter().all(has_rival))
}

/// Whether a request is sent after all, given all that is quarantined of it. The first few routers take turns in the order
/// of their `rank`, since those before may get no such request.
pub fn is_trial_due(now: Millis, held: &[Held], is_early: bool, rank: usize) -> bool {
    let interval = match is_early {
        true => EARLY_TRIAL_INTERVAL,
        false => TRIAL_INTERVAL,
    };
    let wait = interval.0.saturating_mul(rank as u64 + 1);
    let is_due = |held: &Held| held.kind == Kind::Block && now.saturating_sub(held.last).0 >= wait;
    rank < TRIAL_ROUTERS && !held.is_empty() && held.iter().all(is_due)
}

/// A request or block, and the number of its successive crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// What is suspected.
    pub kind: Kind,
    /// Number of successive crashes.
    pub crashes: usize,
}

/// Whether another suspect explains a crash that both were involved in. With as many crashes, a request is the narrower
/// explanation than a block that it contains.
pub fn is_explained(own: Suspicion, other: Suspicion) -> bool {
    let is_tied = own.crashes == other.crashes;
    let explains_tie = match (own.kind, other.kind) {
        (Kind::Block, Kind::Request) => true,
        (Kind::Request, Kind::Block) => false,
        (Kind::Request, Kind::Request) | (Kind::Block, Kind::Block) => own.crashes < CRASHES_TIED,
    };
    other.crashes > own.crashes || (is_tied && explains_tie)
}

/// Whether an answer at the time `answered` clears a suspect of a crash at the time `crash`.
pub fn is_cleared(kind: Kind, answered: Millis, crash: Millis) -> bool {
    match kind {
        Kind::Request => true,
        Kind::Block => crash <= answered,
    }
}

/// Whether this many successive crashes may quarantine a suspect, or explain the crashes of another one.
pub fn is_suspected(crashes: usize) -> bool {
    crashes >= CRASHES_HELD
}

/// Whether a suspect is quarantined, given the number of its successive crashes that no other one explains, and of the
/// separate seconds in which it was answered.
pub fn is_held(kind: Kind, unexplained: usize, answers: u32) -> bool {
    let is_trusted = kind == Kind::Block && answers >= TRUSTED_ANSWERS;
    unexplained
        >= if is_trusted {
            CRASHES_TIED
        } else {
            CRASHES_HELD
        }
}
