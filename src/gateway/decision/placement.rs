//! Which target a request is sent to.
//!
//! A plain request goes to the least busy target, with those in this router's hall preferred. A model request goes
//! where its first token is expected soonest. That is usually the target ranked first by rendezvous hashing of the
//! prompt's last shared block, which has most likely cached the shared blocks, unless the work queued there takes
//! longer than prefilling them elsewhere. The hash depends only on the block and the instances, so routers agree
//! without coordination.
//!
//! Where targets report how much slower than usual they work, both kinds go where the expected time is shortest, in
//! milliseconds, by the target's own speed and its slowdown. Reports from other routers are up to 1.2 s old, so routers
//! that all chose the shortest time would choose the same target. Among targets whose times differ by less than the
//! error of the estimate the choice is therefore random; for model requests the rendezvous hash weighs it, so that most
//! requests still go to the target that cached their blocks.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::busy::Expected;
use crate::gateway::dialect::Prompt;
use crate::gateway::key::TargetKey;
use crate::units::Millis;

/// Cost of a target in another hall to a plain request, in requests that run at the target. Traffic between halls costs
/// money, so it should be the exception.
const REMOTE_HALL_REQUESTS: f64 = 1.5;
/// Cost of a target in another hall to a model request, in tokens.
const REMOTE_HALL_TOKENS: f64 = 150.0;

/// Cost of a target without a free slot to a plain request, in requests: high enough that it is only chosen when all
/// targets are full.
const FULL_REQUESTS: f64 = 1e6;
/// Cost of a target without a free slot to a model request, in tokens.
const FULL_TOKENS: f64 = 1e6;

/// Cost, to a plain request, of a target all of whose recent attempts failed, as a multiple of its slots.
const FAILING_SLOTS: f64 = 2.0;
/// Cost, to a model request, of a target all of whose recent attempts failed, in tokens.
const FAILING_TOKENS: f64 = 20_000.0;

/// Slowdown of a prefill by each concurrently running request, in tokens.
const RUNNING_TOKENS: f64 = 60.0;
/// Assumed prompt length, in tokens, of a request that another router has queued at a target: the order of magnitude
/// of a typical prompt.
const WAITING_TOKENS: f64 = 2_500.0;

/// Weight of prefilling uncached shared blocks, relative to waiting behind the same number of tokens (dimensionless).
/// The weight is above 1 because a cache miss also evicts other prompts' blocks and delays the requests that run there.
const PREFILL_PENALTY: f64 = 2.0;

/// Cost of a target in another hall to a plain request that is placed by time, in answers of usual time. A local target
/// that is slowed by half is still preferred.
const REMOTE_HALL_ANSWERS: f64 = 0.5;
/// Cost of a target all of whose recent attempts failed, to a plain request that is placed by time, in answers.
const FAILING_ANSWERS: f64 = 20.0;
/// Part of an answer's time that a plain request is expected to wait at a target whose slots are all but taken, 0 to 1:
/// other routers may take the rest before the request arrives.
const BUSY_ANSWERS: f64 = 0.5;
/// Relative error of an expected time: targets whose speeds are equal are measured to differ by about this much.
const ERROR_SHARE: f64 = 0.2;
/// Error of an expected time that does not depend on the time, in milliseconds: the variation of network and timers.
const ERROR_MS: f64 = 3.0;

/// A target that may be chosen, as this router knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub key: TargetKey,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Requests in progress at the target, as the target reports or as the routers count, whichever is higher.
    pub busy: f64,
    /// Requests queued at the target, as it reports.
    pub waiting: u32,
    /// Prompt tokens of all routers' requests that the target has not answered yet.
    pub backlog: u64,
    /// Share of recent attempts at the target that failed, 0 to 1.
    pub failing: f64,
    /// Whether the target is in this router's hall.
    pub is_local: bool,
}

impl Candidate {
    fn is_full(&self) -> bool {
        self.busy >= f64::from(self.slots)
    }
}

