//! The rules by which a router retries, refuses, takes over, asks for grants and keeps its witness, one module
//! each: pure functions of typed inputs, with their constants beside them.

pub(super) mod grant;
pub(super) mod refusal;
pub(super) mod retry;
pub(super) mod takeover;
pub(super) mod witness;
