//! The lists of targets and routers, as routers that read the store pass them on to the others of their hall.
//!
//! A reader compares its own state with what it has published, so a target's heartbeat, which changes nothing else, is
//! not passed on. Followers ask for what was published since their last answer. The journal is a cache of what was read:
//! nothing is agreed on in it, and a router that loses its sources reads the store itself. Who reads and who follows is
//! decided in [`decision::feed`](super::decision::feed).

mod journal;

pub use journal::Journal;

use serde::{Deserialize, Serialize};

use super::dialect::Entry;
use super::members::Router;
use crate::store::Place;
use crate::units::Millis;

/// How much of a reader's journal a follower has. It is encoded by position for other processes, so the order of its
/// fields must not change, here and below.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Identifies the journal: another process, or one that was restarted, has another.
    pub session: u64,
    /// Number of the last change of a target.
    pub target: u64,
    /// Number of the last change of a router.
    pub router: u64,
}

impl Cursor {
    /// What a follower sends that has a list, but not from any source.
    pub const OF_NO_SOURCE: Self = Self {
        session: 0,
        target: 0,
        router: 0,
    };
}

/// A follower's question.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// What it has; `None` if it has no list. It gets all if the cursor is of another source.
    pub cursor: Option<Cursor>,
    /// The instance after which the next part of all targets begins, if the first parts were answered.
    pub after: Option<String>,
}

/// A change of the list of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A target was listed, or its entry has changed.
    Listed(Entry),
    /// The target of this instance is not listed any more.
    Gone(String),
}

/// Targets in an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Targets {
    /// The changes since the follower's cursor, in order.
    Changes(Vec<Change>),
    /// A part of all listed targets.
    Part {
        /// The targets, in the order of their instances.
        entries: Vec<Entry>,
        /// The instance after which the next part begins; `None` if this is the last one.
        after: Option<String>,
    },
}

/// A reader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// What the follower has with this answer.
    pub cursor: Cursor,
    /// The place in the store's list of targets up to which the reader has read.
    pub targets_as_of: Place,
    /// Time since that read was sent.
    pub targets_age: Millis,
    /// Targets.
    pub targets: Targets,
    /// The place in the list of routers up to which the reader has read.
    pub routers_as_of: Place,
    /// Time since that read was sent.
    pub routers_age: Millis,
    /// Routers whose entries have changed.
    pub routers: Vec<Router>,
    /// Hashes of the names of all routers that have missed their heartbeats.
    pub dead: Vec<u64>,
}
