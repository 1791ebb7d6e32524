//! Follows what others write to the store: the configuration, the list of targets, the routers. Each
//! topic has a task, which owns its offset; what is read is taken in by [`apply`].

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::apply::Reading;
use super::context::Control;
use super::{apply, quarantine};
use crate::gateway::escrow::StoreAnswer;
use crate::gateway::targets::Freshness;
use crate::store::{CallError, Era, Page, Partition, Place, Record, Timeout, Topic, hedge};
use crate::util;

/// How long the store holds a read of the configuration until there is a change. A change
/// has to be in force within 11 s.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);
/// Interval of reads of the list of targets.
const TARGETS_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a read that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// How long a target that is not listed any more still counts after the store is back: its entry may
/// have lapsed because it could not write either. Targets that live are back within about two seconds;
/// the next read comes [`TARGETS_INTERVAL`] later.
const LAPSED_GRACE: Duration = Duration::from_millis(1_700);

/// How long the list may have entries of the copy that the store has come back from: one whose target does not write
/// any more goes after three of its heartbeats.
const COPIED_ENTRIES: Duration = Duration::from_millis(6_000);

/// A place in a partition that is followed.
struct Follower {
    partition: Partition,
    next: Option<Place>,
    /// The place that it had, where the store does not have that any more.
    lost: Option<Place>,
    /// The era of the last read.
    era: Option<Era>,
    timeout: Timeout,
}

/// What a read brought.
struct Step {
    reading: Reading,
    page: Page,
}

impl Follower {
    fn new(topic: Topic) -> Self {
        Self {
            partition: Partition { topic, number: 0 },
            next: None,
            lost: None,
            era: None,
            timeout: Timeout::default(),
        }
    }

    /// Reads on. After anything that leaves doubt, the next read is of the newest records.
    async fn step(&mut self, control: &Control, wait: Duration) -> Result<Step, CallError> {
        let asked = control.now();
        let result = self.read(control, wait).await;
        if let Some(next) = self.next.filter(|_| result.is_ok()) {
            let seen = StoreAnswer {
                era: next.era,
                at: asked,
            };
            control.state.borrow_mut().record_store_answer(seen);
        }
        control.shared.set_store_era(control.store.era());
        control
            .shared
            .note_call(self.partition.topic, &result.as_ref().map(|_| ()));
        match result {
            Ok(step) => Ok(step),
            Err(error) => {
                let before = self.next.take();
                if error.loses_place() {
                    self.lost = before;
                }
                Err(error)
            }
        }
    }

    async fn read(&mut self, control: &Control, wait: Duration) -> Result<Step, CallError> {
        let (store, partition) = (&control.store, self.partition);
        let silent = || control.shared.note_silence(partition.topic);
        let Some(from) = self.next else {
            let newest = || store.newest(partition, hedge::ANSWER_MAX);
            let page = hedge::hedged(hedge::HEDGE_AFTER, silent, newest).await?;
            self.next = Some(page.next);
            if let Some(before) = self.lost.take() {
                let (topic, now) = (partition.topic, page.next);
                let records = page.records.len();
                tracing::info!(event = "topic_read_anew", ?topic, %before, %now, records);
            }
            let era = page.next.era;
            let before = self.era.replace(era);
            let reading = match before {
                Some(before) if before < era => Reading::Copy,
                _ => Reading::All,
            };
            return Ok(Step { reading, page });
        };
        let read = || store.read(partition, from, wait, hedge::ANSWER_MAX);
        let page = hedge::hedged(hedge::HEDGE_AFTER + wait, silent, read).await?;
        if page.end < from {
            let first = page.end.offset;
            return Err(CallError::Gone { first });
        }
        self.next = Some(page.next);
        let reading = Reading::Changes;
        Ok(Step { reading, page })
    }
}

/// Follows the operators' records: the configuration, and the halls that are emptied.
pub(super) async fn operators(control: Rc<Control>) {
    let mut follower = Follower::new(Topic::Config);
    loop {
        match follower.step(&control, CONFIG_WAIT).await {
            Ok(Step { reading, page }) => apply::operators(&control, &page, reading),
            Err(error) if error.loses_place() => {}
            Err(_) => sleep(FAILED_PAUSE).await,
        }
    }
}

