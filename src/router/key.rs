//! Identifiers used throughout a router: incarnations, the log's streams, budgets.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of shard streams; it must be the same in all routers of a fleet.
pub const SHARDS: u8 = 16;

/// Identity of one run of a router process; drawn at random at each start, and again after a witness has closed
/// the previous one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stream {
    /// Customers, classes, targets, objectives.
    Config,
    /// The budgets of the customers that hash to this shard.
    Shard(u8),
}

impl Stream {
    /// Every stream of a fleet.
    pub fn all() -> impl Iterator<Item = Self> {
        std::iter::once(Self::Config).chain((0..SHARDS).map(Self::Shard))
    }

    /// The stream with a customer's budgets.
    pub fn of_customer(customer: &str) -> Self {
        let shard = xxh3_64(customer.as_bytes()) % u64::from(SHARDS);
        Self::Shard(u8::try_from(shard).expect("below SHARDS"))
    }
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config => f.write_str("config"),
            Self::Shard(n) => write!(f, "shard-{n}"),
        }
    }
}

/// Position of a budget in its shard's ledger; the same in every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetKey {
    /// Shard whose ledger contains the budget.
    pub shard: u8,
    /// Index of the budget in that ledger.
    pub index: u32,
}

impl BudgetKey {
    /// The stream of the shard whose ledger contains the budget.
    pub fn shard_stream(self) -> Stream {
        Stream::Shard(self.shard)
    }
}
