//! The messages by which routers tell each other their capacities. They are encoded by position for other processes, so
//! the order of variants and fields must not change.

use serde::{Deserialize, Serialize};

use super::decision::capacity::Capacity;

/// Maximum number of entries in a message, independent of the size of the fleet.
pub const ENTRIES_MAX: usize = 64;

/// A router's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of the router's name.
    pub router: u64,
    /// The incarnation that has the capacity.
    pub incarnation: u64,
    /// The capacity.
    pub capacity: Capacity,
}

/// Which capacities are asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wanted {
    /// Those of the routers whose names have these hashes; at most [`ENTRIES_MAX`] count.
    Routers(Vec<u64>),
    /// The next [`ENTRIES_MAX`] in the order of the hashes, from this hash on and around.
    From(u64),
}

/// A question for capacities.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The asking router's own capacity.
    pub own: Entry,
    /// The capacities that it asks for.
    pub wanted: Wanted,
}
