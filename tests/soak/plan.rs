//! The plan of a run: its deployment, its callers, and its steps with their times. All of it is drawn from the seed
//! before the run starts, so the same seed gives the same plan.

use crate::deployment::runner::Mode;
use crate::deployment::store::Fault;
use crate::proxy::LinkFault;
use crate::routes::Partition;
use crate::said::TargetNotice;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Duration of the load, in milliseconds: long enough that each gateway is stopped once or twice.
const LOAD_MS: u64 = 7_000;
/// Time before the first step, in milliseconds: callers have open connections by then.
const FIRST_STEP_MS: u64 = 500;
/// Longest time between steps, in milliseconds: shorter than a stop takes, so that steps overlap.
const STEP_GAP_MAX_MS: u64 = 500;
/// Prepaid tokens of [`Owner::Local`]: about ten times what its callers use in a run, so that its budget lasts, but no
/// gateway gets as much without demand.
pub const LOCAL_PREPAID: u64 = 100_000;
/// Prepaid tokens of [`Owner::Scarce`] at the start, and those that a top-up adds.
pub const SCARCE_PREPAID: u64 = 1_500;
pub const TOP_UP_TOKENS: u64 = 800;

/// Every third seed with faults lets entries lapse, and then has no other store fault and no freeze: time bounds are
/// suspended during those, so with them the bounds would never be checked.
const LAPSE_SEEDS: u64 = 3;
/// Entries that lapse in such a run.
const LAPSES: usize = 2;
/// Crashes of targets that restart under the same id, in each seed with faults that follows one with lapses.
const RESTARTS: usize = 4;
/// Latest time at which they lapse, in milliseconds: early enough that callers still send when the bound has passed.
const LAPSE_LATEST_MS: u64 = 1_300;
/// Longest time until a running target writes its entry again after the store is back, in milliseconds: targets do so
/// within about two seconds.
pub const REWRITE_MAX_MS: u64 = 2_000;

/// How a caller uses connections and resolved addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Keeps connections and reuses them until the other side closes them.
    Kept,
    /// Opens a connection for each request and respects the lifetime of the resolved addresses.
    Fresh,
    /// As [`Self::Fresh`], but uses resolved addresses for three times their lifetime.
    Stale,
    /// As [`Self::Stale`], and reads long responses slowly.
    Slow,
}

/// The customer whose key a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// Has tokens for all its requests.
    Rich,
    /// Runs out of tokens.
    Scarce,
    /// Its key is revoked during the run.
    Revoked,
    /// All its callers use one gateway.
    Local,
}

impl Owner {
    pub fn key(self) -> &'static str {
        match self {
            Self::Rich => crate::deployment::KEY,
            Self::Scarce => "key-of-bo",
            Self::Revoked => "key-of-cy",
            Self::Local => "key-of-di",
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Self::Rich => crate::deployment::CUSTOMER,
            Self::Scarce => "bo",
            Self::Revoked => "cy",
            Self::Local => "di",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub seed: u64,
    pub habit: Habit,
    pub owner: Owner,
    /// Longest pause between two requests, in milliseconds.
    pub pause_max_ms: u64,
    /// Whether it retries a request that failed or was refused.
    pub retries: bool,
    /// Share of its requests that it abandons early, 0 to 1.
    pub abandon_share: f64,
    /// The only gateway that it uses. Such a caller comes back at the time that it was told while its deadline allows.
    pub gateway: Option<usize>,
}

/// Capacity of a gateway's host, as its settings name it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    pub cores: f64,
    pub link_mbps: u32,
}

/// A change of configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// New weights of the two services of plain routes.
    Weights(u32, u32),
    /// More prepaid tokens.
    TopUp,
    /// A new timeout of all routes, in milliseconds.
    Timeout(u64),
    /// Revokes the key of [`Owner::Revoked`].
    RevokeKey,
}

