//! Follows topics that others write to in the store: here the routers' entries. Each topic has a task, which owns its
//! place; [`apply`] applies the records.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::apply::PageContent;
use super::context::Control;
use super::feed;
use super::{apply, capacities, quarantine};
use crate::gateway::escrow::StoreAnswer;
use crate::gateway::members::Router;
use crate::store::hedge::{self, Delays};
use crate::store::{CallError, Era, Page, Partition, Place, Record, Snapshot, Timeout, Topic};
use crate::units::Millis;
use crate::util;

/// Delay without an answer after which a read of the routers' entries is sent again. When all start at once it may take
/// seconds since it is large, and each copy makes it take longer. A router whose own entry waits for it that long does not
/// count as dead yet.
const HEDGE_AFTER: Duration = Duration::from_millis(2_500);
/// Shortest interval at which a router that starts reads the entries of those that start after it.
const START_READ_MIN: Duration = Duration::from_millis(10);
/// Time for each known router by which that interval grows: as long as the store takes to write an entry.
const START_READ_STEP: Duration = Duration::from_millis(1);
/// Interval at which a router that starts reads the entries or writes its own until the store answers.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Heartbeat intervals for which a reader's list of routers is relied on.
const FED_INTERVALS: u32 = 2;

/// Reads a partition continuously.
pub(super) struct Subscription {
    partition: Partition,
    /// Where the next read starts; `None` to read the newest records.
    pub(super) next: Option<Place>,
    /// The parts of the newest records that were read.
    snapshot: Snapshot,
    /// The last place, if the store no longer has it.
    lost_place: Option<Place>,
    /// The era of the last read of the newest records.
    pub(super) era: Option<Era>,
    pub(super) timeout: Timeout,
    /// Delay without an answer after which a read is sent again.
    hedge_after: Duration,
}

/// The result of a read.
pub(super) struct ReadPage {
    pub(super) content: PageContent,
    pub(super) page: Page,
}

impl Subscription {
    pub(super) fn new(topic: Topic) -> Self {
        let partition = Partition { topic, number: 0 };
        Self {
            partition,
            next: None,
            snapshot: Snapshot::new(partition),
            lost_place: None,
            era: None,
            timeout: Timeout::default(),
            hedge_after: hedge::HEDGE_AFTER,
        }
    }

    /// Sets another delay after which a read without an answer is sent again.
    fn with_hedge_after(self, hedge_after: Duration) -> Self {
        Self {
            hedge_after,
            snapshot: self.snapshot.with_repeat(hedge_after),
            ..self
        }
    }

    /// Continues from a place up to which another router has read, unless this one is further, or has read in another era
    /// of the store. Returns whether it was in the same era.
    pub(super) fn continue_from(&mut self, as_of: Place) -> bool {
        if self.era.is_some_and(|era| era != as_of.era) {
            return false;
        }
        self.era = Some(as_of.era);
        self.next = self.next.max(Some(as_of));
        true
    }

    /// The partition.
    pub(super) fn partition(&self) -> Partition {
        self.partition
    }

    /// Number of parts that were read of the newest records, while these are not complete.
    pub(super) fn parts_read(&self) -> usize {
        self.snapshot.parts()
    }

    /// Starts over with the newest records at the next read.
    pub(super) fn restart(&mut self) {
        self.next = None;
    }

    /// Reads the next page. After an error that invalidates the place, the following read starts over with the newest
    /// records; after any other one it continues, since a store that is overloaded would send them to all routers again
    /// and again.
    pub(super) async fn read_next(
        &mut self,
        control: &Control,
        wait: Duration,
    ) -> Result<ReadPage, CallError> {
        let asked_at = control.now();
        let result = self.read(control, wait).await;
        if let Some(next) = self.next.filter(|_| result.is_ok()) {
            let seen = StoreAnswer {
                era: next.era,
                at: asked_at,
            };
            control.state.borrow_mut().record_store_answer(seen);
        }
        control.shared.set_store_era(control.store.era());
        control
            .shared
            .record_call(self.partition.topic, &result.as_ref().map(|_| ()));
        match result {
            Ok(read) => Ok(read),
            // The store does not execute calls beyond its rate, and nothing else is wrong with it.
            Err(CallError::Limited) => Err(CallError::Limited),
            Err(error) if error.invalidates_place() => {
                self.lost_place = self.next.take();
                Err(error)
            }
            Err(error) => Err(error),
        }
    }

