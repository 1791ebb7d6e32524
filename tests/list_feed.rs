//! What a reader of the store publishes of the lists of targets and routers, and the parts in which long lists are read.

mod listed;
#[allow(dead_code)]
mod pins;

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use lanedeck::gateway::decision::feed::{
    self, Fleet, READERS_PER_HALL, RELAYS_PER_HALL, Role, Scope,
};
use lanedeck::gateway::dialect::{Entry, Listing};
use lanedeck::gateway::feed::{Change, Cursor, Journal, Query, Targets, Update};
use lanedeck::gateway::members::{Members, Router, Source};
use lanedeck::gateway::message::{Reply, Request};
use lanedeck::store::{
    Backoff, CallError, Era, Page, Part, Partition, Place, Record, Snapshot, Store, Topic,
};
use lanedeck::units::Millis;

const NOW: Millis = Millis(1_000_000);
const SESSION: u64 = 7;

fn place(offset: u64) -> Place {
    Place {
        era: Era(1),
        offset,
    }
}

fn entry(number: u16) -> Entry {
    Entry {
        listing: listed::listing(number),
        cold_left: Millis::ZERO,
        version: Some("v1".into()),
    }
}

fn router(number: u16, heartbeat: u64) -> Router {
    Router {
        name: format!("g{number}"),
        incarnation: 1,
        front: ([127, 0, 0, 1], 1_000 + number).into(),
        link: ([127, 0, 0, 1], 2_000 + number).into(),
        hall: "hall".into(),
        is_ready: true,
        heartbeat,
    }
}

fn publish(journal: &mut Journal, offset: u64, entries: impl Iterator<Item = Entry>) {
    journal.publish_targets(NOW, place(offset), NOW, offset, entries);
}

fn journal(targets: u16) -> Journal {
    let mut journal = Journal::new(SESSION);
    publish(&mut journal, 1, (0..targets).map(entry));
    let routers = [router(0, 1), router(1, 1)];
    journal.publish_routers(place(1), NOW, routers.iter());
    journal
}

fn ask(journal: &Journal, cursor: Option<Cursor>) -> Update {
    let query = Query {
        cursor,
        after: None,
    };
    journal.answer(NOW, &query, Vec::new()).unwrap()
}

fn changes(update: &Update) -> &[Change] {
    match &update.targets {
        Targets::Changes(changes) => changes,
        Targets::Part { .. } => panic!("all targets instead of the changes"),
    }
}

#[test]
fn nothing_before_a_read() {
    let mut journal = Journal::new(SESSION);
    assert_eq!(journal.answer(NOW, &Query::default(), Vec::new()), None);
    publish(&mut journal, 1, [entry(1)].into_iter());
    assert_eq!(journal.answer(NOW, &Query::default(), Vec::new()), None);
}

#[test]
fn heartbeats_are_not_passed_on() {
    let mut journal = journal(100);
    let first = ask(&journal, None);
    publish(&mut journal, 50, (0..100).map(entry));
    let routers = [router(0, 2), router(1, 2)];
    journal.publish_routers(place(9), NOW, routers.iter());
    let next = ask(&journal, Some(first.cursor));
    assert!(changes(&next).is_empty());
    assert!(next.routers.is_empty());
    assert_eq!(next.targets_as_of, place(50));
    assert_eq!(next.routers_as_of, place(9));
}

/// Guards against a long list that carries all routers again with each of its parts.
#[test]
fn routers_come_once() {
    let journal = journal(2_000);
    let first = ask(&journal, None);
    assert_eq!(first.routers.len(), 2);
    let Targets::Part { after, .. } = first.targets else {
        panic!("changes without a cursor");
    };
    let query = Query {
        cursor: None,
        after,
    };
    let second = journal.answer(NOW, &query, Vec::new()).unwrap();
    assert!(matches!(second.targets, Targets::Part { .. }));
    assert_eq!(second.routers, []);
}

#[test]
fn changes_in_order() {
    let mut journal = journal(3);
    let cursor = ask(&journal, None).cursor;
    let leaving = Entry {
        listing: Listing {
            is_ready: false,
            ..listed::listing(1)
        },
        ..entry(1)
    };
    publish(
        &mut journal,
        2,
        [entry(0), leaving.clone(), entry(2)].into_iter(),
    );
    publish(
        &mut journal,
        3,
        [leaving.clone(), entry(2), entry(3)].into_iter(),
    );
    let update = ask(&journal, Some(cursor));
    let expected = [
        Change::Listed(leaving),
        Change::Listed(entry(3)),
        Change::Gone("i-0".into()),
    ];
    assert_eq!(changes(&update), expected);
    assert!(changes(&ask(&journal, Some(update.cursor))).is_empty());
}