/// A target that may be chosen for a model request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelCandidate {
    /// The target.
    pub target: Candidate,
    /// The rendezvous hash of the target for the prompt's last shared block; the highest is preferred.
    pub affinity: u64,
    /// Tokens in the prompt's shared blocks that the target is not known to have cached.
    pub uncached: u64,
}

/// Rendezvous hash of a target for a block.
pub fn affinity(instance: &str, block: u64) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), block)
}

/// Chooses the target of a plain request. Ties are broken at random by `seed`.
pub fn choose_plain(candidates: &[Candidate], seed: u64) -> Option<TargetKey> {
    let tie_breaker = |key: TargetKey| xxh3_64_with_seed(&key.0.to_le_bytes(), seed);
    cheapest(candidates, |target| {
        (plain_cost(target), tie_breaker(target.key))
    })
    .map(|target| target.key)
}

/// Cost of a target to a plain request, in requests that run there.
fn plain_cost(target: &Candidate) -> f64 {
    let remote = if target.is_local {
        0.0
    } else {
        REMOTE_HALL_REQUESTS
    };
    let failing = target.failing * f64::from(target.slots) * FAILING_SLOTS;
    let full = if target.is_full() { FULL_REQUESTS } else { 0.0 };
    target.busy + remote + failing + full
}

/// Chooses the target of a model request.
pub fn choose_model(candidates: &[ModelCandidate]) -> Option<TargetKey> {
    // Other prompts with the same blocks go to the preferred target too, so it is assumed to have cached all of them.
    let preferred = candidates.iter().max_by_key(|candidate| candidate.affinity);
    let preferred = preferred.map(|candidate| candidate.target.key);
    let cost = |candidate: &ModelCandidate| {
        let uncached = if Some(candidate.target.key) == preferred {
            0
        } else {
            candidate.uncached
        };
        (
            model_cost(&candidate.target, uncached),
            u64::MAX - candidate.affinity,
        )
    };
    cheapest(candidates, cost).map(|candidate| candidate.target.key)
}

/// Cost of a target to a model request: the work before its first token, in tokens.
fn model_cost(target: &Candidate, uncached: u64) -> f64 {
    let waiting = f64::from(target.waiting) * WAITING_TOKENS;
    let queued = waiting.max(target.backlog as f64);
    let running = target.busy * RUNNING_TOKENS;
    let full = if target.is_full() { FULL_TOKENS } else { 0.0 };
    let failing = target.failing * FAILING_TOKENS;
    let prefill = uncached as f64 * PREFILL_PENALTY;
    let remote = if target.is_local {
        0.0
    } else {
        REMOTE_HALL_TOKENS
    };
    queued + running + full + failing + prefill + remote
}

/// The mean times of a service's targets, at the usual slowdown of 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// Milliseconds per uncached token of a prompt.
    pub token_ms: f64,
    /// Milliseconds between two events of a stream.
    pub event_ms: f64,
    /// Milliseconds per plain answer.
    pub answer_ms: f64,
}

/// The times of one target, at the usual slowdown of 1, and its slowdown now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Milliseconds per uncached token of a prompt.
    pub token_ms: f64,
    /// Milliseconds between two events of a stream.
    pub event_ms: f64,
    /// Milliseconds per plain answer.
    pub answer_ms: f64,
    /// Factor by which work takes longer than usual now.
    pub slowdown: f64,
    /// Age of the target's report of its slowdown; `None` if it has not reported any.
    pub report_age: Option<Millis>,
}

/// The work of a target until the first event of a request, in tokens, or until its plain answer, in answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Work of the requests before it.
    pub ahead: f64,
    /// Work of the request itself.
    pub own: f64,
    /// Further work of the request if the blocks are not cached that the target is only assumed to have cached.
    pub assumed_cached: f64,
}

impl Work {
    /// The work that is expected, without what is assumed to be cached.
    pub fn certain(&self) -> f64 {
        self.ahead + self.own
    }

    /// The tokens of the request's prompt that the target is not known to have cached.
    pub fn own_tokens(&self) -> u64 {
        (self.own + self.assumed_cached) as u64
    }
}

