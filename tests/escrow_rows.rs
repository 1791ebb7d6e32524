//! Prepaid budgets under escrow: randomised runs of several routers over a store that loses
//! answers, does appends late, and of routers that die and come back. What all routers together
//! spend never passes what was prepaid, and what nobody holds can be spent.

use std::collections::HashMap;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use lanedeck::boot_clock::Reading;
use lanedeck::gateway::clock::{Clock, Readings};
use lanedeck::gateway::decision::grant::{Role, Sizing, least_given_back};
use lanedeck::gateway::escrow::{Account, Holder, Ledger, Loan, Row, Seen, Short};
use lanedeck::store::{Era, Place};
use lanedeck::units::{Millis, Tokens};

const ROUTERS: usize = 4;
const BORROWER: &str = "r3";
const STEPS: usize = 120;
const SEEDS: u64 = 4_000;
/// Random bytes of one run.
const BYTES: u64 = 4_096;
const STARTED: Reading = Reading {
    boot: 1,
    at: Millis(999_000),
};
const SIZING: Sizing = Sizing {
    horizon: Millis(8_000),
    exact: Millis(2_000),
    share: 0.8,
    spread: 0.2,
    holders: ROUTERS,
    copy_age: Millis::ZERO,
};

/// Most of a budget is held ahead, whatever the demand.
const AMPLE: Sizing = Sizing {
    horizon: Millis(16_000),
    exact: Millis(0),
    share: 0.95,
    spread: 0.95,
    holders: ROUTERS,
    copy_age: Millis::ZERO,
};

/// Longest age of a copy that the store comes back from.
const COPY_AGE: Millis = Millis(2_000);

type Log = Vec<(String, Row)>;

/// The store: rows in the order that they were written.
#[derive(Default)]
struct Store {
    log: Log,
    era: Era,
    /// The logs of former eras.
    former: Vec<Log>,
    /// What it held of late.
    past: Vec<Past>,
}

/// What the store held once: the first rows of an era's log.
#[derive(Clone, Copy)]
struct Past {
    until: Millis,
    era: usize,
    len: usize,
}

impl Store {
    fn append(&mut self, now: Millis, at: usize, router: &str, row: Row) -> bool {
        let fits = self.log.len() == at;
        if fits {
            self.note_past(now);
            self.log.push((router.to_owned(), row));
        }
        fits
    }

    fn end(&self) -> Place {
        Place {
            era: self.era,
            offset: self.log.len() as u64,
        }
    }

    fn note_past(&mut self, now: Millis) {
        self.past.push(Past {
            until: now,
            era: self.former.len(),
            len: self.log.len(),
        });
    }

    /// What copies of at most an age may hold, besides what it holds now.
    fn copies(&mut self, now: Millis, copy_age: Millis) -> &[Past] {
        let oldest = now.saturating_sub(copy_age);
        self.past.retain(|past| past.until >= oldest);
        &self.past
    }

    /// Comes back from a copy.
    fn restore(&mut self, now: Millis, past: Past) {
        self.note_past(now);
        self.former.push(std::mem::take(&mut self.log));
        self.log = self.former[past.era][..past.len].to_vec();
        self.era.0 += 1;
    }
}

/// How far the time of day is ahead of the time of a run.
const WALL_AHEAD: Millis = Millis(50_000_000);

struct Router {
    name: String,
    incarnation: u64,
    account: Account,
    ledger: Ledger,
    read: Place,
    reserved: Vec<Tokens>,
    /// When its process had started, by its host's clock.
    started: Reading,
    /// The same by the time of the run.
    begun: Millis,
    /// What other hosts have told it of their clocks.
    clock: Clock,
    /// Appends whose answers were lost, and where the log had to end for them.
    unknown: Vec<(Place, Row)>,
}

impl Router {
    fn new(number: usize, incarnation: u64, started: Reading, begun: Millis) -> Self {
        Self {
            started,
            begun,
            clock: Clock::new(Some(started.boot)),
            name: format!("r{number}"),
            incarnation,
            account: Account::default(),
            ledger: Ledger::default(),
            read: Place::default(),
            reserved: Vec::new(),
            unknown: Vec::new(),
        }
    }

    /// What its host's clock reads.
    fn at(&self, now: Millis) -> Millis {
        self.started.at + now.saturating_sub(self.begun)
    }

    /// Hears the time of day of three hosts, and of a fourth one that may be off by as much.
    fn hear(&mut self, now: Millis, fourth_off: i64) {
        let (at, wall) = (self.at(now), now + WALL_AHEAD);
        let off = Millis(wall.0.saturating_add_signed(fourth_off));
        for (host, wall) in [("h1", wall), ("h2", wall), ("h3", wall), ("h4", off)] {
            let readings = Readings {
                boot: None,
                wall: Some(wall),
            };
            self.clock.note(host, at, &readings);
        }
    }

