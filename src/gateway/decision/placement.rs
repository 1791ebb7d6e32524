//! Which target a request is sent to.
//!
//! A plain request goes to the least busy target, with those in this router's hall preferred. A model request goes
//! where its first token is expected soonest. That is usually the target ranked first by rendezvous hashing of the
//! prompt's last shared block, which has most likely cached the shared blocks, unless the work queued there takes
//! longer than prefilling them elsewhere. The hash depends only on the block and the instances, so routers agree
//! without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::key::TargetKey;

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
/// The weight is above 1 because a cache miss also evicts other prompts' blocks.
const PREFILL_PENALTY: f64 = 2.0;

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

/// The candidate with the lowest cost; among equal costs, the one with the lowest second number.
fn cheapest<T>(candidates: &[T], cost: impl Fn(&T) -> (f64, u64)) -> Option<&T> {
    let costs = candidates
        .iter()
        .map(|candidate| (cost(candidate), candidate));
    let cheapest = costs.min_by(|(a, _), (b, _)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    cheapest.map(|(_, candidate)| candidate)
}
