//! Spending commitments: a router limits how fast it spends while the store answers it, which bounds what it can have
//! spent once it is gone.
//!
//! A row grants enough for a time without the store, most of which is never spent. With the row the router commits, for
//! [`SPAN`], to spend no more than a limit that rises with time at a rate near its demand. The commitment is renewed
//! with each row, so it never holds up a router that reaches the store. A router that is cut off may spend faster once
//! the commitment has ended. The next process on the same host knows how long after the row it has started, and that
//! its predecessor had ended before then: at most the limit at that time can be spent, and all that was granted above
//! it is free.
//!
//! Two clocks measure that time. The host's steady clock counts on from one process to the next as long as the host has
//! power. The time of day that most hosts of the fleet agree on ([`Clock`](crate::gateway::clock::Clock)) survives a
//! power loss of all of them. If both are known, the longer time applies. If neither is, nothing is proven, and all
//! that was granted stays counted as spent.
//!
//! This relies on the following:
//!
//! - The processes of one name run on one host, one after the other: the second cannot listen on the link's address
//!   while the first is alive.
//! - The steady clock counts on, and the boot id changes with each boot, unless another host names the same id.
//! - No three quarters of the hosts that were asked have their time of day set back alike between the row and the
//!   start.
//!
//! A process that is frozen may resume at any time, since it reads its own steady clock whenever it spends. A row that
//! the store writes late only weakens the proof, since it carries the time at which it was made.

use serde::{Deserialize, Serialize};

use crate::boot_clock::Reading;
use crate::units::{Millis, Tokens};

/// Duration of a commitment. It has to cover the age of the last row (two seconds at most while the store answers) and
/// the time until a host that has lost power serves again. With a longer one, a router that is cut off while its demand
/// rises is limited to the earlier rate for longer.
pub const SPAN: Millis = Millis(8_000);

/// Duration of commitments without a ramp, as earlier versions wrote them: they began that long before their end.
const SPAN_WITHOUT_RAMP: Millis = Millis(3_000);

/// Error margin added to a time between two readings of the fleet's time of day: hosts count as agreed if they are
/// within a quarter of a second, both at the row and at the start.
const WALL_CLOCK_ERROR: Millis = Millis(500);

/// A spending commitment, as stored with its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commitment {
    /// Tokens of its grant, in total, that the router does not exceed when the commitment begins.
    pub initial_limit: Tokens,
    /// The end of the commitment, by the clock of the router's host.
    pub until: Reading,
    /// How the limit rises. It is encoded after the other fields, and commitments of earlier versions end without it.
    #[serde(skip)]
    pub ramp: Option<Ramp>,
}

/// How the limit of a commitment rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ramp {
    /// When the limit begins to rise, by the clock of the router's host.
    pub begin: Millis,
    /// When the limit begins to rise, by the time of day that the fleet's hosts agree on, if they do.
    pub wall: Option<Millis>,
    /// How fast the limit rises, in tokens a second.
    pub rate: u64,
}

/// A time at which a process had started, so that no earlier process of its name was alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessStart {
    /// The time on the steady clock of the process's host, if the host has one.
    pub boot: Option<Reading>,
    /// The same instant as a time of day that the fleet's hosts agree on, if they do.
    pub wall: Option<Millis>,
}

impl Ramp {
    /// Tokens by which the limit has risen at `at` of the router's clock.
    pub(super) fn increase(&self, at: Millis) -> Tokens {
        let since = at.saturating_sub(self.begin);
        Tokens(self.rate.saturating_mul(since.0) / 1_000)
    }
}

impl Commitment {
    /// A commitment that ended before it was made: it limits and proves nothing. It is the encoding of a missing
    /// commitment in rows with further fields.
    pub(super) fn placeholder() -> Self {
        Self {
            initial_limit: Tokens::ZERO,
            until: Reading::default(),
            ramp: Some(Ramp::default()),
        }
    }

    /// When the commitment was made, by the clock of the router's host.
    pub fn made_at(&self) -> Millis {
        let span = match self.ramp {
            Some(_) => SPAN,
            None => SPAN_WITHOUT_RAMP,
        };
        self.until.at.saturating_sub(span)
    }

    /// The most that is spent by `at` of the router's clock; `None` once the commitment has ended.
    pub fn limit(&self, at: Millis) -> Option<Tokens> {
        let increase = self.ramp.map_or(Tokens::ZERO, |ramp| ramp.increase(at));
        // Values written by another version may be of any size.
        (at < self.until.at).then(|| Tokens(self.initial_limit.0.saturating_add(increase.0)))
    }

    /// The most that the router had spent when the next process on its host started; `None` if it cannot be proven that
    /// the router ended within the commitment.
    pub fn proven_limit(&self, start: &ProcessStart) -> Option<Tokens> {
        let elapsed = self.elapsed_at(start)?;
        self.limit(Millis(self.made_at().0.checked_add(elapsed.0)?))
    }

    /// Upper bound on how long after the commitment was made a process started. A commitment that has the fleet's time
    /// of day is measured by it, and also by the boot's clock if that is known. A start before the commitment is the
    /// error of one of the clocks, so nothing follows from it.
    fn elapsed_at(&self, start: &ProcessStart) -> Option<Millis> {
        let by_boot = match start.boot {
            Some(boot) if boot.boot == self.until.boot => {
                Some(boot.at.0.checked_sub(self.made_at().0)?)
            }
            _ => None,
        };
        let ramp = self.ramp.and_then(|ramp| Some((ramp.begin, ramp.wall?)));
        let Some((begin, wall)) = ramp else {
            return by_boot.map(Millis);
        };
        let ramp_delay = begin.saturating_sub(self.made_at());
        let made_at = wall.saturating_sub(ramp_delay);
        let started = start.wall? + WALL_CLOCK_ERROR;
        let by_wall = started.0.checked_sub(made_at.0)?;
        Some(Millis(
            by_boot.map_or(by_wall, |by_boot| by_boot.max(by_wall)),
        ))
    }
}