    /// Reads the first part of the newest records, if none was read yet; returns how many it has, or `None` if these are
    /// all.
    pub(super) async fn read_first_part(
        &mut self,
        control: &Control,
    ) -> Result<Option<usize>, CallError> {
        let topic = self.partition.topic;
        if self.snapshot.is_new() {
            let silent = || control.shared.record_silence(topic);
            let store = control.store.as_ref();
            let result = self.snapshot.read_part(store, silent).await;
            control.shared.record_call(topic, &result.as_ref().copied());
            result?;
        }
        Ok((!self.snapshot.is_complete()).then_some(self.snapshot.records_read()))
    }

    async fn read(&mut self, control: &Control, wait: Duration) -> Result<ReadPage, CallError> {
        let (store, partition) = (&control.store, self.partition);
        let silent = || control.shared.record_silence(partition.topic);
        let Some(from) = self.next else {
            let page = self.snapshot.read(store.as_ref(), silent).await?;
            self.next = Some(page.next);
            if let Some(before) = self.lost_place.take() {
                let (topic, now) = (partition.topic, page.next);
                let records = page.records.len();
                tracing::info!(event = "topic_read_anew", ?topic, %before, %now, records);
            }
            let era = page.next.era;
            let before = self.era.replace(era);
            let content = match before {
                Some(before) if before < era => PageContent::RestoredSnapshot,
                _ => PageContent::Snapshot,
            };
            return Ok(ReadPage { content, page });
        };
        let read = || store.read(partition, from, wait, hedge::ANSWER_MAX);
        let page = hedge::hedged(Delays::new(self.hedge_after + wait), silent, read).await?;
        if page.end < from {
            let first = page.end.offset;
            return Err(CallError::Gone { first });
        }
        self.next = Some(page.next);
        let content = PageContent::Changes;
        Ok(ReadPage { content, page })
    }
}

/// Follows the routers' entries, and writes this router's own at each heartbeat.
pub(super) async fn routers(control: Rc<Control>) {
    let mut subscription = Subscription::new(Topic::Routers).with_hedge_after(HEDGE_AFTER);
    let interval = control.state.borrow().members.interval();
    let fed_valid_for = Millis((interval * FED_INTERVALS).as_millis() as u64);
    let mut read_due = Instant::now();
    let mut write_due = Instant::now();
    loop {
        let now = control.now();
        let fed = control.routers_fed.get();
        let fed = fed.filter(|(at, _)| now.saturating_sub(*at) <= fed_valid_for);
        if let Some((_, place)) = fed {
            // A reader of the hall tells them.
            subscription.next = Some(place);
            read_due = Instant::now() + interval;
        } else if Instant::now() >= read_due {
            let is_read = read_routers(&control, &mut subscription).await;
            read_due = Instant::now() + next_read(&control, is_read, interval);
        }
        control.publish_caller_addresses();
        if Instant::now() >= write_due {
            write_own_entry(&control, &mut subscription).await;
            write_due = Instant::now() + interval;
            if !control.state.borrow().members.is_written() {
                write_due = Instant::now() + interval.min(START_RETRY_INTERVAL);
            }
        }
        let due = read_due.min(write_due);
        if timeout_at(due, control.shared.entry_changed.notified())
            .await
            .is_ok()
        {
            write_due = Instant::now();
        }
    }
}

