//! Applies records read from the store, and messages of other routers, to the control state, and logs each resulting
//! change.

use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;

use bytes::Bytes;
use tokio::time::Instant;

use super::context::Control;
use super::{evacuations, grants, rollouts};
use crate::gateway::dialect::{BadEntry, Entry, Subject};
use crate::gateway::escrow::Key;
use crate::gateway::evacuation::{Order, View};
use crate::gateway::incarnation;
use crate::gateway::members::{Router, Source};
use crate::gateway::targets::{self, Change, Freshness};
use crate::store::{KEY_MAX, Page, Record};
use crate::util;

/// Which records of its topic a page holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageContent {
    /// The newest record of each key.
    Snapshot,
    /// The newest record of each key, as in the copy that the store was restored from.
    RestoredSnapshot,
    /// The records written since the last page.
    Changes,
}

/// Applies a page of the operators' records. The configuration in force stays until there is a newer one.
pub(super) fn operators(control: &Rc<Control>, page: &Page, content: PageContent) {
    let now = control.now();
    let mut retained = control.halls_retained.borrow_mut();
    let mut view = View {
        as_of: page.next,
        halls: match content {
            PageContent::Changes => control.halls_in_store.borrow().halls.clone(),
            PageContent::Snapshot | PageContent::RestoredSnapshot => BTreeSet::new(),
        },
    };
    for record in &page.records {
        match (control.dialect.subject(&record.key), &record.value) {
            (Some(Subject::Config), Some(value)) => config(control, value, "store"),
            (Some(Subject::Evacuation { hall }), value) => {
                let order = match value {
                    Some(_) => Order::Evacuate,
                    None => Order::TakeBack,
                };
                view.set(hall, order);
                if content == PageContent::Changes {
                    retained.release(hall);
                }
            }
            (Some(Subject::Rollout { service }), Some(value)) => {
                rollout(control, service, value, content);
            }
            // A rollout continues when its order is deleted.
            (Some(Subject::Config | Subject::Rollout { .. }), None) | (None, _) => {}
        }
    }
    control.halls_in_store.replace(view.clone());
    if content == PageContent::RestoredSnapshot {
        let known = control.evacuations.borrow();
        let before = known
            .as_ref()
            .map_or_else(BTreeSet::new, |view| view.halls.clone());
        retained.record_restore(now, &before, &view.halls);
    }
    view.halls.extend(retained.active_at(now).cloned());
    drop(retained);
    control.operators_read_at.set(Some(Instant::now()));
    control.knows_rollouts.set(true);
    evacuations::set(control, view, "store");
}

/// Applies an order of a rollout. One in a restored copy may be older than the one that is known, which operators write
/// again.
fn rollout(control: &Control, service: &str, bytes: &Bytes, content: PageContent) {
    let is_known = control.state.borrow().rollouts.get(service).is_some();
    if content == PageContent::RestoredSnapshot && is_known {
        return;
    }
    match control.dialect.read_rollout(bytes) {
        Ok(order) => rollouts::order(control, service, order),
        Err(error) => tracing::error!(event = "rollout_order_refused", %service, %error),
    }
}

/// Puts a configuration in force if it is newer than the one in force.
pub(super) fn config(control: &Rc<Control>, bytes: &Bytes, source: &str) {
    let config = match control.dialect.read_config(bytes) {
        Ok(config) => config,
        Err(error) => {
            tracing::error!(event = "config_refused", %error);
            return;
        }
    };
    let known = control.shared.config.load();
    let known = known.as_ref().map_or(0, |config| config.version);
    if config.version <= known {
        return;
    }
    let mut state = control.state.borrow_mut();
    for customer in config.customers() {
        let Some(prepaid) = customer.prepaid else {
            continue;
        };
        let name = &customer.name;
        let key_length = Key::new(name, &state.members.me.name).encode().len();
        if key_length > KEY_MAX {
            // The customer's rows cannot be written, so it gets no grants and its requests are refused.
            tracing::error!(event = "customer_name_too_long", customer = %name, key_length);
            continue;
        }
        state.set_prepaid(name, prepaid);
    }
    state.targets.set_cold_starts(config.cold_starts());
    drop(state);
    tracing::info!(
        event = "config_in_force",
        version = config.version,
        before = known,
        routes = config.routes().len(),
        customers = config.customers().len(),
        bytes = bytes.len(),
        source
    );
    // Budgets may be larger now.
    control.loans_exhausted_at.borrow_mut().clear();
    control.shared.set_config(config, bytes.clone());
    grants::spawn_renewals(control);
}

