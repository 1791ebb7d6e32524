//! Places in the store's log, over all its histories.
//!
//! The store may come back from a copy of itself that is some seconds old: what was written since is gone, and offsets
//! are given out again. Each time it begins a new era, which it names in its answers. An offset alone therefore names
//! no record; a place does.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// One history of the store; higher after each return from a copy. Zero for a store that names none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A place in a partition's log. Of two places that of the higher era is later, whatever their offsets.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Place {
    /// The history.
    pub era: Era,
    /// Records of the partition before it in that history.
    pub offset: u64,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}

/// Why an answer of the store is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BadEra {
    /// The store names eras, and this answer does not.
    #[snafu(display("the answer names no era"))]
    Missing,
    /// What it names is no number.
    #[snafu(display("the answer's era cannot be read"))]
    Unreadable,
    /// It was given before the store came back from a copy.
    #[snafu(display("the answer is of era {era}, which has ended"))]
    Past {
        /// The era that it names.
        era: Era,
    },
}

/// What an answer says of its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing.
    Nothing,
    /// Something that is no number.
    Unreadable,
    /// This one.
    Era(Era),
}

/// The newest era that any answer has named.
#[derive(Debug, Default)]
pub struct Eras(AtomicU64);

impl Eras {
    /// The newest era.
    pub fn newest(&self) -> Era {
        Era(self.0.load(Ordering::SeqCst))
    }

    /// Decides which era an answer belongs to. One without any is believed until the store has named one.
    ///
    /// # Errors
    /// Why the answer is not to be believed.
    pub fn note(&self, told: Told) -> Result<Era, BadEra> {
        let era = match told {
            Told::Era(era) => era,
            Told::Nothing if self.newest() == Era::default() => return Ok(Era::default()),
            Told::Nothing => return Err(BadEra::Missing),
            Told::Unreadable => return Err(BadEra::Unreadable),
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
