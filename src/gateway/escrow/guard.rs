//! A router's promise of how fast it spends while the store answers it, and what that proves once it is gone.
//!
//! A row grants enough for a time without the store, most of which is never spent. With it the router promises, for
//! [`SPAN`], to spend no more than a mark that rises with time at a rate near its demand. The promise is renewed with
//! each row, so a router that reaches the store is never held up by it; one that is cut off may spend faster once the
//! promise has ended. The next process on the same host knows how long after the row it has started itself, and its
//! predecessor ended before that: no more than the mark had risen to by then can be spent, and all that was granted
//! above it is free.
//!
//! That time is told by two clocks. The host's steady clock counts on from one process to the next, for as long as
//! the host has power. The time of day that most hosts of the fleet agree on ([`Clock`](crate::gateway::clock::Clock))
//! outlives a loss of power of all of them. Where both tell it, the longer time counts; where neither does, nothing
//! is proved, and what was granted stays counted as spent.
//!
//! This rests on these things: the processes of one name run on one host, one after the other (the second cannot
//! listen on the link's address while the first lives); the steady clock counts on, and the id of a boot changes with
//! each boot, unless another host names the same one; and no three quarters of the hosts that were asked have their
//! time of day set back alike between the row and the start. A process that is frozen may wake at any time, since it
//! looks at its own steady clock whenever it spends. A row that the store takes in late only shortens what is proved,
//! since its time is that of its making.

use serde::{Deserialize, Serialize};

use crate::boot_clock::Reading;
use crate::units::{Millis, Tokens};

/// How long a promise lasts. It has to cover the age of the last row (two seconds at most while the store answers) and
/// the time in which a host that has lost power serves again. Longer, a router that is cut off while its demand rises
/// is held to the earlier rate for longer.
pub const SPAN: Millis = Millis(8_000);

/// How long promises lasted that name no rate: they began that long before their end.
const SPAN_WITHOUT_RATE: Millis = Millis(3_000);

/// What is added to a time between two readings of the fleet's time of day, since each is off by a little: hosts
/// count as agreed within a quarter of a second, at the row and at the start.
const WALL_ERROR: Millis = Millis(500);

/// A promise, as the store keeps it with its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commitment {
    /// Tokens of its grant that the router does not pass when the promise begins, in all.
    pub initial_limit: Tokens,
    /// The end of the promise, by the clock of the router's host.
    pub until: Reading,
    /// How the mark rises. It stands after the other fields, and promises of earlier programs end without it.
    #[serde(skip)]
    pub ramp: Option<Ramp>,
}

/// How the mark of a promise rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ramp {
    /// When it begins to rise, by the clock of the router's host.
    pub begin: Millis,
    /// The same by the time of day that the fleet's hosts agree on, where they do.
    pub wall: Option<Millis>,
    /// Tokens a second.
    pub rate: u64,
}

/// When a process had started: no earlier process of its name lives then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Start {
    /// By the steady clock, where its host has one.
    pub boot: Option<Reading>,
    /// By the time of day that the fleet's hosts agree on, where they do.
    pub wall: Option<Millis>,
}

impl Ramp {
    /// Tokens by which the mark has risen at `at` of the router's clock.
    pub(super) fn risen(&self, at: Millis) -> Tokens {
        let since = at.saturating_sub(self.begin);
        Tokens(self.rate.saturating_mul(since.0) / 1_000)
    }
}

impl Commitment {
    /// A promise that has ended before it was made: it bounds and proves nothing. Rows without a promise are encoded
    /// with it where more follows.
    pub(super) fn void() -> Self {
        Self {
            initial_limit: Tokens::ZERO,
            until: Reading::default(),
            ramp: Some(Ramp::default()),
        }
    }

    /// When the promise was made, by the clock of the router's host.
    pub fn made(&self) -> Millis {
        let span = match self.ramp {
            Some(_) => SPAN,
            None => SPAN_WITHOUT_RATE,
        };
        self.until.at.saturating_sub(span)
    }

    /// The most that is spent by `at` of the router's clock; `None` after the promise.
    pub fn limit(&self, at: Millis) -> Option<Tokens> {
        let risen = self.ramp.map_or(Tokens::ZERO, |ramp| ramp.risen(at));
        // What another program wrote may be of any size.
        (at < self.until.at).then(|| Tokens(self.initial_limit.0.saturating_add(risen.0)))
    }

    /// The most that the router had spent when the next process on its host started; `None` where nothing proves
    /// that it ended within the promise.
    pub fn proved(&self, start: &Start) -> Option<Tokens> {
        let since = self.since(start)?;
        self.limit(Millis(self.made().0.checked_add(since.0)?))
    }

    /// How long after the promise was made a process has started, at most. A promise that names the fleet's time of day
    /// is judged by it, and by the boot's clock as well where that is told; a start before the promise is the error of
    /// one of the clocks, and nothing follows from it.
    fn since(&self, start: &Start) -> Option<Millis> {
        let by_boot = match start.boot {
            Some(boot) if boot.boot == self.until.boot => {
                Some(boot.at.0.checked_sub(self.made().0)?)
            }
            _ => None,
        };
        let ramp = self.ramp.and_then(|ramp| Some((ramp.begin, ramp.wall?)));
        let Some((begin, wall)) = ramp else {
            return by_boot.map(Millis);
        };
        let hold = begin.saturating_sub(self.made());
        let made = wall.saturating_sub(hold);
        let started = start.wall? + WALL_ERROR;
        let by_wall = started.0.checked_sub(made.0)?;
        Some(Millis(
            by_boot.map_or(by_wall, |by_boot| by_boot.max(by_wall)),
        ))
    }
}
