//! Announcements that a target leaves: their effect at a router, their reports to others, and entries that lag behind.

mod listed;

use lanedeck::gateway::dialect::Listing;
use lanedeck::gateway::key::TargetKey;
use lanedeck::gateway::notice::Notice;
use lanedeck::gateway::targets::{Change, Targets};
use lanedeck::units::Millis;

const NOW: Millis = Millis(1_000_000);
const LEAVING: Notice = Notice {
    rate_limit: Ok(None),
    rejection_limit: Ok(None),
    is_leaving: Ok(true),
    retry_after: Ok(None),
};

/// The entry of an incarnation of the first target.
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
fn effective_at_once() {
    let mut targets = targets();
    assert_eq!(
        targets.apply_notice(NOW, TargetKey(0), NOW, &LEAVING).len(),
        1
    );
    assert!(
        targets
            .apply_notice(NOW, TargetKey(0), NOW, &LEAVING)
            .is_empty(),
        "a repeated announcement changes nothing"
    );
    assert_eq!(usable(&targets), [TargetKey(1)]);
    // Also if no other target is left, and whatever later responses announce.
    targets.apply_notice(NOW, TargetKey(1), NOW, &LEAVING);
    targets.apply_notice(NOW, TargetKey(1), NOW, &Notice::default());
    assert!(usable(&targets).is_empty());
}

#[test]
fn entry_lags_behind() {
    let mut targets = targets();
    targets.apply_notice(NOW, TargetKey(0), NOW, &LEAVING);
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
    targets.apply_notice(NOW, TargetKey(0), NOW, &LEAVING);
    targets.list(listing(200));
    assert_eq!(usable(&targets).len(), 2);
}

#[test]
fn reported_to_others() {
    let (mut reporter, mut other) = (targets(), targets());
    reporter.apply_notice(NOW, TargetKey(0), NOW, &LEAVING);
    for report in reporter.reports(NOW, 0) {
        assert_eq!(other.merge(NOW, &report), Some(TargetKey(0)));
        assert_eq!(
            other.merge(NOW, &report),
            None,
            "a repeated report changes nothing"
        );
    }
    assert_eq!(usable(&other), [TargetKey(1)]);
    // A report on a former incarnation does not apply to the next one.
    let mut later = targets();
    later.list(listing(200));
    for report in reporter.reports(NOW, 0) {
        later.merge(NOW, &report);
    }
    assert_eq!(usable(&later).len(), 2);
}

/// Reports that do not fit in one message are sent in turns.
#[test]
fn reported_in_turns() {
    let mut reporter = Targets::default();
    for number in 0..200 {
        reporter.list(listed::listing(number));
        reporter.apply_notice(NOW, TargetKey(usize::from(number)), NOW, &LEAVING);
    }
    let reported = (0..4).flat_map(|turn| reporter.reports(NOW, turn));
    let reported: std::collections::HashSet<u64> = reported.map(|report| report.instance).collect();
    assert_eq!(reported.len(), 200);
}