/// Why a target was chosen by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is first by rendezvous hash of the shared blocks, and no other is faster by more than the estimation error.
    Preferred,
    /// Its expected time is the shortest.
    Fastest,
    /// Its expected time is within the estimation error of the shortest, and it was drawn at random.
    Drawn,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 3] = [Self::Preferred, Self::Fastest, Self::Drawn];

    /// The name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Preferred => "preferred",
            Self::Fastest => "fastest",
            Self::Drawn => "drawn",
        }
    }
}

/// What is expected of a target that was chosen by time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected time to the first event, or to the plain answer, in milliseconds.
    pub ms: f64,
    /// The expected time at the target with the lowest cost, in milliseconds.
    pub best_ms: f64,
    /// The shortest expected time among all candidates, whatever their cost.
    pub shortest: Expected,
    /// The work that the time is for.
    pub work: Work,
    /// The slowdown that the time includes.
    pub slowdown: f64,
    /// Age of the target's report of its slowdown; `None` if it has not reported any.
    pub report_age: Option<Millis>,
    /// Why the target was chosen.
    pub reason: Reason,
}

/// A chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// What is expected of it; `None` if it was not chosen by time.
    pub estimate: Option<Estimate>,
}

impl Choice {
    /// A choice of a service whose targets report no slowdown.
    pub fn without_estimate(target: TargetKey) -> Self {
        Self {
            target,
            estimate: None,
        }
    }
}

/// A candidate with its expected time.
struct Timed {
    key: TargetKey,
    ms: f64,
    /// The part of the expected time for which the request waits in the target's queue, in milliseconds.
    queue_ms: f64,
    /// Cost of the candidate in milliseconds: the expected time, and what is added to avoid it for other reasons.
    cost: f64,
    work: Work,
    pace: Pace,
    /// Rendezvous hash by which the candidate is ranked in a random choice; `None` where all are equal.
    affinity: Option<u64>,
}

/// Chooses the target of a plain request by expected time; `seed` selects among those within the estimation error.
pub fn choose_plain_by_time(
    candidates: &[(Candidate, Pace)],
    usual: &Usual,
    seed: u64,
) -> Option<Choice> {
    let timed = candidates.iter().map(|(target, pace)| {
        let slots = f64::from(target.slots.max(1));
        let queued = (target.busy + 1.0 - slots).max(0.0) / slots;
        let crowding = (target.busy / slots).min(1.0) * BUSY_ANSWERS;
        let work = Work {
            ahead: queued + crowding,
            own: 1.0,
            assumed_cached: 0.0,
        };
        let ms = work.certain() * pace.answer_ms * pace.slowdown;
        let remote = if target.is_local {
            0.0
        } else {
            REMOTE_HALL_ANSWERS
        };
        let full = if target.is_full() { FULL_REQUESTS } else { 0.0 };
        let avoided = remote + full + target.failing * FAILING_ANSWERS;
        Timed {
            key: target.key,
            ms,
            queue_ms: queued * pace.answer_ms * pace.slowdown,
            cost: ms + avoided * usual.answer_ms,
            work,
            pace: *pace,
            affinity: None,
        }
    });
    draw(&timed.collect::<Vec<_>>(), None, seed)
}

