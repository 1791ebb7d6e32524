//! The configuration in force, as the fold over its stream, and the plans that operators' intents lead
//! to against it and the ledgers.

mod fold;
mod planning;

pub use fold::{Config, Item};
pub use planning::{Error, Intent, Proposal, Snapshot, plan};