/// An operation or fault. Gateways and targets are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// SIGTERM, and a restart under the same name this many milliseconds after the process has exited.
    Stop(usize, u64),
    /// SIGHUP.
    Reload(usize),
    Change(Change),
    /// The target drains, or its entry is removed at once; another instance takes its address later.
    Leave(usize, Departure),
    /// SIGKILL, and a restart under the same name this many milliseconds later.
    Kill(usize, u64),
    /// SIGSTOP, and SIGCONT this many milliseconds later.
    Freeze(usize, u64),
    /// The store has a fault towards one gateway, or all of them, for this many milliseconds.
    Store(Option<usize>, Fault, u64),
    /// The store compacts all topics.
    Compact,
    /// The store is copied; after the first time (in milliseconds) it stops answering, after the second it is restored
    /// from the copy, and after the third its other writers repeat the writes that were lost.
    Restore(u64, u64, u64),
    /// The link to a target has a fault for this many milliseconds.
    Link(usize, LinkFault, u64),
    /// A target runs in a faulty mode for this many milliseconds.
    Target(usize, Mode, u64),
    /// A target's entry lapses while the store is unavailable for this many milliseconds.
    Lapse(usize, Rewrite, u64),
    /// A target crashes, and an instance of a service that no route names takes its address at once.
    Crash(usize),
    /// A target's process crashes and restarts under the same id.
    Restart(usize),
    /// A target sends a notice about itself for this many milliseconds.
    Notice(usize, TargetNotice, u64),
    /// The two targets of a service, of which this is the first, announce how many requests they may reject in a second,
    /// for this many milliseconds; after a while they let only as many wait as the second number says.
    Rejections(usize, u32, u32, u64),
    /// A gateway has no path to any target for this many milliseconds.
    Partition(usize, Partition, u64),
    /// Requests with a block under which targets crash come to the gateways in turn, this many.
    CrashingBlock(usize),
    /// A target takes this percentage of its usual time, and reports that, for this many milliseconds.
    Slow(usize, u64, u64),
}

/// How a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// Its entry says that it drains, and is removed later.
    Draining,
    /// Its entry is removed at once.
    Gone,
}

/// Whether a target whose entry has lapsed writes it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rewrite {
    /// This many milliseconds after the store is back.
    After(u64),
    Never,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub gateways: usize,
    /// Capacity of each gateway's host.
    pub capacities: Vec<Capacity>,
    /// The target that is always slower than the others.
    pub slower_target: usize,
    /// Lifetime of resolved addresses, in milliseconds.
    pub address_ttl_ms: u64,
    /// Latency of a store call without a fault, in milliseconds.
    pub store_delay_ms: u64,
    pub callers: Vec<Caller>,
    /// Steps, each with its time in milliseconds.
    pub steps: Vec<(u64, Step)>,
    pub load_ms: u64,
    pub kind: Kind,
    /// Whether each gateway has its own paths to the targets.
    pub has_own_paths: bool,
    /// The versions of the model engines' software.
    pub versions: Versions,
    /// Whether targets of plain services take only a few requests at once.
    pub has_limited_room: bool,
    /// Maximum age of a restored copy that gateways are configured with, in milliseconds.
    pub copy_age_max_ms: u64,
}

/// The versions of the model engines' software in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions {
    /// All have the same.
    One,
    /// Several run side by side, and each new instance has another one. Callers take up streams that broke off.
    Several,
}

/// Which steps a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only planned operations.
    Planned,
    /// External faults mixed with planned operations.
    Faults,
}

/// Targets: two of each plain service and two engines.
pub const TARGETS: [&str; 6] = ["app", "app", "other", "other", "engine", "engine"];

