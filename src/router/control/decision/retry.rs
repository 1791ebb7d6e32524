//! Decides whether a request is dispatched to another target after an attempt without a complete answer.

/// Most dispatches of one request.
const ATTEMPTS_MAX: u32 = 3;
/// Most retries that the retry budget holds.
const RETRY_CREDIT_MAX: f64 = 10.0;
/// Retries in the budget when a process starts.
const RETRY_CREDIT_AT_START: f64 = 3.0;
/// Retries that each complete answer adds to the budget: one in ten requests may be retried.
const RETRY_CREDIT_PER_ANSWER: f64 = 0.1;

/// How a dispatch ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target has not run the request.
    NotRun,
    /// The attempt broke off; the request may have run.
    Broken {
        /// Whether the request may run twice.
        is_repeatable: bool,
        /// Whether the caller has received part of the answer.
        was_shown: bool,
    },
}

/// The attempts that a request has had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct History {
    /// How the request's last dispatch ended.
    pub failure: Failure,
    /// Dispatches so far.
    pub attempts: u32,
    /// Whether the reservation is in the accounts of this incarnation. The accounts of an earlier one are closed.
    pub is_own: bool,
}

/// A router's retry budget: each complete answer adds a fraction of a retry, each retry takes one.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    credit: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            credit: RETRY_CREDIT_AT_START,
        }
    }
}

impl Budget {
    /// Credits a complete answer.
    pub fn credit_answer(&mut self) {
        self.credit = (self.credit + RETRY_CREDIT_PER_ANSWER).min(RETRY_CREDIT_MAX);
    }

    /// Withdraws one retry.
    pub fn withdraw(&mut self) {
        self.credit -= 1.0;
    }

    fn allows_retry(&self) -> bool {
        self.credit >= 1.0
    }
}

/// Decides whether a request may be dispatched again.
pub fn may_retry(history: &History, budget: &Budget) -> bool {
    let is_safe = match history.failure {
        Failure::NotRun => true,
        Failure::Broken {
            is_repeatable,
            was_shown,
        } => is_repeatable && !was_shown,
    };
    is_safe && history.is_own && history.attempts < ATTEMPTS_MAX && budget.allows_retry()
}
