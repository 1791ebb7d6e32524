//! Ways to choose among candidates.

use std::fmt;
use std::str::FromStr;

use rand::{Rng, RngExt};

use super::TargetKey;

/// Time that an engine is taken to need for an uncached block, against that for a first token
/// when all is cached. Chosen by the policies bench; see docs/BENCHMARKS.md.
const BLOCK_COST: f64 = 0.15;
/// Candidates drawn by the expected-wait policy. Routers do not see each other's dispatches at
/// once, so one that always takes the best sends all of them to the same target.
const DRAWN: usize = 2;
/// Load, as a share of the slots, at which the wait is taken to be endless.
const HEADROOM: f64 = 1.1;

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The target.
    pub target: TargetKey,
    /// Requests that it is thought to have.
    pub load: f64,
    /// Requests that it takes at once.
    pub slots: f64,
    /// Leading blocks of the prompt that it is thought to have cached.
    pub cached: usize,
    /// Its time to the first token against the pool's middle; 1 is average, 4 is slow.
    pub slowness: f64,
}

/// A way to choose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The one with the least load.
    Least,
    /// The less loaded of two drawn at random. The default: with routers that do not see each
    /// other and loads that lag, every policy that prefers a place sends too much there at once.
    #[default]
    Two,
    /// Cached share less load relative to the pool's mean, as in the prefix-affinity paper.
    Prefix,
    /// Least expected wait, of load, uncached blocks and slowness, among two drawn at random and
    /// the one that has most of the prompt, where it is not more loaded than they are.
    Expected,
}

impl Policy {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Least, Self::Two, Self::Prefix, Self::Expected];

    /// Whether the prompt's blocks matter.
    pub fn reads_cache(self) -> bool {
        matches!(self, Self::Prefix | Self::Expected)
    }

    /// Chooses among candidates, of which there is at least one. `blocks` is the prompt's length
    /// in blocks.
    pub fn choose<R: Rng>(
        self,
        candidates: &[Candidate],
        blocks: usize,
        rng: &mut R,
    ) -> Option<TargetKey> {
        match self {
            Self::Least => best(candidates, rng, |one| one.load / one.slots),
            Self::Two => {
                let (a, b) = (draw(candidates, rng)?, draw(candidates, rng)?);
                best(&[a, b], rng, |one| one.load / one.slots)
            }
            Self::Prefix => {
                let count = candidates.len().max(1) as f64;
                let mean = candidates.iter().map(|one| one.load).sum::<f64>() / count;
                best(candidates, rng, |one| {
                    let share = one.cached as f64 / blocks.max(1) as f64;
                    (one.load - mean) / mean.max(1.0) - share
                })
            }
            Self::Expected => {
                let mut drawn: Vec<Candidate> = Vec::with_capacity(DRAWN + 1);
                drawn.extend((0..DRAWN).filter_map(|_| draw(candidates, rng)));
                let least = drawn
                    .iter()
                    .map(|one| one.load)
                    .fold(f64::INFINITY, f64::min);
                let fit = candidates
                    .iter()
                    .filter(|one| one.cached * 2 > blocks && one.load <= least);
                drawn.extend(fit.max_by_key(|one| one.cached));
                best(&drawn, rng, |one| expected_wait(one, blocks))
            }
        }
    }
}

/// Wait for the first token, in units of an idle engine's with all cached.
fn expected_wait(one: &Candidate, blocks: usize) -> f64 {
    let uncached = blocks.saturating_sub(one.cached) as f64;
    let free = (HEADROOM - (one.load + 1.0) / one.slots).max(0.02);
    (1.0 + uncached * BLOCK_COST) / free * one.slowness
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Least => "least",
            Self::Two => "two",
            Self::Prefix => "prefix",
            Self::Expected => "expected",
        })
    }
}

impl FromStr for Policy {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|policy| policy.to_string() == text)
            .ok_or("one of least, two, prefix, expected")
    }
}

fn draw<R: Rng>(candidates: &[Candidate], rng: &mut R) -> Option<Candidate> {
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[rng.random_range(0..candidates.len())])
}

/// The candidate with the lowest score; ties are drawn, lest all routers agree on the first.
fn best<R: Rng>(
    candidates: &[Candidate],
    rng: &mut R,
    score: impl Fn(&Candidate) -> f64,
) -> Option<TargetKey> {
    let mut found: Option<(f64, TargetKey)> = None;
    let mut ties = 0_u32;
    for one in candidates {
        let this = score(one);
        match found {
            Some((lowest, _)) if this > lowest => {}
            Some((lowest, _)) if this == lowest => {
                ties += 1;
                if rng.random_range(0..=ties) == 0 {
                    found = Some((this, one.target));
                }
            }
            _ => {
                found = Some((this, one.target));
                ties = 0;
            }
        }
    }
    found.map(|(_, target)| target)
}
