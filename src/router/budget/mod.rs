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
mod reservation;
mod witness;

pub use demand::{Demand, Sizing};
pub use holder::{Holder, Shortage};
pub use ledger::{Budget, Grant, Ledger, PREPAID_MAX};
pub use reservation::{Price, Reservation};
pub use witness::{Answer, Replay, Resolved, State, Taken, Ward, Witness};
