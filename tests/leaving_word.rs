//! A target's word that it leaves: what a router does by it, what others learn, and what its list says meanwhile.

mod listed;

use lanedeck::gateway::dialect::Listing;
use lanedeck::gateway::key::TargetKey;
use lanedeck::gateway::notice::Notice;
use lanedeck::gateway::targets::{Change, Targets};
use lanedeck::units::Millis;

const NOW: Millis = Millis(1_000_000);
const LEAVES: Notice = Notice {
    rate_limit: Ok(None),
    is_leaving: Ok(true),
    rest: Ok(None),
};

/// An incarnation of the first target.
fn listing(born: u64) -> Listing {
    Listing {
        instance: format!("i-0@{born}"),
        ..listed::listing(0)
    }
}

fn targets() -> Targets {
    let mut targets = Targets::default();
    targets.list(listing(100));
    targets.list(listed::listing(1));
    targets
}

fn usable(targets: &Targets) -> Vec<TargetKey> {
    targets.candidates(NOW, "s", &[])
}

#[test]
fn binds_at_once() {
    let mut targets = targets();
    assert_eq!(targets.hear(NOW, TargetKey(0), NOW, &LEAVES).len(), 1);
    assert!(
        targets.hear(NOW, TargetKey(0), NOW, &LEAVES).is_empty(),
        "no news"
    );
    assert_eq!(usable(&targets), [TargetKey(1)]);
    // Also where no other is left, and whatever answers say afterwards.
    targets.hear(NOW, TargetKey(1), NOW, &LEAVES);
    targets.hear(NOW, TargetKey(1), NOW, &Notice::default());
    assert!(usable(&targets).is_empty());
}

#[test]
fn entry_lags_behind() {
    let mut targets = targets();
    targets.hear(NOW, TargetKey(0), NOW, &LEAVES);
    assert_eq!(targets.list(listing(100)), Change::Same);
    assert_eq!(targets.list_maybe_old(listing(100)), Change::Same);
    assert_eq!(usable(&targets), [TargetKey(1)]);
    let draining = Listing {
        is_ready: false,
        ..listing(100)
    };
    assert_eq!(targets.list(draining), Change::Leaving);
}

#[test]
fn ends_with_incarnation() {
    let mut targets = targets();
    targets.hear(NOW, TargetKey(0), NOW, &LEAVES);
    targets.list(listing(200));
    assert_eq!(usable(&targets).len(), 2);
}

#[test]
fn told_to_others() {
    let (mut teller, mut other) = (targets(), targets());
    teller.hear(NOW, TargetKey(0), NOW, &LEAVES);
    for report in teller.reports(NOW, 0) {
        assert_eq!(other.merge(NOW, &report), Some(TargetKey(0)));
        assert_eq!(other.merge(NOW, &report), None, "no news");
    }
    assert_eq!(usable(&other), [TargetKey(1)]);
    // A report of a former incarnation says nothing of the next one.
    let mut later = targets();
    later.list(listing(200));
    for report in teller.reports(NOW, 0) {
        later.merge(NOW, &report);
    }
    assert_eq!(usable(&later).len(), 2);
}

/// More than fits in one message is told in turn.
#[test]
fn told_in_turn() {
    let mut teller = Targets::default();
    for number in 0..200 {
        teller.list(listed::listing(number));
        teller.hear(NOW, TargetKey(usize::from(number)), NOW, &LEAVES);
    }
    let told = (0..4).flat_map(|turn| teller.reports(NOW, turn));
    let told: std::collections::HashSet<u64> = told.map(|report| report.instance).collect();
    assert_eq!(told.len(), 200);
}
