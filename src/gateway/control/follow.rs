//! Follows the topics that others write to in the store: the operators' records, the list of targets, the routers'
//! entries. Each topic has a task, which owns its offset; [`apply`] applies the records.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::apply::PageContent;
use super::context::Control;
use super::feed::{self, Round};
use super::{apply, quarantine};
use crate::gateway::decision::feed::Role;
use crate::gateway::escrow::StoreAnswer;
use crate::gateway::targets::Freshness;
use crate::store::{
    Backoff, CallError, Era, Page, Partition, Place, Record, Snapshot, Timeout, Topic, hedge,
};
use crate::units::Millis;
use crate::util;

/// How long the store delays its answer to a read of the configuration until there is a change (long poll). A change
/// must be in force within 11 s.
const CONFIG_POLL: Duration = Duration::from_millis(1_000);
/// Interval of reads of the list of targets.
const TARGETS_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a read that failed.
pub(super) const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// Heartbeat intervals for which a reader's list of routers is relied on.
const FED_INTERVALS: u32 = 2;
/// How long after an outage of the store, or after a start of all, the readers of a hall may take to read it. Until then
/// the others do not read it themselves, which would be the whole list for each of them.
const READERS_RETURN_MAX: Duration = Duration::from_millis(2_500);
/// Longest time that a router waits at its start to learn whether it reads the list of targets.
const ROLE_WAIT_MAX: Duration = Duration::from_millis(4_000);
/// Interval of the checks whether the role is known.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a target that is no longer listed stays in use after the store is back: its entry may have expired because
/// the target could not write either. Running targets are listed again within about two seconds; the next read follows
/// [`TARGETS_INTERVAL`] later.
const LAPSED_GRACE: Duration = Duration::from_millis(1_700);

/// How long after a restore the list may hold entries of the restored copy whose targets have ended: such an entry
/// expires after three heartbeats of its target.
const RESTORED_ENTRIES_MAX_AGE: Duration = Duration::from_millis(6_000);

/// Reads a partition continuously.
pub(super) struct Follower {
    partition: Partition,
    /// Where the next read starts; `None` to read the newest records.
    next: Option<Place>,
    /// The parts of the newest records that were read.
    snapshot: Snapshot,
    /// The last place, if the store no longer has it.
    lost_place: Option<Place>,
    /// The era of the last read.
    era: Option<Era>,
    pub(super) timeout: Timeout,
}

/// The result of a read.
pub(super) struct ReadPage {
    pub(super) content: PageContent,
    pub(super) page: Page,
}

impl Follower {
    pub(super) fn new(topic: Topic) -> Self {
        let partition = Partition { topic, number: 0 };
        Self {
            partition,
            next: None,
            snapshot: Snapshot::new(partition),
            lost_place: None,
            era: None,
            timeout: Timeout::default(),
        }
    }

    /// The partition.
    pub(super) fn partition(&self) -> Partition {
        self.partition
    }

    /// Where the next read starts; `None` before the first one and after an error.
    pub(super) fn next_place(&self) -> Option<Place> {
        self.next
    }

    /// The era of the last read of the newest records.
    pub(super) fn era(&self) -> Option<Era> {
        self.era
    }

    /// Reads the next page. After an error, unless it is a refusal for the store's rate, the following read starts over
    /// with the newest records.
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
            Err(error) => {
                let before = self.next.take();
                if error.invalidates_place() {
                    self.lost_place = before;
                }
                Err(error)
            }
        }
    }

    /// Reads the first part of the newest records, if none was read yet; returns whether there are more.
    async fn read_first_part(&mut self, control: &Control) -> Result<bool, CallError> {
        let topic = self.partition.topic;
        if self.snapshot.is_new() {
            let silent = || control.shared.record_silence(topic);
            let store = control.store.as_ref();
            let result = self.snapshot.read_part(store, silent).await;
            control.shared.record_call(topic, &result.as_ref().copied());
            result?;
        }
        Ok(!self.snapshot.is_complete())
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
        let page = hedge::hedged(hedge::HEDGE_AFTER + wait, silent, read).await?;
        if page.end < from {
            let first = page.end.offset;
            return Err(CallError::Gone { first });
        }
        self.next = Some(page.next);
        let content = PageContent::Changes;
        Ok(ReadPage { content, page })
    }
}

