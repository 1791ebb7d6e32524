//! Follows the list of targets: reads it from the store if this router is a reader of its hall, and else at one of the
//! readers or relays. Readers and relays publish what they have ([`feed`]).

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::apply;
use super::apply::PageContent;
use super::context::Control;
use super::feed::{self, Round};
use super::follow::{ReadPage, Subscription};
use crate::gateway::decision::completeness::Completeness;
use crate::gateway::decision::feed::Role;
use crate::gateway::targets::Freshness;
use crate::store::{Backoff, CallError, Page, Place, Topic, hedge};
use crate::units::Millis;

/// Interval of reads of the list of targets.
const TARGETS_INTERVAL: Duration = Duration::from_millis(500);
/// How long after an outage of the store the readers of a hall may take to read it. Until then the others do not read it
/// themselves, which would be the whole list for each of them.
const READERS_RETURN_MAX: Duration = Duration::from_millis(2_500);
/// How long after its start a router that is no reader and has no list yet goes on asking the readers, whether or not they
/// answer: they are busy passing it on over links that take seconds for it.
const FIRST_LIST_MAX: Duration = Duration::from_millis(12_000);
/// How long after its start a router that is no reader relies on the list that it has got, however old: so long it may take
/// until those that it asks have caught up.
const STARTING_MAX: Duration = Duration::from_millis(6_000);
/// Longest time that a router waits at its start to learn whether it reads the list of targets.
const ROLE_WAIT_MAX: Duration = Duration::from_millis(6_000);
/// How long after its start a reader that does not lead asks the others for the list before it reads it itself: those
/// that lead read 20,000 targets in 1.4 s.
const LEADERS_MAX: Duration = Duration::from_millis(1_500);
/// Interval of the checks whether the role is known, once the first part of the list is being read.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the list from which on a router reads it itself if those that it asks do not answer, or at a chance if they are
/// late. Their links are full while many start; what has changed since in a large fleet is long, and all would ask the
/// store for it at once.
const OWN_AGE_MAX: Millis = Millis(2_500);
/// Age from which on the list is not current any more: a leaving target has to be known within it.
const AGE_MAX: Millis = Millis(2_700);
/// Heartbeat intervals of an outage after which entries of targets may have expired: a target writes one in each, and the
/// entry expires after three without.
const INTERVALS_TO_EXPIRY: u32 = 2;
/// How long after a restore the list may hold entries of the restored copy whose targets have ended: such an entry
/// expires after three heartbeats of its target.
const RESTORED_ENTRIES_MAX_AGE: Duration = Duration::from_millis(6_000);

/// Follows the list until the process ends.
pub(super) async fn follow(control: Rc<Control>) {
    let mut list = TargetList::new();
    let mut client = feed::Client::default();
    list.wait_for_role(&control).await;
    let started_at = Instant::now();
    // When the store was last known not to answer, or this router started.
    let mut lost_at = started_at;
    loop {
        if !control.shared.lists_answer() {
            lost_at = Instant::now();
        }
        let role = feed::role(&control);
        let store_answers = control.shared.lists_answer();
        let lacks_list = client.as_of().is_none();
        let asks_first =
            role != Role::Reader || !store_answers || lacks_list && !feed::leads(&control);
        let round = match asks_first {
            true => client.follow(&control).await,
            false => Round::Unanswered,
        };
        if round == Round::Stale && lacks_list && client.as_of().is_some() {
            list.completeness.lose();
        }
        let reads = match (round, role) {
            (Round::Updated, _) => {
                list.adopt(&control, &client, role);
                false
            }
            (Round::Unanswered | Round::Stale, _) if asks_first && lacks_list => {
                let patience = match role {
                    Role::Reader => LEADERS_MAX,
                    Role::Relay | Role::Follower => FIRST_LIST_MAX,
                };
                started_at.elapsed() >= patience
            }
            // All of a fleet that starts would read what has changed since their lists.
            (_, Role::Relay | Role::Follower) if started_at.elapsed() < STARTING_MAX => false,
            // Where the store does not answer the readers but this router, they are cut off from it.
            (Round::Stale, Role::Relay | Role::Follower) => {
                lost_at.elapsed() > READERS_RETURN_MAX
                    && client.is_older(&control, OWN_AGE_MAX)
                    && feed::reads_itself(&control)
            }
            (Round::Unanswered, Role::Relay | Role::Follower) => {
                client.is_older(&control, OWN_AGE_MAX)
            }
            (Round::Stale | Round::Unanswered, Role::Reader) => true,
        };
        if reads {
            let sent_at = control.now();
            match read_or_follow(&control, &mut list, &mut client, role).await {
                Reading::Read(Ok(as_of)) => {
                    client.note_read(as_of, sent_at);
                    if let Some(whole_as_of) = list.completeness.whole_as_of() {
                        feed::publish_targets(&control, whole_as_of, sent_at);
                    }
                }
                Reading::Followed => list.adopt(&control, &client, role),
                // The store may have answered another reader meanwhile.
                Reading::Read(Err(pause))
                    if role == Role::Reader
                        && !pause.is_zero()
                        && client.follow(&control).await == Round::Updated =>
                {
                    list.adopt(&control, &client, role);
                }
                Reading::Read(Err(pause)) => {
                    sleep(pause).await;
                    continue;
                }
            }
        }
        note_age(&control, client.read_at());
        control.state.borrow_mut().targets.forget(control.now());
        control
            .shared
            .set_missing_targets(list.completeness.missing());
        control.publish_target_addresses();
        sleep(TARGETS_INTERVAL).await;
    }
}

