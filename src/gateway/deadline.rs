//! The deadline of a request: it expires when the caller waits no longer, or when a stopping process gives up on it.
//!
//! Every wait on behalf of a request is bounded by its deadline. A request that a stop can wait for no longer is thus
//! ended in the same way as a late one: with a response, not by closing its connection.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::boot_clock;
use crate::units::Millis;

/// The deadline of a request.
#[derive(Clone, Debug)]
pub struct Deadline {
    /// When the caller stops waiting, by the clock that timers use.
    at: Instant,
    /// When the caller stops waiting, by the boot clock, which also counts while the host sleeps: a caller on another
    /// host does not wait longer because of the sleep, and the time limit sent to a target must not suggest that it
    /// does.
    at_boot: Millis,
    abort: CancellationToken,
}

/// Why the deadline of a request has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expiry {
    /// The deadline has passed: the caller waits no longer.
    Timeout,
    /// The process is stopping and gives up on its requests.
    Stop,
}

impl Deadline {
    /// Creates a deadline at `at`. It also expires when `abort` is cancelled, as a stopping process does to give up on
    /// its requests.
    pub fn new(at: Instant, abort: CancellationToken) -> Self {
        let left = at.saturating_duration_since(Instant::now());
        let at_boot = boot_clock::now() + Millis(left.as_millis() as u64);
        Self { at, at_boot, abort }
    }

    /// Waits for a future until the deadline expires.
    ///
    /// # Errors
    /// Why the deadline has expired.
    pub async fn within<T>(&self, future: impl Future<Output = T>) -> Result<T, Expiry> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.abort.cancelled() => Err(Expiry::Stop),
            () = sleep_until(self.at) => Err(Expiry::Timeout),
        }
    }

    /// Why the deadline has expired, if it has.
    pub fn expiry(&self) -> Option<Expiry> {
        if self.abort.is_cancelled() {
            Some(Expiry::Stop)
        } else if self.left().is_zero() {
            Some(Expiry::Timeout)
        } else {
            None
        }
    }

    /// When the caller stops waiting, by the clock that timers use.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// When the caller stops waiting, by the host's steady clock.
    pub fn at_boot(&self) -> Millis {
        self.at_boot
    }

    /// The time left until the caller stops waiting.
    pub fn left(&self) -> Duration {
        self.left_at(boot_clock::now())
    }

    /// The time left until the caller stops waiting, if the host's steady clock reads `now`.
    pub fn left_at(&self, now: Millis) -> Duration {
        let awake = self.at.saturating_duration_since(Instant::now());
        let left = self.at_boot.saturating_sub(now);
        awake.min(Duration::from_millis(left.0))
    }
}
