//! The targets as this router sees them.

mod registry;

pub use registry::*;
