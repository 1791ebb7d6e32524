//! Contact with the store, as the results of this router's calls show it.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::time::Instant;

use crate::store::CallError;

/// Calls that the store refuses because of its rate limit count as lost contact after this long without a successful
/// call. One heartbeat interval.
const RATE_LIMITED_MAX: Duration = Duration::from_millis(1_200);

/// Whether the store answers calls. Only the control thread records results.
#[derive(Debug)]
pub struct Contact {
    /// When the store stopped answering; `None` while it answers.
    lost: ArcSwapOption<Instant>,
    answered: ArcSwapOption<Instant>,
}

/// A change of contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The store has stopped answering.
    Lost,
    /// The store answers again.
    Regained,
}

impl Default for Contact {
    fn default() -> Self {
        Self {
            lost: ArcSwapOption::empty(),
            // A call that is refused for the store's rate at the start does not show that the store is lost.
            answered: ArcSwapOption::from_pointee(Instant::now()),
        }
    }
}

impl Contact {
    /// Whether the store answered the last call.
    pub fn is_answering(&self) -> bool {
        self.lost.load().is_none()
    }

    /// How long the store has not answered; `None` while it answers.
    pub fn lost_for(&self) -> Option<Duration> {
        self.lost.load().as_ref().map(|at| at.elapsed())
    }

    /// Records the result of a call. Returns whether contact was lost or regained by it.
    pub fn record(&self, result: &Result<(), &CallError>) -> Option<Change> {
        let now = Instant::now();
        let is_answer = is_answer(result);
        if is_answer {
            self.answered.store(Some(Arc::new(now)));
        }
        let last = self.answered.load();
        let is_recent = last
            .as_ref()
            .is_some_and(|at| now - **at < RATE_LIMITED_MAX);
        let is_transient = matches!(result, Err(CallError::Limited)) && is_recent;
        let is_lost = !is_answer && !is_transient;
        if self.is_answering() != is_lost {
            return None;
        }
        self.lost.store(is_lost.then(|| Arc::new(now)));
        Some(if is_lost {
            Change::Lost
        } else {
            Change::Regained
        })
    }
}

/// Whether the store has executed a call, or has answered that the place it was based on is outdated.
pub fn is_answer(result: &Result<(), &CallError>) -> bool {
    match result {
        Ok(()) => true,
        Err(error) => error.is_outdated(),
    }
}
