//! Which targets a stream may go on at, and which routers keep its record.

mod busy;
mod fleet;
mod listed;

use std::collections::BTreeSet;
use std::time::Duration;

use lanedeck::gateway::decision::origin::{
    Answer, Constraint, Origin, REQUEST_KEEPERS, SOLE_AFTER, sole,
};
use lanedeck::gateway::decision::refusal::Refusal;
use lanedeck::gateway::decision::retry::Charge;
use lanedeck::gateway::fingerprint::Hasher;
use lanedeck::gateway::job::{Job, Placement};
use lanedeck::gateway::rollout::{Order, Progress, Stage, Written};
use lanedeck::gateway::state::State;
use lanedeck::gateway::streams::{Id, KEPT_MAX, Record, Stream, Streams};
use lanedeck::units::Millis;

use busy::NOW;

const SERVICE: &str = "s";

fn origin(version: &str) -> Origin {
    Origin::new(SERVICE, version)
}

fn stream(number: u64) -> Stream {
    let request = format!("r{number}");
    let fingerprint = Hasher::new("fleet").fingerprint(Some("anna"), &[request.as_bytes()]);
    Stream {
        id: Id::of_request(Some("anna"), &request),
        content: Id::of_content(fingerprint),
        until: NOW + Millis(15_000),
    }
}

/// A router with targets of two versions, the even ones of `v1`.
fn two_versions(targets: u16) -> State {
    let mut state = busy::state(targets);
    for number in 0..targets {
        let version = ["v1", "v2"][usize::from(number % 2)];
        state.targets.note_version(&format!("i-{number}"), version);
    }
    state
}

fn job(number: u64) -> Job {
    Job {
        stream: Some(stream(number)),
        ..busy::job(&format!("r{number}"), 100, NOW + Millis(15_000))
    }
}

fn retry(state: &mut State, placement: &Placement) -> Result<Placement, Refusal> {
    state.retry(NOW, placement.job, busy::ending(), Charge::Free)
}

#[test]
fn same_version_after_first_event() {
    let mut state = two_versions(8);
    for number in 0..40 {
        let first = state.begin(NOW, job(number)).unwrap();
        state.note_first_event(NOW, first.job, Duration::ZERO);
        let second = retry(&mut state, &first).unwrap();
        assert_eq!(second.version, first.version);
        assert_ne!(second.target, first.target);
        let third = retry(&mut state, &second).unwrap();
        assert_eq!(third.version, first.version);
    }
}

#[test]
fn any_version_before_first_event() {
    let mut state = two_versions(2);
    let first = state.begin(NOW, job(1)).unwrap();
    let second = retry(&mut state, &first).unwrap();
    assert_ne!(second.version, first.version);
}

/// A target that broke a stream off and still serves is the only one that may go on with it.
#[test]
fn last_target_of_version() {
    let mut state = two_versions(2);
    let first = state.begin(NOW, job(1)).unwrap();
    state.note_first_event(NOW, first.job, Duration::ZERO);
    let second = retry(&mut state, &first).unwrap();
    assert_eq!(second.target, first.target);
    state.targets.unlist(NOW, &second.instance);
    assert_eq!(
        retry(&mut state, &second).unwrap_err(),
        Refusal::VersionGone
    );
}

/// A target that only another router has told of has no known version.
#[test]
fn unknown_version_is_refused() {
    let mut state = busy::state(4);
    let first = state.begin(NOW, job(1)).unwrap();
    state.note_first_event(NOW, first.job, Duration::ZERO);
    assert_eq!(
        retry(&mut state, &first).unwrap_err(),
        Refusal::VersionUnknown
    );
}

#[test]
fn version_learned_later() {
    let mut state = busy::state(4);
    let first = state.begin(NOW, job(1)).unwrap();
    state.note_first_event(NOW, first.job, Duration::ZERO);
    for number in 0..4 {
        state.targets.note_version(&format!("i-{number}"), "v1");
    }
    assert!(retry(&mut state, &first).is_ok());
}

#[test]
fn taken_up_at_its_version() {
    let mut state = two_versions(8);
    for number in 0..20 {
        let version = ["v1", "v2"][number as usize % 2];
        let taken_up = Job {
            origin: Constraint::Only(origin(version)),
            ..job(number)
        };
        let placement = state.begin(NOW, taken_up).unwrap();
        assert_eq!(placement.version.as_deref(), Some(version));
    }
    let gone = Job {
        origin: Constraint::Only(origin("v3")),
        ..job(99)
    };
    assert_eq!(state.begin(NOW, gone).unwrap_err(), Refusal::VersionGone);
}

