//! The owner of the rows that an account writes, and the spend of earlier processes of the same router.

use super::guard::ProcessStart;
use super::row::Row;
use crate::boot_clock::Reading;
use crate::gateway::clock::Clock;
use crate::gateway::decision::grant::Role;
use crate::store::Era;
use crate::units::{Millis, Tokens};

/// The router process that owns a row.
#[derive(Clone, Copy, Debug)]
pub struct RowOwner<'a> {
    /// The router's name.
    pub router: &'a str,
    /// The router's process.
    pub incarnation: u64,
    /// The router's role for the customer's budget.
    pub role: Role,
    /// When the process had started, if its host has a steady clock; no earlier process of the router is alive then.
    /// The account's times are read from the same clock.
    pub started: Option<Reading>,
    /// What the fleet's hosts report of their clocks.
    pub clock: &'a Clock,
    /// The era of the store in which rows were read and are written.
    pub era: Era,
}

impl RowOwner<'_> {
    /// When the process had started, by the clocks known now.
    pub(super) fn process_start(&self, now: Millis) -> ProcessStart {
        let wall = self.started.zip(self.clock.offset(now));
        ProcessStart {
            boot: self.started.filter(|_| self.clock.is_boot_id_unique()),
            wall: wall.map(|(started, offset)| offset.wall(started.at)),
        }
    }
}

/// Estimate of what an earlier process of the router may have spent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Predecessor {
    /// The last row of that process.
    pub(super) row: Row,
    /// Tokens that count as spent, including those of the processes before that one.
    pub(super) counted: Tokens,
    /// Whether no later estimate can be better: the fleet's time of day was known, or the cap decided.
    pub(super) is_final: bool,
}

impl Predecessor {
    /// Estimates what the process may have spent, by the clocks known now. If the store may have lost later rows of it,
    /// only the row's cap bounds its spend, whatever the clocks show.
    pub(super) fn estimate_spent(&mut self, owner: &RowOwner<'_>, start: &ProcessStart) {
        let earlier_cap = self.row.earlier_era_cap(owner.era);
        let by_last = self.row.spent_at_most(start);
        let counted = match earlier_cap {
            Some(cap) => cap.limit,
            None => self.row.spent_before + by_last,
        };
        if counted != self.counted {
            let granted = self.row.granted.0;
            let by_fleet = start.wall.is_some();
            tracing::info!(
                event = "row_adopted",
                router = owner.router,
                granted,
                counted = counted.saturating_sub(self.row.spent_before).0,
                by_fleet,
                by_cap = earlier_cap.is_some()
            );
        }
        self.counted = counted;
        self.is_final = start.wall.is_some() || earlier_cap.is_some();
    }

    /// The limit that copies of the store may impose on the router before its next process has written a row: the
    /// earlier process kept to the caps of its last rows. Zero if the store may have lost later rows, since their caps
    /// are unknown.
    pub(super) fn initial_cap(&self, era: Era) -> Tokens {
        let cap = self.row.cap.filter(|cap| cap.era == era);
        cap.map_or(Tokens::ZERO, |cap| cap.lowest)
    }
}
