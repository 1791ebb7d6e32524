//! Progress of a planned stop, shared by all threads of the process.
//!
//! A stop has three steps, taken once each and in this order: callers are directed to other routers, requests still in
//! progress are given up, grants are given back. [`decision::stop`](super::decision::stop) decides when each is due.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::decision::stop::{self, Times};

/// The steps of a stop that were taken.
#[derive(Debug, Default)]
pub struct Progress {
    times: OnceLock<Times<Instant>>,
    given_up: CancellationToken,
    gives_back: AtomicBool,
}

impl Progress {
    /// First step: callers are directed to other routers.
    pub fn begin(&self, times: Times<Instant>) {
        let first = self.times.set(times);
        assert!(first.is_ok(), "a process stops once");
    }

    /// Whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.times.get().is_some()
    }

    /// Whether a request that may take until `deadline` arrives too late for the stop to wait for it.
    pub fn is_too_late(&self, deadline: Instant) -> bool {
        let times = self.times.get();
        times.is_some_and(|times| stop::is_too_late(times, Instant::now(), deadline))
    }

    /// Second step, if the time for the stop has run out: requests in progress are waited for no longer.
    pub fn give_up(&self) {
        self.given_up.cancel();
    }

    /// A token that is cancelled when requests in progress are given up.
    pub fn given_up(&self) -> CancellationToken {
        self.given_up.clone()
    }

    /// Last step: grants are given back, so that none is renewed any more.
    pub fn give_back(&self) {
        assert!(self.has_begun(), "grants are given back at a stop");
        self.gives_back.store(true, Ordering::Relaxed);
    }

    /// Whether grants are being given back.
    pub fn gives_back(&self) -> bool {
        self.gives_back.load(Ordering::Relaxed)
    }
}
