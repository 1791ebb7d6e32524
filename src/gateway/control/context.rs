//! State shared by the tasks of the control thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xxhash_rust::xxh3::xxh3_64;

use super::bad_entries::BadEntries;
use super::reachability::Monitor;
use super::rollouts::Reports;
use super::shortage;
use super::slots;
use super::throttle::Throttle;
use super::waiting::{Queue, Scope};
use crate::boot_clock;
use crate::gateway::decision::forecast::Inflow;
use crate::gateway::decision::lenders::StoreContact;
use crate::gateway::decision::promise::Book;
use crate::gateway::dialect::Dialect;
use crate::gateway::evacuation;
use crate::gateway::feed::Journal;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::key::TargetKey;
use crate::gateway::link_delay::RoundTrips;
use crate::gateway::members::Router;
use crate::gateway::quarantine::Hold;
use crate::gateway::shared::Shared;
use crate::gateway::state::State;
use crate::gateway::targets::Outstanding;
use crate::store::{Era, Place, Store};
use crate::units::{Millis, Tokens};
use crate::wire::{self, NoReply};

/// Age up to which another router's report of its outstanding requests is used: four heartbeat rounds.
const PEER_LOAD_MAX_AGE: Millis = Millis(1_200);

/// Interval between rounds of messages to other routers.
pub(super) const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Routers contacted per round, independent of the size of the fleet.
pub(super) const FAN_OUT: usize = 3;

/// The control state, and the clients and bookkeeping that the control thread's tasks use.
pub(super) struct Control {
    pub(super) state: RefCell<State>,
    /// Requests waiting for a grant or a loan.
    pub(super) waiting: RefCell<Queue>,
    /// When the tokens of customers whose requests lacked some arrived here.
    pub(super) inflows: RefCell<HashMap<String, Inflow>>,
    /// What was promised to requests that were refused for lack of tokens.
    pub(super) promises: RefCell<Book>,
    /// Tokens that other routers have asked to borrow and are waiting for, by customer.
    pub(super) requested_by_peers: RefCell<HashMap<String, Tokens>>,
    /// Handles of the tasks that renew grants, by partition.
    pub(super) renewals: RefCell<HashMap<u32, Rc<Renewal>>>,
    /// Spaces the calls for grants, of all partitions together.
    pub(super) grant_calls: Throttle,
    /// Number of store partitions that customers are spread over.
    pub(super) partitions: u32,
    pub(super) shared: Arc<Shared>,
    pub(super) store: Arc<dyn Store>,
    pub(super) dialect: Arc<dyn Dialect>,
    /// Client for requests to other routers.
    pub(super) peer_client: wire::Client,
    /// Cancelled to close the listener for other routers' requests.
    pub(super) link_shutdown: CancellationToken,
    /// Tracks the task of that listener.
    pub(super) link_tasks: TaskTracker,
    /// Outstanding requests of the other routers at each target.
    pub(super) peer_loads: RefCell<PeerLoads>,
    /// Round trips of this router's heartbeats.
    pub(super) round_trips: RefCell<RoundTrips>,
    /// Customers for whom loans are being requested; notified when more requests wait.
    pub(super) borrowing: RefCell<HashMap<String, Rc<Notify>>>,
    /// When every lender asked had no tokens left, by customer.
    pub(super) loans_exhausted_at: RefCell<HashMap<String, Instant>>,
    /// Unusable entries in the list of targets.
    pub(super) bad_entries: RefCell<BadEntries>,
    /// Router entries that cannot be decoded.
    pub(super) bad_routers: RefCell<BadEntries>,
    /// Whether targets can be reached.
    pub(super) reachability: Monitor,
    /// Address at which this router takes requests of others; `None` if it takes none.
    pub(super) proxy_address: Option<SocketAddr>,
    /// Whether another router is being asked for a newer configuration.
    pub(super) config_asked: Cell<bool>,
    /// Targets whose port is being probed.
    pub(super) probing: RefCell<HashSet<TargetKey>>,
    /// The quarantined requests, as last logged and published.
    pub(super) published_holds: RefCell<BTreeMap<Fingerprint, Hold>>,
    /// The quarantined requests in this router's row in the store, and the store's era when the row was written.
    pub(super) written_holds: RefCell<(Era, Vec<Fingerprint>)>,
    /// Wakes the task that forwards targets' notices to other routers.
    pub(super) notice_changed: Notify,
    /// Number of messages with targets' notices that were sent to other routers.
    pub(super) notice_messages: Cell<usize>,
    /// Requests waiting for slots of targets that this router owns.
    pub(super) slot_queue: RefCell<slots::Queue>,
    /// Wakes the task that ends leases of slots and waits for them.
    pub(super) slots_used: Notify,
    /// Notified when other routers have told the limits that targets announce.
    pub(super) limits_told: Notify,
    /// Which halls the operators have evacuated; `None` until it is known.
    pub(super) evacuations: RefCell<Option<evacuation::View>>,
    /// The evacuated halls as of the place from which this router reads the records on.
    pub(super) halls_in_store: RefCell<evacuation::View>,
    /// Evacuations kept in force after the store was restored from a copy that lacks them.
    pub(super) halls_retained: RefCell<evacuation::RetainedHalls>,
    /// Revision of the list of targets whose addresses were published last.
    pub(super) addresses_of: Cell<Option<u64>>,
    /// The lists that this router publishes as a reader of the store.
    pub(super) journal: RefCell<Journal>,
    /// When the read of the store that this router's list of targets is of was sent, by whichever router.
    pub(super) targets_read_at: Cell<Option<Millis>>,
    /// Since when the list of targets has been read without a gap.
    pub(super) targets_known_since: Cell<Option<Millis>>,
    /// Wakes the task that sends the records of streams to their keepers.
    pub(super) streams_begun: Notify,
    /// Number of targets that the store was seen to list before the list was read.
    pub(super) targets_at_least: Cell<usize>,
    /// Number of whole lists of targets that were sent to routers that the store does not answer.
    pub(super) lists_sent: Cell<usize>,
    /// When a reader told the list of routers, and the place in the store that it is of.
    pub(super) routers_fed: Cell<Option<(Millis, Place)>>,
    /// Wakes the task that follows rollouts.
    pub(super) rollouts_changed: Notify,
    /// Whether the orders of rollouts have been read, or another router has told them.
    pub(super) knows_rollouts: Cell<bool>,
    /// Other routers' evidence on the rollouts that this router decides.
    pub(super) rollout_reports: RefCell<Reports>,
    /// The place up to which the operators' records were applied.
    pub(super) operators_as_of: Cell<Option<Place>>,
    /// When the operators' records were last read.
    pub(super) operators_read_at: Cell<Option<Instant>>,
    /// Id of the host's boot; `None` where the host does not provide one.
    pub(super) boot_id: Option<u64>,
}

