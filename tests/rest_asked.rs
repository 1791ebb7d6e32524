//! A target's word that it wants nothing from a router for some time: how long that holds, and what it does not say.

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

fn rests(millis: u64) -> Notice {
    Notice {
        rest: Ok(Some(Millis(millis))),
        ..Notice::default()
    }
}

fn targets() -> Targets {
    let mut targets = Targets::default();
    targets.list(listed::listing(0));
    targets
}

/// The targets that are barred, and when the first of them takes a request again.
fn barred(targets: &Targets, now: Millis) -> (usize, Option<Millis>) {
    let members = Members::new(router(0), Millis(1_200));
    let barred = targets.barred(now, &members, "s");
    (barred.targets.len(), barred.until)
}

#[test]
fn kept_to_its_end() {
    let mut targets = targets();
    let until = NOW + Millis(3_000);
    targets.hear(NOW, KEY, NOW, &rests(3_000));
    assert_eq!(barred(&targets, NOW), (1, Some(until)));
    assert_eq!(barred(&targets, NOW + Millis(2_999)), (1, Some(until)));
    assert_eq!(barred(&targets, until), (0, None));
}

/// A good answer within the time does not end it, and neither does a shorter rest that is asked for later.
#[test]
fn ends_as_said() {
    let mut targets = targets();
    targets.hear(NOW, KEY, NOW, &rests(3_000));
    let later = NOW + Millis(100);
    targets.hear(later, KEY, later, &Notice::default());
    targets.hear(later, KEY, later, &rests(200));
    assert_eq!(barred(&targets, NOW + Millis(2_999)).0, 1);
}

#[test]
fn nothing_asked() {
    let mut targets = targets();
    targets.hear(NOW, KEY, NOW, &rests(0));
    assert_eq!(barred(&targets, NOW), (0, None));
}

/// However long a rest it names, it is asked again.
#[test]
fn absurdly_long() {
    let mut targets = targets();
    targets.hear(NOW, KEY, NOW, &rests(u64::MAX));
    assert_eq!(barred(&targets, NOW + Millis(3_600_000)), (0, None));
}

/// It is asked of one router, and others are not told.
#[test]
fn not_told() {
    let mut targets = targets();
    targets.hear(NOW, KEY, NOW, &rests(3_000));
    assert!(targets.reports(NOW, 0).is_empty());
}

/// It is no failure: the target is not judged by it, and what it refused may go elsewhere.
#[test]
fn no_failure() {
    let failure = Failure::AskedRest;
    assert_eq!(failure.outcome(), None);
    assert_eq!(failure.verdict(), Verdict::NotRun);
    assert_eq!(failure.charge(), Charge::Budget);
}