impl Plan {
    /// Draws the plan of a seed. `gateways` overrides the drawn number of gateways.
    pub fn new(seed: u64, kind: Kind, gateways: Option<usize>) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let drawn = rng.random_range(2..=4);
        let gateways = gateways.unwrap_or(drawn);
        let callers = (0..gateways * 9).map(|_| caller(&mut rng)).collect();
        let mut plan = Self {
            seed,
            gateways,
            capacities: Vec::new(),
            slower_target: 0,
            address_ttl_ms: rng.random_range(200..=800),
            store_delay_ms: rng.random_range(2..=150),
            callers,
            steps: Vec::new(),
            load_ms: LOAD_MS,
            kind,
            has_own_paths: false,
            versions: Versions::One,
            has_limited_room: false,
            copy_age_max_ms: 0,
        };
        let mut at = FIRST_STEP_MS;
        while at < LOAD_MS {
            let is_fault = kind == Kind::Faults && rng.random_bool(FAULT_SHARE);
            let step = if is_fault {
                fault(&mut rng, gateways)
            } else {
                step(&mut rng, gateways)
            };
            plan.steps.push((at, step));
            // Half of the steps follow the one before within 30 ms, so that they coincide.
            at += if rng.random_bool(0.5) {
                rng.random_range(0..30)
            } else {
                rng.random_range(30..STEP_GAP_MAX_MS)
            };
        }
        if kind == Kind::Faults && seed % LAPSE_SEEDS == 0 {
            let is_calm = |step: &Step| !matches!(step, Step::Store(..) | Step::Freeze(..));
            plan.steps.retain(|(_, step)| is_calm(step));
            plan.steps.extend(lapses(seed));
            plan.steps.sort_by_key(|(at, _)| *at);
        }
        if kind == Kind::Faults && seed % LAPSE_SEEDS == 1 {
            plan.steps.extend(restarts(seed));
            plan.steps.sort_by_key(|(at, _)| *at);
        }
        plan.with_unequal_load()
    }

    /// Adds gateways and targets that are unequal, and a customer whose callers all use one gateway.
    fn with_unequal_load(mut self) -> Self {
        // A separate generator, so that the rest of the plan does not depend on these draws.
        let mut rng = StdRng::seed_from_u64(self.seed ^ UNEQUAL_SEED);
        let first = rng.random_range(0..CAPACITIES.len());
        let hosts = CAPACITIES.into_iter().cycle().skip(first);
        self.capacities = hosts.take(self.gateways).collect();
        self.slower_target = rng.random_range(0..TARGETS.len());
        let gateway = Some(rng.random_range(0..self.gateways));
        self.callers.extend((0..LOCAL_CALLERS).map(|_| Caller {
            seed: rng.random(),
            habit: [Habit::Kept, Habit::Fresh][rng.random_range(0..2)],
            owner: Owner::Local,
            pause_max_ms: LOCAL_PAUSE_MAX_MS,
            retries: true,
            abandon_share: 0.0,
            gateway,
        }));
        for target in 0..TARGETS.len() {
            let mut at = 0;
            loop {
                at += rng.random_range(SLOW_MS..SLOW_INTERVAL_MAX_MS);
                if at >= LOAD_MS {
                    break;
                }
                self.steps
                    .push((at, Step::Slow(target, SLOW_PERCENT, SLOW_MS)));
            }
        }
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }

    /// Adds restores of the store from copies.
    pub fn with_restores(mut self) -> Self {
        self.steps.extend(restores(self.seed));
        self.steps.sort_by_key(|(at, _)| *at);
        self.copy_age_max_ms = COPY_AGE_MAX_MS;
        self
    }

    /// Adds gateways that lose their paths to all targets, and a block of prompts under which targets crash. No other
    /// step takes a target out of service then.
    pub fn with_partitions(mut self) -> Self {
        self.steps.retain(|(_, step)| {
            !matches!(
                step,
                Step::Leave(..) | Step::Lapse(..) | Step::Crash(_) | Step::Restart(_)
            )
        });
        self.steps.extend(partitions(self.seed, self.gateways));
        self.steps.sort_by_key(|(at, _)| *at);
        self.has_own_paths = true;
        self
    }

    /// Adds engines of several versions, whose streams break off, and callers that take streams up again.
    pub fn with_versions(mut self) -> Self {
        self.steps.extend(interruptions(self.seed, self.gateways));
        self.steps.sort_by_key(|(at, _)| *at);
        self.versions = Versions::Several;
        self
    }

    /// Adds targets that answer with bytes without end, several at a time.
    pub fn with_floods(mut self) -> Self {
        self.steps.extend(floods(self.seed));
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }

    /// Adds targets that take a few requests at once, of which those of one service announce that they fail after
    /// rejections. No other step takes a target out of service then.
    pub fn with_rejections(mut self) -> Self {
        self.steps.retain(|(_, step)| {
            !matches!(step, Step::Leave(..) | Step::Lapse(..) | Step::Crash(_))
        });
        self.steps.push(rejections(self.seed));
        self.callers.extend(busy_callers(self.seed));
        self.steps.sort_by_key(|(at, _)| *at);
        self.has_limited_room = true;
        self
    }

    /// Adds targets that send notices about themselves.
    pub fn with_notices(mut self) -> Self {
        self.steps.extend(notices(self.seed));
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }
}