/// Maximum number of changes that are logged with a line each. A router that starts learns thousands at once.
const LOGGED_MAX: usize = 100;

/// Changes of targets by one message or read.
#[derive(Debug, Default)]
pub(super) struct Changes(Vec<(String, Change)>);

impl Changes {
    fn add(&mut self, instance: String, change: Change) {
        if !matches!(change, Change::Same | Change::Refused) {
            self.0.push((instance, change));
        }
    }

    /// Logs each change, or their number if they are many.
    pub(super) fn log(self, source: &str) {
        if self.0.len() > LOGGED_MAX {
            let is_added = |(_, change): &&(String, Change)| *change == Change::Added;
            let added = self.0.iter().filter(is_added).count();
            let count = self.0.len();
            tracing::info!(event = "targets_changed", count, added, source);
            return;
        }
        for (instance, change) in self.0 {
            tracing::info!(event = "target_changed", %instance, ?change, source);
        }
    }
}

/// Applies changes of the list of targets.
pub(super) fn targets(control: &Control, records: &[Record], freshness: Freshness) {
    let mut changes = Changes::default();
    for record in records {
        target(control, record, freshness, &mut changes);
    }
    changes.log("store");
}

fn target(control: &Control, record: &Record, freshness: Freshness, changes: &mut Changes) {
    let Some(value) = &record.value else {
        control.bad_entries.borrow_mut().remove(&record.key);
        remove_target(control, &record.key, "store");
        return;
    };
    match control.dialect.read_listing(&record.key, value) {
        Ok(entry) => match self::entry(control, entry, freshness, changes) {
            Change::Refused => reject_entry(control, &record.key, &BadEntry::Start),
            _ => control.bad_entries.borrow_mut().remove(&record.key),
        },
        Err(error) => reject_entry(control, &record.key, &error),
    }
}

/// Applies a decoded entry, and returns what it has changed.
pub(super) fn entry(
    control: &Control,
    entry: Entry,
    freshness: Freshness,
    changes: &mut Changes,
) -> Change {
    let instance = entry.listing.instance.clone();
    let now = control.now();
    let mut state = control.state.borrow_mut();
    let change = state.list(now, entry.listing, freshness);
    state.targets.note_cold(now, &instance, entry.cold_left);
    if let Some(version) = &entry.version {
        state.targets.note_version(&instance, version);
    }
    changes.add(instance, change);
    change
}

/// Removes the listed targets that are not among these instances.
pub(super) fn retain_targets(control: &Control, listed: &HashSet<String>, source: &str) {
    let state = control.state.borrow();
    let instances = state
        .targets
        .listed()
        .map(|target| &target.listing.instance);
    let absent: Vec<String> = instances
        .filter(|instance| !listed.contains(*instance))
        .cloned()
        .collect();
    drop(state);
    for instance in absent {
        remove_instance(control, &instance, source);
    }
}

/// Rejects an unusable entry of the list of targets. If its target had a usable entry, it gets no further requests
/// until it writes one again with its next heartbeat; requests already sent to it continue.
fn reject_entry(control: &Control, key: &str, error: &BadEntry) {
    control.shared.bad_entries[error.cause()].add(1);
    let is_new = control.bad_entries.borrow_mut().insert(key, error.cause());
    if is_new {
        tracing::warn!(event = "listing_refused", %key, %error);
    }
    remove_target(control, key, "entry");
}