#[test]
fn new_version_and_cold_time() {
    let mut journal = journal(2);
    let cursor = ask(&journal, None).cursor;
    let changed = Entry {
        version: Some("v2".into()),
        ..entry(0)
    };
    let cold = Entry {
        cold_left: Millis(5_000),
        ..entry(1)
    };
    publish(&mut journal, 2, [changed.clone(), cold.clone()].into_iter());
    let update = ask(&journal, Some(cursor));
    let expected = [
        Change::Listed(changed.clone()),
        Change::Listed(cold.clone()),
    ];
    assert_eq!(changes(&update), expected);
    // While the cold time runs down, it is no news.
    let later = NOW + Millis(1_000);
    let colder = Entry {
        cold_left: Millis(4_000),
        ..cold
    };
    let entries = [changed, colder].into_iter();
    journal.publish_targets(later, place(3), later, 3, entries);
    assert!(changes(&ask(&journal, Some(update.cursor))).is_empty());
}

#[test]
fn all_in_parts() {
    const TARGETS: u16 = 2_500;
    let mut journal = journal(TARGETS);
    let mut query = Query::default();
    let mut seen = Vec::new();
    let first = journal.answer(NOW, &query, Vec::new()).unwrap();
    assert_eq!(first.routers.len(), 2);
    loop {
        let update = journal.answer(NOW, &query, Vec::new()).unwrap();
        let Targets::Part { entries, after } = update.targets else {
            panic!("changes instead of all targets");
        };
        seen.extend(entries.into_iter().map(|entry| entry.listing.instance));
        // One goes and one comes meanwhile.
        publish(&mut journal, 2, (1..=TARGETS).map(entry));
        query.after = after;
        if query.after.is_none() {
            break;
        }
    }
    assert!(seen.is_sorted() && seen.len() >= usize::from(TARGETS));
    let update = ask(&journal, Some(first.cursor));
    let expected = [Change::Listed(entry(TARGETS)), Change::Gone("i-0".into())];
    assert_eq!(
        changes(&update),
        expected,
        "what changed since the first part"
    );
}

#[test]
fn unknown_cursor_gets_all() {
    let mut journal = journal(2);
    let cursor = ask(&journal, None).cursor;
    let others = [
        Cursor {
            session: SESSION + 1,
            ..cursor
        },
        Cursor {
            target: cursor.target + 1,
            ..cursor
        },
    ];
    for other in others {
        let update = ask(&journal, Some(other));
        assert!(matches!(update.targets, Targets::Part { .. }), "{other:?}");
    }
    // More changes than are kept.
    for number in 0..3_000 {
        let entries = [entry(0), entry(number % 7 + 2)].into_iter();
        publish(&mut journal, u64::from(number), entries);
    }
    let update = ask(&journal, Some(cursor));
    assert!(matches!(update.targets, Targets::Part { .. }));
}

#[test]
fn age_of_the_read() {
    let journal = journal(1);
    let later = NOW + Millis(1_234);
    let update = journal.answer(later, &Query::default(), vec![5]).unwrap();
    assert_eq!(update.targets_age, Millis(1_234));
    assert_eq!(update.dead, [5]);
}

/// A router that reads the others' entries at a reader counts them as live, but for those that the reader counts as
/// dead.
#[test]
fn liveness_at_second_hand() {
    let interval = Millis(1_000);
    let mut reader = Members::new(router(0, 1), interval);
    let mut follower = Members::new(router(1, 1), interval);
    for members in [&mut reader, &mut follower] {
        members.record_read(NOW);
        for number in 0..5 {
            members.update(NOW, router(number, 1), Source::Store);
        }
    }
    let later = NOW + Millis(10_000);
    for number in [2, 3] {
        reader.update(later, router(number, 9), Source::Store);
    }
    assert_eq!(follower.live(later).count(), 0);
    assert!(follower.confirm(later, &reader.dead(later)));
    let live: Vec<&str> = follower.live(later).map(|it| it.name.as_str()).collect();
    // The reader does not list itself.
    assert_eq!(live, ["g0", "g2", "g3"]);
    assert!(!follower.confirm(later, &reader.dead(later)));
    // A call that failed counts until the router has had time to write several heartbeats.
    assert!(follower.set_unreachable(later, "g2", 1));
    follower.confirm(later + Millis(1_000), &[]);
    assert!(follower.live(later).all(|router| router.name != "g2"));
    let back = later + Millis(4_000);
    follower.confirm(back, &[]);
    assert!(follower.live(back).any(|router| router.name == "g2"));
}

