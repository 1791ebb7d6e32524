//! Invariants that did not hold, with the evidence.

use std::fmt;

use crate::router::key::Incarnation;
use crate::router::request::Id;
use crate::units::{Offset, Tokens};

/// A broken promise; logged as one event, after which what it touches is no longer served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Parts of a budget do not add up to what was prepaid.
    Conservation {
        /// The budget.
        budget: String,
        /// What was prepaid.
        prepaid: Tokens,
        /// Sum of the parts.
        parts: Tokens,
    },
    /// A holder settled or returned more than it was granted, or a total went back.
    Overdrawn {
        /// The budget.
        budget: String,
        /// The holder.
        holder: Incarnation,
    },
    /// A request was to be billed a second time.
    BilledTwice {
        /// The request.
        id: Id,
    },
    /// Two readers folded the same stream to different states.
    Digest {
        /// Offset of the mark.
        through: Offset,
        /// Our digest.
        ours: u64,
        /// Theirs.
        theirs: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
