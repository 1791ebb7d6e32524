//! The operators' records, as routers that read them from the store pass them on to the others of their hall.
//!
//! A configuration may have some 100 kB. If all routers read each version from the store, the bytes that it sends grow
//! with the number of routers, and the versions of a minute of changes queue up behind each other. The others continue
//! from the place up to which a reader has read, so that their own reads bring nothing that they know.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::rollout;
use crate::store::Place;

/// What a router asks a reader for. It is encoded by position for other processes, so the order of its fields must not
/// change, here and below.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Version of the asking router's configuration.
    pub config: u64,
}

/// What a reader has applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The place up to which all records were applied.
    pub as_of: Place,
    /// The configuration as it was read, if it is newer than the asking router's.
    pub config: Option<Vec<u8>>,
    /// The evacuated halls by the records.
    pub halls: BTreeSet<String>,
    /// The rollouts.
    pub rollouts: Vec<rollout::View>,
}
