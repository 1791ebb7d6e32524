//! Whose row it is that an account writes, and what earlier processes of the same router may have spent.

use super::guard::Start;
use super::row::Row;
use crate::boot_clock::Reading;
use crate::gateway::clock::Clock;
use crate::gateway::decision::grant::Role;
use crate::store::Era;
use crate::units::{Millis, Tokens};

/// Whose row it is.
#[derive(Clone, Copy, Debug)]
pub struct Holder<'a> {
    /// The router's name.
    pub router: &'a str,
    /// Its process.
    pub incarnation: u64,
    /// Its part in keeping the customer's budget.
    pub role: Role,
    /// When its process had started, where its host has a steady clock: no earlier process of the router lives.
    /// The account's times are of the same clock.
    pub started: Option<Reading>,
    /// What the fleet's hosts tell of their clocks.
    pub clock: &'a Clock,
    /// The era of the store in which rows were read, and are written.
    pub era: Era,
}

impl Holder<'_> {
    /// When its process had started, as far as the clocks tell it now.
    pub(super) fn start(&self, now: Millis) -> Start {
        let wall = self.started.zip(self.clock.offset(now));
        Start {
            boot: self.started.filter(|_| self.clock.tells_boots()),
            wall: wall.map(|(started, offset)| offset.wall(started.at)),
        }
    }
}

/// What an earlier process of the router may have spent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Predecessor {
    /// Its last row.
    pub(super) row: Row,
    /// Tokens, with those of the processes before it.
    pub(super) counted: Tokens,
    /// Whether the fleet's time of day was known when that was judged.
    pub(super) is_settled: bool,
}

impl Predecessor {
    /// Judges what it may have spent by the clocks that are known now. Where the store may have lost later rows of it,
    /// only the row's cap bounds it, whatever the clocks tell.
    pub(super) fn judge(&mut self, holder: &Holder<'_>, start: &Start) {
        let former = self.row.former_cap(holder.era);
        let by_last = self.row.spent_at_most(start);
        let counted = match former {
            Some(cap) => cap.limit,
            None => self.row.spent_before + by_last,
        };
        if counted != self.counted {
            let granted = self.row.granted.0;
            let by_fleet = start.wall.is_some();
            tracing::info!(
                event = "row_adopted",
                router = holder.router,
                granted,
                counted = counted.saturating_sub(self.row.spent_before).0,
                by_fleet,
                by_cap = former.is_some()
            );
        }
        self.counted = counted;
        self.is_settled = start.wall.is_some() || former.is_some();
    }

    /// What copies of the store may bound the router by before its next process has written a row: its former one
    /// kept to the caps of its last rows. Nothing is known of them where the store may have lost later ones.
    pub(super) fn base(&self, era: Era) -> Tokens {
        let cap = self.row.cap.filter(|cap| cap.era == era);
        cap.map_or(Tokens::ZERO, |cap| cap.lowest)
    }
}
