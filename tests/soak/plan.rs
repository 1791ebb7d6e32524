//! What happens in a run, drawn from its seed before it begins: the deployment, its callers, and when
//! which step is taken. The same seed gives the same plan.

use crate::deployment::runner::Mode;
use crate::deployment::store::Fault;
use crate::proxy::Harm;
use crate::said::Said;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How long callers send, in milliseconds: long enough that each gateway is stopped once or twice.
const LOAD: u64 = 7_000;
/// Room before the first step, in milliseconds: callers have open connections by then.
const FIRST: u64 = 500;
/// Longest time between steps, in milliseconds: shorter than a stop takes, so that steps overlap.
const GAP: u64 = 500;
/// Prepaid tokens of the customer that runs out, at the start and added by a top-up.
pub const SCARCE: u64 = 1_500;
pub const TOP_UP: u64 = 800;

/// Each so manyth seed with faults has lapsed entries, and no other fault of the store and no freeze: bounds by
/// time wait for these, and would never hold.
const LAPSING: u64 = 3;
/// Lapsed entries of such a run.
const LAPSES: usize = 2;
/// Crashes of targets that start again under their id, in each seed with faults that comes after one with lapses.
const RESTARTS: usize = 4;
/// When they lapse at the latest, in milliseconds: callers are there when the bound is over.
const LAPSE_LAST: u64 = 1_300;
/// A target that lives is back within about two seconds of the store, in milliseconds.
pub const BACK_MAX: u64 = 2_000;

/// What a caller does with connections and addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Keeps connections and uses them until the other side has closed them.
    Kept,
    /// Opens a connection for each request, by an answer about addresses that it heeds.
    Fresh,
    /// The same, and holds an answer for three times as long as it says.
    Stale,
    /// As [`Self::Stale`], and reads long answers slowly.
    Slow,
}

/// Whose key a caller shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// With tokens for all that it asks.
    Rich,
    /// Whose tokens run out.
    Scarce,
    /// Whose key is taken away.
    Revoked,
}

impl Owner {
    pub fn key(self) -> &'static str {
        match self {
            Self::Rich => crate::deployment::KEY,
            Self::Scarce => "key-of-bo",
            Self::Revoked => "key-of-cy",
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Self::Rich => crate::deployment::CUSTOMER,
            Self::Scarce => "bo",
            Self::Revoked => "cy",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub seed: u64,
    pub habit: Habit,
    pub owner: Owner,
    /// Longest pause between its calls, in milliseconds.
    pub pause: u64,
    /// Whether it comes back after a refusal that says when.
    pub retries: bool,
    /// Part of its calls that it leaves early, 0 to 1.
    pub leaves: f64,
}

/// A change of configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Weights of the two services of plain routes.
    Weights(u32, u32),
    /// More prepaid tokens.
    TopUp,
    /// Time-outs of all routes, in milliseconds.
    Timeout(u64),
    /// The key of [`Owner::Revoked`] is taken away.
    TakeKey,
}

/// What is done to the deployment. Gateways and targets are numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// SIGTERM, and a start under the same name so many milliseconds after the process has ended.
    Stop(usize, u64),
    /// SIGHUP.
    Reload(usize),
    Change(Change),
    /// The target says that it drains, or its entry goes at once; it is another instance later.
    Leave(usize, Notice),
    /// SIGKILL, and a start under the same name so many milliseconds later.
    Kill(usize, u64),
    /// SIGSTOP, and SIGCONT so many milliseconds later.
    Freeze(usize, u64),
    /// The store treats a gateway, or all of them, so for so many milliseconds.
    Store(Option<usize>, Fault, u64),
    /// The store drops the history of all topics.
    Compact,
    /// The store is copied, falls silent so many milliseconds later, and comes back from the copy after so many more;
    /// what others had written is written again so many after that.
    Restore(u64, u64, u64),
    /// The way to a target is harmed for so many milliseconds.
    Link(usize, Harm, u64),
    /// A target behaves so for so many milliseconds.
    Target(usize, Mode, u64),
    /// A target's entry lapses while the store is away for so many milliseconds.
    Lapse(usize, Return, u64),
    /// A target vanishes, and at once an instance of a service that no route names has its address.
    Crash(usize),
    /// A target's process ends, and starts again under its id.
    Restart(usize),
    /// A target says this of itself for so many milliseconds.
    Say(usize, Said, u64),
}

