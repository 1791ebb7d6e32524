//! Prepaid budgets as escrow.
//!
//! The [`Ledger`] is the fold over a shard stream: it hands parts of a budget to router
//! incarnations as grants. A [`Holder`] spends only from its grants, and asks its witness before
//! each dispatch. A [`Witness`] keeps the unsettled requests of other holders, and after it has
//! closed one it acknowledges nothing more for it. No clock takes part in any of this: time only
//! decides when somebody tries.

mod demand;
mod holder;
mod ledger;
mod pledge;
mod sequence;
mod violation;
mod witness;

pub use demand::{Demand, Sizing};
pub use holder::{Holder, Shortage};
pub use ledger::{Budget, Grant, Ledger, PREPAID_MAX};
pub use pledge::{Pledge, Price};
pub use sequence::{Member, Sequence};
pub use violation::Violation;
pub use witness::{Answer, Replay, Resolved, State, Taken, Ward, Witness};

use serde::{Deserialize, Serialize};

use crate::router::log::Stream;

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
