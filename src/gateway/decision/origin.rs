//! Which targets a stream may go on at.
//!
//! Targets of several versions of a service's software may run side by side, and what two of them write does not fit
//! together. A stream that has delivered an event therefore goes on only at targets of the version that began it,
//! whoever has ended the earlier attempt. A version that is not known is neither equal to another one nor different, so
//! nothing is sent then.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

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
