//! Announcements that a target wants no requests from a router for some time: how long they apply, and what they don't
//! affect.

mod fleet;
mod listed;

use fleet::router;
use lanedeck::gateway::decision::retry::{Charge, Failure, Verdict};
use lanedeck::gateway::key::TargetKey;
use lanedeck::gateway::members::Members;
use lanedeck::gateway::notice::Notice;
use lanedeck::gateway::targets::Targets;
use lanedeck::units::Millis;

const NOW: Millis = Millis(1_000_000);
const KEY: TargetKey = TargetKey(0);

fn backoff_for(millis: u64) -> Notice {
    Notice {
        retry_after: Ok(Some(Millis(millis))),
        ..Notice::default()
    }
}

fn targets() -> Targets {
    let mut targets = Targets::default();
    targets.list(listed::listing(0));
    targets
}

/// Number of barred targets, and when the first of them accepts requests again.
fn barred(targets: &Targets, now: Millis) -> (usize, Option<Millis>) {
    let members = Members::new(router(0), Millis(1_200));
    let barred = targets.barred(now, &members, "s");
    (barred.targets.len(), barred.until)
}

#[test]
fn kept_to_its_end() {
    let mut targets = targets();
    let until = NOW + Millis(3_000);
    targets.apply_notice(NOW, KEY, NOW, &backoff_for(3_000));
    assert_eq!(barred(&targets, NOW), (1, Some(until)));
    assert_eq!(barred(&targets, NOW + Millis(2_999)), (1, Some(until)));
    assert_eq!(barred(&targets, until), (0, None));
}

/// Neither a successful response nor a later request for a shorter back-off ends it early.
#[test]
fn ends_as_said() {
    let mut targets = targets();
    targets.apply_notice(NOW, KEY, NOW, &backoff_for(3_000));
    let later = NOW + Millis(100);
    targets.apply_notice(later, KEY, later, &Notice::default());
    targets.apply_notice(later, KEY, later, &backoff_for(200));
    assert_eq!(barred(&targets, NOW + Millis(2_999)).0, 1);
}

#[test]
fn nothing_asked() {
    let mut targets = targets();
    targets.apply_notice(NOW, KEY, NOW, &backoff_for(0));
    assert_eq!(barred(&targets, NOW), (0, None));
}

/// An absurdly long back-off is capped, so that requests are sent again.
#[test]
fn absurdly_long() {
    let mut targets = targets();
    targets.apply_notice(NOW, KEY, NOW, &backoff_for(u64::MAX));
    assert_eq!(barred(&targets, NOW + Millis(3_600_000)), (0, None));
}

/// A back-off only concerns the router that was asked, so it is not reported to others.
#[test]
fn not_reported() {
    let mut targets = targets();
    targets.apply_notice(NOW, KEY, NOW, &backoff_for(3_000));
    assert!(targets.reports(NOW, 0).is_empty());
}

/// A back-off is no failure: it does not count against the target, and the refused request may be retried elsewhere.
#[test]
fn no_failure() {
    let failure = Failure::AskedRest;
    assert_eq!(failure.outcome(), None);
    assert_eq!(failure.verdict(), Verdict::NotRun);
    assert_eq!(failure.charge(), Charge::Budget);
}
