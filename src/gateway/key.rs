//! Keys into the control state of one process; none is used again.

/// The place of a target's incarnation in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetKey(pub usize);

/// A request under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKey(pub u64);
