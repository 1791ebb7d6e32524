//! Broken invariants, with the evidence.

use std::fmt;

use crate::router::key::Incarnation;
use crate::router::request::Id;
use crate::units::{Offset, Tokens};

/// A broken invariant. It is logged as one event, after which the affected objects are no longer served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The parts of a budget do not add up to the prepaid amount.
    Conservation {
        /// The budget.
        budget: String,
        /// Tokens prepaid.
        prepaid: Tokens,
        /// Sum of the parts.
        parts: Tokens,
    },
    /// A holder settled or returned more than it was granted, or a running total decreased.
    Overdrawn {
        /// The budget.
        budget: String,
        /// The holder.
        holder: Incarnation,
    },
    /// A record bills a request a second time.
    BilledTwice {
        /// The request.
        id: Id,
    },
    /// Two routers folded the same stream to different states.
    Digest {
        /// Offset of the mark.
        through: Offset,
        /// Digest of this router's state at the mark.
        ours: u64,
        /// Digest in the checkpoint that was read.
        theirs: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
