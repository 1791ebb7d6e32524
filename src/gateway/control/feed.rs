//! Follows the lists of targets and routers at the readers or relays of this router's hall, and publishes them where this
//! router is one of those.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time::{Instant, sleep};

use super::apply;
use super::context::Control;
use crate::gateway::decision::feed::{
    self, Fleet, LEADERS_PER_HALL, READERS_PER_HALL, RELAYS_PER_HALL, Role, SOURCES_MAX, Scope,
};
use crate::gateway::feed::{Change, Cursor, Query, Targets, Update};
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::gateway::state::State;
use crate::gateway::targets::Freshness;
use crate::store::{Backoff, Place};
use crate::units::Millis;

/// Name in the log of what a reader has told.
const SOURCE: &str = "feed";
/// Interval of the checks whether the entries of the other routers were read.
const ENTRIES_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What this router follows. A reader follows others only while the store does not answer it.
#[derive(Debug, Default)]
pub(super) struct Client {
    /// The source, and how much of its journal was applied.
    followed: Option<(String, Cursor)>,
    /// The place in the store's list of targets that this router's knowledge is of.
    as_of: Option<Place>,
    /// When the read that it is of was sent.
    read_at: Option<Millis>,
    /// The place in the store's list of routers that this router's knowledge is of, and when it was read.
    routers_read: Option<(Place, Millis)>,
    /// Rounds since the last one that brought the lists up to date.
    failed_rounds: u32,
}

/// The parts of a whole list.
struct Parts {
    /// The source's journal at the first part.
    cursor: Cursor,
    /// The place that the list was of at the first part.
    as_of: Place,
    /// When the read was sent that it was of then.
    read_at: Millis,
    /// The instances listed.
    listed: HashSet<String>,
}

/// How a round ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Round {
    /// The lists are up to date.
    Updated,
    /// The sources that answered have lists that are too old, or none yet: the store does not answer them.
    Stale,
    /// No source answered.
    Unanswered,
}

/// This router's role at present.
pub(super) fn role(control: &Control) -> Role {
    let state = control.state.borrow();
    let members = &state.members;
    let first = members.first_in_hall(control.now(), READERS_PER_HALL + RELAYS_PER_HALL);
    let place = first
        .iter()
        .position(|router| router.name == members.me.name);
    feed::role(place.unwrap_or(first.len()), fleet(control, &state))
}

/// Whether this router reads the list itself in this round although others answer it.
pub(super) fn reads_itself(control: &Control) -> bool {
    let fleet = fleet(control, &control.state.borrow());
    rand::random::<f64>() < feed::own_read_chance(fleet)
}

fn fleet(control: &Control, state: &State) -> Fleet {
    Fleet {
        routers: state.members.count(),
        targets: state
            .targets
            .known_count()
            .max(control.targets_at_least.get()),
    }
}

/// Number of routers that read the store.
fn readers(control: &Control) -> usize {
    let state = control.state.borrow();
    let members = &state.members;
    let fleet = fleet(control, &state);
    if fleet.is_small() {
        return fleet.routers;
    }
    let others = members.first_in_other_halls(control.now(), READERS_PER_HALL);
    READERS_PER_HALL + others.len()
}

/// Longest pause between reads that the store refuses for its rate.
pub(super) fn longest_pause(control: &Control, role: Role) -> Duration {
    match role {
        Role::Reader => Duration::from_millis(feed::reader_pause_max(readers(control)).0),
        Role::Relay | Role::Follower => Backoff::LONGEST,
    }
}

/// Whether the role is certain: this router knows enough others, or has had time to learn of them.
pub(super) fn is_role_known(control: &Control) -> bool {
    let state = control.state.borrow();
    let members = &state.members;
    let now = control.now();
    let first = members.first_in_hall(now, READERS_PER_HALL);
    members.is_acquainted() && first.len() == READERS_PER_HALL || members.is_settled(now)
}

/// Waits until the entries of the routers that have started before this one were read, which mostly show the role, or
/// until the store does not answer. What all routers of a large fleet read at their start is more than the store sends in
/// a second, so nothing else is read before.
pub(super) async fn wait_for_entries(control: &Control, until: Instant) {
    while control.shared.lists_answer() && Instant::now() < until {
        let (is_acquainted, is_lost) = {
            let members = &control.state.borrow().members;
            (members.is_acquainted(), members.is_lost())
        };
        if is_acquainted || is_lost {
            return;
        }
        sleep(ENTRIES_POLL_INTERVAL).await;
    }
}

