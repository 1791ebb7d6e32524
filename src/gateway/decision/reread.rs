//! When a holder reads the rows of a partition of the store although it has nothing to write.
//!
//! The load it answers: when a fleet starts, each router takes itself for a holder, and the first of them are granted
//! the whole budget. The others find nothing free. They have nothing to write, and only a read shows them that tokens
//! were given up. Each read is a call to the store, so the pause between reads that bring nothing doubles.

use super::allotment::Bound;
use crate::units::Millis;

/// First pause between two reads: the interval of renewals, since a router that has found out that it is no holder
/// gives its grant up at its next renewal.
pub const PAUSE_MIN: Millis = Millis(1_000);
/// Longest pause between two reads: a sixteenth of the calls that a read at each renewal would cost.
pub const PAUSE_MAX: Millis = Millis(16_000);

/// How free tokens limit this router's grants in one partition, by the rows last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scarcity {
    /// They limit none.
    #[default]
    None,
    /// They limit at least one.
    Limiting,
    /// One that they limited can be raised.
    Eased,
}

/// Decides how free tokens limit one grant that was bounded by `before` and is now bounded by `bound`. `is_raised` says
/// whether a row that raises the grant is written.
pub fn scarcity(before: Bound, bound: Bound, is_raised: bool) -> Scarcity {
    match (before, bound) {
        (Bound::Free, _) if is_raised => Scarcity::Eased,
        (_, Bound::Free) => Scarcity::Limiting,
        (_, Bound::Need | Bound::Cap) => Scarcity::None,
    }
}

/// The reads of one partition while free tokens limit grants.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reads {
    last: Option<Millis>,
    /// Number of the last reads in succession that brought nothing, where a wake-up counts as the end of all but one.
    vain: u32,
}

impl Reads {
    /// Whether the partition is read although no row is worth writing.
    pub fn is_due(&self, now: Millis, scarcity: Scarcity) -> bool {
        match scarcity {
            Scarcity::None => false,
            Scarcity::Limiting | Scarcity::Eased => {
                let last = self.last;
                last.is_none_or(|last| now.saturating_sub(last) >= self.pause())
            }
        }
    }

    /// Records a read, and how free tokens limit grants by what it brought. A read that failed brought nothing.
    pub fn record(&mut self, now: Millis, scarcity: Scarcity) {
        self.last = Some(now);
        self.vain = match scarcity {
            Scarcity::None | Scarcity::Eased => 0,
            Scarcity::Limiting => self.vain.saturating_add(1),
        };
    }

    /// Begins with the first pause again, counted from the last read: tokens may have become free, or are needed now.
    pub fn reset(&mut self) {
        self.vain = self.vain.min(1);
    }

    /// Time from the last read to the next one.
    pub fn pause(&self) -> Millis {
        let doublings = self.vain.saturating_sub(1).min(PAUSE_MAX.0.ilog2());
        Millis((PAUSE_MIN.0 << doublings).min(PAUSE_MAX.0))
    }
}
