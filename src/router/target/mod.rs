//! Targets: which there are, how loaded and healthy each is, and which one a request goes to.

mod pool;

pub use pool::{Choice, Member, Pool, Want};

/// A target's place in the pool of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u32);
