//! Prepaid budgets, with escrow accounting.
//!
//! The [`Ledger`] is the state folded from a shard stream: it grants parts of a budget to router incarnations. A
//! [`Holder`] spends only from its grants, and registers each request with its witness before it dispatches it. A
//! [`Witness`] keeps replicas of the open requests of other holders; once it has closed a holder, it acknowledges
//! nothing more for it. Correctness depends on no clock: time only decides when an operation is attempted.

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
