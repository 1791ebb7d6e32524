//! Keeps in step with what others write to the store: the configuration, the targets, the routers.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::{Control, grants};
use crate::gateway::members::{Router, Source};
use crate::gateway::target::{Change, View};
use crate::store::{CallError, KEY_MAX, Page, Partition, Patience, Record, Topic, hedge};
use crate::util;

/// How long a read of the configuration waits for a change.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);
/// Between two reads of the targets.
const TARGETS_GAP: Duration = Duration::from_millis(500);
/// Between two tries while the store does not answer.
const RETRY_GAP: Duration = Duration::from_millis(150);
/// After contact is regained, how long a target that is no longer listed still counts: its entry
/// may have gone because it could not write either.
const UNLISTED_GRACE: Duration = Duration::from_millis(1_700);

/// A place in a partition that is followed.
struct Follower {
    partition: Partition,
    next: Option<u64>,
    patience: Patience,
}

/// What a read brought.
enum Step {
    /// The newest record of every key.
    Whole(Page),
    /// What has changed.
    Changes(Page),
}

impl Follower {
    fn new(topic: Topic) -> Self {
        Self {
            partition: Partition { topic, number: 0 },
            next: None,
            patience: Patience::default(),
        }
    }

    /// Reads on. After anything that leaves doubt, the next read is of the newest records.
    async fn step(&mut self, control: &Control, wait: Duration) -> Result<Step, CallError> {
        let result = self.read(control, wait).await;
        control
            .shared
            .note_call(self.partition.topic, &result.as_ref().map(|_| ()));
        match result {
            Ok(step) => Ok(step),
            Err(error) => {
                self.next = None;
                Err(error)
            }
        }
    }

    async fn read(&mut self, control: &Control, wait: Duration) -> Result<Step, CallError> {
        let (store, partition) = (&control.store, self.partition);
        let silent = || control.shared.note_silence(partition.topic);
        let Some(from) = self.next else {
            let newest = || store.newest(partition, hedge::MOST);
            let page = hedge::hedged(hedge::GAP, silent, newest).await?;
            self.next = Some(page.next);
            return Ok(Step::Whole(page));
        };
        let read = || store.read(partition, from, wait, hedge::MOST);
        let page = hedge::hedged(hedge::GAP + wait, silent, read).await?;
        if page.end < from {
            return Err(CallError::Gone { first: page.end });
        }
        self.next = Some(page.next);
        Ok(Step::Changes(page))
    }
}

/// Follows the configuration.
pub async fn config(control: Rc<Control>) {
    let mut follower = Follower::new(Topic::Config);
    loop {
        match follower.step(&control, CONFIG_WAIT).await {
            Ok(Step::Whole(page) | Step::Changes(page)) => {
                for record in &page.records {
                    if let Some(value) = &record.value {
                        take_config(&control, value);
                    }
                }
            }
            Err(CallError::Gone { .. }) => {}
            Err(_) => sleep(RETRY_GAP).await,
        }
    }
}