/// Sets the generator of the unequal load apart from those of the other parts of a plan.
const UNEQUAL_SEED: u64 = 0x75_6e_65_71_75_61_6c;
/// Capacities of the hosts, each more than twice the next, so that callers and grants are spread by capacity.
const CAPACITIES: [Capacity; 3] = [
    Capacity {
        cores: 0.5,
        link_mbps: 200,
    },
    Capacity {
        cores: 0.2,
        link_mbps: 25,
    },
    Capacity {
        cores: 0.09,
        link_mbps: 10,
    },
];
/// Callers of [`Owner::Local`], and the longest pause between two requests of one, in milliseconds.
const LOCAL_CALLERS: usize = 8;
const LOCAL_PAUSE_MAX_MS: u64 = 100;
/// Time that the slower target takes, in percent of the time of the others: a stream stays far below the shortest
/// timeout.
pub const SLOWER_PERCENT: u64 = 140;
/// Time that a target takes in a slow moment, in percent of its usual time.
const SLOW_PERCENT: u64 = 250;
/// How long such a moment lasts, and the longest time from its begin to the next one, in milliseconds.
const SLOW_MS: u64 = 600;
const SLOW_INTERVAL_MAX_MS: u64 = 6_000;

/// Restores of the store in a run that has any, each in its own part of the load.
const RESTORES: u64 = 2;
/// Maximum age of a copy when the store stops answering, in milliseconds.
pub const COPY_AGE_MAX_MS: u64 = 1_500;

fn restores(seed: u64) -> Vec<(u64, Step)> {
    // A separate generator, as in `lapses`.
    let mut rng = StdRng::seed_from_u64(!seed);
    let part = LOAD_MS / RESTORES;
    let restore = |number| {
        let age = rng.random_range(50..COPY_AGE_MAX_MS);
        let away = rng.random_range(0..1_000);
        let again = rng.random_range(0..500);
        let at = number * part + rng.random_range(0..part / 2);
        (at, Step::Restore(age, away, again))
    };
    (0..RESTORES).map(restore).collect()
}

/// Partitions in a run that has any.
const PARTITIONS: usize = 4;
/// Longest partition, in milliseconds: long enough that requests go through other gateways for most of it.
const PARTITION_MAX_MS: u64 = 3_000;
/// Requests with a crashing block in such a run.
const CRASHING_REQUESTS: usize = 12;

fn partitions(seed: u64, gateways: usize) -> Vec<(u64, Step)> {
    // A separate generator, as in `lapses`.
    let mut rng = StdRng::seed_from_u64(!seed);
    let kinds = [Partition::Silent, Partition::Reset, Partition::Refused];
    let partition = |_| {
        let kind = kinds[rng.random_range(0..kinds.len())];
        let span = rng.random_range(300..PARTITION_MAX_MS);
        let gateway = rng.random_range(0..gateways);
        let at = rng.random_range(FIRST_STEP_MS..LOAD_MS);
        (at, Step::Partition(gateway, kind, span))
    };
    let mut steps: Vec<(u64, Step)> = (0..PARTITIONS).map(partition).collect();
    let at = rng.random_range(FIRST_STEP_MS..LOAD_MS / 2);
    steps.push((at, Step::CrashingBlock(CRASHING_REQUESTS)));
    steps
}

/// Engines beside those of [`TARGETS`] in a run with several versions: no other step disturbs them.
pub const MORE_ENGINES: usize = 2;
/// Interruptions of streams in such a run.
const INTERRUPTIONS: usize = 48;
/// Longest time that an engine breaks off its streams, in milliseconds.
const INTERRUPTION_MAX_MS: u64 = 800;

