//! What a target says of itself in the head of an answer, whatever its status.
//!
//! The dialect decodes it once into these types. A value that cannot be read says nothing: it neither begins nor ends
//! anything, and is counted and logged.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Requests a second that a target takes from all routers together: finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Rate(f64);

impl Rate {
    /// So many requests a second, where that is a rate.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What an answer's head says of the target that gave it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// Its rate limit; an answer without one ends the limit of before.
    pub rate_limit: Result<Option<Rate>, BadNotice>,
}

impl Default for Notice {
    fn default() -> Self {
        Self {
            rate_limit: Ok(None),
        }
    }
}

/// Why a value that a target sent of itself cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum BadNotice {
    /// Its header came more than once.
    #[snafu(display("{header} came more than once"))]
    Repeated {
        /// The header.
        header: &'static str,
    },
    /// It is longer than any number of use.
    #[snafu(display("{header} is too long"))]
    Long {
        /// The header.
        header: &'static str,
    },
    /// It is no number, or not one that makes sense there.
    #[snafu(display("{header} is no {wanted}"))]
    Value {
        /// The header.
        header: &'static str,
        /// What it has to hold.
        wanted: &'static str,
    },
}
