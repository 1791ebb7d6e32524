//! A target's key.

/// A target's place in the registry of this process; keys are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub usize);
