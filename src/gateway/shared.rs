//! What the control thread and the traffic thread both see.
//!
//! The control thread replaces each value as a whole and the traffic reads it without waiting; the
//! traffic counts the requests under way, and the process takes the steps of its stop.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::dialect::BadEntry;
use super::metrics::{Counter, Metrics};
use super::notice::{AnnouncedState, Counts};
use super::quarantine::QuarantinedRequest;
use super::route::Config;
use super::stop::Progress;
use crate::store::{CallError, Era, Topic};
use crate::units::Millis;

/// Calls that are turned away for their number count as lost contact after this long without a call
/// that succeeded. One interval of heartbeats.
const LIMITED_MAX: Duration = Duration::from_millis(1_200);

/// The shared state.
#[derive(Debug, Default)]
pub struct Shared {
    /// How long work waits for its turn on the traffic thread, in milliseconds.
    lag: AtomicU64,
    /// The configuration in force.
    pub config: ArcSwapOption<Config>,
    /// The same as it was read, to be passed on to other routers.
    pub config_bytes: ArcSwapOption<Bytes>,
    /// Where callers may connect.
    pub caller_addresses: ArcSwap<Vec<SocketAddr>>,
    /// Where targets listen.
    pub target_addresses: ArcSwap<HashSet<SocketAddr>>,
    /// Entries of the list of targets that could not be used, by cause.
    pub bad_entries: [Counter; BadEntry::CAUSES.len()],
    /// What targets say of themselves.
    pub announced: ArcSwap<Vec<AnnouncedState>>,
    /// How often they said something new.
    pub notices: Counts,
    /// Requests that are held back.
    pub quarantine: ArcSwap<Vec<QuarantinedRequest>>,
    /// Requests that were refused since they are held back.
    pub quarantine_refused: Counter,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Wakes the task that writes this router's own entry.
    pub entry_changed: Notify,
    /// How far a stop has come.
    pub stop: Progress,
    active: AtomicUsize,
    has_targets: AtomicBool,
    /// Since when the store does not answer. Only the control thread writes it.
    store_lost: ArcSwapOption<Instant>,
    store_answered: ArcSwapOption<Instant>,
    /// The store's era, as last told.
    store_era: AtomicU64,
    /// Times that the store came back from a copy while this process ran.
    pub store_returns: Counter,
}

/// A request under way; counted until dropped.
#[derive(Debug)]
pub struct Active(Arc<Shared>);

impl Active {
    /// Counts a request.
    pub fn new(shared: &Arc<Shared>) -> Self {
        shared.active.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Requests under way.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Puts a configuration in force.
    pub fn set_config(&self, config: Config, bytes: Bytes) {
        self.config.store(Some(Arc::new(config)));
        self.config_bytes.store(Some(Arc::new(bytes)));
        self.entry_changed.notify_one();
    }

    /// Replaces the addresses for callers.
    pub fn set_caller_addresses(&self, addresses: Vec<SocketAddr>) {
        if **self.caller_addresses.load() != addresses {
            tracing::info!(event = "caller_addresses", ?addresses);
            self.caller_addresses.store(Arc::new(addresses));
        }
    }

    /// Replaces the addresses of targets.
    pub fn set_target_addresses(&self, addresses: HashSet<SocketAddr>) {
        if **self.target_addresses.load() != addresses {
            self.target_addresses.store(Arc::new(addresses));
        }
    }

    /// Notes that the list of targets has been read once.
    pub fn set_has_targets(&self) {
        if !self.has_targets.swap(true, Ordering::Relaxed) {
            self.entry_changed.notify_one();
        }
    }

    /// Whether callers may come.
    pub fn is_ready(&self) -> bool {
        let knows = self.config.load().is_some() && self.has_targets.load(Ordering::Relaxed);
        knows && !self.stop.has_begun()
    }

    /// Whether the store answered the last call for grants or targets.
    pub fn store_answers(&self) -> bool {
        self.store_lost.load().is_none()
    }

    /// The store's era.
    pub fn store_era(&self) -> Era {
        Era(self.store_era.load(Ordering::Relaxed))
    }

    /// Sets the store's era. Only the control thread does.
    pub fn set_store_era(&self, era: Era) {
        let before = Era(self.store_era.swap(era.0, Ordering::Relaxed));
        if before < era && before != Era::default() {
            self.store_returns.add(1);
        }
    }

    /// How long work waits for its turn on the traffic thread.
    pub fn lag(&self) -> Millis {
        Millis(self.lag.load(Ordering::Relaxed))
    }

    /// Sets how long work waits for its turn on the traffic thread.
    pub fn set_lag(&self, lag: Millis) {
        self.lag.store(lag.0, Ordering::Relaxed);
    }

    /// How long the store has not answered, where it does not.
    pub fn store_lost(&self) -> Option<Millis> {
        let lost = self.store_lost.load();
        lost.as_ref()
            .map(|at| Millis(at.elapsed().as_millis() as u64))
    }

    /// Notes that a call to the store has had no answer for a while.
    pub fn note_silence(&self, topic: Topic) {
        self.note_call(topic, &Err(&CallError::Unknown));
    }

    /// Counts a call to the store, and logs where contact is lost or regained. Only calls for grants
    /// and targets tell, which each router makes all the time.
    pub fn note_call(&self, topic: Topic, result: &Result<(), &CallError>) {
        self.metrics.store_calls.add(1);
        let is_answer = match result {
            Ok(()) => true,
            Err(error) => error.is_outdated(),
        };
        if !is_answer {
            self.metrics.store_failures.add(1);
        }
        if !matches!(topic, Topic::Prepaid | Topic::Targets) {
            return;
        }
        let now = Instant::now();
        if is_answer {
            self.store_answered.store(Some(Arc::new(now)));
        }
        let last = self.store_answered.load();
        let is_recent = last.as_ref().is_some_and(|at| now - **at < LIMITED_MAX);
        let is_passing = matches!(result, Err(CallError::Limited)) && is_recent;
        let is_lost = !is_answer && !is_passing;
        if self.store_lost.load().is_some() != is_lost {
            self.store_lost.store(is_lost.then(|| Arc::new(now)));
            match result {
                Err(error) if is_lost => tracing::warn!(event = "store_lost", %error),
                _ => tracing::info!(event = "store_regained"),
            }
        }
    }
}