/// Whether this router is the one of its hall that reads the first list at once: the first of the readers, and the second
/// in case that one fails. The other readers get it from them.
pub(super) fn leads(control: &Control) -> bool {
    let state = control.state.borrow();
    let members = &state.members;
    let first = members.first_in_hall(control.now(), LEADERS_PER_HALL);
    first.iter().any(|router| router.name == members.me.name) || fleet(control, &state).is_small()
}

/// The routers to ask, the one that was asked last first and the others in random order.
pub(super) fn sources(control: &Control, scope: Scope, last: Option<&str>) -> Vec<Router> {
    let state = control.state.borrow();
    let members = &state.members;
    let now = control.now();
    let asked = match scope {
        Scope::Relays => {
            let mut first = members.first_in_hall(now, READERS_PER_HALL + RELAYS_PER_HALL);
            first.split_off(READERS_PER_HALL.min(first.len()))
        }
        Scope::Readers => members.first_in_hall(now, READERS_PER_HALL),
        Scope::OtherHalls => members.first_in_other_halls(now, READERS_PER_HALL),
    };
    let mut sources: Vec<Router> = asked.into_iter().cloned().collect();
    sources.retain(|router| router.name != members.me.name);
    sources.shuffle(&mut rand::rng());
    sources.sort_by_key(|router| {
        let is_other = Some(router.name.as_str()) != last;
        (state.members.is_unreachable(&router.name), is_other)
    });
    sources
}

/// Answers a follower; `None` if this router passes nothing on, or if its list is old and the follower has one already:
/// sent to all followers at each round of an outage, whole lists would fill the links of the readers.
pub(super) fn answer(control: &Control, query: &Query) -> Option<Update> {
    let now = control.now();
    let journal = control.journal.borrow();
    let age = journal.targets_age(now);
    let is_fresh = age.is_some_and(|age| feed::is_fresh(age, Role::Follower));
    if !is_fresh && query.cursor.is_some() {
        return None;
    }
    let dead = control.state.borrow().members.dead(now);
    journal.answer(now, query, dead)
}

/// Publishes the targets after a read of the store that was sent at `sent_at`.
pub(super) fn publish_targets(control: &Control, as_of: Place, sent_at: Millis) {
    let now = control.now();
    let state = control.state.borrow();
    let revision = state.targets.revision();
    let entries = state.targets.entries(now);
    let mut journal = control.journal.borrow_mut();
    journal.publish_targets(now, as_of, sent_at, revision, entries);
}

/// Publishes the routers after a read of the store that was sent at `sent_at`.
pub(super) fn publish_routers(control: &Control, as_of: Place, sent_at: Millis) {
    let state = control.state.borrow();
    let known = state.members.known().chain([&state.members.me]);
    let mut journal = control.journal.borrow_mut();
    journal.publish_routers(as_of, sent_at, known);
}

impl Client {
    /// The place that this router's list of targets is of.
    pub(super) fn as_of(&self) -> Option<Place> {
        self.as_of
    }

    /// The name of the router that was followed last.
    pub(super) fn source(&self) -> Option<&str> {
        self.followed.as_ref().map(|(name, _)| name.as_str())
    }

    /// When the read that this router's list of targets is of was sent.
    pub(super) fn read_at(&self) -> Option<Millis> {
        self.read_at
    }

    /// Whether the list is older than this, or there is none.
    pub(super) fn is_older(&self, control: &Control, age: Millis) -> bool {
        let read_at = self.read_at;
        read_at.is_none_or(|at| control.now().saturating_sub(at) > age)
    }

    /// Notes that this router has read the store's list of targets itself.
    pub(super) fn note_read(&mut self, as_of: Place, sent_at: Millis) {
        self.as_of = self.as_of.max(Some(as_of));
        self.read_at = Some(sent_at);
        self.failed_rounds = 0;
    }

    /// Publishes the lists that this router has got from another one.
    pub(super) fn publish(&self, control: &Control) {
        if let Some((as_of, read_at)) = self.as_of.zip(self.read_at) {
            publish_targets(control, as_of, read_at);
        }
        if let Some((as_of, read_at)) = self.routers_read {
            publish_routers(control, as_of, read_at);
        }
    }

