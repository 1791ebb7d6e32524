//! The rules for retries, refusals, takeovers, grant requests and the choice of a witness, one module each:
//! pure functions of typed inputs, with their constants beside them.

pub(super) mod grant;
pub(super) mod refusal;
pub(super) mod retry;
pub(super) mod takeover;
pub(super) mod witness;
