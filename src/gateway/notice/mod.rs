//! What a target announces of itself in the headers of a response, whatever its status.
//!
//! The dialect decodes the headers once into these types. An unreadable value is counted and logged, and otherwise has
//! no effect: it neither starts nor ends anything.

mod said;

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use self::said::{AnnouncedState, Counts, text};
use crate::units::Millis;

/// Requests per second that a target accepts from all routers together; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct Rate(f64);

/// A number that is not a valid rate.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
#[snafu(display("{per_second} is not a valid rate"))]
pub struct BadRate {
    /// The rejected number of requests per second.
    pub per_second: f64,
}

impl TryFrom<f64> for Rate {
    type Error = BadRate;

    fn try_from(per_second: f64) -> Result<Self, BadRate> {
        Self::new(per_second).ok_or(BadRate { per_second })
    }
}

impl Rate {
    /// Creates a rate, or returns `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// Requests that a target may reject in a second for want of room before it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rejections(pub u32);

/// What the headers of a response announce about the target that sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// The rate limit of the target; a response without one ends the previous limit.
    pub rate_limit: Result<Option<Rate>, BadNotice>,
    /// The rejection limit of the target; a response without one ends the previous limit.
    pub rejection_limit: Result<Option<Rejections>, BadNotice>,
    /// Whether the target leaves: it completes the requests that it has, then exits.
    pub is_leaving: Result<bool, BadNotice>,
    /// The `Retry-After` of a refusal: how long the router whose request was refused should send no requests.
    pub retry_after: Result<Option<Millis>, BadNotice>,
}

impl Notice {
    /// The values that cannot be used.
    pub fn errors(&self) -> impl Iterator<Item = BadNotice> {
        let errors = [
            self.rate_limit.err(),
            self.rejection_limit.err(),
            self.is_leaving.err(),
            self.retry_after.err(),
        ];
        errors.into_iter().flatten()
    }
}

impl Default for Notice {
    fn default() -> Self {
        Self {
            rate_limit: Ok(None),
            rejection_limit: Ok(None),
            is_leaving: Ok(false),
            retry_after: Ok(None),
        }
    }
}

/// Why an announced value cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum BadNotice {
    /// The header occurs more than once.
    #[snafu(display("{header} occurs more than once"))]
    Repeated {
        /// The header.
        header: &'static str,
    },
    /// The value is longer than any usable number.
    #[snafu(display("{header} is too long"))]
    Long {
        /// The header.
        header: &'static str,
    },
    /// The value is not a number, or not one that is valid for the header.
    #[snafu(display("{header} is invalid: expected {wanted}"))]
    Value {
        /// The header.
        header: &'static str,
        /// What the header has to contain.
        wanted: &'static str,
    },
}

/// An announcement of a target, as reported between routers. It is encoded for other processes, so the order of fields
/// and variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Hash of the target's instance.
    pub instance: u64,
    /// What the target announced.
    pub announcement: Announcement,
}

/// One thing that a target announces of itself in a response header.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Announcement {
    /// The rate limit of the target, or the end of its previous limit.
    RateLimit {
        /// Revision of the change, across all routers.
        revision: u32,
        /// The new limit; `None` if the limit has ended.
        limit: Option<Rate>,
    },
    /// The target leaves. The announcement holds until the incarnation of the target ends.
    Leaving,
    /// The rejection limit of the target, or the end of its previous one.
    RejectionLimit {
        /// Revision of the change, across all routers.
        revision: u32,
        /// The new limit; `None` if the limit has ended.
        limit: Option<Rejections>,
    },
}

impl fmt::Display for Announcement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RateLimit {
                limit: Some(limit), ..
            } => write!(f, "limit={}/s", limit.per_second()),
            Self::RateLimit { limit: None, .. } => write!(f, "limit=none"),
            Self::Leaving => write!(f, "leaving"),
            Self::RejectionLimit {
                limit: Some(limit), ..
            } => write!(f, "rejections={}/s", limit.0),
            Self::RejectionLimit { limit: None, .. } => write!(f, "rejections=none"),
        }
    }
}
