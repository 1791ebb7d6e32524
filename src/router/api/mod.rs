//! The HTTP endpoints of a router for callers and operators, one function per path.

pub mod caller;
pub mod operator;
