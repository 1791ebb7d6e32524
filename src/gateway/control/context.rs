//! What the tasks of the control thread share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
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
use super::waiting::Queue;
use crate::boot_clock;
use crate::gateway::dialect::Dialect;
use crate::gateway::evacuation;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::key::TargetKey;
use crate::gateway::members::Router;
use crate::gateway::quarantine::Hold;
use crate::gateway::shared::Shared;
use crate::gateway::state::State;
use crate::gateway::targets::Outstanding;
use crate::store::{Era, Store};
use crate::units::{Millis, Tokens};
use crate::wire::{self, Missing};

/// How long another router's outstanding requests count after it told of them. Four of
/// its heartbeats.
const LOAD_BELIEVED: Millis = Millis(1_200);

/// Interval of rounds in which other routers are told something.
pub(super) const ROUND: Duration = Duration::from_millis(300);
/// Routers that are told at once, whatever the size of the fleet.
pub(super) const FAN_OUT: usize = 3;

/// The control thread's state and its means.
pub(super) struct Control {
    pub(super) state: RefCell<State>,
    /// Requests that wait for a grant.
    pub(super) waiting: RefCell<Queue>,
    /// Tokens that other routers wait for, by customer.
    pub(super) asked: RefCell<HashMap<String, Tokens>>,
    /// The tasks that renew grants, by partition.
    pub(super) renewals: RefCell<HashMap<u32, Rc<Renewal>>>,
    /// Partitions of the store that customers are spread over.
    pub(super) partitions: u32,
    pub(super) shared: Arc<Shared>,
    pub(super) store: Arc<dyn Store>,
    pub(super) dialect: Arc<dyn Dialect>,
    /// Asks other routers.
    pub(super) links: wire::Client,
    /// Ends the link that other routers ask on.
    pub(super) link_closing: CancellationToken,
    /// The task of that link.
    pub(super) link: TaskTracker,
    /// What other routers have at which target.
    pub(super) peer_loads: RefCell<PeerLoads>,
    /// Customers for whom a loan is being asked for.
    pub(super) borrowing: RefCell<HashSet<String>>,
    /// When all that were asked had no tokens of a customer.
    pub(super) nothing: RefCell<HashMap<String, Instant>>,
    /// Entries of the list of targets that cannot be used.
    pub(super) bad_entries: RefCell<BadEntries>,
    /// Entries of routers that cannot be read, likewise.
    pub(super) bad_routers: RefCell<BadEntries>,
    /// Targets whose ports are being asked for.
    pub(super) probed: RefCell<HashSet<TargetKey>>,
    /// The requests that are held back, as they were last logged and published.
    pub(super) holds: RefCell<BTreeMap<Fingerprint, Hold>>,
    /// The requests in this router's row of those that are held back, and the store's era as that was written.
    pub(super) row_held: RefCell<(Era, Vec<Fingerprint>)>,
    /// Wakes the task that tells other routers what targets say of themselves.
    pub(super) notice_changed: Notify,
    /// Messages to other routers with what targets say.
    pub(super) notices_told: Cell<usize>,
    /// Which halls the operators have emptied, once that is known.
    pub(super) evacuations: RefCell<Option<evacuation::View>>,
    /// Those of them that the store told.
    pub(super) halls_told: RefCell<BTreeSet<String>>,
    /// Those of before the store came back from a copy that lacks them.
    pub(super) halls_kept: RefCell<evacuation::Kept>,
    /// When the operators' records were last read.
    pub(super) operators_read: Cell<Option<Instant>>,
    /// The host's boot, where it tells one.
    pub(super) boot: Option<u64>,
}

/// How the task that renews a partition's grants is spoken with.
#[derive(Debug, Default)]
pub(super) struct Renewal {
    /// Wakes it before its interval is over.
    pub(super) now: Notify,
    /// Told each time that it has renewed grants, or could not.
    pub(super) done: Notify,
}

impl Control {
    /// The time of the control state's clock.
    pub(super) fn now(&self) -> Millis {
        boot_clock::now()
    }

