//! Rollouts: operators order that a service's traffic moves to targets of one version, by a deadline.
//!
//! The order is in the store, next to the configuration. The new version gets a small part of the requests first (the
//! trial). One router, the decider, compares both versions and writes the stage of the rollout to the store, under the
//! condition that nobody else has written since it last read. All routers follow these records; a final stage never
//! changes, also if the store is restored from a copy that lacks it.
//!
//! How many requests the new version may get is bounded at each router by that router's own count of requests, so that
//! the bound of the fleet needs no communication. A router that has not heard from the decider for a while sends the
//! new version nothing. The decisions are in [`decision::rollout`](super::decision::rollout).

mod evidence;
mod overview;
mod registry;

pub use evidence::{Comparison, Evidence, Report, Tally};
pub use overview::{Overview, text};
pub use registry::{AttemptEnd, Rollout, Rollouts, Written};

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// An operator's order to move a service's traffic to targets of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The new version.
    pub version: String,
    /// Time from the order to its deadline.
    pub duration: Millis,
}

/// The stage of a rollout. A later one in this order takes precedence when two routers know different ones. It is
/// encoded by position for other processes, so the order of the variants must not change.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Stage {
    /// The new version gets a small part of the requests.
    #[default]
    Trial,
    /// The new version gets all new requests, while those that run at other versions end.
    Shift,
    /// The new version has replaced the others, whose targets stop at once.
    Done,
    /// The new version gets no requests any more.
    RolledBack,
}

impl Stage {
    /// Whether the rollout has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack)
    }

    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Shift => "shift",
            Self::Done => "done",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// The progress of a rollout, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The new version.
    pub version: String,
    /// The stage.
    pub stage: Stage,
    /// Time from the order to this record. Routers that start later count on from it.
    pub age: Millis,
}

/// The versions of targets that an attempt may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Arm {
    /// Targets of all versions but the new one.
    Stable,
    /// Targets of the new version.
    Candidate,
}

/// What a router tells another one about a rollout. It is encoded by position for other processes, so the order of its
/// fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The service.
    pub service: String,
    /// The order.
    pub order: Order,
    /// The stage, if it is known.
    pub stage: Option<Stage>,
    /// Time since the order.
    pub age: Millis,
}