fn interruptions(seed: u64, gateways: usize) -> Vec<(u64, Step)> {
    // A separate generator, as in `lapses`.
    let mut rng = StdRng::seed_from_u64(!seed);
    let engines = TARGETS.len() - 2..TARGETS.len() + MORE_ENGINES;
    let interruption = |_| {
        let at = rng.random_range(FIRST_STEP_MS..LOAD_MS);
        let step = match rng.random_range(0..12) {
            0 => Step::Kill(rng.random_range(0..gateways), rng.random_range(0..600)),
            _ => {
                let mode = Mode::Break(rng.random_range(1..6));
                let span = rng.random_range(100..INTERRUPTION_MAX_MS);
                Step::Target(rng.random_range(engines.clone()), mode, span)
            }
        };
        (at, step)
    };
    (0..INTERRUPTIONS).map(interruption).collect()
}

/// Times in a run with floods that a target answers with bytes without end.
const FLOODS: usize = 12;
/// Longest of these times, in milliseconds.
const FLOOD_MAX_MS: u64 = 1_500;

fn floods(seed: u64) -> Vec<(u64, Step)> {
    // A separate generator, as in `lapses`.
    let mut rng = StdRng::seed_from_u64(!seed);
    let flood = |_| {
        let target = rng.random_range(0..TARGETS.len());
        let span = rng.random_range(100..FLOOD_MAX_MS);
        let at = rng.random_range(FIRST_STEP_MS..LOAD_MS);
        (at, Step::Target(target, Mode::Endless, span))
    };
    (0..FLOODS).map(flood).collect()
}

/// Targets that send notices in a run that has any, each of a different service.
const NOTICE_TARGETS: [usize; 3] = [0, 2, 4];
/// How long they send them, in milliseconds: until shortly before the end of the load, so that the bounds pass within
/// it.
const NOTICE_MS: u64 = 6_000;

fn notices(seed: u64) -> Vec<(u64, Step)> {
    // A separate generator, as in `lapses`.
    let mut rng = StdRng::seed_from_u64(!seed);
    let step = |target| {
        let notice = match rng.random_range(0..3) {
            0 => TargetNotice::Leaving,
            1 => TargetNotice::Limit(rng.random_range(5..200)),
            _ => TargetNotice::Rest(rng.random_range(1..5), rng.random_range(1_200..3_000)),
        };
        let at = rng.random_range(0..FIRST_STEP_MS);
        (at, Step::Notice(target, notice, NOTICE_MS))
    };
    NOTICE_TARGETS.map(step).to_vec()
}

/// Callers that are added where targets take few requests at once: more than the targets of all services can serve.
const BUSY_CALLERS: usize = 60;
/// Their longest pause between two requests, in milliseconds.
const BUSY_PAUSE_MAX_MS: u64 = 10;

fn busy_callers(seed: u64) -> Vec<Caller> {
    // A separate generator, as in `lapses`.
    let mut rng = StdRng::seed_from_u64(!seed);
    let caller = |_| Caller {
        seed: rng.random(),
        habit: Habit::Kept,
        owner: Owner::Rich,
        pause_max_ms: BUSY_PAUSE_MAX_MS,
        retries: true,
        abandon_share: 0.0,
        gateway: None,
    };
    (0..BUSY_CALLERS).map(caller).collect()
}

/// Plain services, which have two targets each.
const PLAIN_SERVICES: usize = 2;

fn rejections(seed: u64) -> (u64, Step) {
    // A separate generator, as in `lapses`.
    let mut rng = StdRng::seed_from_u64(!seed);
    let first = 2 * rng.random_range(0..PLAIN_SERVICES);
    let (limit, queue) = (rng.random_range(0..4), rng.random_range(0..3));
    (0, Step::Rejections(first, limit, queue, NOTICE_MS))
}

/// Share of faults among the steps of a run with faults, 0 to 1.
const FAULT_SHARE: f64 = 0.6;

