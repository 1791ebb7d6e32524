//! When a request's time is over: its caller waits no longer, or the process that stops does not.
//!
//! Whatever waits on the way of a request waits within its deadline, so that a request which a stop can
//! wait for no longer is given up in the same way as a late one: with an answer, not with its connection.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// The end of a request's time.
#[derive(Clone, Debug)]
pub(super) struct Deadline {
    /// Until when its caller waits.
    pub(super) at: Instant,
    cut: CancellationToken,
}

/// Why a request's time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Over {
    /// The caller waits no longer.
    Late,
    /// The process is stopping and waits no longer.
    Stop,
}

impl Deadline {
    /// The end of the caller's time; `cut` is cancelled when a stop waits no longer.
    pub(super) fn new(at: Instant, cut: CancellationToken) -> Self {
        Self { at, cut }
    }

    /// Waits for something within the time.
    ///
    /// # Errors
    /// Why the time is over.
    pub(super) async fn within<T>(&self, future: impl Future<Output = T>) -> Result<T, Over> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.cut.cancelled() => Err(Over::Stop),
            () = sleep_until(self.at) => Err(Over::Late),
        }
    }

    /// Whether the time is over, and why.
    pub(super) fn over(&self) -> Option<Over> {
        if self.cut.is_cancelled() {
            Some(Over::Stop)
        } else if Instant::now() >= self.at {
            Some(Over::Late)
        } else {
            None
        }
    }

    /// What is left for the caller.
    pub(super) fn left(&self) -> Duration {
        self.at.saturating_duration_since(Instant::now())
    }
}