/// Of a route's services, the one that began the stream goes on with it.
#[test]
fn taken_up_at_its_service() {
    let mut state = two_versions(8);
    let services = vec![("t".to_owned(), 1_000.0), (SERVICE.to_owned(), 0.001)];
    let taken_up = Job {
        services,
        origin: Constraint::Only(origin("v2")),
        ..job(1)
    };
    let placement = state.begin(NOW, taken_up).unwrap();
    assert_eq!(placement.version.as_deref(), Some("v2"));
}

/// During a rollout, retries go to the stable version, but not those of streams that the new one began.
#[test]
fn new_version_of_rollout() {
    let mut state = two_versions(8);
    let order = Order {
        version: "v2".to_owned(),
        duration: Millis(60_000),
    };
    state.rollouts.order(NOW, SERVICE, order);
    let record = |stage| Progress {
        version: "v2".to_owned(),
        stage,
        age: Millis::ZERO,
    };
    let written = Written::After(NOW);
    state
        .rollouts
        .record(NOW, SERVICE, &record(Stage::Trial), written);
    for number in 0..400 {
        let placement = state.begin(NOW, job(number)).unwrap();
        state.end(NOW, placement.job, busy::ending());
    }
    let taken_up = |version, number| Job {
        origin: Constraint::Only(origin(version)),
        ..job(number)
    };
    for (version, number) in [("v1", 500), ("v2", 501)] {
        let first = state.begin(NOW, taken_up(version, number)).unwrap();
        assert_eq!(first.version.as_deref(), Some(version));
        let second = retry(&mut state, &first).unwrap();
        assert_eq!(second.version.as_deref(), Some(version));
    }
    state
        .rollouts
        .record(NOW, SERVICE, &record(Stage::RolledBack), written);
    assert_eq!(
        state.begin(NOW, taken_up("v2", 502)).unwrap_err(),
        Refusal::VersionGone,
        "a version that is rolled back gets nothing"
    );
}

#[test]
fn sole_version() {
    let (v1, v2) = (Some(origin("v1")), Some(origin("v2")));
    assert_eq!(sole(Some(SOLE_AFTER), [v1, v1]), v1);
    assert_eq!(sole(Some(SOLE_AFTER), [v1, v2]), None);
    assert_eq!(sole(Some(SOLE_AFTER), [v1, None]), None);
    assert_eq!(sole(Some(SOLE_AFTER), []), None);
    assert_eq!(sole(Some(SOLE_AFTER - Millis(1)), [v1, v1]), None);
    assert_eq!(sole(None, [v1, v1]), None);
}

/// The versions of targets that were removed count for as long as their streams may go on.
#[test]
fn version_that_left() {
    let mut state = two_versions(4);
    for number in [1, 3] {
        state.targets.unlist(NOW, &format!("i-{number}"));
    }
    state.targets.forget(NOW);
    let soon = NOW + SOLE_AFTER - Millis(1);
    state.targets.forget(soon);
    assert_eq!(sole(Some(SOLE_AFTER), state.targets.origins(SERVICE)), None);
    state.targets.forget(NOW + SOLE_AFTER);
    assert_eq!(
        sole(Some(SOLE_AFTER), state.targets.origins(SERVICE)),
        Some(origin("v1"))
    );
}

#[test]
fn ids_by_customer() {
    let of_anna = Id::of_request(Some("anna"), "r1");
    assert_ne!(of_anna, Id::of_request(Some("bo"), "r1"));
    assert_ne!(of_anna, Id::of_request(Some("anna"), "r2"));
    assert_eq!(of_anna, Id::of_request(Some("anna"), "r1"));
    let hasher = Hasher::new("fleet");
    let content = |customer| Id::of_content(hasher.fingerprint(Some(customer), &[b"body"]));
    assert_ne!(content("anna"), content("bo"));
}

#[test]
fn records_sent_once_needed() {
    let mut streams = Streams::default();
    assert!(streams.begin(NOW, SERVICE, stream(1), origin("v1")));
    assert!(streams.begin(NOW, "t", stream(2), origin("v1")));
    assert!(streams.take_unsent(NOW, |_| false).is_empty());
    let sent = streams.take_unsent(NOW, |service| service == SERVICE);
    let ids: Vec<Id> = sent.iter().map(|record| record.stream).collect();
    assert_eq!(ids, [stream(1).id, stream(1).content]);
    assert!(sent.iter().all(|it| it.origin == origin("v1")));
    assert!(sent.iter().all(|it| it.left == Millis(15_000)));
    let again = streams.take_unsent(NOW, |service| service == SERVICE);
    assert!(again.is_empty());
    let ended = stream(2).until;
    assert!(streams.take_unsent(ended, |_| true).is_empty());
}

fn record(id: Id, version: &str) -> Record {
    Record {
        stream: id,
        origin: origin(version),
        left: Millis(u64::MAX),
    }
}