/// Follows the operators' records: the configuration and the evacuations of halls.
pub(super) async fn operators(control: Rc<Control>) {
    let mut follower = Follower::new(Topic::Config);
    let mut backoff = Backoff::default();
    loop {
        match follower.read_next(&control, CONFIG_POLL).await {
            Ok(ReadPage { content, page }) => {
                backoff.reset();
                apply::operators(&control, &page, content);
            }
            Err(error) if error.invalidates_place() => {}
            Err(error) => sleep(backoff.pause(&error, rand::random())).await,
        }
    }
}

/// Follows the list of targets: reads it from the store, or follows the readers of this router's hall.
pub(super) async fn targets(control: Rc<Control>) {
    let mut list = TargetList::new();
    let mut client = feed::Client::default();
    list.wait_for_role(&control).await;
    // When the store was last known not to answer, or this router started.
    let mut lost_at = Instant::now();
    loop {
        if !control.shared.store_answers() {
            lost_at = Instant::now();
        }
        let round = match feed::role(&control) {
            Role::Reader => Round::Unanswered,
            Role::Follower => client.follow(&control).await,
        };
        let reads = match round {
            Round::Updated => {
                list.continue_from(client.as_of());
                control.shared.set_has_targets();
                false
            }
            // Where the store does not answer the readers but this router, they are cut off from it.
            Round::Stale => lost_at.elapsed() > READERS_RETURN_MAX,
            Round::Unanswered => true,
        };
        if reads {
            let sent_at = control.now();
            if let Err(pause) = list.read(&control).await {
                sleep(pause).await;
                continue;
            }
            client.note_read(list.follower.next);
            if let Some(as_of) = list.follower.next {
                feed::publish_targets(&control, as_of, sent_at);
            }
        }
        control.state.borrow_mut().targets.forget(control.now());
        control.publish_target_addresses();
        sleep(TARGETS_INTERVAL).await;
    }
}

/// The list of targets as this router reads it from the store.
struct TargetList {
    follower: Follower,
    backoff: Backoff,
    /// Since when the list lacks targets that may come back.
    incomplete_since: Option<Instant>,
    /// Whether the store was lost or restored, and the list has not been complete since.
    was_lost: bool,
    restored_at: Option<Instant>,
}

impl TargetList {
    fn new() -> Self {
        Self {
            follower: Follower::new(Topic::Targets),
            backoff: Backoff::default(),
            incomplete_since: None,
            was_lost: false,
            restored_at: None,
        }
    }

    /// Waits, if the list is long, until this router's role is known: routers that start at the same time do not know
    /// each other yet, and all of them would read the whole list.
    async fn wait_for_role(&mut self, control: &Control) {
        let until = Instant::now() + ROLE_WAIT_MAX;
        while !feed::is_role_known(control) && Instant::now() < until {
            let pause = match self.follower.read_first_part(control).await {
                Ok(is_long) if !is_long => return,
                Ok(_) => ROLE_POLL_INTERVAL,
                Err(error) => self.backoff.pause(&error, rand::random()),
            };
            sleep(pause).await;
        }
    }

    /// Continues from a place up to which another router's list was followed.
    fn continue_from(&mut self, as_of: Option<Place>) {
        self.follower.next = as_of;
        self.follower.era = as_of.map(|as_of| as_of.era);
        self.incomplete_since = None;
        self.was_lost = false;
    }

    /// Reads what has changed since the last read. After a failure, returns how long to wait.
    async fn read(&mut self, control: &Control) -> Result<(), Duration> {
        match self.follower.read_next(control, Duration::ZERO).await {
            Ok(ReadPage {
                content: PageContent::Changes,
                page,
            }) => {
                for record in &page.records {
                    apply::target(control, record, Freshness::Newest);
                }
            }
            Ok(ReadPage { content, page }) => self.apply_snapshot(control, content, &page),
            Err(error) if error.invalidates_place() => return Err(Duration::ZERO),
            Err(error) => {
                self.was_lost |= error != CallError::Limited;
                return Err(self.backoff.pause(&error, rand::random()));
            }
        }
        self.backoff.reset();
        Ok(())
    }

