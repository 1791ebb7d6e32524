//! Spaces this router's calls for grants while the store refuses calls for its rate or is unavailable.
//!
//! Each partition has a task of its own. If each of them paused by itself, a router would repeat as many calls as it has
//! partitions, and a large fleet would overload the store by these repeated calls alone.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use crate::store::{Backoff, CallError};

/// Longest pause while the store is unavailable. That mostly is an outage, but also the answer where too many bytes wait
/// to be sent: 2,000 routers that read 15 kB each at this interval read half of what the store sends.
const LONGEST_UNAVAILABLE: Duration = Duration::from_millis(1_200);

/// When the next call may be made.
#[derive(Debug, Default)]
pub(super) struct Throttle {
    backoff: RefCell<Backoff>,
    /// `None` while the store refuses none.
    next: Cell<Option<Instant>>,
}

impl Throttle {
    /// Waits until a call may be made. While the store refuses calls, one may be made after each pause.
    pub(super) async fn wait(&self) {
        while let Some(next) = self.next.get() {
            if next <= Instant::now() {
                self.pause(Backoff::LONGEST);
                return;
            }
            sleep_until(next).await;
        }
    }

    /// Whether the next call has to wait.
    pub(super) fn is_closed(&self) -> bool {
        self.next.get().is_some_and(|next| next > Instant::now())
    }

    /// Records the result of a call.
    pub(super) fn record(&self, result: &Result<(), &CallError>) {
        match result {
            Err(CallError::Limited) => self.pause(Backoff::LONGEST),
            Err(CallError::Unavailable) => self.pause(LONGEST_UNAVAILABLE),
            Ok(()) | Err(CallError::Moved { .. }) => {
                self.backoff.borrow_mut().reset();
                self.next.set(None);
            }
            // It does not show whether the store refuses calls.
            Err(_) => {}
        }
    }

    fn pause(&self, longest: Duration) {
        let mut backoff = self.backoff.borrow_mut();
        *backoff = backoff.with_longest(longest);
        let pause = backoff.pause(&CallError::Limited, rand::random());
        self.next.set(Some(Instant::now() + pause));
    }
}