#[test]
fn same_readers_for_all() {
    let members = |me: u16| {
        let mut members = Members::new(router(me, 1), Millis(1_000));
        members.record_read(NOW);
        for number in 0..40 {
            let hall = if number < 30 { "hall" } else { "other" };
            let router = Router {
                hall: hall.into(),
                ..router(number, 1)
            };
            members.update(NOW, router, Source::Store);
        }
        let first = members.first_in_hall(NOW, 8);
        first.iter().map(|it| it.name.clone()).collect::<Vec<_>>()
    };
    let first = members(0);
    assert_eq!(first.len(), 8);
    for me in 1..30 {
        assert_eq!(members(me), first);
    }
}

#[test]
fn all_read_in_small_fleets() {
    const LAST: usize = 294;
    let role = |before, routers, targets| feed::role(before, Fleet { routers, targets });
    assert_eq!(role(LAST, 90, 150), Role::Reader);
    assert_eq!(role(LAST, 295, 250), Role::Follower);
    let before_any_target = role(LAST, 985, 0);
    assert_eq!(before_any_target, Role::Follower);
    assert_eq!(role(READERS_PER_HALL - 1, 985, 10_000), Role::Reader);
    assert_eq!(role(READERS_PER_HALL, 985, 10_000), Role::Relay);
    let relays_end = READERS_PER_HALL + RELAYS_PER_HALL;
    assert_eq!(role(relays_end, 985, 10_000), Role::Follower);
}

/// Guards against routers that all ask the few readers of a hall, whose links are full for seconds then.
#[test]
fn followers_ask_relays() {
    assert_eq!(feed::scope(Role::Relay, 0), Scope::Readers);
    assert_eq!(feed::scope(Role::Follower, 0), Scope::Relays);
    assert_eq!(feed::scope(Role::Follower, 1), Scope::Relays);
    let later = (8..10).map(|rounds| feed::scope(Role::Follower, rounds));
    assert_eq!(later.collect::<Vec<_>>(), [Scope::Relays, Scope::Readers]);
    let hall = 985_usize.div_ceil(6);
    let followers = hall - READERS_PER_HALL - RELAYS_PER_HALL;
    let most = RELAYS_PER_HALL.div_ceil(READERS_PER_HALL);
    assert!(followers.div_ceil(RELAYS_PER_HALL) <= most);
}

#[test]
fn messages() {
    let journal = journal(1);
    let cursor = ask(&journal, None).cursor;
    let query = Query {
        cursor: Some(cursor),
        after: Some("i-0".into()),
    };
    pins::pin("09010701020103692d30", &Request::Feed(query));
    let mut update = ask(&journal, None);
    pins::pin(
        "0901070102010100010103692d300173007f000001fbe8030468616c6c08010001027631000101000202673001007f000001fbe803007f000001fbd0070468616c6c010102673101007f000001fbe903007f000001fbd1070468616c6c010100",
        &Reply::Feed(Some(Box::new(update.clone()))),
    );
    let changes = vec![Change::Listed(entry(0)), Change::Gone("i-0".into())];
    update.targets = Targets::Changes(changes);
    pins::pin(
        "090107010201010000020003692d300173007f000001fbe8030468616c6c080100010276310103692d300101000202673001007f000001fbe803007f000001fbd0070468616c6c010102673101007f000001fbe903007f000001fbd1070468616c6c010100",
        &Reply::Feed(Some(Box::new(update))),
    );
}

/// A store that refuses calls by a pattern, with a list of several parts.
struct Refusing {
    parts: usize,
    /// Whether the next calls are refused.
    refused: Mutex<VecDeque<bool>>,
    calls: Mutex<usize>,
}