    /// Reads to the end of the log; all of it where the store has come back from a copy.
    fn read(&mut self, now: Millis, store: &Store, copy_age: Millis) {
        let (at, end) = (self.at(now), store.end());
        let from = match self.read.era == end.era {
            true => self.read.offset as usize,
            false => 0,
        };
        let mut own = None;
        for (router, row) in &store.log[from..] {
            self.ledger.set(router, Some(*row));
            if *router == self.name {
                own = Some(*row);
            }
        }
        self.read = end;
        let seen = Seen { era: end.era, at };
        self.account.confirm(&seen, copy_age);
        let (settled, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unknown)
            .into_iter()
            .partition(|(at, _)| end.offset > at.offset);
        self.unknown = left;
        if settled.is_empty() {
            return;
        }
        self.account.withdraw(at);
        for (place, row) in settled {
            if place.era == end.era && own == Some(row) {
                self.account.acknowledge(at, &row);
            }
        }
        self.send_unknown();
    }

    fn send_unknown(&mut self) {
        for (_, row) in &self.unknown {
            self.account.send(row);
        }
    }

    fn row(&mut self, now: Millis, prepaid: Tokens, sizing: &Sizing, waiting: Tokens) -> Row {
        // One router borrows, and has no grants but for what waits.
        let role = if self.name == BORROWER {
            Role::Borrower
        } else {
            Role::Holder
        };
        let holder = Holder {
            router: &self.name,
            incarnation: self.incarnation,
            role,
            started: Some(self.started),
            clock: &self.clock,
            era: self.read.era,
        };
        self.account
            .wanted(now, &self.ledger, &holder, prepaid, sizing, waiting)
    }
}

/// What an append comes to.
#[derive(Clone, Copy)]
enum Fate {
    Answered,
    LostDone,
    LostNotDone,
    LostLate,
}

struct World {
    store: Store,
    routers: Vec<Router>,
    /// Appends that are done later, if they still fit.
    late: Vec<(Place, String, Row)>,
    /// What targets have handed out, for which nobody can ask back.
    spent: u64,
    incarnations: u64,
    sizing: Sizing,
    /// Whether routers hear of each other's clocks.
    has_fleet: bool,
}

impl World {
    fn new() -> Self {
        Self {
            store: Store::default(),
            routers: (0..ROUTERS)
                .map(|n| Router::new(n, n as u64, STARTED, STARTED.at))
                .collect(),
            late: Vec::new(),
            spent: 0,
            incarnations: ROUTERS as u64,
            sizing: SIZING,
            has_fleet: false,
        }
    }

    fn renew(&mut self, index: usize, now: Millis, prepaid: Tokens, waiting: Tokens, fate: Fate) {
        let router = &mut self.routers[index];
        router.read(now, &self.store, self.sizing.copy_age);
        let row = router.row(router.at(now), prepaid, &self.sizing, waiting);
        router.account.send(&row);
        let at = router.read;
        let offset = at.offset as usize;
        match fate {
            Fate::Answered => {
                assert!(self.store.append(now, offset, &router.name, row));
                router.read = self.store.end();
                let end = router.read;
                router.unknown.retain(|(at, _)| end.offset <= at.offset);
                router.account.acknowledge(router.at(now), &row);
                router.send_unknown();
                router.ledger.set(&router.name, Some(row));
            }
            Fate::LostDone => {
                self.store.append(now, offset, &router.name, row);
                router.unknown.push((at, row));
            }
            Fate::LostNotDone => router.unknown.push((at, row)),
            Fate::LostLate => {
                self.late.push((at, router.name.clone(), row));
                router.unknown.push((at, row));
            }
        }
    }

    /// Serves a request at one moment, where it can be paid for.
    fn serve(&mut self, index: usize, now: Millis, cost: Tokens, prepaid: Tokens) {
        let now = self.routers[index].at(now);
        let Router {
            name,
            account,
            ledger,
            ..
        } = &mut self.routers[index];
        if account.reserve(now, cost, prepaid, ledger, name).is_ok() {
            account.note_demand(now, cost);
            account.settle(cost, cost);
            self.spent += cost.0;
        }
    }

    /// Kills a router; the next process starts now, when its host's clock reads `started`.
    fn kill(&mut self, index: usize, started: Reading, now: Millis) {
        // Whatever was under way may have been handed out whole.
        let reserved: Tokens = self.routers[index].reserved.iter().copied().sum();
        self.spent += reserved.0;
        self.incarnations += 1;
        self.routers[index] = Router::new(index, self.incarnations, started, now);
    }

