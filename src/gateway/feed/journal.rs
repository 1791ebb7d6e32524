//! What a reader has published, and its changes.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::ops::Bound;

use super::{Change, Cursor, Query, Targets, Update};
use crate::gateway::dialect::Entry;
use crate::gateway::members::Router;
use crate::store::Place;
use crate::units::Millis;

/// Number of changes of targets that are kept for followers. A follower that lacks more gets all targets again.
const CHANGES_MAX: usize = 4_096;
/// Maximum number of targets in one answer: some 20 kB, which a link of 20 Mbit/s sends to 30 followers at the same time
/// within a quarter of a second.
const PART_MAX: usize = 200;
/// Increase of a target's remaining cold time that is published; while it only runs down, followers know it.
const COLD_CHANGE_MIN: Millis = Millis(1_000);

/// A read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Read {
    as_of: Place,
    sent_at: Millis,
}

/// What a reader has published.
#[derive(Debug)]
pub struct Journal {
    session: u64,
    /// Revision of the list that was published last.
    revision: Option<u64>,
    targets: BTreeMap<String, Published>,
    changes: VecDeque<(u64, Change)>,
    last_target: u64,
    routers: BTreeMap<String, (u64, Router)>,
    last_router: u64,
    targets_read: Option<Read>,
    routers_read: Option<Read>,
}

/// A published target.
#[derive(Debug)]
struct Published {
    entry: Entry,
    /// When its cold time ends.
    cold_until: Millis,
}

impl Journal {
    /// Creates an empty journal with a number that no other has.
    pub fn new(session: u64) -> Self {
        Self {
            session,
            revision: None,
            targets: BTreeMap::new(),
            changes: VecDeque::new(),
            last_target: 0,
            routers: BTreeMap::new(),
            last_router: 0,
            targets_read: None,
            routers_read: None,
        }
    }

    /// Publishes the listed targets after a read of the store that was sent at `sent_at`. `revision` is that of the list:
    /// while it is the same, nothing has changed.
    pub fn publish_targets(
        &mut self,
        now: Millis,
        as_of: Place,
        sent_at: Millis,
        revision: u64,
        listed: impl Iterator<Item = Entry>,
    ) {
        self.targets_read = Some(Read { as_of, sent_at });
        if self.revision.replace(revision) == Some(revision) {
            return;
        }
        let mut seen = HashSet::with_capacity(self.targets.len());
        for entry in listed {
            seen.insert(entry.listing.instance.clone());
            self.publish_target(now, entry);
        }
        if seen.len() < self.targets.len() {
            let gone = self
                .targets
                .keys()
                .filter(|instance| !seen.contains(*instance));
            let gone: Vec<String> = gone.cloned().collect();
            for instance in gone {
                self.targets.remove(&instance);
                self.push(Change::Gone(instance));
            }
        }
    }

    fn publish_target(&mut self, now: Millis, entry: Entry) {
        let cold_until = now + entry.cold_left;
        if let Some(known) = self.targets.get(&entry.listing.instance) {
            let is_colder = cold_until >= known.cold_until.max(now) + COLD_CHANGE_MIN;
            let is_same =
                known.entry.listing == entry.listing && known.entry.version == entry.version;
            if is_same && !is_colder {
                return;
            }
        }
        let published = Published {
            entry: entry.clone(),
            cold_until,
        };
        let instance = entry.listing.instance.clone();
        self.targets.insert(instance, published);
        self.push(Change::Listed(entry));
    }

    fn push(&mut self, change: Change) {
        self.last_target += 1;
        self.changes.push_back((self.last_target, change));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
    }

    /// Publishes the known routers after a read of the store that was sent at `sent_at`.
    pub fn publish_routers<'a>(
        &mut self,
        as_of: Place,
        sent_at: Millis,
        known: impl Iterator<Item = &'a Router>,
    ) {
        for router in known {
            let published = self.routers.get(&router.name);
            if published.is_some_and(|(_, published)| is_same(published, router)) {
                continue;
            }
            self.last_router += 1;
            let published = (self.last_router, router.clone());
            self.routers.insert(router.name.clone(), published);
        }
        self.routers_read = Some(Read { as_of, sent_at });
    }

    /// Age of the list of targets; `None` while it has not been read.
    pub fn targets_age(&self, now: Millis) -> Option<Millis> {
        let read = self.targets_read?;
        Some(now.saturating_sub(read.sent_at))
    }

    /// Answers a follower; `None` while the lists have not been read. `dead` are the routers that have missed their
    /// heartbeats.
    pub fn answer(&self, now: Millis, query: &Query, dead: Vec<u64>) -> Option<Update> {
        let (targets_read, routers_read) = self.targets_read.zip(self.routers_read)?;
        let known = query.cursor.filter(|cursor| cursor.session == self.session);
        let targets = match known.and_then(|cursor| self.changes_since(cursor.target)) {
            Some(changes) if query.after.is_none() => Targets::Changes(changes),
            _ => self.part(now, query.after.as_deref()),
        };
        let routers_since = match &query.after {
            // They were in the answer with the first part.
            Some(_) => self.last_router,
            None => known.map_or(0, |cursor| cursor.router),
        };
        let routers = self.routers.values();
        let routers = routers.filter(|(number, _)| *number > routers_since);
        Some(Update {
            cursor: Cursor {
                session: self.session,
                target: self.last_target,
                router: self.last_router,
            },
            targets_as_of: targets_read.as_of,
            targets_age: now.saturating_sub(targets_read.sent_at),
            targets,
            routers_as_of: routers_read.as_of,
            routers_age: now.saturating_sub(routers_read.sent_at),
            routers: routers.map(|(_, router)| router.clone()).collect(),
            dead,
        })
    }

    /// The changes after a number; `None` if some of them are not kept any more.
    fn changes_since(&self, number: u64) -> Option<Vec<Change>> {
        let first_kept = self
            .changes
            .front()
            .map_or(self.last_target + 1, |(first, _)| *first);
        if number + 1 < first_kept || number > self.last_target {
            return None;
        }
        let since = self.changes.iter().rev();
        let since = since.take_while(|(changed, _)| *changed > number);
        let mut changes: Vec<Change> = since.map(|(_, change)| change.clone()).collect();
        changes.reverse();
        Some(changes)
    }

    fn part(&self, now: Millis, after: Option<&str>) -> Targets {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.targets.range::<str, _>((start, Bound::Unbounded));
        let entries: Vec<Entry> = rest
            .by_ref()
            .take(PART_MAX)
            .map(|(_, published)| Entry {
                cold_left: published.cold_until.saturating_sub(now),
                ..published.entry.clone()
            })
            .collect();
        let last = entries.last().map(|entry| entry.listing.instance.clone());
        let after = rest.next().and(last);
        Targets::Part { entries, after }
    }
}

/// Whether two entries of a router differ in their heartbeats alone.
fn is_same(a: &Router, b: &Router) -> bool {
    let Router {
        name,
        incarnation,
        front,
        link,
        hall,
        is_ready,
        heartbeat: _,
    } = a;
    (name, incarnation, front, link, hall, is_ready)
        == (
            &b.name,
            &b.incarnation,
            &b.front,
            &b.link,
            &b.hall,
            &b.is_ready,
        )
}
