//! What routers tell each other of targets. Both types are encoded for other processes, so the order
//! of fields is part of their form.

use serde::{Deserialize, Serialize};

use crate::gateway::dialect::Listing;

/// A router's requests at a target, and how its recent attempts there ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outstanding {
    /// Hash of the target's instance.
    pub instance: u64,
    /// Requests that it has.
    pub in_flight: u32,
    /// Prompt tokens of those that it has not answered yet.
    pub backlog: u64,
    /// Attempts that failed; older ones count less.
    pub failed: f32,
    /// Attempts that were answered, likewise.
    pub answered: f32,
}

/// A router's list of targets, for one that cannot read the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The targets that are listed.
    pub listed: Vec<Listing>,
    /// Instances that were removed from the list of late.
    pub gone: Vec<String>,
}
