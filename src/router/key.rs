//! Keys that every part of a router uses: its incarnation, the log's streams, budgets.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of shard streams; all routers of a fleet must agree on it.
pub const SHARDS: u8 = 16;

/// One run of one router process; a new one is drawn at random at each start and after a close.
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

    /// The stream that holds a customer's budgets.
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

/// A budget's place in its shard's ledger; the same in every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetKey {
    /// The shard whose ledger has it.
    pub shard: u8,
    /// Index in that ledger.
    pub index: u32,
}

impl BudgetKey {
    /// The stream that the budget lives in.
    pub fn stream(self) -> Stream {
        Stream::Shard(self.shard)
    }
}
