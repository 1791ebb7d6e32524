//! A gateway's view of the targets: which ones may get requests, and which one is chosen.

mod listed;

use lanedeck::ejection::Outcome;
use lanedeck::gateway::dialect::{Listing, Prompt};
use lanedeck::gateway::key::TargetKey;
use lanedeck::gateway::targets::Targets;
use lanedeck::units::{Millis, Tokens};
use listed::block;

const NOW: Millis = Millis(1_000_000);

fn listing(number: u16, is_ready: bool) -> Listing {
    Listing {
        hall: format!("hall-{}", number % 2),
        is_ready,
        ..listed::listing(number)
    }
}

fn targets(count: u16) -> Targets {
    let mut targets = Targets::default();
    for number in 0..count {
        targets.list(listing(number, true));
    }
    targets
}

fn prompt(subject: u64) -> Prompt {
    Prompt {
        model: "m".into(),
        tokens: Tokens(9_000),
        max_tokens: Tokens(100),
        blocks: vec![
            block(1, 2_500),
            block(subject, 3_800),
            block(subject + 1_000_000, 2_700),
        ],
    }
}

#[test]
fn leaving_stays_leaving() {
    let mut targets = targets(2);
    targets.list(listing(0, false));
    // Another router read the list earlier and still reports the target as ready.
    targets.list_maybe_old(listing(0, true));
    assert_eq!(targets.candidates(NOW, "s", &[]), [TargetKey(1)]);
    targets.unlist(NOW, "i-1");
    targets.list_maybe_old(listing(1, true));
    assert!(targets.candidates(NOW, "s", &[]).is_empty());
    // The store may list a target again whose entry expired while the target could not write.
    targets.list(listing(1, true));
    assert_eq!(targets.candidates(NOW, "s", &[]), [TargetKey(1)]);
    // New targets, and the leaving of known ones, are accepted from another router.
    targets.list_maybe_old(listing(7, true));
    targets.list_maybe_old(listing(1, false));
    assert_eq!(targets.candidates(NOW, "s", &[]), [TargetKey(2)]);
}

#[test]
fn removal_is_reported() {
    let mut targets = targets(3);
    targets.unlist(NOW, "i-1");
    let view = targets.view();
    assert_eq!(
        view.gone,
        ["i-1"],
        "the removal is reported to routers that cannot read the list"
    );
    assert_eq!(view.listed.len(), 2);
    // A target that returns, or was removed long ago, is no longer reported as removed.
    targets.list(listing(1, true));
    assert!(targets.view().gone.is_empty());
    targets.unlist(NOW, "i-1");
    targets.unlist(Millis(NOW.0 + 60_000), "i-2");
    assert_eq!(targets.view().gone, ["i-2"]);
}

#[test]
fn same_subject_same_target() {
    let (one, other) = (targets(9), targets(9));
    let candidates = one.candidates(NOW, "s", &[]);
    let mut used = std::collections::HashSet::new();
    for subject in 0..200 {
        let prompt = prompt(subject);
        let choice = one.choose_model(NOW, &candidates, "hall-0", &prompt);
        let again = other.choose_model(NOW, &candidates, "hall-1", &prompt);
        assert_eq!(choice, again, "all routers choose the same target");
        used.insert(choice);
    }
    assert_eq!(used.len(), 9, "subjects are spread over all targets");
}

#[test]
fn busy_target_is_avoided() {
    let mut targets = targets(4);
    let candidates = targets.candidates(NOW, "s", &[]);
    let prompt = prompt(5);
    let first = targets
        .choose_model(NOW, &candidates, "hall-0", &prompt)
        .unwrap();
    targets.begin(NOW, first, 3_000);
    let choice = targets.choose_model(NOW, &candidates, "hall-0", &prompt);
    assert_eq!(
        choice,
        Some(first),
        "a small backlog does not divert the request"
    );
    targets.begin(NOW, first, 60_000);
    let choice = targets.choose_model(NOW, &candidates, "hall-0", &prompt);
    assert_ne!(choice, Some(first), "a large backlog diverts the request");
}

#[test]
fn failing_target_is_avoided() {
    let mut targets = targets(4);
    for _ in 0..20 {
        targets.note_outcome(NOW, TargetKey(2), Outcome::Failed);
    }
    let candidates = targets.candidates(NOW, "s", &[]);
    assert!(!candidates.contains(&TargetKey(2)));
    for seed in 0..50 {
        let choice = targets.choose_plain(NOW, &candidates, "hall-0", seed);
        assert!(
            choice.is_some_and(|key| key == TargetKey(0)),
            "a target of the own hall is preferred"
        );
    }
    // At most half of a group may be ejected, even if all targets fail.
    for key in 0..4 {
        for _ in 0..20 {
            targets.note_outcome(NOW, TargetKey(key), Outcome::Failed);
        }
    }
    assert!(targets.candidates(NOW, "s", &[]).len() >= 2);
}

/// A heartbeat is bounded, and includes the targets with most requests in flight.
#[test]
fn busiest_are_reported() {
    let mut targets = targets(300);
    for number in 0..300 {
        let key = TargetKey(number);
        targets.begin(NOW, key, 100);
        if number % 5 == 0 {
            targets.begin(NOW, key, 100);
        }
    }
    let reported = targets.outstanding(NOW);
    assert_eq!(reported.len(), 64);
    let with_two = reported.iter().filter(|one| one.in_flight == 2).count();
    assert_eq!(with_two, 60, "all targets with two requests are included");
}

/// After an outage of the store, the list may lack a target that has left, or many targets whose entries have expired.
#[test]
fn missing_avoided() {
    let mut targets = targets(4);
    targets.note_missing("i-3");
    assert_eq!(targets.candidates(NOW, "s", &[]).len(), 3);
    targets.note_missing("i-2");
    assert_eq!(targets.candidates(NOW, "s", &[]).len(), 2);
    targets.note_missing("i-1");
    assert_eq!(
        targets.candidates(NOW, "s", &[]).len(),
        4,
        "missing targets are kept if they are the majority"
    );
    targets.list(listing(1, true));
    targets.list(listing(2, true));
    assert_eq!(targets.candidates(NOW, "s", &[]).len(), 3);
}
