//! How routers of unequal hosts share callers and grants.
//!
//! A router of a small host that gets as many callers as a large one runs out of cores or fills its link, while the
//! large one idles. So where capacities differ, a router's chance to be named to callers and to hold a customer's
//! grants follows its weight. Routers choose alike without communication if they know the same capacities. Weights
//! change only how callers and grants are spread, never what may be spent.

use serde::{Deserialize, Serialize};

/// Maximum number of addresses in an answer to a caller: more than a caller tries, and few enough for one packet.
pub const ADDRESSES_MAX: usize = 64;
/// Minimum number of addresses in an answer to a caller, if that many routers are live: a caller whose routers all fail
/// at once asks again only when its answer expires.
pub const ADDRESSES_MIN: usize = 8;
/// Fraction of the weight of all candidates that the named routers have at least. Callers of one router's answer may be
/// half of all callers, and must find room.
const NAMED_WEIGHT_MIN: f64 = 0.5;
/// Ratio of the largest to the smallest weight up to which routers count as equal: rounding and the division of a host
/// among processes give small differences, for which moving grants does not pay.
const RATIO_MAX: f64 = 2.0;
/// Share of the live routers whose capacity must be known before capacities are used, in tenths.
const USE_FROM_TENTHS: usize = 9;
/// Share below which capacities are not used any more, in tenths. Every change moves grants, so it is well below the
/// share from which they are used.
const KEEP_FROM_TENTHS: usize = 7;
/// Number of tenths in a whole.
const TENTHS: usize = 10;
/// Thousandths of a core in a core.
const MILLICORES: f64 = 1_000.0;

/// A router's share of its host. It is encoded by position for other processes, so the order of its fields must not
/// change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Processor cores, in thousandths; 0 if unknown.
    pub cores: u32,
    /// Rate of the host's link, in Mbit/s; 0 if unknown.
    pub link: u32,
}

impl Capacity {
    /// Creates a capacity from a number of cores and a link rate in Mbit/s, each 0 if unknown.
    pub fn new(cores: f64, link: f64) -> Self {
        // A small positive figure must not round to 0, which means unknown.
        let round = |value: f64| {
            if value > 0.0 {
                value.round().max(1.0)
            } else {
                0.0
            }
        };
        Self {
            cores: round(cores * MILLICORES) as u32,
            link: round(link) as u32,
        }
    }

    /// Rate of the host's link in Mbit/s; `None` if unknown.
    pub fn link_mbps(&self) -> Option<f64> {
        (self.link > 0).then(|| f64::from(self.link))
    }

    /// Whether the cores or the link rate is known.
    pub fn is_known(&self) -> bool {
        self.cores > 0 || self.link > 0
    }
}

/// The median of the known cores and of the known link rates of a fleet, each 0 if none is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Median {
    cores: u32,
    link: u32,
}

impl Median {
    /// Computes the medians; of an even number of figures, the lower of the middle two.
    pub fn new(capacities: impl Iterator<Item = Capacity> + Clone) -> Self {
        Self {
            cores: median(capacities.clone().map(|capacity| capacity.cores)),
            link: median(capacities.map(|capacity| capacity.link)),
        }
    }
}

fn median(figures: impl Iterator<Item = u32>) -> u32 {
    let mut known: Vec<u32> = figures.filter(|figure| *figure > 0).collect();
    if known.is_empty() {
        return 0;
    }
    let middle = (known.len() - 1) / 2;
    *known.select_nth_unstable(middle).1
}

/// A router's weight relative to the median router's, which is 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Weight(f64);

impl Default for Weight {
    fn default() -> Self {
        Self::MEDIAN
    }
}

impl Weight {
    /// The weight of the median router, and of one whose capacity is unknown.
    pub const MEDIAN: Self = Self(1.0);

    /// How many times the median weight was doubled, rounded down. Small differences do not change it.
    pub fn doublings(self) -> i32 {
        self.0.log2().floor() as i32
    }