/// How a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It says that it drains; its entry goes later.
    Draining,
    /// Its entry goes.
    Gone,
}

/// Whether a target whose entry has lapsed writes it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// So many milliseconds after the store is back.
    After(u64),
    Never,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub gateways: usize,
    /// Life of an answer about addresses, in milliseconds.
    pub keep: u64,
    /// Time that the store takes for a call without any fault, in milliseconds.
    pub store: u64,
    pub callers: Vec<Caller>,
    /// Steps, each with its time in milliseconds.
    pub steps: Vec<(u64, Step)>,
    pub load: u64,
    pub kind: Kind,
    /// Longest age of a copy that gateways are told, in milliseconds.
    pub copy_age: u64,
}

/// What a run is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Planned work and nothing else.
    Planned,
    /// Faults from outside, and planned work among them.
    Faults,
}

/// Targets: two of each plain service and two engines.
pub const TARGETS: [&str; 6] = ["app", "app", "other", "other", "engine", "engine"];

impl Plan {
    /// The plan of a seed, with as many gateways as are asked for.
    pub fn new(seed: u64, kind: Kind, gateways: Option<usize>) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let drawn = rng.random_range(2..=4);
        let gateways = gateways.unwrap_or(drawn);
        let callers = (0..gateways * 9).map(|_| caller(&mut rng)).collect();
        let mut plan = Self {
            seed,
            gateways,
            keep: rng.random_range(200..=800),
            store: rng.random_range(2..=150),
            callers,
            steps: Vec::new(),
            load: LOAD,
            kind,
            copy_age: 0,
        };
        let mut at = FIRST;
        while at < LOAD {
            let is_fault = kind == Kind::Faults && rng.random_bool(FAULTS);
            let step = if is_fault {
                fault(&mut rng, gateways)
            } else {
                step(&mut rng, gateways)
            };
            plan.steps.push((at, step));
            // Half of the steps come with another one.
            at += if rng.random_bool(0.5) {
                rng.random_range(0..30)
            } else {
                rng.random_range(30..GAP)
            };
        }
        if kind == Kind::Faults && seed % LAPSING == 0 {
            let is_calm = |step: &Step| !matches!(step, Step::Store(..) | Step::Freeze(..));
            plan.steps.retain(|(_, step)| is_calm(step));
            plan.steps.extend(lapses(seed));
            plan.steps.sort_by_key(|(at, _)| *at);
        }
        if kind == Kind::Faults && seed % LAPSING == 1 {
            plan.steps.extend(restarts(seed));
            plan.steps.sort_by_key(|(at, _)| *at);
        }
        plan
    }

    /// The same with a store that comes back from copies.
    pub fn with_returns(mut self) -> Self {
        self.steps.extend(returns(self.seed));
        self.steps.sort_by_key(|(at, _)| *at);
        self.copy_age = COPY_AGE;
        self
    }

    /// The same with targets that say something of themselves.
    pub fn with_words(mut self) -> Self {
        self.steps.extend(words(self.seed));
        self.steps.sort_by_key(|(at, _)| *at);
        self
    }
}

/// Returns of the store from a copy, in a run that has some, each in its part of the load.
const RETURNS: u64 = 2;
/// Age of a copy when the store falls silent, at most, in milliseconds.
pub const COPY_AGE: u64 = 1_500;

fn returns(seed: u64) -> Vec<(u64, Step)> {
    // Draws of their own, as above.
    let mut rng = StdRng::seed_from_u64(!seed);
    let part = LOAD / RETURNS;
    let restore = |number| {
        let age = rng.random_range(50..COPY_AGE);
        let away = rng.random_range(0..1_000);
        let again = rng.random_range(0..500);
        let at = number * part + rng.random_range(0..part / 2);
        (at, Step::Restore(age, away, again))
    };
    (0..RETURNS).map(restore).collect()
}

