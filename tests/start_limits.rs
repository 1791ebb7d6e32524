//! Attempts that are placed after a router's start, before other routers have told what targets announce.

mod busy;
mod listed;

use busy::{NOW, job, state};
use lanedeck::gateway::job::Placement;
use lanedeck::gateway::notice::{Announcement, Rate, Rejections, Report};
use lanedeck::gateway::slots::Patience;
use lanedeck::gateway::state::State;
use lanedeck::gateway::state::slots::{Owner, Plan};
use lanedeck::units::Millis;

const DEADLINE: Millis = Millis(NOW.0 + 5_000);

/// A router with one target, and an attempt there.
fn placed() -> (State, Placement) {
    let mut state = state(1);
    let placement = state.begin(NOW, job("r1", 100, DEADLINE)).unwrap();
    (state, placement)
}

/// Merges what another router tells of an attempt's target.
fn tell(state: &mut State, placement: &Placement, announcement: Announcement) {
    let instance = state.targets.get(placement.target).hash();
    let report = Report {
        instance,
        announcement,
    };
    assert!(state.merge(NOW, &[report], None));
    state.set_knows_limits();
}

#[test]
fn sent_without_limits() {
    let (mut state, placement) = placed();
    assert!(placement.needs_slot, "it is not known that it needs none");
    state.set_knows_limits();
    assert_eq!(state.replan(NOW, placement.job), Some(Plan::Send));
    state.end(NOW, placement.job, busy::ending());
    assert_eq!(state.targets.get(placement.target).in_flight, 0);
    let next = state.begin(NOW, job("r2", 100, DEADLINE)).unwrap();
    assert!(!next.needs_slot);
}

/// The first request to a target with a rejection limit waits for a slot like all others.
#[test]
fn rejection_limit_told() {
    let (mut state, placement) = placed();
    let limit = Some(Rejections(1));
    let revision = 1;
    tell(
        &mut state,
        &placement,
        Announcement::RejectionLimit { revision, limit },
    );
    assert_eq!(state.replan(NOW, placement.job), Some(Plan::Slot));
    let wanted = state.wanted_slot(placement.job).unwrap();
    assert_eq!(
        (wanted.owner, wanted.patience),
        (Owner::Me, Patience::Wait),
        "there is no other router"
    );
}

/// The first request to a target with a rate limit is not sent unless the limit allows it, nor one to a target that
/// leaves.
#[test]
fn barred_by_what_is_told() {
    let limit = Rate::new(0.5);
    let revision = 1;
    for announcement in [
        Announcement::RateLimit { revision, limit },
        Announcement::Leaving,
    ] {
        let (mut state, placement) = placed();
        tell(&mut state, &placement, announcement);
        assert_eq!(state.replan(NOW, placement.job), Some(Plan::Barred));
    }
}

#[test]
fn ended_meanwhile() {
    let (mut state, placement) = placed();
    state.end(NOW, placement.job, busy::ending());
    state.set_knows_limits();
    assert_eq!(state.replan(NOW, placement.job), None);
}
