//! Log records and the batches that carry them.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::router::intent::Plan;
use crate::router::key::{BudgetKey, Incarnation};
use crate::units::{Offset, Tokens};

/// A request that was not settled when its holder was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Number of the request within its holder.
    pub nonce: u64,
    /// Tokens reserved: the most that the request can be billed.
    pub reserved: Tokens,
}

/// A witness's account of one budget of a holder that it closes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closed {
    /// The budget.
    pub budget: BudgetKey,
    /// Total that the holder has settled from the budget.
    pub settled: Tokens,
    /// Requests dispatched but not settled.
    pub open: Vec<Open>,
}

/// A stream's folded state up to and including an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Offset of the batch with the mark at which the checkpoint was taken.
    pub through: Offset,
    /// Digest of `state`.
    pub digest: u64,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// A change written to a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The writer requests a grant from a budget: `ask` if that much is left, else the remainder.
    Grant {
        /// The budget.
        budget: BudgetKey,
        /// Tokens requested.
        ask: Tokens,
    },
    /// The writer names its witness; with `None` nobody can close the writer.
    Witness {
        /// The new witness.
        witness: Option<Incarnation>,
    },
    /// Total that the writer has settled from a budget so far.
    Settle {
        /// The budget.
        budget: BudgetKey,
        /// Running total, not an increment.
        settled: Tokens,
    },
    /// Total that the writer has returned to a budget so far.
    Return {
        /// The budget.
        budget: BudgetKey,
        /// Running total, not an increment.
        returned: Tokens,
    },
    /// The writer has stopped, with everything settled and every grant returned.
    Leave,
    /// A witness has closed a holder and acknowledges no further notices from it.
    Close {
        /// The holder.
        holder: Incarnation,
        /// One entry for each budget that the witness has seen the holder use.
        budgets: Vec<Closed>,
    },
    /// The final bill of a request whose outcome was in doubt.
    Resolve {
        /// The closed holder.
        holder: Incarnation,
        /// Number of the request within the holder.
        nonce: u64,
        /// Tokens billed, at most the reserved amount.
        billed: Tokens,
    },
    /// A plan that an operator has confirmed.
    Change(Plan),
    /// Every follower keeps its state and digest at this point, to compare with a later checkpoint.
    Mark,
    /// The state at an earlier mark.
    Checkpoint(Checkpoint),
}

/// A record with its sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// One more than the writer's previous number in this stream.
    pub seq: u64,
    /// The record.
    pub record: Record,
}

/// The payload of one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Incarnation that wrote it.
    pub writer: Incarnation,
    /// Entries in ascending order of `seq`.
    pub entries: Vec<Entry>,
}

impl Batch {
    /// Encodes the batch for the log.
    pub fn encode(&self) -> Vec<u8> {
        crate::util::encode(self)
    }

    /// Decodes a batch; `None` if the bytes are not a valid batch.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        crate::util::decode(bytes)
    }
}

/// Digest of an encoded state.
pub fn digest(state: &[u8]) -> u64 {
    xxh3_64(state)
}