    /// Asks readers for what has changed, until one has current lists.
    pub(super) async fn follow(&mut self, control: &Rc<Control>) -> Round {
        let role = role(control);
        let scope = feed::scope(role, self.failed_rounds);
        let mut round = Round::Unanswered;
        for source in sources(control, scope, self.source())
            .into_iter()
            .take(SOURCES_MAX)
        {
            match self.follow_source(control, role, &source).await {
                Some(true) => {
                    // Other halls are asked until the store answers this router again.
                    if scope != Scope::OtherHalls {
                        self.failed_rounds = 0;
                    }
                    return Round::Updated;
                }
                Some(false) => round = Round::Stale,
                None => {}
            }
        }
        self.failed_rounds = self.failed_rounds.saturating_add(1);
        round
    }

    /// Applies what a source has published. Returns whether its lists are current; `None` if it does not answer.
    async fn follow_source(
        &mut self,
        control: &Rc<Control>,
        role: Role,
        source: &Router,
    ) -> Option<bool> {
        // The cursor of another source says that this router has a list.
        let cursor = self.followed.as_ref().map(|(_, cursor)| *cursor);
        let mut query = Query {
            cursor: cursor.or(self.as_of.map(|_| Cursor::OF_NO_SOURCE)),
            after: None,
        };
        let mut parts: Option<Parts> = None;
        loop {
            let Some(update) = ask(control, source, &query).await? else {
                return Some(false);
            };
            let freshness = match feed::is_fresh(update.targets_age, role) {
                true => Freshness::Newest,
                // Better than none, while the store answers nobody.
                false if self.as_of.is_none() => Freshness::MayBeOld,
                false => return Some(false),
            };
            if self.as_of.is_some_and(|known| update.targets_as_of < known) {
                // The source is behind what this router has read itself.
                return None;
            }
            apply_routers(control, role, &update);
            let routers_read_at = control.now().saturating_sub(update.routers_age);
            self.routers_read = Some((update.routers_as_of, routers_read_at));
            let read_at = control.now().saturating_sub(update.targets_age);
            let next = match update.targets {
                Targets::Changes(changes) => {
                    apply_changes(control, changes);
                    None
                }
                Targets::Part { entries, after } => {
                    let parts = parts.get_or_insert_with(|| Parts {
                        cursor: update.cursor,
                        as_of: update.targets_as_of,
                        read_at,
                        listed: HashSet::new(),
                    });
                    let mut changes = apply::Changes::default();
                    for entry in entries {
                        parts.listed.insert(entry.listing.instance.clone());
                        apply::entry(control, entry, freshness, &mut changes);
                    }
                    changes.log(SOURCE);
                    after
                }
            };
            if next.is_some() {
                query.after = next;
                continue;
            }
            // What has changed since the first part was answered is asked for in the next round.
            let (cursor, as_of, read_at) = match parts {
                Some(parts) => {
                    let targets = parts.listed.len();
                    apply::retain_targets(control, &parts.listed, SOURCE);
                    tracing::info!(event = "feed_followed", name = %source.name, targets);
                    (parts.cursor, parts.as_of, parts.read_at)
                }
                None => (update.cursor, update.targets_as_of, read_at),
            };
            self.followed = Some((source.name.clone(), cursor));
            self.as_of = Some(as_of);
            self.read_at = Some(read_at);
            return Some(freshness == Freshness::Newest);
        }
    }
}

/// A source's answer, which is `None` while it has not read the lists; `None` if it does not answer.
async fn ask(control: &Rc<Control>, source: &Router, query: &Query) -> Option<Option<Box<Update>>> {
    let request = Request::Feed(query.clone());
    match control.peer_client.ask(source.link, &request).await {
        Ok(Reply::Feed(update)) => Some(update),
        Ok(reply) => {
            tracing::warn!(event = "peer_answer_unfit", name = %source.name, ?reply);
            None
        }
        Err(missing) => {
            control.set_unreachable(source, missing);
            None
        }
    }
}

fn apply_changes(control: &Control, changes: Vec<Change>) {
    let mut listed = apply::Changes::default();
    for change in changes {
        match change {
            Change::Listed(entry) => {
                apply::entry(control, entry, Freshness::Newest, &mut listed);
            }
            Change::Gone(instance) => apply::remove_instance(control, &instance, SOURCE),
        }
    }
    listed.log(SOURCE);
}

/// Applies the routers that a source knows, if it has read their entries recently.
fn apply_routers(control: &Control, role: Role, update: &Update) {
    apply::routers(control, update.routers.iter().cloned());
    if !feed::is_fresh(update.routers_age, role) {
        return;
    }
    let now = control.now();
    control
        .state
        .borrow_mut()
        .members
        .confirm(now, &update.dead);
    control.routers_fed.set(Some((now, update.routers_as_of)));
}
