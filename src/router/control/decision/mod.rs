//! The rules by which a router retries, refuses, takes over and asks for grants, one module each: pure
//! functions of typed inputs, with their constants beside them.

pub(super) mod grant;
pub(super) mod refusal;
pub(super) mod retry;
pub(super) mod takeover;
