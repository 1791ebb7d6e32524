//! The state that the control thread and the threads that carry traffic share.
//!
//! The control thread replaces each value as a whole, and traffic reads it without blocking. Traffic counts the
//! requests in progress, and the process advances its shutdown.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use tokio::sync::{Notify, watch};

use super::budgets;
use super::contact::{self, Contact};
use super::dialect::BadEntry;
use super::held;
use super::link_delay::Link;
use super::members::Usage;
use super::metrics::{Counter, Metrics, TokenWaits};
use super::notice::{AnnouncedState, Counts};
use super::paths::{self, Paths};
use super::placements;
use super::quarantine::QuarantinedRequest;
use super::rollout::Overview;
use super::route::Config;
use super::slots;
use super::stop::Progress;
use super::store_calls;
use crate::store::{CallError, Era, Topic};
use crate::units::Millis;

/// The shared state.
#[derive(Debug, Default)]
pub struct Shared {
    /// Scheduling delay of the traffic thread, in milliseconds.
    lag: AtomicU64,
    /// Delay of this router's link; `None` if it is not known. Only the control thread writes it.
    link_delay: ArcSwap<Option<Millis>>,
    /// The configuration in force.
    pub config: ArcSwapOption<Config>,
    /// The configuration in force as it was read, to be passed on to other routers.
    pub config_bytes: ArcSwapOption<Bytes>,
    /// Addresses of the routers that callers may use.
    pub caller_addresses: ArcSwap<Vec<SocketAddr>>,
    /// How requests get to the targets. Only the control thread writes it.
    pub paths: watch::Sender<Paths>,
    /// Counts of failed connections and of requests through other routers.
    pub path_counts: paths::Counts,
    /// Addresses of the targets.
    pub target_addresses: ArcSwap<HashSet<SocketAddr>>,
    /// Entries of the list of targets that could not be used, by cause.
    pub bad_entries: [Counter; BadEntry::CAUSES.len()],
    /// What targets currently report about themselves.
    pub announced: ArcSwap<Vec<AnnouncedState>>,
    /// Counts of new reports by targets.
    pub notices: Counts,
    /// Counts of requests for slots of targets.
    pub slots: slots::Counts,
    /// Quarantined requests.
    pub quarantine: ArcSwap<Vec<QuarantinedRequest>>,
    /// Number of requests that were refused because they are quarantined.
    pub quarantine_refused: Counter,
    /// The rollouts.
    pub rollouts: ArcSwap<Vec<Overview>>,
    /// Calls to the store, by topic and outcome.
    pub store_calls: store_calls::Counts,
    /// Placements by expected time.
    pub placements: placements::Counts,
    /// The bytes held for callers and targets.
    pub held: Arc<held::Account>,
    /// How often accepting callers' connections was paused because the link was delayed.
    pub accept_pauses: Counter,
    /// Counts of requests that lacked tokens.
    pub token_waits: TokenWaits,
    /// How the capacities of the fleet's routers are used.
    pub capacities: ArcSwap<Usage>,
    /// Counts of loans and of what limits payments.
    pub budgets: budgets::Counts,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Wakes the task that writes this router's own entry.
    pub entry_changed: Notify,
    /// Progress of a shutdown.
    pub stop: Progress,
    active: AtomicUsize,
    has_targets: AtomicBool,
    /// Number of targets that are kept although the store's list lacks them.
    missing_targets: AtomicUsize,
    /// Contact with the store, by all calls that requests rely on.
    store: Contact,
    /// Contact with the store, by the calls for the configuration and the targets alone. Where the store refuses grants,
    /// the lists that it answers with are still current.
    lists: Contact,
    /// The latest known era of the store.
    store_era: AtomicU64,
    /// How often the store was restored from a copy while this process was running.
    pub store_returns: Counter,
}

/// Counts a request as active until dropped.
#[derive(Debug)]
pub struct ActiveRequest(Arc<Shared>);

