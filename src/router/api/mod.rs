//! What callers and operators ask of a router over HTTP, one function a path.

pub mod caller;
pub mod operator;
