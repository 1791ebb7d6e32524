//! Prepaid budgets as escrow.
//!
//! The [`Ledger`] is the fold over a shard stream: it hands parts of a budget to router
//! incarnations as grants. A [`Holder`] spends only from its grants, and asks its witness before
//! each dispatch. A [`Witness`] keeps the unsettled requests of other holders, and after it has
//! closed one it acknowledges nothing more for it. No clock takes part in any of this: time only
//! decides when somebody tries.

mod account;
mod demand;
mod holder;
mod ledger;
mod reservation;
mod ward;
mod witness;

pub use account::{Budget, Grant, PREPAID_MAX};
pub use demand::{Demand, Sizing};
pub use holder::{Holder, Shortage};
pub use ledger::Ledger;
pub use reservation::{Price, Reservation};
pub use ward::{Replica, State};
pub use witness::{Answer, Doubt, Replay, Resolved, TakeoverAnswer, Witness};