/// Signals to and from the task that renews a partition's grants.
#[derive(Debug, Default)]
pub(super) struct Renewal {
    /// Wakes the task before its interval is over.
    pub(super) wake: Notify,
    /// Notified after each renewal, successful or not.
    pub(super) done: Notify,
    /// When the last renewal began that has ended.
    pub(super) last_begun: Cell<Option<Instant>>,
    /// Whether the task pauses after a renewal that failed, so that waking it has no effect yet.
    pub(super) is_paused: Cell<bool>,
}

impl Control {
    /// Current time on the clock that the control state uses.
    pub(super) fn now(&self) -> Millis {
        boot_clock::now()
    }

    /// Closes the listener for other routers once their pending requests are answered.
    pub(super) async fn close_link(&self) {
        self.link_shutdown.cancel();
        self.link_tasks.close();
        self.link_tasks.wait().await;
    }

    /// Returns a random sample of this router's neighbours. It includes those that count as dead, since only a call
    /// shows that they are back.
    pub(super) fn sample_routers(&self, count: usize) -> Vec<Router> {
        let state = self.state.borrow();
        state
            .members
            .neighbours()
            .sample(&mut rand::rng(), count)
            .map(|router| (*router).clone())
            .collect()
    }

    /// Marks a router as unreachable after its link did not answer.
    pub(super) fn set_unreachable(&self, router: &Router, missing: NoReply) {
        let mut state = self.state.borrow_mut();
        let is_new = state
            .members
            .set_unreachable(self.now(), &router.name, router.incarnation);
        drop(state);
        if is_new {
            tracing::warn!(event = "peer_unreachable", name = %router.name, reason = %missing);
            self.publish_caller_addresses();
        }
    }

    /// Publishes the addresses at which callers may connect.
    pub(super) fn publish_caller_addresses(&self) {
        let addresses = self.state.borrow().members.caller_addresses(self.now());
        self.shared.set_caller_addresses(addresses);
    }

    /// Publishes the delay of this router's link.
    pub(super) fn publish_link_delay(&self) {
        let delay = self.round_trips.borrow().delay(self.now());
        self.shared.set_link_delay(delay);
    }