/// How a read of the store ended.
enum Reading {
    /// With this result.
    Read(Result<Place, Duration>),
    /// Another reader's list was followed instead.
    Followed,
}

/// Reads the list from the store. While that has no answer, a reader with a list asks the others whether they got one.
async fn read_or_follow(
    control: &Rc<Control>,
    list: &mut TargetList,
    client: &mut feed::Client,
    role: Role,
) -> Reading {
    let mut read = pin!(list.read(control, role));
    let may_follow = role == Role::Reader && client.as_of().is_some();
    loop {
        tokio::select! {
            result = read.as_mut() => return Reading::Read(result),
            () = sleep(hedge::HEDGE_AFTER), if may_follow => {
                if client.follow(control).await == Round::Updated {
                    return Reading::Followed;
                }
            }
        }
    }
}

/// Notes when the read that the list is of was sent, and logs where the list has become old between two rounds.
fn note_age(control: &Control, read_at: Option<Millis>) {
    let before = control.targets_read_at.replace(read_at);
    let Some(read_at) = read_at else {
        return;
    };
    let Some(before) = before else {
        control.targets_known_since.set(Some(read_at));
        return;
    };
    let gap = read_at.saturating_sub(before);
    if gap > AGE_MAX {
        control.targets_known_since.set(Some(read_at));
        let role = feed::role(control);
        tracing::warn!(event = "target_list_late", gap_ms = gap.0, ?role);
    }
}

/// Whether this router knows the list as the store had it a moment ago, by its own read or that of another router.
pub(super) fn is_current(control: &Control) -> bool {
    let read_at = control.targets_read_at.get();
    read_at.is_some_and(|at| control.now().saturating_sub(at) <= AGE_MAX)
}

/// The list of targets as this router reads it from the store.
struct TargetList {
    subscription: Subscription,
    backoff: Backoff,
    completeness: Completeness,
    restored_at: Option<Instant>,
    /// When the read that the list is of was sent, by whichever router; `None` if there was none yet.
    read_at: Option<Millis>,
    /// When this router's own last read was sent that the store has answered, be it with a refusal for its rate.
    answered_at: Option<Millis>,
}

impl TargetList {
    fn new() -> Self {
        Self {
            subscription: Subscription::new(Topic::Targets),
            backoff: Backoff::default(),
            completeness: Completeness::default(),
            restored_at: None,
            read_at: None,
            answered_at: None,
        }
    }

    /// Waits, if the list is long, until this router's role is known: routers that start at the same time do not know
    /// each other yet, and all of them would read the whole list.
    async fn wait_for_role(&mut self, control: &Control) {
        let until = Instant::now() + ROLE_WAIT_MAX;
        feed::wait_for_entries(control, until).await;
        while Instant::now() < until {
            if feed::is_role_known(control) && feed::role(control) != Role::Reader {
                return;
            }
            // Whether a fleet is small depends on the list.
            self.backoff = self
                .backoff
                .with_longest(feed::longest_pause(control, Role::Reader));
            let pause = match self.subscription.read_first_part(control).await {
                Ok(None) => return,
                Ok(Some(count)) => {
                    self.backoff.reset();
                    control.targets_at_least.set(count);
                    if feed::is_role_known(control) {
                        return;
                    }
                    ROLE_POLL_INTERVAL
                }
                Err(_) if !control.shared.lists_answer() => return,
                Err(error) => self.backoff.pause(&error, rand::random()),
            };
            sleep(pause).await;
        }
    }

