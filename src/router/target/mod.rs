//! Targets: which there are, how loaded and healthy each is, and which one a request goes to.

mod cache;
mod policy;
mod pool;

pub use cache::{BLOCK, View, blocks};

pub use policy::{Candidate, Policy};
pub use pool::{Choice, Member, Pool, Want};

/// A target's place in the pool of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u32);
