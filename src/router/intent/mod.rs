//! What operators set and confirm: the objects of the configuration, and plans that change them.
//!
//! A [`Plan`] has the changes, each with the version of the object that it was planned against.
//! Nothing is in force until the plan is confirmed, which appends it to the one stream that it
//! touches. The fold accepts it only if every version still stands, so of two racing operators one is
//! told "in force" and the other "stale".

mod object;
mod plan;

pub use object::{Class, Customer, Key, Kind, Object, Objective, Target, Terms};
pub use plan::{Change, Outcome, Outcomes, Plan, PlanId, Refused};