    fn apply_snapshot(&mut self, control: &Control, content: PageContent, page: &Page) {
        if content == PageContent::RestoredSnapshot {
            self.restored_at = Some(Instant::now());
            self.incomplete_since = None;
            self.was_lost = true;
        }
        let may_be_old = self
            .restored_at
            .is_some_and(|at| at.elapsed() < RESTORED_ENTRIES_MAX_AGE);
        let freshness = match may_be_old {
            true => Freshness::MayBeOld,
            false => Freshness::Newest,
        };
        let incomplete_since = self.incomplete_since;
        let is_in_grace =
            self.was_lost && incomplete_since.is_none_or(|at| at.elapsed() < LAPSED_GRACE);
        let is_complete = apply::all_targets(control, page, freshness, !is_in_grace);
        if is_complete {
            self.incomplete_since = None;
            self.was_lost = false;
        } else {
            self.incomplete_since.get_or_insert_with(Instant::now);
            self.follower.next = None;
        }
        control.shared.set_has_targets();
    }
}

/// Follows the routers' entries, and writes this router's own at each heartbeat.
pub(super) async fn routers(control: Rc<Control>) {
    let mut follower = Follower::new(Topic::Routers);
    let interval = control.state.borrow().members.interval();
    let fed_valid_for = Millis((interval * FED_INTERVALS).as_millis() as u64);
    loop {
        let now = control.now();
        let fed = control.routers_fed.get();
        let fed = fed.filter(|(at, _)| now.saturating_sub(*at) <= fed_valid_for);
        if let Some((_, place)) = fed {
            // A reader of the hall tells them.
            follower.next = Some(place);
        } else {
            read_routers(&control, &mut follower).await;
        }
        control.publish_caller_addresses();
        write_own_entry(&control, &mut follower).await;
        let changed = control.shared.entry_changed.notified();
        // A timeout and a wake-up have the same effect.
        let _ = timeout(interval, changed).await;
    }
}

/// Reads the routers' entries, and publishes them.
async fn read_routers(control: &Control, follower: &mut Follower) {
    let sent_at = control.now();
    match follower.read_next(control, Duration::ZERO).await {
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
    if let Some(as_of) = follower.next {
        feed::publish_routers(control, as_of, sent_at);
    }
}

/// Applies a page of the routers' topic, restricted to the entries of routers for which `includes` holds.
fn apply_routers(control: &Control, page: &Page, includes: impl Fn(&str) -> bool) {
    let now = control.now();
    control.state.borrow_mut().members.record_read(now);
    for record in &page.records {
        if !quarantine::apply_row(control, record) && includes(&record.key) {
            apply::router(control, record);
        }
    }
}

/// Writes this router's entry, together with its quarantined requests if they have changed. A failed append is
/// recorded, and repeated with the next heartbeat.
async fn write_own_entry(control: &Control, follower: &mut Follower) {
    let partition = follower.partition;
    let mut records = vec![own_entry(control)];
    let row = quarantine::own_row(control);
    let held = row.map(|(record, held)| {
        records.push(record);
        held
    });
    let begun_at = Instant::now();
    let limit = follower.timeout.get();
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
    follower.timeout.adapt(&result, begun_at.elapsed());
    control
        .shared
        .record_call(partition.topic, &result.as_ref().map(|_| ()));
}

/// This router's entry, with its heartbeat counter incremented.
fn own_entry(control: &Control) -> Record {
    let mut state = control.state.borrow_mut();
    let me = &mut state.members.me;
    me.heartbeat += 1;
    me.is_ready = control.shared.is_ready();
    Record {
        key: me.name.clone(),
        value: Some(util::encode(me).into()),
    }
}