    /// What was handed out and what may still be is within what was prepaid.
    fn check(&self, prepaid: Tokens) {
        let most = self.spent + self.outstanding();
        assert!(most <= prepaid.0, "spent {most} of {}", prepaid.0);
    }

    fn outstanding(&self) -> u64 {
        let reserved = self.routers.iter().flat_map(|router| &router.reserved);
        reserved.map(|tokens| tokens.0).sum()
    }
}

fn step(
    world: &mut World,
    u: &mut Unstructured<'_>,
    now: Millis,
    prepaid: Tokens,
) -> arbtest::arbitrary::Result<()> {
    let index = u.int_in_range(0..=ROUTERS - 1)?;
    if world.has_fleet && u.ratio(2, 3)? {
        let fourth_off = u.int_in_range(-20_000..=20_000)?;
        world.routers[index].hear(now, fourth_off);
    }
    let at = world.routers[index].at(now);
    match u.int_in_range(0..=9)? {
        0..=3 => {
            let cost = Tokens(u.int_in_range(1..=400)?);
            let router = &mut world.routers[index];
            router.account.note_demand(at, cost);
            let result = router
                .account
                .reserve(at, cost, prepaid, &router.ledger, &router.name);
            match result {
                Ok(()) => router.reserved.push(cost),
                Err(Short::Here | Short::Exhausted) => {}
            }
        }
        4..=5 => {
            if let Some(reserved) = world.routers[index].reserved.pop() {
                let cost = Tokens(u.int_in_range(0..=reserved.0)?);
                world.routers[index].account.settle(reserved, cost);
                world.spent += cost.0;
            }
        }
        6..=7 => {
            let fate = *u.choose(&[
                Fate::Answered,
                Fate::Answered,
                Fate::LostDone,
                Fate::LostNotDone,
                Fate::LostLate,
            ])?;
            let waiting = Tokens(u.int_in_range(0..=400)?);
            world.renew(index, now, prepaid, waiting, fate);
        }
        8 => {
            if let Some((at, name, row)) = world.late.pop() {
                world.store.append(now, at.offset as usize, &name, row);
            }
            let other = u.int_in_range(0..=ROUTERS - 1)?;
            if other != index {
                let tokens = if u.arbitrary()? {
                    let lacking = Tokens(u.int_in_range(0..=300)?);
                    let wanted = lacking + Tokens(u.int_in_range(0..=300)?);
                    let loan = Loan { lacking, wanted };
                    world.routers[index].account.lend(at, loan)
                } else {
                    world.routers[index]
                        .account
                        .take_excess(at, Tokens::ZERO, Tokens::ZERO)
                };
                world.routers[other].account.borrow(tokens);
            }
        }
        _ => {
            // A host that lost power has another boot, whose clock may read anything.
            let started = if u.ratio(1, 4)? {
                let at = Millis(u.int_in_range(0..=2 * now.0)?);
                Reading { boot: 2, at }
            } else {
                Reading { boot: 1, at: now }
            };
            world.kill(index, started, now);
        }
    }
    Ok(())
}

#[test]
fn never_over() {
    for seed in 1..=SEEDS {
        arbtest(|u| {
            let prepaid = Tokens(u.int_in_range(500..=20_000)?);
            let mut world = World::new();
            for number in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                let now = Millis(1_000_000 + number as u64 * 137);
                step(&mut world, u, now, prepaid)?;
                world.check(prepaid);
            }
            Ok(())
        })
        .seed(seed << 32 | BYTES);
    }
}

/// Runs ample budgets, of which much is held ahead, with times of up to `gap_max` milliseconds between two steps.
fn ample_runs(gap_max: u64, has_fleet: bool) {
    for seed in 1..=SEEDS {
        arbtest(|u| {
            let prepaid = Tokens(u.int_in_range(20_000..=60_000)?);
            let mut world = World::new();
            world.sizing = AMPLE;
            world.has_fleet = has_fleet;
            let mut now = Millis(1_000_000);
            for _ in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                now += Millis(u.int_in_range(0..=gap_max)?);
                step(&mut world, u, now, prepaid)?;
                // Demand comes in bursts, and some of it uses up all that there is.
                let index = u.int_in_range(0..=ROUTERS - 1)?;
                for _ in 0..u.int_in_range(0..=30)? {
                    world.serve(index, now, Tokens(400), prepaid);
                }
                world.check(prepaid);
            }
            Ok(())
        })
        .seed(seed << 32 | BYTES);
    }
}

