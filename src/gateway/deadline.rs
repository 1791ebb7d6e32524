//! When a request's time is over: its caller waits no longer, or the process that stops does not.
//!
//! Whatever waits on the way of a request waits within its deadline, so that a request which a stop can
//! wait for no longer is given up in the same way as a late one: with an answer, not with its connection.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::boot_clock;
use crate::units::Millis;

/// The end of a request's time.
#[derive(Clone, Debug)]
pub struct Deadline {
    /// Until when its caller waits, by the clock that timers run by.
    at: Instant,
    /// The same by the clock that also counts while the host sleeps: a caller elsewhere does not wait longer for it,
    /// and no target is told that it would.
    at_boot: Millis,
    cut: CancellationToken,
}

/// Why a request's time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expiry {
    /// The caller waits no longer.
    Timeout,
    /// The process is stopping and waits no longer.
    Stop,
}

impl Deadline {
    /// The end of the caller's time; `cut` is cancelled when a stop waits no longer.
    pub fn new(at: Instant, cut: CancellationToken) -> Self {
        let left = at.saturating_duration_since(Instant::now());
        let at_boot = boot_clock::now() + Millis(left.as_millis() as u64);
        Self { at, at_boot, cut }
    }

    /// Waits for something within the time.
    ///
    /// # Errors
    /// Why the time is over.
    pub async fn within<T>(&self, future: impl Future<Output = T>) -> Result<T, Expiry> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.cut.cancelled() => Err(Expiry::Stop),
            () = sleep_until(self.at) => Err(Expiry::Timeout),
        }
    }

    /// Whether the time is over, and why.
    pub fn expiry(&self) -> Option<Expiry> {
        if self.cut.is_cancelled() {
            Some(Expiry::Stop)
        } else if self.left().is_zero() {
            Some(Expiry::Timeout)
        } else {
            None
        }
    }

    /// What is left for the caller.
    pub fn left(&self) -> Duration {
        self.left_at(boot_clock::now())
    }

    /// What is left for the caller at another time by the host's steady clock.
    pub fn left_at(&self, now: Millis) -> Duration {
        let awake = self.at.saturating_duration_since(Instant::now());
        let left = self.at_boot.saturating_sub(now);
        awake.min(Duration::from_millis(left.0))
    }
}
