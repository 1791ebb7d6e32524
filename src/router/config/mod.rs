//! The configuration in force, folded from its stream, and the planning of operators' intents against it and the
//! ledgers.

mod fold;
mod planning;

pub use fold::{Config, Item};
pub use planning::{Error, Intent, Proposal, Snapshot, plan};