    /// The weight in thousandths, for logs and metrics.
    pub fn permille(self) -> u64 {
        const PERMILLE: f64 = 1_000.0;
        (self.0 * PERMILLE) as u64
    }
}

/// The weight of a router: the lower of its share of the median cores and of the median link, since whichever is
/// exhausted first limits it. An unknown figure counts as the median.
pub fn weight(capacity: Capacity, median: Median) -> Weight {
    let share = |figure: u32, median: u32| match (figure, median) {
        (0, _) | (_, 0) => 1.0,
        (figure, median) => f64::from(figure) / f64::from(median),
    };
    let cores = share(capacity.cores, median.cores);
    Weight(cores.min(share(capacity.link, median.link)))
}

/// How much the routers of a fleet differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spread {
    /// Too little to matter.
    #[default]
    Similar,
    /// Enough that callers and grants follow capacities.
    Unequal,
}

/// Compares the weights of routers whose capacities are known.
pub fn spread(weights: impl Iterator<Item = Weight>) -> Spread {
    let bounds = weights.fold(None, |bounds: Option<(f64, f64)>, Weight(weight)| {
        let (least, most) = bounds.unwrap_or((weight, weight));
        Some((least.min(weight), most.max(weight)))
    });
    match bounds {
        Some((least, most)) if most > least * RATIO_MAX => Spread::Unequal,
        _ => Spread::Similar,
    }
}

/// What callers' addresses and holders of grants are chosen by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Basis {
    /// Names alone.
    #[default]
    Names,
    /// Names and capacities.
    Capacities,
}

/// Decides what to choose by, from the number of live routers and of those whose capacity has been learnt. While
/// capacities are learnt at the start of a fleet, each new one would move grants, so that waits until nearly all are
/// there.
pub fn basis(before: Basis, learnt: usize, live: usize) -> Basis {
    let least = match before {
        Basis::Names => USE_FROM_TENTHS,
        Basis::Capacities => KEEP_FROM_TENTHS,
    };
    if learnt * TENTHS >= live * least {
        Basis::Capacities
    } else {
        Basis::Names
    }
}

/// A router that can be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of the router and of what is chosen for.
    pub hash: u64,
    /// The router's weight.
    pub weight: Weight,
}

/// A position in an order of candidates; the lowest is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Bits of a non-negative floating-point number, which are ordered as the number is.
    score: u64,
    hash: u64,
}

impl Candidate {
    /// The position by weighted rendezvous hashing: the candidate of the lowest -ln(u)/w is first, with u drawn from
    /// the hash. Its chance to be first is proportional to its weight, and a removed candidate moves no other. With
    /// equal weights the order is that of the hashes, so that grants stay when capacities become equal.
    pub fn rank(&self) -> Rank {
        const RANGE: f64 = 18_446_744_073_709_551_616.0;
        let complement = self.hash as f64 / RANGE;
        // ln_1p keeps its precision for the lowest hashes, which are the ones that are chosen.
        let score = -(-complement).ln_1p() / self.weight.0;
        Rank {
            score: score.abs().to_bits(),
            hash: self.hash,
        }
    }
}

/// The routers to name to callers, as indices of the candidates: a sample in which the chance of each follows its
/// weight. It has at least [`ADDRESSES_MIN`] routers and half of the weight, and at most [`ADDRESSES_MAX`] routers.
pub fn sample(candidates: &[Candidate]) -> Vec<usize> {
    let total: f64 = candidates.iter().map(|candidate| candidate.weight.0).sum();
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|index| candidates[*index].rank());
    let mut chosen = Vec::new();
    let mut weight = 0.0;
    for index in order {
        let is_enough = chosen.len() >= ADDRESSES_MIN && weight >= total * NAMED_WEIGHT_MIN;
        if is_enough || chosen.len() >= ADDRESSES_MAX {
            break;
        }
        weight += candidates[index].weight.0;
        chosen.push(index);
    }
    chosen
}
