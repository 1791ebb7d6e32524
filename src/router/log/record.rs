//! Records of the log and the batches that carry them.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::router::intent::Plan;
use crate::router::key::{BudgetKey, Incarnation};
use crate::units::{Offset, Tokens};

/// A request that was open when its holder was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The request's number within its holder.
    pub nonce: u64,
    /// The most it can cost.
    pub reserved: Tokens,
}

/// What a witness knows of one budget of a holder that it closes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closed {
    /// The budget.
    pub budget: BudgetKey,
    /// All that the holder has settled of it.
    pub settled: Tokens,
    /// Requests dispatched and not settled.
    pub open: Vec<Open>,
}

/// A stream's folded state through an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Offset of the mark that it was taken at.
    pub through: Offset,
    /// Digest of `state`.
    pub digest: u64,
    /// The encoded fold.
    pub state: Vec<u8>,
}

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The writer asks for a part of a budget: `ask` if it is there, else what is left.
    Grant {
        /// The budget.
        budget: BudgetKey,
        /// Tokens wanted.
        ask: Tokens,
    },
    /// The writer names its witness; `None` means that nobody can close it.
    Witness {
        /// The new witness.
        witness: Option<Incarnation>,
    },
    /// All that the writer has settled of a budget so far.
    Settle {
        /// The budget.
        budget: BudgetKey,
        /// Running total, not a difference.
        settled: Tokens,
    },
    /// All that the writer has given back of a budget so far.
    Return {
        /// The budget.
        budget: BudgetKey,
        /// Running total, not a difference.
        returned: Tokens,
    },
    /// The writer has stopped, owes nothing and holds nothing.
    Leave,
    /// A witness has closed a holder and acknowledges nothing more for it.
    Close {
        /// The holder.
        holder: Incarnation,
        /// One entry for each budget that the witness has seen it use.
        budgets: Vec<Closed>,
    },
    /// The bill of a request that was in doubt.
    Resolve {
        /// The closed holder.
        holder: Incarnation,
        /// The request's number within it.
        nonce: u64,
        /// What it is billed, at most what was reserved.
        billed: Tokens,
    },
    /// A confirmed plan.
    Change(Plan),
    /// Readers note the digest of their state here.
    Mark,
    /// The state at an earlier mark.
    Checkpoint(Checkpoint),
}

/// A record with its place in the writer's sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// One more than the writer's last in this stream.
    pub seq: u64,
    /// The record.
    pub record: Record,
}

/// What one append carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Who wrote it.
    pub writer: Incarnation,
    /// In order of `seq`.
    pub entries: Vec<Entry>,
}

impl Batch {
    /// Encodes the batch for the log.
    pub fn encode(&self) -> Vec<u8> {
        crate::util::encode(self)
    }

    /// Decodes a batch; `None` where the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        crate::util::decode(bytes)
    }
}

/// Digest of an encoded state.
pub fn digest(state: &[u8]) -> u64 {
    xxh3_64(state)
}
