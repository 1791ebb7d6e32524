//! The objects of the configuration, and the plans by which operators change them.
//!
//! A [`Plan`] contains changes, each with the version of the object that it was planned against. No change is in force
//! until the plan is confirmed, which appends it to the one stream that it affects. The fold accepts it only if all
//! these versions are still current: of two operators that change the same object concurrently, one gets "in force" and
//! the other "stale".

mod object;
mod plan;

pub use object::{Class, Customer, Key, Kind, Object, Objective, Target, Terms};
pub use plan::{Change, Outcome, Outcomes, Plan, PlanId, Refused};