    /// Continues from the list of another router, and passes it on if this one is a reader or relay.
    fn adopt(&mut self, control: &Control, client: &feed::Client, role: Role) {
        let Some(as_of) = client.as_of() else {
            return;
        };
        let is_first_after_outage = self.has_expired(control, self.read_at);
        if role == Role::Reader && self.has_expired(control, self.answered_at) {
            self.completeness.lose();
        }
        let is_restored = self.subscription.era.is_some_and(|era| era < as_of.era);
        if is_restored {
            self.note_restored();
        }
        self.completeness.record_followed(as_of);
        self.subscription.era = Some(as_of.era);
        if self.completeness.continues() {
            self.subscription.next = Some(as_of);
        } else {
            self.subscription.restart();
            if is_first_after_outage {
                let source = client.source().unwrap_or_default();
                tracing::info!(event = "target_list_adopted", source, %as_of, ?role);
            }
        }
        self.read_at = client.read_at();
        control.shared.set_has_targets();
        if role.passes_on() {
            client.publish(control);
        }
    }

    /// Whether entries of targets may have expired since a read that was sent at `read_at`.
    fn has_expired(&self, control: &Control, read_at: Option<Millis>) -> bool {
        let interval = control.state.borrow().members.interval();
        let expiry = Millis((interval * INTERVALS_TO_EXPIRY).as_millis() as u64);
        read_at.is_some_and(|at| control.now().saturating_sub(at) > expiry)
    }

    fn note_restored(&mut self) {
        self.restored_at = Some(Instant::now());
        self.completeness.lose();
    }

    /// Reads what has changed since the last read, and returns the place up to which it has read. After a failure, returns
    /// how long to wait.
    async fn read(&mut self, control: &Control, role: Role) -> Result<Place, Duration> {
        let parts_before = self.subscription.parts_read();
        let sent_at = control.now();
        let as_of = match self.subscription.read_next(control, Duration::ZERO).await {
            Ok(ReadPage {
                content: PageContent::Changes,
                page,
            }) => {
                apply::targets(control, &page.records, Freshness::Newest);
                let dropped = self.completeness.record_changes(control.now(), &page);
                for id in dropped {
                    apply::remove_target(control, &id, "store");
                }
                page.next
            }
            Ok(ReadPage { content, page }) => {
                self.apply_snapshot(control, content, &page);
                page.next
            }
            Err(error) if error.invalidates_place() => return Err(Duration::ZERO),
            Err(error) => {
                if error == CallError::Limited {
                    self.answered_at = Some(sent_at);
                }
                self.note_failure(control, &error);
                if self.subscription.parts_read() > parts_before {
                    self.backoff.reset();
                }
                self.backoff = self
                    .backoff
                    .with_longest(feed::longest_pause(control, role));
                return Err(self.backoff.pause(&error, rand::random()));
            }
        };
        self.backoff.reset();
        self.read_at = Some(sent_at);
        self.answered_at = Some(sent_at);
        Ok(as_of)
    }

    /// After an outage in which entries may have expired, the whole list is read again, to find out which did.
    fn note_failure(&mut self, control: &Control, error: &CallError) {
        if *error != CallError::Limited && self.has_expired(control, self.read_at) {
            self.completeness.lose();
            self.subscription.restart();
        }
    }

    fn apply_snapshot(&mut self, control: &Control, content: PageContent, page: &Page) {
        if content == PageContent::RestoredSnapshot {
            self.note_restored();
        }
        let may_be_old = self
            .restored_at
            .is_some_and(|at| at.elapsed() < RESTORED_ENTRIES_MAX_AGE);
        let freshness = match may_be_old {
            true => Freshness::MayBeOld,
            false => Freshness::Newest,
        };
        let now = control.now();
        let was_whole = self.completeness.is_whole();
        let drops_missing = self.completeness.drops_missing(now);
        let missing = apply::all_targets(control, page, freshness, drops_missing);
        if !was_whole {
            let (records, as_of) = (page.records.len(), page.next);
            let missing = missing.len();
            tracing::info!(event = "target_list_read", %as_of, records, missing, drops_missing, ?content);
        }
        self.completeness.record_list(now, page.next, missing);
        control.shared.set_has_targets();
    }
}
