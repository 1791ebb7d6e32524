//! What a target says of itself in the head of an answer, whatever its status.
//!
//! The dialect decodes it once into these types. A value that cannot be read says nothing: it neither begins nor ends
//! anything, and is counted and logged.

mod said;

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use self::said::{Counts, Said, text};
use crate::units::Millis;

/// Requests a second that a target takes from all routers together: finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct Rate(f64);

/// A number that is no rate.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
#[snafu(display("{per_second} is no rate"))]
pub struct BadRate {
    /// The number.
    pub per_second: f64,
}

impl TryFrom<f64> for Rate {
    type Error = BadRate;

    fn try_from(per_second: f64) -> Result<Self, BadRate> {
        Self::new(per_second).ok_or(BadRate { per_second })
    }
}

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
    /// Whether it leaves: it serves what it has and ends.
    pub is_leaving: Result<bool, BadNotice>,
    /// How long it wants nothing from the router that it refuses, where it says so.
    pub rest: Result<Option<Millis>, BadNotice>,
}

impl Notice {
    /// What of it cannot be used.
    pub fn errors(&self) -> impl Iterator<Item = BadNotice> {
        let errors = [
            self.rate_limit.err(),
            self.is_leaving.err(),
            self.rest.err(),
        ];
        errors.into_iter().flatten()
    }
}

impl Default for Notice {
    fn default() -> Self {
        Self {
            rate_limit: Ok(None),
            is_leaving: Ok(false),
            rest: Ok(None),
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

/// What routers tell each other of what a target said. It is encoded for other processes, so the order of fields and
/// variants is part of its form.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Hash of the target's instance.
    pub instance: u64,
    /// What it said.
    pub word: Word,
}

/// One thing that a target said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// Its rate limit, or that it has none any more.
    RateLimit {
        /// Number of the change, over all routers.
        revision: u32,
        /// The limit.
        limit: Option<Rate>,
    },
    /// It leaves, until its next incarnation.
    Leaving,
}

impl fmt::Display for Word {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RateLimit {
                limit: Some(limit), ..
            } => write!(f, "limit={}/s", limit.per_second()),
            Self::RateLimit { limit: None, .. } => write!(f, "limit=none"),
            Self::Leaving => write!(f, "leaving"),
        }
    }
}