fn fault(rng: &mut StdRng, gateways: usize) -> Step {
    let gateway = rng.random_range(0..gateways);
    let target = rng.random_range(0..TARGETS.len());
    let span = rng.random_range(100..2_000);
    match rng.random_range(0..20) {
        0..5 => Step::Kill(gateway, rng.random_range(0..600)),
        5..7 => Step::Freeze(gateway, span),
        7..12 => {
            let only = rng.random_bool(0.7).then_some(gateway);
            let fault = match rng.random_range(0..7) {
                0 => Fault::Unavailable,
                1 => Fault::NoGrants,
                2 => Fault::Limited,
                3 => Fault::Silent,
                4 => Fault::Slow(rng.random_range(200..900)),
                5 => Fault::LostAnswer,
                _ => Fault::Late(rng.random_range(100..1_500)),
            };
            Step::Store(only, fault, span)
        }
        12 => Step::Compact,
        13..16 => {
            let fault = match rng.random_range(0..4) {
                0 => LinkFault::Delay(rng.random_range(5..200)),
                1 => LinkFault::Reset,
                2 => LinkFault::DropResponses,
                _ => LinkFault::Stall,
            };
            Step::Link(target, fault, span)
        }
        16..18 => {
            let mode = match rng.random_range(0..6) {
                0 => Mode::Shed,
                1 => Mode::Fail,
                2 => Mode::DropAnswer,
                3 => Mode::Hang,
                4 => Mode::WrongId,
                _ => Mode::Break(rng.random_range(0..4)),
            };
            Step::Target(target, mode, span)
        }
        _ => Step::Crash(target),
    }
}

fn lapses(seed: u64) -> Vec<(u64, Step)> {
    // A separate generator, so that the rest of the plan does not depend on these draws.
    let mut rng = StdRng::seed_from_u64(!seed);
    let lapse = |_| {
        let back = if rng.random_bool(0.3) {
            Rewrite::After(rng.random_range(0..REWRITE_MAX_MS))
        } else {
            Rewrite::Never
        };
        let target = rng.random_range(0..TARGETS.len());
        let step = Step::Lapse(target, back, rng.random_range(300..700));
        (rng.random_range(FIRST_STEP_MS..LAPSE_LATEST_MS), step)
    };
    (0..LAPSES).map(lapse).collect()
}

fn restarts(seed: u64) -> Vec<(u64, Step)> {
    // A separate generator, as in `lapses`.
    let mut rng = StdRng::seed_from_u64(!seed);
    let restart = |_| {
        let step = Step::Restart(rng.random_range(0..TARGETS.len()));
        (rng.random_range(FIRST_STEP_MS..LOAD_MS), step)
    };
    (0..RESTARTS).map(restart).collect()
}

fn caller(rng: &mut StdRng) -> Caller {
    let habit = match rng.random_range(0..10) {
        0..5 => Habit::Kept,
        5 => Habit::Fresh,
        6..8 => Habit::Slow,
        _ => Habit::Stale,
    };
    let owner = match rng.random_range(0..10) {
        _ if habit == Habit::Slow => Owner::Rich,
        0..6 => Owner::Rich,
        6..8 => Owner::Scarce,
        _ => Owner::Revoked,
    };
    Caller {
        seed: rng.random(),
        habit,
        owner,
        pause_max_ms: [20, 100, 400][rng.random_range(0..3)],
        retries: rng.random_bool(0.7),
        abandon_share: [0.0, 0.0, 0.1][rng.random_range(0..3)],
        gateway: None,
    }
}

fn step(rng: &mut StdRng, gateways: usize) -> Step {
    let gateway = rng.random_range(0..gateways);
    match rng.random_range(0..20) {
        0..8 => Step::Stop(gateway, rng.random_range(0..600)),
        8..11 => Step::Reload(gateway),
        11..13 => Step::Change(Change::Weights(
            rng.random_range(1..5),
            rng.random_range(0..5),
        )),
        13..15 => Step::Change(Change::TopUp),
        15 => Step::Change(Change::Timeout(rng.random_range(3_000..5_000))),
        16 => Step::Change(Change::RevokeKey),
        17..19 => Step::Leave(rng.random_range(0..TARGETS.len()), Departure::Draining),
        _ => Step::Leave(rng.random_range(0..TARGETS.len()), Departure::Gone),
    }
}