impl ActiveRequest {
    /// Begins to count a request.
    pub fn new(shared: &Arc<Shared>) -> Self {
        shared.active.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Creates the state of a process that starts.
    pub fn new(held: Arc<held::Account>) -> Self {
        Self {
            held,
            ..Self::default()
        }
    }

    /// Number of requests in progress.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Puts a configuration in force.
    pub fn set_config(&self, config: Config, bytes: Bytes) {
        self.config.store(Some(Arc::new(config)));
        self.config_bytes.store(Some(Arc::new(bytes)));
        self.entry_changed.notify_one();
    }

    /// Replaces the addresses that callers may use.
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

    /// Records that the list of targets has been read at least once.
    pub fn set_has_targets(&self) {
        if !self.has_targets.swap(true, Ordering::Relaxed) {
            self.entry_changed.notify_one();
        }
    }

    /// Number of targets that are kept although the store's list lacks them.
    pub fn missing_targets(&self) -> usize {
        self.missing_targets.load(Ordering::Relaxed)
    }

    /// Sets the number of targets that are kept although the store's list lacks them.
    pub fn set_missing_targets(&self, count: usize) {
        self.missing_targets.store(count, Ordering::Relaxed);
    }

    /// Whether this router accepts callers.
    pub fn is_ready(&self) -> bool {
        let is_loaded = self.config.load().is_some() && self.has_targets.load(Ordering::Relaxed);
        is_loaded && !self.stop.has_begun()
    }

    /// Whether the store answered the last call for grants or targets.
    pub fn store_answers(&self) -> bool {
        self.store.is_answering()
    }

    /// Whether the store answered the last call for the configuration or targets.
    pub fn lists_answer(&self) -> bool {
        self.lists.is_answering()
    }

    /// The latest known era of the store.
    pub fn store_era(&self) -> Era {
        Era(self.store_era.load(Ordering::Relaxed))
    }

    /// Sets the store's era, and counts a restored store. Only the control thread calls this.
    pub fn set_store_era(&self, era: Era) {
        let before = Era(self.store_era.swap(era.0, Ordering::Relaxed));
        if before < era && before != Era::default() {
            self.store_returns.add(1);
        }
    }

    /// Scheduling delay of the traffic thread.
    pub fn lag(&self) -> Millis {
        Millis(self.lag.load(Ordering::Relaxed))
    }

    /// Sets the scheduling delay of the traffic thread.
    pub fn set_lag(&self, lag: Millis) {
        self.lag.store(lag.0, Ordering::Relaxed);
    }

    /// Delay of this router's link; `None` if it is not known.
    pub fn link_delay(&self) -> Option<Millis> {
        **self.link_delay.load()
    }

    /// Sets the delay of this router's link, and logs when the link becomes delayed or clear.
    pub fn set_link_delay(&self, delay: Option<Millis>) {
        let before = self.link_delay();
        if before == delay {
            return;
        }
        self.link_delay.store(Arc::new(delay));
        let link = Link::of(delay);
        if Link::of(before) != link {
            tracing::warn!(
                event = "link_delayed",
                delay_ms = delay.map(|delay| delay.0),
                is_delayed = link == Link::Delayed
            );
        }
    }

    /// How long the store has not answered; `None` while it answers.
    pub fn store_lost(&self) -> Option<Millis> {
        let lost_for = self.store.lost_for();
        lost_for.map(|time| Millis(time.as_millis() as u64))
    }

    /// Records that a call to the store has been without an answer for a while.
    pub fn record_silence(&self, topic: Topic) {
        self.record_call(topic, &Err(&CallError::Unknown));
    }

    /// Counts a call to the store, and logs when contact is lost or regained. Calls for the configuration decide that,
    /// since every router makes them all the time, and those for grants and targets, since requests rely on them.
    pub fn record_call(&self, topic: Topic, result: &Result<(), &CallError>) {
        self.metrics.store_calls.add(1);
        self.store_calls.add(topic, result);
        if !contact::is_answer(result) {
            self.metrics.store_failures.add(1);
        }
        if matches!(topic, Topic::Config | Topic::Targets) {
            self.lists.record(result);
        }
        if !matches!(topic, Topic::Config | Topic::Prepaid | Topic::Targets) {
            return;
        }
        match (self.store.record(result), result) {
            (Some(contact::Change::Lost), Err(error)) => {
                tracing::warn!(event = "store_lost", ?topic, %error);
            }
            (Some(_), _) => tracing::info!(event = "store_regained", ?topic),
            (None, _) => {}
        }
    }
}
