//! Decides whether a refusal may state that the request has not run anywhere, or only that it may have run.

/// What this router knows about a request that it has not run itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEvidence {
    /// Whether only this incarnation can have received the request.
    pub is_own: bool,
    /// Whether the request may have run before it reached this router, or in an attempt that broke off.
    pub may_have_run: bool,
    /// Whether no witness can have closed this incarnation by now; a closed one's requests may run on other
    /// routers.
    pub is_provably_open: bool,
}

/// Whether the refusal may state "not run".
pub fn is_known_not_run(evidence: RunEvidence) -> bool {
    evidence.is_own && !evidence.may_have_run && evidence.is_provably_open
}