#[test]
fn records_end_with_their_streams() {
    let mut streams = Streams::default();
    let id = stream(1).id;
    assert_eq!(streams.merge(NOW, &[record(id, "v1")]), 0);
    let last = NOW + KEPT_MAX - Millis(1);
    assert_eq!(streams.answer(last, id), Answer::Known(origin("v1")));
    let end = NOW + KEPT_MAX;
    assert_eq!(streams.answer(end, id), Answer::Missing);
    streams.merge(end, &[record(id, "v2")]);
    assert_eq!(streams.answer(end, id), Answer::Known(origin("v2")));
    streams.forget(end + KEPT_MAX);
    assert!(streams.is_empty());
}

/// Equal requests whose streams began at two versions cannot be told apart by their content.
#[test]
fn equal_requests() {
    let mut streams = Streams::default();
    let id = stream(1).content;
    streams.merge(NOW, &[record(id, "v1"), record(id, "v1")]);
    assert_eq!(streams.answer(NOW, id), Answer::Known(origin("v1")));
    streams.merge(NOW, &[record(id, "v2"), record(id, "v1")]);
    assert_eq!(streams.answer(NOW, id), Answer::Several);
    assert_eq!(streams.answer(NOW, id).origin(None), None);
}

#[test]
fn answers_combined() {
    let (v1, v2) = (Answer::Known(origin("v1")), Answer::Known(origin("v2")));
    assert_eq!(Answer::Missing.and(Answer::Missing), Answer::Missing);
    assert_eq!(Answer::Missing.and(v1), v1);
    assert_eq!(v1.and(Answer::Missing), v1);
    assert_eq!(v1.and(v1), v1);
    assert_eq!(v1.and(v2), Answer::Several);
    assert_eq!(Answer::Several.and(v1), Answer::Several);
}

/// A record goes before what a router takes for the only version, since its list may be a moment old.
#[test]
fn record_before_sole_version() {
    let (v1, v2) = (origin("v1"), origin("v2"));
    assert_eq!(Answer::Known(v2).origin(Some(v1)), Some(v2));
    assert_eq!(Answer::Missing.origin(Some(v1)), Some(v1));
    assert_eq!(Answer::Missing.origin(None), None);
    assert_eq!(Answer::Several.origin(Some(v1)), None);
}

#[test]
fn bounded_records() {
    let mut streams = Streams::default();
    let until = NOW + Millis(15_000);
    let mut dropped = 0;
    for number in 0..70_000 {
        let is_kept = streams.keep(NOW, stream(number).id, origin("v1"), until);
        dropped += usize::from(!is_kept);
    }
    assert_eq!(streams.len(), 1 << 16);
    assert_eq!(dropped, 70_000 - (1 << 16));
    let id = stream(70_000).id;
    let later = until + Millis(15_000);
    assert!(streams.keep(until, id, origin("v1"), later), "room again");
}

fn keepers(routers: u16, me: u16, number: u64, missing: &[u16]) -> BTreeSet<String> {
    let others = (0..routers).filter(|other| *other != me && !missing.contains(other));
    let members = fleet::members(me, others);
    let keepers = members.keepers(fleet::NOW, stream(number).id);
    keepers.iter().map(|router| router.name.clone()).collect()
}

/// Whoever is asked names the keepers that the router which began the stream has sent its record to.
#[test]
fn keepers_agreed_on() {
    for routers in [4, 7, 985] {
        for number in 0..20 {
            let of_first = keepers(routers, 0, number, &[]);
            let of_other = keepers(routers, 3, number, &[]);
            assert!(of_first.len() >= REQUEST_KEEPERS - 1);
            let both: BTreeSet<_> = of_first.union(&of_other).collect();
            assert!(both.len() <= REQUEST_KEEPERS, "{both:?}");
        }
    }
}

/// Two routers that each lack others still have a keeper of nearly each stream in common.
#[test]
fn keepers_of_different_views() {
    let found = (0..100).filter(|number| {
        let of_first = keepers(30, 0, *number, &[4, 5, 6]);
        let of_other = keepers(30, 1, *number, &[7, 8, 9]);
        !of_first.is_disjoint(&of_other)
    });
    assert!(found.count() >= 95);
}

/// A stream's records do not all go to a few routers.
#[test]
fn keepers_spread() {
    let mut of = std::collections::HashMap::<String, usize>::new();
    for number in 0..3_500 {
        for keeper in keepers(35, 0, number, &[]) {
            *of.entry(keeper).or_default() += 1;
        }
    }
    assert_eq!(of.len(), 34);
    let (least, most) = (of.values().min().unwrap(), of.values().max().unwrap());
    assert!(most < &(least * 3), "{least} to {most}");
}
