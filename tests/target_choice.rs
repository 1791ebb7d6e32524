//! Choice among a pool's targets: failing, leaving and full ones are avoided.

use std::collections::BTreeMap;

use lanedeck::ejection::Outcome;
use lanedeck::router::intent::{Kind, Target};
use lanedeck::router::pool::{Pool, TargetKey, TargetQuery};
use lanedeck::units::{Millis, Offset, Tokens};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn target(place: u16) -> Target {
    Target {
        address: ([127, 0, 0, 1], 1_000 + place).into(),
        kind: Kind::Engine,
        serves: "m".into(),
        hall: "h".into(),
        slots: 8,
        checks_fence: true,
        draining: false,
        call_price: Tokens(0),
    }
}

fn pool(count: u16) -> (Pool, Vec<(String, Target)>) {
    let targets: Vec<_> = (0..count)
        .map(|place| (format!("t{place}"), target(place)))
        .collect();
    let mut pool = Pool::default();
    update(&mut pool, &targets, 1);
    (pool, targets)
}

fn update(pool: &mut Pool, targets: &[(String, Target)], version: u64) {
    pool.update(
        targets
            .iter()
            .map(|(name, target)| (name.as_str(), Offset(version), target)),
    );
}

const WANT: TargetQuery<'static> = TargetQuery {
    kind: Kind::Engine,
    serves: "m",
    tried: &[],
};

/// Counts how often each target is chosen for 1,000 requests, each of which ends at once with the outcome of `end`.
fn count_choices(
    pool: &mut Pool,
    now: u64,
    end: impl Fn(TargetKey) -> Outcome,
) -> BTreeMap<u32, u32> {
    let mut rng = StdRng::seed_from_u64(3);
    let mut chosen = BTreeMap::new();
    for turn in 0..1_000 {
        let now = Millis(now + turn);
        let Some(choice) = pool.choose(now, &WANT, &mut rng) else {
            continue;
        };
        *chosen.entry(choice.target.0).or_default() += 1;
        pool.dispatched(choice.target);
        pool.finished(now, choice.target, Some(end(choice.target)));
    }
    chosen
}

fn answered(_: TargetKey) -> Outcome {
    Outcome::Answered { took: Millis(500) }
}

#[test]
fn fast_failing() {
    let (mut pool, _) = pool(4);
    let fails = |key: TargetKey| {
        if key.0 == 0 {
            Outcome::Failed
        } else {
            answered(key)
        }
    };
    let chosen = count_choices(&mut pool, 1, fails);
    let share = chosen.get(&0).copied().unwrap_or(0);
    assert!(
        share <= 10,
        "a target that fails at once got {share} of 1000 requests"
    );
}

#[test]
fn ejection_floor() {
    let (mut pool, _) = pool(4);
    count_choices(&mut pool, 1, |_| Outcome::Failed);
    let ejected = pool
        .members()
        .filter(|(_, member)| member.health.is_ejected(Millis(1_000)))
        .count();
    assert_eq!(ejected, 2, "at most half may be ejected");
    let (mut pool, _) = self::pool(1);
    count_choices(&mut pool, 1, |_| Outcome::Failed);
    assert!(
        pool.choose(Millis(1_001), &WANT, &mut StdRng::seed_from_u64(1))
            .is_some()
    );
}

#[test]
fn back_again() {
    let (mut pool, _) = pool(4);
    count_choices(&mut pool, 1, |key| {
        if key.0 == 0 {
            Outcome::Failed
        } else {
            answered(key)
        }
    });
    let chosen = count_choices(&mut pool, 100_000, answered);
    assert!(chosen[&0] > 150, "{chosen:?}");
}

#[test]
fn leaving() {
    let (mut pool, mut targets) = pool(3);
    targets[0].1.draining = true;
    update(&mut pool, &targets, 2);
    assert!(
        !count_choices(&mut pool, 1, answered).contains_key(&0),
        "a draining target is not chosen"
    );
    pool.set_leaving(targets[1].1.address, true);
    assert_eq!(
        count_choices(&mut pool, 1, answered)
            .keys()
            .collect::<Vec<_>>(),
        [&2],
        "a leaving target is not chosen"
    );
    // The draining flag is only cleared by an entry of a newer version than the one that set it.
    targets[0].1.draining = false;
    update(&mut pool, &targets, 1);
    assert!(
        !count_choices(&mut pool, 1, answered).contains_key(&0),
        "an older version does not clear the flag"
    );
    update(&mut pool, &targets, 3);
    assert!(
        count_choices(&mut pool, 1, answered).contains_key(&0),
        "a newer version clears the flag"
    );
}

#[test]
fn full_targets() {
    let (mut pool, _) = pool(1);
    let mut rng = StdRng::seed_from_u64(5);
    for _ in 0..8 {
        let choice = pool.choose(Millis(1), &WANT, &mut rng).unwrap();
        pool.dispatched(choice.target);
    }
    assert!(
        pool.choose(Millis(1), &WANT, &mut rng).is_none(),
        "no slot is free"
    );
    // Requests of other routers count too, as long as the report is recent.
    pool.finished(Millis(2), TargetKey(0), Some(answered(TargetKey(0))));
    pool.report(Millis(2), TargetKey(0), 8);
    assert!(pool.choose(Millis(3), &WANT, &mut rng).is_none());
    assert!(pool.choose(Millis(60_000), &WANT, &mut rng).is_some());
}
