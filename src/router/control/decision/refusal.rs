//! What a refusal says of a request that this router has not run: that it has not run at all, or only
//! that it may have.

/// What this router knows of a request that it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Whether only this incarnation can have been given it.
    pub is_own: bool,
    /// Whether it may have run before it came here, or in an attempt that broke off.
    pub may_have_run: bool,
    /// Whether no witness can have closed this incarnation by now, which would let others run it.
    pub is_sure: bool,
}

/// Decides whether "not run" may be said.
pub fn is_certain(standing: Standing) -> bool {
    standing.is_own && !standing.may_have_run && standing.is_sure
}
