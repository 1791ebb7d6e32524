//! Which targets a stream may go on at.
//!
//! Targets of several versions of a service's software may run side by side, and what two of them write does not fit
//! together. A stream that has delivered an event therefore goes on only at targets of the version that began it,
//! whoever has ended the earlier attempt. A version that is not known is neither equal to another one nor different, so
//! nothing is sent then.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::units::Millis;

/// A version of one service's software: a hash that all routers compute alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin(u64);

impl Origin {
    /// The origin of streams that targets of a service's version begin.
    pub fn new(service: &str, version: &str) -> Self {
        Self(xxh3_64_with_seed(
            version.as_bytes(),
            xxh3_64(service.as_bytes()),
        ))
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The versions that a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Constraint {
    /// All versions: no event of the request's stream has been delivered.
    Any,
    /// The version that began the stream.
    Only(Origin),
    /// None: it is not known which version began the stream.
    Unknown,
}

impl Constraint {
    /// The constraint of a stream whose first event came from a target of this origin, if that is known.
    pub fn of(origin: Option<Origin>) -> Self {
        origin.map_or(Self::Unknown, Self::Only)
    }

    /// Whether a target of this origin may get the request; `None` if the target's version is not known.
    pub fn allows(self, origin: Option<Origin>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => origin == Some(only),
            Self::Unknown => false,
        }
    }
}

/// How long a service must have had a single version, as far as a router knows, before it takes that version for the one
/// of every stream: longer than callers go on with a stream.
pub const SOLE_AFTER: Millis = Millis(60_000);

/// Number of routers that keep the record of a stream by its request: two may die, or be partitioned, together with the
/// one that began it. At 2,100 streams a second, 350 routers each send and receive 30 records of 25 bytes a second, with
/// those by content, and 985 routers 11; at 600 streams a second, 7 routers 370.
pub const REQUEST_KEEPERS: usize = 3;
/// Number of routers that keep the record of a stream by its content, for callers that do not name the request.
pub const CONTENT_KEEPERS: usize = 2;

/// What is known of the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// There is no record.
    Missing,
    /// The version.
    Known(Origin),
    /// Streams that cannot be told apart began at several versions.
    Several,
}

impl Answer {
    /// What follows from two answers about the same stream.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Missing, answer) | (answer, Self::Missing) => answer,
            (Self::Known(one), Self::Known(other)) if one == other => self,
            (Self::Known(_) | Self::Several, Self::Known(_) | Self::Several) => Self::Several,
        }
    }

    /// The version at which the stream goes on, given the one that all streams of its service have, if that is certain.
    /// A record goes first: another version may have come since this router last read the list of targets.
    pub fn origin(self, sole: Option<Origin>) -> Option<Origin> {
        match self {
            Self::Known(origin) => Some(origin),
            Self::Missing => sole,
            Self::Several => None,
        }
    }
}

/// The version that all streams of a service have, given those of all targets seen lately and for how long the list of
/// targets has been read without a gap. `None` if there are several, or another one may have been there while a stream
/// began that goes on now.
pub fn sole(
    known_for: Option<Millis>,
    versions: impl IntoIterator<Item = Option<Origin>>,
) -> Option<Origin> {
    if known_for.is_none_or(|time| time < SOLE_AFTER) {
        return None;
    }
    let mut versions = versions.into_iter();
    let first = versions.next()??;
    versions
        .all(|version| version == Some(first))
        .then_some(first)
}
