//! What the control thread tells the traffic: replaced whole, read without waiting.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::metrics::Metrics;
use crate::gateway::route::Config;
use crate::store::{CallError, Topic};

/// The state that both sides see.
#[derive(Debug, Default)]
pub struct Shared {
    /// The configuration in force.
    pub config: ArcSwapOption<Config>,
    /// The same, as it was read.
    pub config_bytes: ArcSwapOption<Bytes>,
    /// Where callers may connect.
    pub fronts: ArcSwap<Vec<SocketAddr>>,
    /// Where targets listen.
    pub targets: ArcSwap<HashSet<SocketAddr>>,
    /// Counters.
    pub metrics: Metrics,
    /// Wakes whoever tells the other routers of this one.
    pub members_changed: Notify,
    active: AtomicUsize,
    synced: AtomicBool,
    stop: OnceLock<Stop>,
    closed: AtomicBool,
    store_lost: AtomicBool,
    store_answered: ArcSwapOption<Instant>,
}

/// Calls that are turned away for their number count as lost contact after this long.
const LIMITED_MAX: Duration = Duration::from_millis(1_200);

/// When a stop that has begun goes on.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// From then on only requests are taken that end before `end`.
    pub late: Instant,
    /// What runs then is cut.
    pub end: Instant,
}

/// A request that is under way.
#[derive(Debug)]
pub struct Active(Arc<Shared>);

impl Active {
    /// Counts a request, until dropped.
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
        self.members_changed.notify_one();
    }

    /// Replaces the addresses for callers.
    pub fn set_fronts(&self, fronts: Vec<SocketAddr>) {
        if **self.fronts.load() != fronts {
            tracing::info!(event = "fronts", addresses = ?fronts);
            self.fronts.store(Arc::new(fronts));
        }
    }

    /// Replaces the addresses of targets.
    pub fn set_targets(&self, targets: HashSet<SocketAddr>) {
        if **self.targets.load() != targets {
            self.targets.store(Arc::new(targets));
        }
    }

    /// Notes that the targets have been read once.
    pub fn set_synced(&self) {
        if !self.synced.swap(true, Ordering::Relaxed) {
            self.members_changed.notify_one();
        }
    }

    /// Whether callers may come.
    pub fn is_ready(&self) -> bool {
        let known = self.config.load().is_some() && self.synced.load(Ordering::Relaxed);
        known && !self.is_stopping()
    }

    /// Notes that the process is stopping.
    pub fn set_stopping(&self, stop: Stop) {
        let _ = self.stop.set(stop);
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Whether a request that may take until `deadline` comes too late for a stop to wait for it.
    pub fn is_too_late(&self, deadline: Instant) -> bool {
        let stop = self.stop.get();
        stop.is_some_and(|stop| Instant::now() >= stop.late && deadline > stop.end)
    }

    /// Notes that grants are being given back.
    pub fn set_closed(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Whether grants have been given back.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Whether the store answered the last call for grants or targets.
    pub fn store_answers(&self) -> bool {
        !self.store_lost.load(Ordering::Relaxed)
    }

    /// Notes that a call to the store has had no answer for a while.
    pub fn note_silence(&self, topic: Topic) {
        self.note_call(topic, &Err(&CallError::Unknown));
    }

    /// Counts a call to the store, and logs where contact is lost or regained. Calls that are turned
    /// away for their number only tell so once none has succeeded for a while.
    pub fn note_call(&self, topic: Topic, result: &Result<(), &CallError>) {
        self.metrics.store_calls.add(1);
        let is_answer = matches!(
            result,
            Ok(()) | Err(CallError::Gone { .. } | CallError::Moved { .. })
        );
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
        let since = self.store_answered.load();
        let is_recent = since.as_ref().is_some_and(|at| now - **at < LIMITED_MAX);
        let is_passing = matches!(result, Err(CallError::Limited)) && is_recent;
        let lost = !is_answer && !is_passing;
        if self.store_lost.swap(lost, Ordering::Relaxed) != lost {
            match result {
                Err(error) if lost => tracing::warn!(event = "store_lost", %error),
                _ => tracing::info!(event = "store_regained"),
            }
        }
    }
}