/// Applies the complete list of targets. Known targets that are absent from it are removed if `drop_absent`, and else
/// only avoided. Returns the ids of those that are kept although they are absent.
pub(super) fn all_targets(
    control: &Control,
    page: &Page,
    freshness: Freshness,
    drop_absent: bool,
) -> BTreeSet<String> {
    targets(control, &page.records, freshness);
    let listed: HashSet<&str> = page
        .records
        .iter()
        .map(|record| record.key.as_str())
        .collect();
    let state = control.state.borrow();
    let absent: Vec<String> = state
        .targets
        .listed()
        .map(|target| target.listing.instance.clone())
        .filter(|instance| !listed.contains(incarnation::id(instance)))
        .collect();
    drop(state);
    if !drop_absent {
        let targets = &mut control.state.borrow_mut().targets;
        for (number, instance) in absent.iter().enumerate() {
            if targets.note_missing(instance) && number < LOGGED_MAX {
                tracing::info!(event = "target_missing", %instance);
            }
        }
        let ids = absent.iter().map(|instance| incarnation::id(instance));
        return ids.map(str::to_owned).collect();
    }
    for instance in absent {
        remove_instance(control, &instance, "store");
    }
    BTreeSet::new()
}

/// Applies another router's list of targets while this router is cut off from the store. Targets that appear in later
/// lists have just started; those of the first list may have been running for long.
pub(super) fn peer_targets(control: &Control, view: targets::View) {
    let knew_some = control.state.borrow().targets.known_count() > 0;
    for instance in view.gone {
        remove_instance(control, &instance, "link");
    }
    let mut changes = Changes::default();
    for listing in view.listed {
        let instance = listing.instance.clone();
        let now = control.now();
        let mut state = control.state.borrow_mut();
        let change = state.list(now, listing, Freshness::MayBeOld);
        if knew_some && matches!(change, Change::Added | Change::Restarted { .. }) {
            state.targets.note_started(now, &instance);
        }
        drop(state);
        changes.add(instance, change);
    }
    changes.log("link");
    control.publish_target_addresses();
}

/// Removes the target of this id from the list.
pub(super) fn remove_target(control: &Control, id: &str, source: &str) {
    let now = control.now();
    if control.state.borrow_mut().targets.unlist(now, id) {
        tracing::info!(event = "target_removed", instance = id, source);
    }
}

/// Removes an incarnation from the list.
pub(super) fn remove_instance(control: &Control, instance: &str, source: &str) {
    let now = control.now();
    let targets = &mut control.state.borrow_mut().targets;
    if targets.unlist_instance(now, instance) {
        tracing::info!(event = "target_removed", %instance, source);
    }
}

/// The names of the known routers.
pub(super) fn known_routers(control: &Control) -> HashSet<String> {
    let state = control.state.borrow();
    let known = state.members.known();
    known.map(|router| router.name.clone()).collect()
}

/// Another router by its entry in the store. A removed entry changes nothing: its router counts as dead once it has missed
/// enough heartbeats.
pub(super) fn read_router(control: &Control, record: &Record) -> Option<Router> {
    let value = record.value.as_ref()?;
    let router = util::decode(value);
    if router.is_some() {
        control.bad_routers.borrow_mut().remove(&record.key);
    } else if control.bad_routers.borrow_mut().insert(&record.key, 0) {
        tracing::warn!(event = "router_unreadable", key = %record.key, bytes = value.len());
    }
    router
}

/// Applies entries of other routers, by one read of the store or as another router has read them.
pub(super) fn routers(control: &Control, routers: impl Iterator<Item = Router>) {
    let now = control.now();
    let mut changed = Vec::new();
    let mut state = control.state.borrow_mut();
    for router in routers {
        let (name, is_ready) = (router.name.clone(), router.is_ready);
        if state.members.update(now, router, Source::Store) {
            changed.push((name, is_ready));
        }
    }
    drop(state);
    if changed.len() > LOGGED_MAX {
        let ready = changed.iter().filter(|(_, is_ready)| *is_ready).count();
        let count = changed.len();
        tracing::info!(event = "peers_changed", count, ready);
        return;
    }
    for (name, is_ready) in changed {
        log_router(&name, is_ready, Source::Store);
    }
}

fn log_router(name: &str, is_ready: bool, source: Source) {
    tracing::info!(event = "peer_changed", %name, is_ready, ?source);
}

/// Applies the heartbeat that another router has sent. Returns whether the router is new, has restarted, or has changed
/// its readiness or liveness.
pub(super) fn heartbeat(control: &Control, router: Router) -> bool {
    let (name, is_ready) = (router.name.clone(), router.is_ready);
    let now = control.now();
    let mut state = control.state.borrow_mut();
    let is_change = state.members.update(now, router, Source::Link);
    if is_change {
        log_router(&name, is_ready, Source::Link);
    }
    is_change
}
