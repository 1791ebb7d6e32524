//! The plan of a run of routers, drawn from its seed before the run starts.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::plan::{Habit, Kind};

/// Duration of the load, in milliseconds: long enough that each router is stopped once or twice.
const LOAD_MS: u64 = 7_000;
/// Time before the first step, in milliseconds: callers have open connections by then.
const FIRST_STEP_MS: u64 = 500;
/// Longest time between steps, in milliseconds: shorter than a stop takes, so that steps overlap.
const STEP_GAP_MAX_MS: u64 = 500;
/// Callers per router: enough that during a stop a request arrives every few milliseconds.
const CALLERS_PER_ROUTER: usize = 9;
/// Prepaid tokens of [`Payer::Scarce`] at the start, and those that a top-up adds.
pub const SCARCE_PREPAID: u64 = 1_500;
pub const TOP_UP_TOKENS: u64 = 500;
/// Share of faults among the steps of a run with faults, 0 to 1.
const FAULT_SHARE: f64 = 0.6;
/// Number of engines, and of services: two, so that one of them may drain.
pub const TARGETS: usize = 2;

/// The customer and budget that pay for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Payer {
    /// Has a budget that never runs out within a run.
    Rich,
    /// Has a budget that runs out.
    Scarce,
}

impl Payer {
    pub fn budget(self) -> &'static str {
        match self {
            Self::Rich => "plenty",
            Self::Scarce => "few",
        }
    }

    pub fn customer(self) -> &'static str {
        match self {
            Self::Rich => "kiosks",
            Self::Scarce => "cooks",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub seed: u64,
    pub habit: Habit,
    pub payer: Payer,
    /// Longest pause between two requests, in milliseconds.
    pub pause_max_ms: u64,
    /// Whether it retries requests with the same id.
    pub retries: bool,
    /// Share of its calls that it abandons early, 0 to 1.
    pub abandon_share: f64,
}

/// A change by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// More prepaid tokens for [`Payer::Scarce`].
    TopUp,
    /// Whether an engine gets new work.
    Engine(usize, Work),
    /// Whether a service gets new work.
    Service(usize, Work),
    /// A new longest wait of the class that all requests have, in milliseconds.
    Patience(u64),
}

/// Whether a target is to get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    None,
    Any,
}

/// Faults of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// An engine refuses this share of its requests, in thousandths; a service refuses all.
    Refuses(u32),
    /// An engine cuts this share of its streams, in thousandths; a service executes each request and answers with an
    /// error.
    Breaks(u32),
    /// An engine is slower by this factor; a service answers after this many times ten milliseconds.
    Slow(u32),
}

/// Faults of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFault {
    Down,
    /// Each answer takes this many milliseconds.
    Slow(u64),
    /// This share of the appends, in thousandths, is stored but answered with an error.
    Loses(u32),
}

/// An operation or fault. Routers and targets are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// SIGTERM, and a restart on the same addresses this many milliseconds after the process has exited.
    Stop(usize, u64),
    /// SIGHUP.
    Reload(usize),
    /// A change, confirmed at a router.
    Change(usize, Change),
    /// SIGKILL, and a restart on the same addresses this many milliseconds later.
    Kill(usize, u64),
    /// SIGSTOP, and SIGCONT this many milliseconds later.
    Freeze(usize, u64),
    /// The log has a fault for this many milliseconds.
    Log(LogFault, u64),
    /// An engine has a fault for this many milliseconds.
    Engine(usize, TargetFault, u64),
    /// A service has a fault for this many milliseconds.
    Service(usize, TargetFault, u64),
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub kind: Kind,
    pub routers: usize,
    /// Latency of the log without a fault, in milliseconds. Giving back grants takes this long.
    pub log_delay_ms: u64,
    pub callers: Vec<Caller>,
    /// Steps, each with its time in milliseconds.
    pub steps: Vec<(u64, Step)>,
    pub load_ms: u64,
}

impl Plan {
    /// Draws the plan of a seed. `routers` overrides the drawn number of routers.
    pub fn new(seed: u64, kind: Kind, routers: Option<usize>) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let drawn = rng.random_range(2..=4);
        let routers = routers.unwrap_or(drawn);
        let mut plan = Self {
            seed,
            kind,
            routers,
            log_delay_ms: rng.random_range(2..=150),
            callers: (0..routers * CALLERS_PER_ROUTER)
                .map(|_| caller(&mut rng))
                .collect(),
            steps: Vec::new(),
            load_ms: LOAD_MS,
        };
        let mut at = FIRST_STEP_MS;
        while at < LOAD_MS {
            let step = match kind {
                Kind::Faults if rng.random_bool(FAULT_SHARE) => fault(&mut rng, routers),
                _ => step(&mut rng, routers),
            };
            plan.steps.push((at, step));
            // Half of the steps follow the one before within 30 ms, so that they coincide.
            at += if rng.random_bool(0.5) {
                rng.random_range(0..30)
            } else {
                rng.random_range(30..STEP_GAP_MAX_MS)
            };
        }
        plan
    }
}

fn caller(rng: &mut StdRng) -> Caller {
    Caller {
        seed: rng.random(),
        habit: match rng.random_range(0..10) {
            0..5 => Habit::Kept,
            5..8 => Habit::Stale,
            _ => Habit::Fresh,
        },
        payer: match rng.random_range(0..10) {
            0..6 => Payer::Rich,
            _ => Payer::Scarce,
        },
        pause_max_ms: [10, 50, 300][rng.random_range(0..3)],
        retries: rng.random_bool(0.7),
        abandon_share: [0.0, 0.0, 0.1][rng.random_range(0..3)],
    }
}

fn step(rng: &mut StdRng, routers: usize) -> Step {
    let router = rng.random_range(0..routers);
    // The first target of each kind never drains.
    let target = rng.random_range(1..TARGETS);
    let work = [Work::None, Work::Any][rng.random_range(0..2)];
    match rng.random_range(0..20) {
        0..10 => Step::Stop(router, rng.random_range(0..600)),
        10..13 => Step::Reload(router),
        13..15 => Step::Change(router, Change::TopUp),
        15..17 => Step::Change(router, Change::Engine(target, work)),
        17 => Step::Change(router, Change::Service(target, work)),
        _ => Step::Change(router, Change::Patience(rng.random_range(4_000..8_000))),
    }
}

fn fault(rng: &mut StdRng, routers: usize) -> Step {
    let router = rng.random_range(0..routers);
    let target = rng.random_range(0..TARGETS);
    let span = rng.random_range(100..2_000);
    let fault = match rng.random_range(0..3) {
        0 => TargetFault::Refuses(rng.random_range(100..700)),
        1 => TargetFault::Breaks(rng.random_range(100..700)),
        _ => TargetFault::Slow(rng.random_range(2..20)),
    };
    match rng.random_range(0..20) {
        0..6 => Step::Kill(router, rng.random_range(0..600)),
        6..9 => Step::Freeze(router, rng.random_range(100..3_000)),
        9..12 => {
            let fault = match rng.random_range(0..3) {
                0 => LogFault::Down,
                1 => LogFault::Slow(rng.random_range(200..900)),
                _ => LogFault::Loses(rng.random_range(100..700)),
            };
            Step::Log(fault, span)
        }
        12..16 => Step::Engine(target, fault, span),
        _ => Step::Service(target, fault, span),
    }
}
