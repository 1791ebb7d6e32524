//! Positions in the store's log that stay unique when the store is restored from a copy.
//!
//! The store may be restored from a copy of itself that is some seconds old: what was written since is lost, and
//! offsets are assigned again. Each restore begins a new era, which the store names in its answers. An offset alone
//! therefore does not identify a record; a place, which has the era too, does.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Number of one history of the store, which grows with each restore from a copy. Zero for a store that names no era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in a partition's log. Of two places the one of the higher era is later, whatever their offsets.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Place {
    /// The era.
    pub era: Era,
    /// Number of records of the partition before this place in that era.
    pub offset: u64,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}

/// Why the era of an answer is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BadEra {
    /// The store has named an era before, and this answer names none.
    #[snafu(display("the answer names no era"))]
    Missing,
    /// The answer's era is not a number.
    #[snafu(display("the answer's era cannot be read"))]
    Unreadable,
    /// The answer was given before the store was restored from a copy.
    #[snafu(display("the answer is of era {era}, which has ended"))]
    Past {
        /// The era that the answer names.
        era: Era,
    },
}

/// The era that an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedEra {
    /// The answer names no era.
    Missing,
    /// The value is not a number.
    Unreadable,
    /// The era.
    Era(Era),
}

/// Tracks the newest era that any answer has named.
#[derive(Debug, Default)]
pub struct EraTracker(AtomicU64);

impl EraTracker {
    /// The newest era.
    pub fn newest(&self) -> Era {
        Era(self.0.load(Ordering::SeqCst))
    }

    /// Checks and records the era of an answer. An answer without an era is accepted until the store has named one.
    ///
    /// # Errors
    /// Why the era is not accepted.
    pub fn observe(&self, reported: ReportedEra) -> Result<Era, BadEra> {
        let era = match reported {
            ReportedEra::Era(era) => era,
            ReportedEra::Missing if self.newest() == Era::default() => return Ok(Era::default()),
            ReportedEra::Missing => return Err(BadEra::Missing),
            ReportedEra::Unreadable => return Err(BadEra::Unreadable),
        };
        let before = Era(self.0.fetch_max(era.0, Ordering::SeqCst));
        if era < before {
            return Err(BadEra::Past { era });
        }
        if before < era && before != Era::default() {
            tracing::warn!(event = "store_restored", %era, %before);
        }
        Ok(era)
    }
}