/// With long times between two writes of a router, so that promises end before their router dies.
#[test]
fn never_over_a_promise() {
    ample_runs(600, false);
}

/// The same where routers agree on the time of day, so that a promise outlives a loss of power; a quarter of those that
/// are heard may be off by many seconds, and so may this host's clock after it.
#[test]
fn never_over_a_loss_of_power() {
    ample_runs(900, true);
}

/// Has the store come back from a copy, and some routers die meanwhile.
fn restore(
    world: &mut World,
    u: &mut Unstructured<'_>,
    now: Millis,
) -> arbtest::arbitrary::Result<()> {
    let copies = world.store.copies(now, world.sizing.copy_age);
    if copies.is_empty() {
        return Ok(());
    }
    let past = *u.choose(copies)?;
    world.store.restore(now, past);
    for index in 0..ROUTERS {
        if u.ratio(1, 3)? {
            let started = Reading { boot: 1, at: now };
            world.kill(index, started, now);
        }
    }
    Ok(())
}

/// The store comes back from copies of any age up to the longest, at any moment, also one time soon after the other.
#[test]
fn never_over_returns() {
    let (mut served, mut returns) = (0, 0);
    for seed in 1..=SEEDS {
        arbtest(|u| {
            let prepaid = Tokens(u.int_in_range(2_000..=20_000)?);
            let mut world = World::new();
            let sizing = *u.choose(&[SIZING, AMPLE])?;
            world.sizing = Sizing {
                copy_age: COPY_AGE,
                ..sizing
            };
            world.has_fleet = true;
            let mut now = Millis(1_000_000);
            for _ in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                if u.ratio(1, 5)? {
                    step(&mut world, u, now, prepaid)?;
                }
                // One router at a time has most of the demand.
                let index = u.int_in_range(0..=ROUTERS - 1)?;
                for _ in 0..u.int_in_range(1..=8)? {
                    now += Millis(u.int_in_range(0..=150)?);
                    world.renew(index, now, prepaid, Tokens(200), Fate::Answered);
                    world.serve(index, now, Tokens(200), prepaid);
                }
                if u.ratio(1, 20)? {
                    restore(&mut world, u, now)?;
                }
                world.check(prepaid);
            }
            served += world.spent;
            returns += world.store.era.0;
            Ok(())
        })
        .seed(seed << 32 | BYTES);
    }
    assert!(
        served > 0 && returns > SEEDS,
        "{served} tokens, {returns} returns"
    );
    println!("{} tokens a run, {returns} returns", served / SEEDS);
}

#[test]
fn all_is_usable() {
    let prepaid = Tokens(10_000);
    let mut world = World::new();
    let cost = Tokens(100);
    let mut served = 0;
    for number in 0..400_usize {
        let now = Millis(1_000_000 + number as u64 * 50);
        let index = number % ROUTERS;
        world.routers[index].account.note_demand(now, cost);
        world.renew(index, now, prepaid, cost, Fate::Answered);
        let router = &mut world.routers[index];
        if router
            .account
            .reserve(now, cost, prepaid, &router.ledger, &router.name)
            .is_ok()
        {
            router.account.settle(cost, cost);
            served += 1;
        }
    }
    assert_eq!(served, 100, "each token is spent once");
}

/// What a borrower has beyond its need is given back where it is worth a message, and kept where it is a few tokens.
#[test]
fn few_tokens_stay() {
    let (now, least) = (Millis(1_000_000), least_given_back(Tokens(2_000_000)));
    let mut account = Account::default();
    account.borrow(Tokens(1_000));
    let keep = Tokens(1_000 - least.0 + 1);
    assert_eq!(account.take_excess(now, keep, least), Tokens::ZERO);
    assert_eq!(account.available(now), Tokens(1_000), "nothing has gone");
    let keep = Tokens(1_000 - least.0);
    assert_eq!(account.take_excess(now, keep, least), least);
    assert_eq!(account.available(now), keep);
}

#[test]
fn lowered_budget() {
    let mut world = World::new();
    let now = Millis(1_000_000);
    for index in 0..ROUTERS {
        world.renew(index, now, Tokens(10_000), Tokens(500), Fate::Answered);
    }
    let lowered = Tokens(100);
    for index in 0..ROUTERS {
        world.renew(index, now, lowered, Tokens::ZERO, Fate::Answered);
    }
    let granted: HashMap<_, _> = world
        .store
        .log
        .iter()
        .map(|(name, row)| (name, row.granted))
        .collect();
    let sum: Tokens = granted.into_values().sum();
    assert!(sum <= lowered, "unused grants are given back: {sum}");
}
