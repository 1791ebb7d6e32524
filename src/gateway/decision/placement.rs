//! Which target a request is sent to.
//!
//! A plain request goes to the least busy target, those of this router's hall first. A model request
//! goes where its first token is expected soonest: to the target that an order of all targets by the
//! prompt's last shared block names first, since that one has most likely cached the shared blocks,
//! unless the work ahead there is longer than prefilling them anew elsewhere. The order depends on
//! the block and the instances only, so routers agree without asking each other.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::key::TargetKey;

/// Cost of another hall to a plain request, in requests that run at the target. Traffic between halls costs money, so
/// it is the exception.
const HALL_REQUESTS: f64 = 1.5;
/// The same to a model request, in tokens.
const HALL_TOKENS: f64 = 150.0;

/// Cost of a target without a free slot to a plain request, in requests: it is only chosen where all
/// are full.
const FULL_REQUESTS: f64 = 1e6;
/// The same to a model request, in tokens.
const FULL_TOKENS: f64 = 1e6;

/// Cost of a target all of whose recent attempts failed to a plain request, in shares of its slots.
const FAILING_SLOTS: f64 = 2.0;
/// The same to a model request, in tokens.
const FAILING_TOKENS: f64 = 20_000.0;

/// Slowdown of a prefill by each request that runs beside it, in tokens.
const RUNNING_TOKENS: f64 = 60.0;
/// Prompt tokens that a request is taken to have which waits at a target for other routers: the order of a prompt's
/// length.
const WAITING_TOKENS: f64 = 2_500.0;

/// Weight of prefilling uncached shared blocks, relative to waiting behind the same number of tokens
/// (dimensionless): a miss also evicts other prompts' blocks.
const PREFILL_PENALTY: f64 = 2.0;

/// A target that may be chosen, as this router knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub key: TargetKey,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it has, by its own report or by the routers' count, whichever is higher.
    pub busy: f64,
    /// Requests that wait there by its own report.
    pub waiting: u32,
    /// Prompt tokens of all routers' requests there that it has not answered yet.
    pub backlog: u64,
    /// Share of recent attempts there that failed, 0 to 1.
    pub failing: f64,
    /// Whether it stands in this router's hall.
    pub is_local: bool,
}

impl Candidate {
    fn is_full(&self) -> bool {
        self.busy >= f64::from(self.slots)
    }
}

/// A target for a model request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelCandidate {
    /// The target.
    pub target: Candidate,
    /// Its place in the order of all targets for the prompt's last shared block; the highest is first.
    pub affinity: u64,
    /// Tokens of the shared blocks that it is not known to have cached.
    pub uncached: u64,
}

/// Place of a target in the order of all targets for a block.
pub fn affinity(instance: &str, block: u64) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), block)
}

/// Chooses for a plain request; `seed` draws among equal costs.
pub fn choose_plain(candidates: &[Candidate], seed: u64) -> Option<TargetKey> {
    let tie = |key: TargetKey| xxh3_64_with_seed(&key.0.to_le_bytes(), seed);
    least(candidates, |target| (plain_cost(target), tie(target.key))).map(|target| target.key)
}

/// Cost to a plain request, in requests that run at the target.
fn plain_cost(target: &Candidate) -> f64 {
    let away = if target.is_local { 0.0 } else { HALL_REQUESTS };
    let failing = target.failing * f64::from(target.slots) * FAILING_SLOTS;
    let full = if target.is_full() { FULL_REQUESTS } else { 0.0 };
    target.busy + away + failing + full
}

/// Chooses for a model request.
pub fn choose_model(candidates: &[ModelCandidate]) -> Option<TargetKey> {
    // Other prompts with the same blocks went there too, so nothing is taken to be uncached.
    let preferred = candidates.iter().max_by_key(|one| one.affinity);
    let preferred = preferred.map(|one| one.target.key);
    let cost = |one: &ModelCandidate| {
        let uncached = if Some(one.target.key) == preferred {
            0
        } else {
            one.uncached
        };
        (model_cost(&one.target, uncached), u64::MAX - one.affinity)
    };
    least(candidates, cost).map(|one| one.target.key)
}

/// Cost to a model request: work before its first token, in tokens.
fn model_cost(target: &Candidate, uncached: u64) -> f64 {
    let waiting = f64::from(target.waiting) * WAITING_TOKENS;
    let queued = waiting.max(target.backlog as f64);
    let running = target.busy * RUNNING_TOKENS;
    let full = if target.is_full() { FULL_TOKENS } else { 0.0 };
    let failing = target.failing * FAILING_TOKENS;
    let prefill = uncached as f64 * PREFILL_PENALTY;
    let away = if target.is_local { 0.0 } else { HALL_TOKENS };
    queued + running + full + failing + prefill + away
}

/// The first by cost, then by the second number.
fn least<T>(candidates: &[T], cost: impl Fn(&T) -> (f64, u64)) -> Option<&T> {
    let costs = candidates.iter().map(|one| (cost(one), one));
    let least = costs.min_by(|(a, _), (b, _)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    least.map(|(_, one)| one)
}
