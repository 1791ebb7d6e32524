//! The targets as a gateway sees them: who may get work, and where it goes.

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
    // Another router that read the list earlier still thinks that it is ready.
    targets.list_maybe_old(listing(0, true));
    assert_eq!(targets.candidates(NOW, "s", &[]), [TargetKey(1)]);
    targets.unlist(NOW, "i-1");
    targets.list_maybe_old(listing(1, true));
    assert!(targets.candidates(NOW, "s", &[]).is_empty());
    // The store itself may list one again, whose entry had gone while it could not write.
    targets.list(listing(1, true));
    assert_eq!(targets.candidates(NOW, "s", &[]), [TargetKey(1)]);
    // New ones and leaving ones are taken from another router.
    targets.list_maybe_old(listing(7, true));
    targets.list_maybe_old(listing(1, false));
    assert_eq!(targets.candidates(NOW, "s", &[]), [TargetKey(2)]);
}

#[test]
fn gone_is_told() {
    let mut targets = targets(3);
    targets.unlist(NOW, "i-1");
    let view = targets.view();
    assert_eq!(view.gone, ["i-1"], "who cannot read the list learns of it");
    assert_eq!(view.listed.len(), 2);
    // One that comes back is no longer told to be gone, nor is one that went long ago.
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
        assert_eq!(choice, again, "routers agree without a word");
        used.insert(choice);
    }
    assert_eq!(used.len(), 9, "subjects are spread over all targets");
}

#[test]
fn busy_target_is_left() {
    let mut targets = targets(4);
    let candidates = targets.candidates(NOW, "s", &[]);
    let prompt = prompt(5);
    let first = targets
        .choose_model(NOW, &candidates, "hall-0", &prompt)
        .unwrap();
    targets.begin(NOW, first, 3_000);
    let choice = targets.choose_model(NOW, &candidates, "hall-0", &prompt);
    assert_eq!(choice, Some(first), "a little work is waited for");
    targets.begin(NOW, first, 60_000);
    let choice = targets.choose_model(NOW, &candidates, "hall-0", &prompt);
    assert_ne!(choice, Some(first), "much is not");
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
            "the own hall first"
        );
    }
    // At most half of a group may be out, however badly all do.
    for key in 0..4 {
        for _ in 0..20 {
            targets.note_outcome(NOW, TargetKey(key), Outcome::Failed);
        }
    }
    assert!(targets.candidates(NOW, "s", &[]).len() >= 2);
}

/// However many targets there are, a heartbeat tells of those where most is.
#[test]
fn told_most() {
    let mut targets = targets(300);
    for number in 0..300 {
        let key = TargetKey(number);
        targets.begin(NOW, key, 100);
        if number % 5 == 0 {
            targets.begin(NOW, key, 100);
        }
    }
    let told = targets.outstanding(NOW);
    assert_eq!(told.len(), 64);
    let most = told.iter().filter(|one| one.in_flight == 2).count();
    assert_eq!(most, 60, "all where two requests are");
}

/// After an outage of the store the list may lack a target that has left, or many whose entries have lapsed.
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
        "most have lapsed"
    );
    targets.list(listing(1, true));
    targets.list(listing(2, true));
    assert_eq!(targets.candidates(NOW, "s", &[]).len(), 3);
}