    /// Publishes the addresses of the targets.
    pub(super) fn publish_target_addresses(&self) {
        let state = self.state.borrow();
        let revision = state.targets.revision();
        if self.addresses_of.replace(Some(revision)) != Some(revision) {
            let addresses = state.targets.addresses();
            self.shared.set_target_addresses(addresses);
        }
    }

    /// Number of the partition that holds a customer's rows.
    pub(super) fn partition_of(&self, customer: &str) -> u32 {
        let partition = xxh3_64(customer.as_bytes()) % u64::from(self.partitions.max(1));
        u32::try_from(partition).expect("a remainder of a 32-bit divisor fits 32 bits")
    }

    /// Handle of the task that renews a customer's grants; `None` until it has been started.
    pub(super) fn renewal_of(&self, customer: &str) -> Option<Rc<Renewal>> {
        let partition = self.partition_of(customer);
        self.renewals.borrow().get(&partition).cloned()
    }

    /// Renews a customer's grant now instead of at the next interval.
    pub(super) fn renew_now(&self, customer: &str) {
        if let Some(renewal) = self.renewal_of(customer) {
            renewal.wake.notify_one();
        }
    }

    /// Whether renewals of a customer's grant pause because the last one failed, or the store refuses calls.
    pub(super) fn is_renewal_paused(&self, customer: &str) -> bool {
        let renewal = self.renewal_of(customer);
        self.grant_calls.is_closed() || renewal.is_some_and(|renewal| renewal.is_paused.get())
    }

    /// Whether a renewal of a customer's grant has ended that began at `time` or later.
    pub(super) fn has_renewed(&self, customer: &str, time: Instant) -> bool {
        let renewal = self.renewal_of(customer);
        renewal.is_none_or(|renewal| renewal.last_begun.get().is_some_and(|begun| begun >= time))
    }

    /// Tokens that local requests and other routers are waiting for, by customer.
    pub(super) fn tokens_needed(&self) -> HashMap<String, Tokens> {
        let mut needed = self.waiting.borrow().tokens_needed();
        for (customer, tokens) in self.requested_by_peers.borrow().iter() {
            *needed.entry(customer.clone()).or_default() += *tokens;
        }
        needed
    }

    /// Whether the store answers.
    pub(super) fn store_contact(&self) -> StoreContact {
        if self.shared.store_answers() {
            StoreContact::Answering
        } else {
            StoreContact::Lost
        }
    }

    /// Notes that none of the lenders asked has tokens of a customer left.
    pub(super) fn note_loans_exhausted(&self, customer: &str) {
        let mut exhausted = self.loans_exhausted_at.borrow_mut();
        exhausted.insert(customer.to_owned(), Instant::now());
    }

    /// How long ago all lenders asked had no tokens of a customer; `None` once tokens or a new configuration have
    /// arrived since.
    pub(super) fn loans_exhausted_for(&self, customer: &str) -> Option<Millis> {
        let exhausted = self.loans_exhausted_at.borrow();
        let at = exhausted.get(customer)?;
        Some(Millis(at.elapsed().as_millis() as u64))
    }

    /// Tries again to start the requests that wait for a grant.
    pub(super) fn retry_waiting(&self) {
        shortage::observe_waiting(self);
        let mut state = self.state.borrow_mut();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retry(&mut state, self.now(), Scope::All);
    }

    /// Tries again to start those waiting requests that are covered by what is left, after a request has ended or one
    /// that was ahead of them was refused.
    pub(super) fn retry_covered(&self) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        waiting.retry(&mut state, self.now(), Scope::Covered);
    }
}

/// Outstanding requests of the other routers at each target, by router, with the time of each report.
#[derive(Debug, Default)]
pub(super) struct PeerLoads(HashMap<String, (Millis, Vec<Outstanding>)>);

impl PeerLoads {
    /// Replaces a router's report, and drops reports that are too old.
    pub(super) fn set(&mut self, now: Millis, router: &str, outstanding: Vec<Outstanding>) {
        self.0.insert(router.to_owned(), (now, outstanding));
        self.0
            .retain(|_, (at, _)| now.saturating_sub(*at) < PEER_LOAD_MAX_AGE);
    }

    /// Iterates over the outstanding requests of all routers.
    pub(super) fn all(&self) -> impl Iterator<Item = &Outstanding> {
        self.0.values().flat_map(|(_, outstanding)| outstanding)
    }
}