/// Puts a configuration in force if it is newer.
pub(super) fn take_config(control: &Rc<Control>, bytes: &bytes::Bytes) {
    let config = match control.dialect.config(bytes) {
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
    let mut fleet = control.fleet.borrow_mut();
    for customer in config.customers() {
        let Some(prepaid) = customer.prepaid else {
            continue;
        };
        let name = &customer.name;
        let key_length = grants::row_key(name, &fleet.members.me.name).len();
        if key_length > KEY_MAX {
            // Without rows it has no grants, so its requests are refused.
            tracing::error!(event = "customer_name_too_long", customer = %name, key_length);
            continue;
        }
        fleet.set_prepaid(name, prepaid);
    }
    drop(fleet);
    tracing::info!(
        event = "config_in_force",
        version = config.version,
        before = known,
        routes = config.routes().len(),
        customers = config.customers().len()
    );
    control.shared.set_config(config, bytes.clone());
    grants::start_shards(control);
}

/// Follows the list of targets.
pub async fn targets(control: Rc<Control>) {
    let mut follower = Follower::new(Topic::Targets);
    let mut absent_since: Option<Instant> = None;
    let mut lost = false;
    loop {
        match follower.step(&control, Duration::ZERO).await {
            Ok(Step::Whole(page)) => {
                let grace = lost && absent_since.is_none_or(|at| at.elapsed() < UNLISTED_GRACE);
                let complete = whole_list(&control, &page, !grace);
                if complete {
                    absent_since = None;
                    lost = false;
                } else {
                    absent_since.get_or_insert_with(Instant::now);
                    follower.next = None;
                }
                control.shared.set_synced();
            }
            Ok(Step::Changes(page)) => {
                for record in &page.records {
                    take_target(&control, record);
                }
            }
            Err(CallError::Gone { .. }) => continue,
            Err(_) => {
                lost = true;
                sleep(RETRY_GAP).await;
                continue;
            }
        }
        let addresses = control.fleet.borrow().targets.addresses();
        control.shared.set_targets(addresses);
        sleep(TARGETS_GAP).await;
    }
}

/// Takes in what another router knows of the list, while this one is cut off from the store.
pub(super) fn take_view(control: &Control, view: View) {
    for instance in view.gone {
        unlist(control, &instance, "link");
    }
    for listing in view.listed {
        let instance = listing.instance.clone();
        let change = control.fleet.borrow_mut().targets.hear(listing);
        log_change(&instance, &change, "link");
    }
    let addresses = control.fleet.borrow().targets.addresses();
    control.shared.set_targets(addresses);
}

/// Takes a whole list in. Targets that it lacks are taken off if `drop_absent`; whether none was
/// left on for that is returned.
fn whole_list(control: &Control, page: &Page, drop_absent: bool) -> bool {
    for record in &page.records {
        take_target(control, record);
    }
    let listed: HashSet<&str> = page
        .records
        .iter()
        .map(|record| record.key.as_str())
        .collect();
    let fleet = control.fleet.borrow();
    let absent: Vec<String> = fleet
        .targets
        .listed()
        .map(|target| target.listing.instance.clone())
        .filter(|instance| !listed.contains(instance.as_str()))
        .collect();
    drop(fleet);
    if !drop_absent {
        return absent.is_empty();
    }
    for instance in absent {
        unlist(control, &instance, "store");
    }
    true
}

fn unlist(control: &Control, instance: &str, source: &str) {
    let now = control.now();
    if control.fleet.borrow_mut().targets.unlist(now, instance) {
        tracing::info!(event = "target_gone", %instance, source);
    }
}

fn take_target(control: &Control, record: &Record) {
    let Some(value) = &record.value else {
        unlist(control, &record.key, "store");
        return;
    };
    match control.dialect.listing(&record.key, value) {
        Ok(listing) => {
            let instance = listing.instance.clone();
            let change = control.fleet.borrow_mut().targets.list(listing);
            log_change(&instance, &change, "store");
        }
        Err(error) => tracing::warn!(event = "listing_refused", key = %record.key, %error),
    }
}

fn log_change(instance: &str, change: &Change, source: &str) {
    if *change != Change::Same {
        tracing::info!(event = "target_listed", %instance, ?change, source);
    }
}

/// Tells the other routers of this one, and follows what they tell.
pub async fn routers(control: Rc<Control>) {
    let mut follower = Follower::new(Topic::Routers);
    let gap = control.fleet.borrow().members.interval();
    loop {
        let result = follower.step(&control, Duration::ZERO).await;
        if let Ok(Step::Whole(page) | Step::Changes(page)) = result {
            for record in &page.records {
                take_router(&control, record);
            }
        }
        control.publish_fronts();
        tell(&control, &mut follower).await;
        let changed = control.shared.members_changed.notified();
        let _ = timeout(gap, changed).await;
    }
}

fn take_router(control: &Control, record: &Record) {
    let router: Option<Router> = record.value.as_ref().and_then(|value| util::decode(value));
    let Some(router) = router else {
        return;
    };
    let (name, is_ready) = (router.name.clone(), router.is_ready);
    let now = control.now();
    let changed = control
        .fleet
        .borrow_mut()
        .members
        .hear(now, router, Source::Store);
    if changed {
        tracing::info!(event = "router_heard", %name, is_ready);
    }
}

async fn tell(control: &Control, follower: &mut Follower) {
    let partition = follower.partition;
    let record = own_record(control);
    let begun = Instant::now();
    let limit = follower.patience.limit();
    let result = control
        .store
        .append(partition, &[record], None, limit)
        .await;
    follower
        .patience
        .note(&result, begun.elapsed(), Duration::ZERO);
    control
        .shared
        .note_call(partition.topic, &result.as_ref().map(|_| ()));
}

/// What this router tells of itself now.
fn own_record(control: &Control) -> Record {
    let mut fleet = control.fleet.borrow_mut();
    let me = &mut fleet.members.me;
    me.beat += 1;
    me.is_ready = control.shared.is_ready();
    Record {
        key: me.name.clone(),
        value: Some(util::encode(me).into()),
    }
}