/// Targets that say something of themselves in a run where some do, each of another service.
const SPEAKERS: [usize; 3] = [0, 2, 4];
/// How long they say it, in milliseconds: until the load is nearly over, so that the bounds are seen.
const SAID_FOR: u64 = 6_000;

fn words(seed: u64) -> Vec<(u64, Step)> {
    // Draws of their own, as below.
    let mut rng = StdRng::seed_from_u64(!seed);
    let say = |target| {
        let said = match rng.random_range(0..3) {
            0 => Said::Leaving,
            1 => Said::Limit(rng.random_range(5..200)),
            _ => Said::Rest(rng.random_range(1..5), rng.random_range(1_200..3_000)),
        };
        let at = rng.random_range(0..FIRST);
        (at, Step::Say(target, said, SAID_FOR))
    };
    SPEAKERS.map(say).to_vec()
}

/// Part of the steps that are faults, 0 to 1, where there are any.
const FAULTS: f64 = 0.6;

fn fault(rng: &mut StdRng, gateways: usize) -> Step {
    let gateway = rng.random_range(0..gateways);
    let target = rng.random_range(0..TARGETS.len());
    let span = rng.random_range(100..2_000);
    match rng.random_range(0..20) {
        0..5 => Step::Kill(gateway, rng.random_range(0..600)),
        5..7 => Step::Freeze(gateway, span),
        7..12 => {
            let some = rng.random_bool(0.7).then_some(gateway);
            let fault = match rng.random_range(0..7) {
                0 => Fault::Unavailable,
                1 => Fault::NoGrants,
                2 => Fault::Limited,
                3 => Fault::Silent,
                4 => Fault::Slow(rng.random_range(200..900)),
                5 => Fault::LostAnswer,
                _ => Fault::Late(rng.random_range(100..1_500)),
            };
            Step::Store(some, fault, span)
        }
        12 => Step::Compact,
        13..16 => {
            let harm = match rng.random_range(0..4) {
                0 => Harm::Delay(rng.random_range(5..200)),
                1 => Harm::Reset,
                2 => Harm::CutBack,
                _ => Harm::Silence,
            };
            Step::Link(target, harm, span)
        }
        16..18 => {
            let mode = match rng.random_range(0..6) {
                0 => Mode::Shed,
                1 => Mode::Fail,
                2 => Mode::Lose,
                3 => Mode::Mute,
                4 => Mode::Foreign,
                _ => Mode::Break(rng.random_range(0..4)),
            };
            Step::Target(target, mode, span)
        }
        _ => Step::Crash(target),
    }
}

fn lapses(seed: u64) -> Vec<(u64, Step)> {
    // Draws of their own, so that they don't change the rest of a plan.
    let mut rng = StdRng::seed_from_u64(!seed);
    let lapse = |_| {
        let back = if rng.random_bool(0.3) {
            Return::After(rng.random_range(0..BACK_MAX))
        } else {
            Return::Never
        };
        let target = rng.random_range(0..TARGETS.len());
        let step = Step::Lapse(target, back, rng.random_range(300..700));
        (rng.random_range(FIRST..LAPSE_LAST), step)
    };
    (0..LAPSES).map(lapse).collect()
}

fn restarts(seed: u64) -> Vec<(u64, Step)> {
    // Draws of their own, as above.
    let mut rng = StdRng::seed_from_u64(!seed);
    let restart = |_| {
        let step = Step::Restart(rng.random_range(0..TARGETS.len()));
        (rng.random_range(FIRST..LOAD), step)
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
        pause: [20, 100, 400][rng.random_range(0..3)],
        retries: rng.random_bool(0.7),
        leaves: [0.0, 0.0, 0.1][rng.random_range(0..3)],
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
        16 => Step::Change(Change::TakeKey),
        17..19 => Step::Leave(rng.random_range(0..TARGETS.len()), Notice::Draining),
        _ => Step::Leave(rng.random_range(0..TARGETS.len()), Notice::Gone),
    }
}