    /// Closes the link, once what other routers have asked is answered.
    pub(super) async fn close_link(&self) {
        self.link_closing.cancel();
        self.link.close();
        self.link.wait().await;
    }

    /// Some of the other routers, drawn at random; also those that count as dead, since only a call shows
    /// that they are back.
    pub(super) fn draw(&self, count: usize) -> Vec<Router> {
        let state = self.state.borrow();
        let known: Vec<&Router> = state.members.known().collect();
        known
            .sample(&mut rand::rng(), count)
            .map(|router| (*router).clone())
            .collect()
    }

    /// Notes that a router's link does not answer.
    pub(super) fn set_unreachable(&self, router: &Router, missing: Missing) {
        let mut state = self.state.borrow_mut();
        let is_new = state
            .members
            .set_unreachable(&router.name, router.incarnation);
        drop(state);
        if is_new {
            tracing::warn!(event = "peer_unreachable", name = %router.name, reason = %missing);
            self.publish_caller_addresses();
        }
    }

    /// Publishes where callers may connect.
    pub(super) fn publish_caller_addresses(&self) {
        let addresses = self.state.borrow().members.caller_addresses(self.now());
        self.shared.set_caller_addresses(addresses);
    }

    /// Publishes where targets listen.
    pub(super) fn publish_target_addresses(&self) {
        let addresses = self.state.borrow().targets.addresses();
        self.shared.set_target_addresses(addresses);
    }

    /// The partition that has a customer's rows.
    pub(super) fn partition_of(&self, customer: &str) -> u32 {
        let partition = xxh3_64(customer.as_bytes()) % u64::from(self.partitions.max(1));
        u32::try_from(partition).expect("a remainder of a number of 32 bits")
    }

    /// The task that renews a customer's grants, once there is one.
    pub(super) fn renewal_of(&self, customer: &str) -> Option<Rc<Renewal>> {
        let partition = self.partition_of(customer);
        self.renewals.borrow().get(&partition).cloned()
    }

    /// Has a customer's grant renewed now, and not at the next interval.
    pub(super) fn renew_now(&self, customer: &str) {
        if let Some(renewal) = self.renewal_of(customer) {
            renewal.now.notify_one();
        }
    }

    /// Tokens that requests and other routers wait for, by customer.
    pub(super) fn needed(&self) -> HashMap<String, Tokens> {
        let mut needed = self.waiting.borrow().needed();
        for (customer, tokens) in self.asked.borrow().iter() {
            *needed.entry(customer.clone()).or_default() += *tokens;
        }
        needed
    }

    /// Notes that all that were asked have no tokens of a customer.
    pub(super) fn note_nothing(&self, customer: &str) {
        let mut nothing = self.nothing.borrow_mut();
        nothing.insert(customer.to_owned(), Instant::now());
    }

    /// How long ago all that were asked had no tokens of a customer, where nothing has changed since.
    pub(super) fn nothing_for(&self, customer: &str) -> Option<Millis> {
        let nothing = self.nothing.borrow();
        let at = nothing.get(customer)?;
        Some(Millis(at.elapsed().as_millis() as u64))
    }

    /// Answers again what waits for a grant.
    pub(super) fn retry_waiting(&self) {
        let mut state = self.state.borrow_mut();
        self.waiting.borrow_mut().retry(&mut state, self.now());
    }
}

/// What other routers have at which target, by router, and when they told it.
#[derive(Debug, Default)]
pub(super) struct PeerLoads(HashMap<String, (Millis, Vec<Outstanding>)>);

impl PeerLoads {
    /// Replaces what a router has.
    pub(super) fn set(&mut self, now: Millis, router: &str, outstanding: Vec<Outstanding>) {
        self.0.insert(router.to_owned(), (now, outstanding));
        self.0
            .retain(|_, (at, _)| now.saturating_sub(*at) < LOAD_BELIEVED);
    }

    /// What all of them have.
    pub(super) fn all(&self) -> impl Iterator<Item = &Outstanding> {
        self.0.values().flat_map(|(_, outstanding)| outstanding)
    }
}
