//! Targets that are cold after a start: what they get while warm targets have free slots, and from which routers when
//! none has.

mod fleet;
mod listed;

use std::collections::HashMap;

use fleet::{HEARTBEAT, NOW, members, most_within, router};
use lanedeck::gateway::decision::cold;
use lanedeck::gateway::dialect::Listing;
use lanedeck::gateway::key::TargetKey;
use lanedeck::gateway::members::Members;
use lanedeck::gateway::route::ColdStart;
use lanedeck::gateway::targets::Targets;
use lanedeck::units::Millis;

const SECOND: Millis = Millis(1_000);
const COLD: ColdStart = ColdStart {
    time: Millis(3_000),
    per_second: 7.7,
};
/// Most requests that a cold target may get in a second from all routers together: one and a half times its capacity,
/// plus five.
const ALLOWED: usize = (7.7 * 1.5 + 5.0) as usize;

/// `count` targets with one slot each, of which the first `cold` are cold.
fn targets(count: u16, cold: u16) -> Targets {
    let mut targets = Targets::default();
    targets.set_cold_starts(HashMap::from([("s".to_owned(), COLD)]));
    for number in 0..count {
        targets.list(Listing {
            slots: 1,
            ..listed::listing(number)
        });
        if number < cold {
            targets.note_cold(NOW, &format!("i-{number}"), COLD.time);
        }
    }
    targets
}

fn usable(targets: &Targets, members: &Members, now: Millis) -> Vec<TargetKey> {
    let candidates = targets.candidates(now, "s", &[]);
    targets.avoid_cold(now, members, candidates)
}

#[test]
fn warm_go_first() {
    let mut targets = targets(3, 2);
    let alone = members(0, 0..0);
    assert_eq!(usable(&targets, &alone, NOW), [TargetKey(2)]);
    // No warm target has a free slot.
    targets.begin(NOW, TargetKey(2), 1);
    assert_eq!(usable(&targets, &alone, NOW).len(), 3);
    targets.end(TargetKey(2));
    let warm = NOW + COLD.time;
    assert_eq!(usable(&targets, &alone, warm).len(), 3);
}

#[test]
fn outdated_entry_ignored() {
    let mut targets = targets(2, 1);
    let alone = members(0, 0..0);
    // An entry written before the target became cold does not show that it is warm.
    targets.note_cold(NOW, "i-0", Millis::ZERO);
    assert_eq!(usable(&targets, &alone, NOW), [TargetKey(1)]);
}

#[test]
fn cold_after_evacuation() {
    let mut targets = targets(2, 0);
    let alone = members(0, 0..0);
    targets.set_evacuated(NOW, &["hall".to_owned()].into());
    assert!(targets.candidates(NOW, "s", &[]).is_empty());
    targets.set_evacuated(NOW, &[].into());
    for key in usable(&targets, &alone, NOW) {
        for _ in 0..20 {
            if usable(&targets, &alone, NOW).contains(&key) {
                targets.begin(NOW, key, 1);
                targets.end(key);
            }
        }
    }
    // The only router of a fleet may send everything that the fleet may.
    let allocation = cold::allocation(&COLD, 1);
    assert_eq!((allocation.routers, allocation.each), (1, 5));
    assert!(usable(&targets, &alone, NOW).is_empty());
}

/// Simulates three seconds in which all targets of a service have just restarted and each router sends as much as it
/// may. Returns the most requests that a target gets in a second.
fn most_in_a_second(fleet: &[Members]) -> usize {
    const TARGETS: u16 = 6;
    let mut views: Vec<Targets> = fleet.iter().map(|_| targets(TARGETS, TARGETS)).collect();
    let mut sent: HashMap<TargetKey, Vec<Millis>> = HashMap::new();
    for step in 0..59 {
        let now = NOW + Millis(step * 50);
        for (members, targets) in fleet.iter().zip(&mut views) {
            for key in usable(targets, members, now) {
                targets.begin(now, key, 1);
                targets.end(key);
                sent.entry(key).or_default().push(now);
            }
        }
    }
    let worst = sent.values().map(|times| most_within(times, SECOND));
    worst.max().unwrap_or(0)
}

#[test]
fn bound_over_routers() {
    for count in [1, 2, 3, 7, 20, 75] {
        let others = |me: u16| (0..count).filter(move |other| *other != me);
        let fleet: Vec<Members> = (0..count).map(|me| members(me, others(me))).collect();
        let most = most_in_a_second(&fleet);
        assert!((1..=ALLOWED).contains(&most), "{count} routers: {most}");
    }
}

/// The bound also holds if each half of the fleet does not know the other half.
#[test]
fn bound_in_a_cut() {
    let side = |me: u16| (0..40).filter(move |other| *other != me && other % 2 == me % 2);
    let fleet: Vec<Members> = (0..40).map(|me| members(me, side(me))).collect();
    let most = most_in_a_second(&fleet);
    assert!((1..=ALLOWED).contains(&most), "{most}");
}

/// A router that has just started knows no others yet. Without a wait it would act as the only router.
#[test]
fn newcomers_wait() {
    let mut newcomer = Members::new(router(1), HEARTBEAT);
    assert_eq!(newcomer.place(NOW, "i-0"), None);
    newcomer.record_write(NOW);
    assert_eq!(newcomer.place(NOW, "i-0"), None);
    let joined = Millis(NOW.0 + 3 * HEARTBEAT.0);
    assert_eq!(newcomer.place(joined, "i-0"), Some(0));
}
