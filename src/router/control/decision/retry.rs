//! Whether a request is dispatched to another target after one that brought no complete answer.

/// Dispatches of one request.
const ATTEMPTS_MAX: u32 = 3;
/// Retries that may be saved up.
const SAVED_MAX: f64 = 10.0;
/// Retries that a process starts with.
const SAVED_AT_START: f64 = 3.0;
/// What each complete answer adds to the retries: one in ten requests may be tried again.
const SAVED_BY_ANSWER: f64 = 0.1;

/// How a dispatch ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target has not run it.
    NotRun,
    /// It broke off, and may have run.
    Broken {
        /// Whether the request may run twice.
        is_repeatable: bool,
        /// Whether its caller has seen a part of the answer.
        was_shown: bool,
    },
}

/// What a request has behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct History {
    /// How its last dispatch ended.
    pub failure: Failure,
    /// Dispatches so far.
    pub attempts: u32,
    /// Whether its reservation is in the accounts of this incarnation; an earlier one's are closed.
    pub is_own: bool,
}

/// A router's retry budget.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: SAVED_AT_START,
        }
    }
}

impl Budget {
    /// Counts a complete answer.
    pub fn note_answer(&mut self) {
        self.saved = (self.saved + SAVED_BY_ANSWER).min(SAVED_MAX);
    }

    /// Takes a retry out.
    pub fn take(&mut self) {
        self.saved -= 1.0;
    }

    fn has_one(&self) -> bool {
        self.saved >= 1.0
    }
}

/// Decides whether a request may be dispatched again.
pub fn may_retry(history: &History, budget: &Budget) -> bool {
    let is_harmless = match history.failure {
        Failure::NotRun => true,
        Failure::Broken {
            is_repeatable,
            was_shown,
        } => is_repeatable && !was_shown,
    };
    is_harmless && history.is_own && history.attempts < ATTEMPTS_MAX && budget.has_one()
}
