//! Keys into the control state of one process. A key is never reused.

/// Index of a target's incarnation in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetKey(pub usize);

/// Key of a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKey(pub u64);
