//! What routers report to each other about targets. Both types are encoded for other processes, so the order of fields
//! is part of the wire format.

use serde::{Deserialize, Serialize};

use crate::gateway::dialect::Listing;

/// A router's outstanding requests at a target, and the outcomes of its recent attempts there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outstanding {
    /// Hash of the target's instance.
    pub instance: u64,
    /// Requests in flight at the target.
    pub in_flight: u32,
    /// Prompt tokens of the requests in flight whose responses have not begun.
    pub backlog: u64,
    /// Decaying count of failed attempts.
    pub failed: f32,
    /// Decaying count of answered attempts.
    pub answered: f32,
}

/// A router's list of targets, for another router that cannot read the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The listed targets.
    pub listed: Vec<Listing>,
    /// Instances that were recently removed from the list.
    pub gone: Vec<String>,
}
