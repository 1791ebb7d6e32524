//! Routers over a store of rows that loses answers, does appends late and comes back from copies.
#![allow(dead_code, missing_docs)]

use lanedeck::boot_clock::Reading;
use lanedeck::gateway::clock::{Clock, Readings};
use lanedeck::gateway::decision::grant::{Role, Sizing};
use lanedeck::gateway::escrow::{Account, Holder, Ledger, Row, StoreAnswer};
use lanedeck::store::{Era, Place};
use lanedeck::units::{Millis, Tokens};

pub const ROUTERS: usize = 4;
pub const BORROWER: &str = "r3";
pub const STEPS: usize = 120;
pub const SEEDS: u64 = 4_000;
/// Random bytes of one run.
pub const BYTES: u64 = 4_096;
pub const STARTED: Reading = Reading {
    boot: 1,
    at: Millis(999_000),
};
pub const SIZING: Sizing = Sizing {
    horizon: Millis(8_000),
    exact: Millis(2_000),
    share: 0.8,
    spread: 0.2,
    holders: ROUTERS,
    copy_age: Millis::ZERO,
};

/// Most of a budget is held ahead, whatever the demand.
pub const AMPLE: Sizing = Sizing {
    horizon: Millis(16_000),
    exact: Millis(0),
    share: 0.95,
    spread: 0.95,
    holders: ROUTERS,
    copy_age: Millis::ZERO,
};

/// Longest age of a copy that the store comes back from.
pub const COPY_AGE: Millis = Millis(2_000);

pub type Log = Vec<(String, Row)>;

/// The store: rows in the order that they were written.
#[derive(Default)]
pub struct Store {
    pub log: Log,
    pub era: Era,
    /// The logs of former eras.
    pub former: Vec<Log>,
    /// What it held of late.
    pub past: Vec<Past>,
}

/// What the store held once: the first rows of an era's log.
#[derive(Clone, Copy)]
pub struct Past {
    pub until: Millis,
    pub era: usize,
    pub len: usize,
}

impl Store {
    pub fn append(&mut self, now: Millis, at: usize, router: &str, row: Row) -> bool {
        let fits = self.log.len() == at;
        if fits {
            self.note_past(now);
            self.log.push((router.to_owned(), row));
        }
        fits
    }

    pub fn end(&self) -> Place {
        Place {
            era: self.era,
            offset: self.log.len() as u64,
        }
    }

    pub fn note_past(&mut self, now: Millis) {
        self.past.push(Past {
            until: now,
            era: self.former.len(),
            len: self.log.len(),
        });
    }

    /// What copies of at most an age may hold, besides what it holds now.
    pub fn copies(&mut self, now: Millis, copy_age: Millis) -> &[Past] {
        let oldest = now.saturating_sub(copy_age);
        self.past.retain(|past| past.until >= oldest);
        &self.past
    }

    /// Comes back from a copy.
    pub fn restore(&mut self, now: Millis, past: Past) {
        self.note_past(now);
        self.former.push(std::mem::take(&mut self.log));
        self.log = self.former[past.era][..past.len].to_vec();
        self.era.0 += 1;
    }
}

/// How far the time of day is ahead of the time of a run.
pub const WALL_AHEAD: Millis = Millis(50_000_000);

pub struct Router {
    pub name: String,
    pub incarnation: u64,
    pub account: Account,
    pub ledger: Ledger,
    pub read: Place,
    pub reserved: Vec<Tokens>,
    /// When its process had started, by its host's clock.
    pub started: Reading,
    /// The same by the time of the run.
    pub begun: Millis,
    /// What other hosts have told it of their clocks.
    pub clock: Clock,
    /// Appends whose answers were lost, and where the log had to end for them.
    pub unknown: Vec<(Place, Row)>,
}

impl Router {
    pub fn new(number: usize, incarnation: u64, started: Reading, begun: Millis) -> Self {
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
    pub fn at(&self, now: Millis) -> Millis {
        self.started.at + now.saturating_sub(self.begun)
    }

    /// Hears the time of day of three hosts, and of a fourth one that may be off by as much.
    pub fn hear(&mut self, now: Millis, fourth_off: i64) {
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
    pub fn read(&mut self, now: Millis, store: &Store, copy_age: Millis) {
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
        let seen = StoreAnswer { era: end.era, at };
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

    pub fn send_unknown(&mut self) {
        for (_, row) in &self.unknown {
            self.account.send(row);
        }
    }

    pub fn row(&mut self, now: Millis, prepaid: Tokens, sizing: &Sizing, waiting: Tokens) -> Row {
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
pub enum Fate {
    Answered,
    LostDone,
    LostNotDone,
    LostLate,
}

pub struct World {
    pub store: Store,
    pub routers: Vec<Router>,
    /// Appends that are done later, if they still fit.
    pub late: Vec<(Place, String, Row)>,
    /// What targets have handed out, for which nobody can ask back.
    pub spent: u64,
    pub incarnations: u64,
    pub sizing: Sizing,
    /// Whether routers hear of each other's clocks.
    pub has_fleet: bool,
}

impl World {
    pub fn new() -> Self {
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

    pub fn renew(
        &mut self,
        index: usize,
        now: Millis,
        prepaid: Tokens,
        waiting: Tokens,
        fate: Fate,
    ) {
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
    pub fn serve(&mut self, index: usize, now: Millis, cost: Tokens, prepaid: Tokens) {
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
    pub fn kill(&mut self, index: usize, started: Reading, now: Millis) {
        // Whatever was under way may have been handed out whole.
        let reserved: Tokens = self.routers[index].reserved.iter().copied().sum();
        self.spent += reserved.0;
        self.incarnations += 1;
        self.routers[index] = Router::new(index, self.incarnations, started, now);
    }

    /// What was handed out and what may still be is within what was prepaid.
    pub fn check(&self, prepaid: Tokens) {
        let most = self.spent + self.outstanding();
        assert!(most <= prepaid.0, "spent {most} of {}", prepaid.0);
    }

    pub fn outstanding(&self) -> u64 {
        let reserved = self.routers.iter().flat_map(|router| &router.reserved);
        reserved.map(|tokens| tokens.0).sum()
    }
}