impl Store for Refusing {
    fn append<'a>(
        &'a self,
        _: Partition,
        _: &'a [Record],
        _: Option<Place>,
        _: Duration,
    ) -> BoxFuture<'a, Result<Place, CallError>> {
        async { Err(CallError::Unavailable) }.boxed()
    }

    fn read(
        &self,
        _: Partition,
        _: Place,
        _: Duration,
        _: Duration,
    ) -> BoxFuture<'_, Result<Page, CallError>> {
        async { Err(CallError::Unavailable) }.boxed()
    }

    fn newest<'a>(
        &'a self,
        _: Partition,
        after: Option<&'a str>,
        _: Duration,
    ) -> BoxFuture<'a, Result<Part, CallError>> {
        async move {
            *self.calls.lock().unwrap() += 1;
            if self.refused.lock().unwrap().pop_front().unwrap_or(false) {
                return Err(CallError::Limited);
            }
            let number = after.map_or(0, |key| key.parse::<usize>().unwrap() + 1);
            let key = number.to_string();
            Ok(Part {
                records: vec![Record {
                    key: key.clone(),
                    value: Some("x".into()),
                }],
                keys: vec![key],
                end: place(100 + number as u64),
                has_more: number + 1 < self.parts,
            })
        }
        .boxed()
    }

    fn era(&self) -> Era {
        Era(1)
    }

    fn bytes_received(&self, _topic: Topic) -> u64 {
        0
    }
}

/// Guards against a long list that is never read since one of its parts is refused each time.
#[tokio::test]
async fn long_list_at_a_refusing_store() {
    const PARTS: usize = 20;
    let store = Refusing {
        parts: PARTS,
        refused: Mutex::new((0..10 * PARTS).map(|call| call % 2 == 0).collect()),
        calls: Mutex::default(),
    };
    let mut snapshot = Snapshot::new(Partition {
        topic: Topic::Targets,
        number: 0,
    });
    let mut refusals = 0;
    let page = loop {
        match snapshot.read(&store, || {}).await {
            Ok(page) => break page,
            Err(CallError::Limited) => refusals += 1,
            Err(error) => panic!("{error}"),
        }
    };
    assert_eq!(refusals, PARTS);
    assert_eq!(*store.calls.lock().unwrap(), 2 * PARTS);
    assert_eq!(page.records.len(), PARTS);
    assert_eq!(page.next, place(100), "the place before the first part");
}

/// A fleet whose calls are all refused makes fewer calls than the store takes, at any size of the fleet that is aimed
/// at.
#[test]
fn pauses_grow() {
    let mut backoff = Backoff::default();
    let pause = |backoff: &mut Backoff| backoff.pause(&CallError::Limited, 1.0);
    let pauses: Vec<Duration> = (0..6).map(|_| pause(&mut backoff)).collect();
    assert!(pauses.is_sorted());
    let longest = pauses[5].as_secs_f64();
    let routers = 2_000.0;
    let tasks = 3.0;
    assert!(routers * tasks / longest < 4_000.0, "{longest}");
    assert!(
        backoff.pause(&CallError::Limited, 0.0) < pauses[5],
        "spread"
    );
    let other = backoff.pause(&CallError::Unavailable, 1.0);
    assert!(
        other < Duration::from_millis(200),
        "a store that is back is noticed soon"
    );
    backoff.reset();
    assert_eq!(pause(&mut backoff), pauses[0]);
}

/// Guards against readers of a long list that pause for as long in a small fleet as in a large one.
#[test]
fn pauses_follow_the_readers() {
    let shortest = feed::reader_pause_max(12);
    assert_eq!(shortest, Millis(100));
    for readers in [12, 24, 32] {
        let reads = readers as f64 * 1_000.0 / feed::reader_pause_max(readers).0 as f64;
        assert!(reads <= 121.0, "{readers}: {reads}");
    }
    assert_eq!(feed::reader_pause_max(300), Millis(300));
}

#[test]
fn late_lists_do_not_make_all_read() {
    for (routers, targets) in [(7, 600), (300, 3_000), (985, 10_000), (2_000, 20_000)] {
        let fleet = Fleet { routers, targets };
        let chance = feed::own_read_chance(fleet);
        let entries = chance * (routers * targets) as f64;
        assert!(entries <= 80_000.0, "{fleet:?}: {entries}");
        assert_eq!(chance == 1.0, routers == 7, "{fleet:?}");
    }
}