/// When to read the entries again. A router that starts does so soon, until it knows the others that start with it: by a
/// part of them too many would take themselves for readers or relays.
fn next_read(control: &Control, is_read: bool, interval: Duration) -> Duration {
    let members = &control.state.borrow().members;
    if members.is_acquainted() {
        interval
    } else if !is_read {
        interval.min(START_RETRY_INTERVAL)
    } else {
        let known = u32::try_from(members.count()).unwrap_or(u32::MAX);
        let step = START_READ_STEP.saturating_mul(known).max(START_READ_MIN);
        step.min(interval)
            .mul_f64(0.5 + rand::random::<f64>() / 2.0)
    }
}

/// Reads the routers' entries, and publishes them. Returns whether the store has answered.
async fn read_routers(control: &Control, subscription: &mut Subscription) -> bool {
    let sent_at = control.now();
    let known_before = control.state.borrow().members.count();
    let result = subscription.read_next(control, Duration::ZERO).await;
    let is_read = result.is_ok();
    match result {
        // Entries in a restored copy are older than what is already known of a router.
        Ok(ReadPage {
            content: PageContent::RestoredSnapshot,
            page,
        }) => {
            let known = apply::known_routers(control);
            apply_routers(control, &page, |name| !known.contains(name));
        }
        Ok(ReadPage { page, .. }) => apply_routers(control, &page, |_| true),
        // The next read starts over with the newest entries.
        Err(error) if error.invalidates_place() => {}
        Err(CallError::Limited) => {}
        Err(_) => control.state.borrow_mut().members.record_failed_read(),
    }
    if is_read {
        let members = &mut control.state.borrow_mut().members;
        members.record_entries(known_before);
    }
    if let Some(as_of) = subscription.next {
        feed::publish_routers(control, as_of, sent_at);
    }
    is_read
}

/// Applies a page of the routers' topic, restricted to the entries of routers for which `includes` holds.
fn apply_routers(control: &Control, page: &Page, includes: impl Fn(&str) -> bool) {
    let now = control.now();
    control.state.borrow_mut().members.record_read(now);
    let entries = page.records.iter().filter(|record| {
        let is_row = capacities::is_row(record) || quarantine::apply_row(control, record);
        !is_row && includes(&record.key)
    });
    let routers: Vec<Router> = entries
        .filter_map(|record| apply::read_router(control, record))
        .collect();
    apply::routers(control, routers.into_iter());
    capacities::apply_rows(control, &page.records);
}

/// Writes this router's entry, together with its quarantined requests if they have changed. A failed append is
/// recorded, and repeated with the next heartbeat.
async fn write_own_entry(control: &Control, subscription: &mut Subscription) {
    let partition = subscription.partition;
    let mut records = vec![own_entry(control)];
    if !control.state.borrow().members.is_written() {
        records.extend(capacities::own_row(control));
    }
    let row = quarantine::own_row(control);
    let held = row.map(|(record, held)| {
        records.push(record);
        held
    });
    let begun_at = Instant::now();
    let limit = subscription.timeout.get();
    let result = control.store.append(partition, &records, None, limit).await;
    if result.is_ok() {
        control
            .state
            .borrow_mut()
            .members
            .record_write(control.now());
    }
    if let (Ok(end), Some(held)) = (&result, held) {
        control.written_holds.replace((end.era, held));
    }
    subscription.timeout.adapt(&result, begun_at.elapsed());
    control
        .shared
        .record_call(partition.topic, &result.as_ref().map(|_| ()));
}

/// This router's entry, with its heartbeat counter incremented.
fn own_entry(control: &Control) -> Record {
    let mut state = control.state.borrow_mut();
    state.members.set_ready(control.shared.is_ready());
    let me = &mut state.members.me;
    me.heartbeat += 1;
    Record {
        key: me.name.clone(),
        value: Some(util::encode(me).into()),
    }
}