/// Chooses the target of a model request by expected time to its first event; `seed` selects among those within the
/// estimation error.
pub fn choose_model_by_time(
    candidates: &[(ModelCandidate, Pace)],
    prompt: &Prompt,
    usual: &Usual,
    seed: u64,
) -> Option<Choice> {
    let shared = prompt.shared_blocks();
    let shared_tokens: u64 = shared.iter().map(|block| block.tokens.0).sum();
    let unique = prompt.tokens.0.saturating_sub(shared_tokens) as f64;
    // Without shared blocks all requests have the same rendezvous order, which therefore must not count.
    let has_affinity = !shared.is_empty();
    let preferred = candidates.iter().max_by_key(|(it, _)| it.affinity);
    let preferred = preferred
        .filter(|_| has_affinity)
        .map(|(it, _)| it.target.key);
    let timed = candidates.iter().map(|(candidate, pace)| {
        let target = &candidate.target;
        let uncached = candidate.uncached as f64;
        // Other prompts with the same blocks go to the preferred target too, so it is assumed to have cached them.
        let (prefill, assumed_cached) = if Some(target.key) == preferred {
            (0.0, uncached)
        } else {
            (uncached, 0.0)
        };
        let waiting = f64::from(target.waiting) * WAITING_TOKENS;
        let queued = waiting.max(target.backlog as f64);
        let work = Work {
            ahead: queued + target.busy * RUNNING_TOKENS,
            own: unique + prefill,
            assumed_cached,
        };
        let ms = (work.certain() * pace.token_ms + pace.event_ms) * pace.slowdown;
        let remote = if target.is_local {
            0.0
        } else {
            REMOTE_HALL_TOKENS
        };
        let full = if target.is_full() { FULL_TOKENS } else { 0.0 };
        let avoided = remote + full + target.failing * FAILING_TOKENS;
        // The estimate has the prefill once already.
        let evicting = prefill * (PREFILL_PENALTY - 1.0) * pace.token_ms * pace.slowdown;
        Timed {
            key: target.key,
            ms,
            queue_ms: queued * pace.token_ms * pace.slowdown,
            cost: ms + evicting + avoided * usual.token_ms,
            work,
            pace: *pace,
            affinity: has_affinity.then_some(candidate.affinity),
        }
    });
    draw(&timed.collect::<Vec<_>>(), preferred, seed)
}

/// Weight of the candidate at a place, counted from 0, of the rendezvous order in a random choice. Of many candidates,
/// the first gets about 6 of 10 requests and the next ones 1.5 and 0.7, so that most requests find their blocks cached
/// and yet the first does not get them all.
fn place_weight(place: usize) -> f64 {
    let rank = place as f64 + 1.0;
    1.0 / (rank * rank)
}

/// Draws one of the candidates whose cost exceeds the lowest by no more than the estimation error.
fn draw(timed: &[Timed], preferred: Option<TargetKey>, seed: u64) -> Option<Choice> {
    let best = timed.iter().min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    let shortest = timed.iter().min_by(|a, b| a.ms.total_cmp(&b.ms))?;
    let cost_max = best.cost + best.ms * ERROR_SHARE + ERROR_MS;
    let mut near: Vec<&Timed> = timed.iter().filter(|one| one.cost <= cost_max).collect();
    near.sort_unstable_by_key(|one| Reverse(one.affinity));
    let weight = |(place, one): (usize, &&Timed)| one.affinity.map_or(1.0, |_| place_weight(place));
    let total: f64 = near.iter().enumerate().map(weight).sum();
    let mut at = seed as f64 / u64::MAX as f64 * total;
    let drawn = near.iter().enumerate().find(|entry| {
        at -= weight(*entry);
        at < 0.0
    });
    // Rounding may leave a remainder after the last one.
    let chosen = drawn.map_or(best, |(_, one)| one);
    let reason = if Some(chosen.key) == preferred {
        Reason::Preferred
    } else if chosen.key == best.key {
        Reason::Fastest
    } else {
        Reason::Drawn
    };
    let estimate = Estimate {
        ms: chosen.ms,
        best_ms: best.ms,
        shortest: Expected {
            ms: shortest.ms,
            queue_ms: shortest.queue_ms,
        },
        work: chosen.work,
        slowdown: chosen.pace.slowdown,
        report_age: chosen.pace.report_age,
        reason,
    };
    Some(Choice {
        target: chosen.key,
        estimate: Some(estimate),
    })
}

/// The candidate with the lowest cost; among equal costs, the one with the lowest second number.
fn cheapest<T>(candidates: &[T], cost: impl Fn(&T) -> (f64, u64)) -> Option<&T> {
    let costs = candidates
        .iter()
        .map(|candidate| (cost(candidate), candidate));
    let cheapest = costs.min_by(|(a, _), (b, _)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    cheapest.map(|(_, candidate)| candidate)
}