/// Follows the list of targets.
pub(super) async fn targets(control: Rc<Control>) {
    let mut follower = Follower::new(Topic::Targets);
    // Since when the list lacks targets that may come back, and whether the store was lost.
    let mut lacks_since: Option<Instant> = None;
    let mut was_lost = false;
    let mut restored: Option<Instant> = None;
    loop {
        match follower.step(&control, Duration::ZERO).await {
            Ok(Step {
                reading: Reading::Changes,
                page,
            }) => {
                for record in &page.records {
                    apply::target(&control, record, Freshness::Newest);
                }
            }
            Ok(Step { reading, page }) => {
                if reading == Reading::Copy {
                    restored = Some(Instant::now());
                    lacks_since = None;
                    was_lost = true;
                }
                let is_copy = restored.is_some_and(|at| at.elapsed() < COPIED_ENTRIES);
                let freshness = match is_copy {
                    true => Freshness::MayBeOld,
                    false => Freshness::Newest,
                };
                let grace = was_lost && lacks_since.is_none_or(|at| at.elapsed() < LAPSED_GRACE);
                let is_complete = apply::all_targets(&control, &page, freshness, !grace);
                if is_complete {
                    lacks_since = None;
                    was_lost = false;
                } else {
                    lacks_since.get_or_insert_with(Instant::now);
                    follower.next = None;
                }
                control.shared.set_has_targets();
            }
            Err(error) if error.loses_place() => continue,
            Err(_) => {
                was_lost = true;
                sleep(FAILED_PAUSE).await;
                continue;
            }
        }
        control.state.borrow_mut().targets.forget(control.now());
        control.publish_target_addresses();
        sleep(TARGETS_INTERVAL).await;
    }
}

/// Follows the routers' entries, and writes this router's own at each heartbeat.
pub(super) async fn routers(control: Rc<Control>) {
    let mut follower = Follower::new(Topic::Routers);
    let interval = control.state.borrow().members.interval();
    loop {
        let result = follower.step(&control, Duration::ZERO).await;
        match result {
            // What a copy has of a router that is known is older than that.
            Ok(Step {
                reading: Reading::Copy,
                page,
            }) => {
                let known = apply::known_routers(&control);
                take_routers(&control, &page, |name| !known.contains(name));
            }
            Ok(Step { page, .. }) => take_routers(&control, &page, |_| true),
            // The next read is of the newest entries.
            Err(error) if error.loses_place() => {}
            Err(_) => control.state.borrow_mut().members.note_unread(),
        }
        control.publish_caller_addresses();
        write_own(&control, &mut follower).await;
        let changed = control.shared.entry_changed.notified();
        // Both ends of the wait mean the same.
        let _ = timeout(interval, changed).await;
    }
}

/// Takes in a page of the routers' topic, with the entries of those routers that `includes` names.
fn take_routers(control: &Control, page: &Page, includes: impl Fn(&str) -> bool) {
    let now = control.now();
    control.state.borrow_mut().members.note_read(now);
    for record in &page.records {
        if !quarantine::take_row(control, record) && includes(&record.key) {
            apply::router(control, record);
        }
    }
}

/// Writes this router's entry, and with it the requests that it holds back where they have changed. An append that
/// fails is noted, and repeated with the next heartbeat.
async fn write_own(control: &Control, follower: &mut Follower) {
    let partition = follower.partition;
    let mut records = vec![own_record(control)];
    let row = quarantine::own_row(control);
    let held = row.map(|(record, held)| {
        records.push(record);
        held
    });
    let begun = Instant::now();
    let limit = follower.timeout.get();
    let result = control.store.append(partition, &records, None, limit).await;
    if result.is_ok() {
        control
            .state
            .borrow_mut()
            .members
            .note_written(control.now());
    }
    if let (Ok(end), Some(held)) = (&result, held) {
        control.row_held.replace((end.era, held));
    }
    follower.timeout.note(&result, begun.elapsed());
    control
        .shared
        .note_call(partition.topic, &result.as_ref().map(|_| ()));
}

/// This router's entry with the next heartbeat.
fn own_record(control: &Control) -> Record {
    let mut state = control.state.borrow_mut();
    let me = &mut state.members.me;
    me.heartbeat += 1;
    me.is_ready = control.shared.is_ready();
    Record {
        key: me.name.clone(),
        value: Some(util::encode(me).into()),
    }
}
