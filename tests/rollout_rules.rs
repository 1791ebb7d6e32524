//! Table tests of rollouts: what a router may send to a new version, how the decider judges it, and which record of a
//! rollout counts.

use lanedeck::gateway::decision::rollout::{
    self, Input, Knowledge, Limit, News, Reason, Sends, Verdict,
};
use lanedeck::gateway::rollout::{
    Arm, AttemptEnd, Evidence, Order, Progress, Rollouts, Stage, View, Written,
};
use lanedeck::units::Millis;

const LIMIT: Limit = Limit {
    share: 0.1,
    extra: 50.0,
};
const NOW: Millis = Millis(1_000_000);
const SERVICE: &str = "s";

fn order(version: &str) -> Order {
    Order {
        version: version.into(),
        duration: Millis(12_000),
    }
}

fn progress(stage: Stage, age: u64) -> Progress {
    Progress {
        version: "v2".into(),
        stage,
        age: Millis(age),
    }
}

fn ordered() -> Rollouts {
    let mut rollouts = Rollouts::new(LIMIT);
    assert!(rollouts.order(NOW, SERVICE, order("v2")));
    rollouts
}

fn sends(requests: u64, candidate: u64, place: Option<usize>) -> Sends {
    Sends {
        requests,
        candidate,
        routers: 100,
        place,
    }
}

fn knows(stage: Option<Stage>, record_age: Option<u64>) -> Knowledge {
    Knowledge {
        stage,
        record_age: record_age.map(Millis),
    }
}

#[test]
fn nothing_without_contact() {
    let plenty = sends(10_000, 0, None);
    let may = |knowledge| rollout::may_send(&LIMIT, knowledge, &plenty);
    assert!(may(knows(Some(Stage::Trial), Some(0))));
    assert!(may(knows(Some(Stage::Shift), Some(3_500))));
    assert!(may(knows(Some(Stage::Done), None)), "the others are gone");
    for knowledge in [
        knows(None, Some(0)),
        knows(Some(Stage::Trial), None),
        knows(Some(Stage::Trial), Some(3_501)),
        knows(Some(Stage::Shift), Some(3_501)),
        knows(Some(Stage::RolledBack), Some(0)),
    ] {
        assert!(!may(knowledge), "{knowledge:?}");
    }
}

#[test]
fn bounded_share() {
    let trial = knows(Some(Stage::Trial), Some(0));
    let may = |sends| rollout::may_send(&LIMIT, trial, &sends);
    assert!(!may(sends(39, 0, None)));
    assert!(may(sends(40, 0, None)));
    assert!(!may(sends(79, 1, None)));
    // Half of the additional requests are divided among the first routers.
    assert!(may(sends(8, 0, Some(24))));
    assert!(!may(sends(8, 1, Some(24))));
    assert!(!may(sends(8, 0, Some(25))));
    // They are spaced, so that the retry budget covers them.
    assert!(!may(sends(7, 0, Some(24))));
    let shift = knows(Some(Stage::Shift), Some(0));
    assert!(rollout::may_send(&LIMIT, shift, &sends(1_000, 89, None)));
    assert!(!rollout::may_send(&LIMIT, shift, &sends(1_000, 90, None)));
    let none = Limit {
        share: 0.0,
        extra: 0.0,
    };
    assert!(!rollout::may_send(
        &none,
        shift,
        &sends(1_000_000, 0, Some(0))
    ));
}

#[test]
fn loaded_trial_targets() {
    assert_eq!(rollout::trial_targets(&LIMIT, 140), 4);
    assert_eq!(rollout::trial_targets(&LIMIT, 9_600), 240);
    assert_eq!(rollout::trial_targets(&LIMIT, 4), 2, "one may crash");
}

/// Evidence on a route: for each arm the number of answers, their duration and the number of failures.
fn evidence(route: &str, stable: (u32, f64, u32), candidate: (u32, f64, u32)) -> Evidence {
    let mut evidence = Evidence::default();
    for (arm, (answers, duration, failures)) in [(Arm::Stable, stable), (Arm::Candidate, candidate)]
    {
        let tally = evidence.route_mut(route).arm_mut(arm);
        for number in 0..answers {
            // Answers differ by a factor of four.
            let spread = f64::from(number % 3) - 1.0;
            tally.record_answer(duration * 2_f64.powf(spread));
        }
        for number in 0..failures {
            tally.record_failure(u64::from(number));
        }
    }
    evidence
}

fn judge(all: &Evidence, recent: &Evidence, stage: Stage, age: u64) -> Verdict {
    rollout::decide(&Input {
        limit: &LIMIT,
        stage,
        age: Millis(age),
        stage_age: Millis(500),
        duration: Millis(12_000),
        candidates: 4,
        all,
        recent,
    })
}

fn rolled_back(verdict: &Verdict) -> Option<&Reason> {
    match verdict {
        Verdict::Enter(Stage::RolledBack, reason) => Some(reason),
        _ => None,
    }
}

#[test]
fn good_version() {
    let good = evidence("r", (800, 10.0, 8), (30, 13.0, 1));
    for age in [0, 6_000, 11_000] {
        assert_eq!(judge(&good, &good, Stage::Trial, age), Verdict::Hold);
    }
    let shift = Verdict::Enter(Stage::Shift, Reason::Good);
    assert_eq!(judge(&good, &good, Stage::Trial, 11_250), shift);
    assert_eq!(judge(&good, &good, Stage::Shift, 11_300), Verdict::Hold);
    let done = Verdict::Enter(Stage::Done, Reason::Good);
    assert_eq!(judge(&good, &good, Stage::Shift, 11_550), done);
    // A late decider finishes a good rollout.
    assert_eq!(judge(&good, &good, Stage::Trial, 15_000), shift);
    assert_eq!(judge(&good, &good, Stage::Done, 15_000), Verdict::Hold);
}

#[test]
fn decided_in_time() {
    let until = |age| rollout::until_next_stage(&LIMIT, Millis(12_000), Millis(age));
    // 780 ms before the deadline all requests move, and 450 ms before it the end is recorded.
    assert_eq!(until(0), Some(Millis(11_220)));
    assert_eq!(until(11_220), Some(Millis(156)));
    assert_eq!(until(11_400), Some(Millis(150)));
    assert_eq!(until(11_550), None);
}

#[test]
fn bounded_reports() {
    let due = |since, is_candidate, routers| {
        let news = News {
            since_last: Millis(since),
            is_candidate,
            is_any: true,
        };
        rollout::is_report_due(&news, routers)
    };
    assert!(due(500, false, 50));
    assert!(
        !due(500, false, 985),
        "2,000 messages a second for one router"
    );
    assert!(due(9_850, false, 985));
    assert!(due(500, true, 985), "the new version is reported at once");
}

#[test]
fn untested_version() {
    let few = evidence("r", (800, 10.0, 8), (10, 10.0, 0));
    assert_eq!(judge(&few, &few, Stage::Trial, 11_300), Verdict::Hold);
    let verdict = judge(&few, &few, Stage::Trial, 11_550);
    assert_eq!(rolled_back(&verdict), Some(&Reason::Untested));
}

#[test]
fn failing_version() {
    let bad = evidence("r", (800, 10.0, 8), (18, 10.0, 6));
    let verdict = judge(&bad, &Evidence::default(), Stage::Trial, 2_000);
    assert!(matches!(
        rolled_back(&verdict),
        Some(Reason::Failing { .. })
    ));
    // All versions fail alike.
    let alike = evidence("r", (600, 10.0, 200), (18, 10.0, 6));
    assert_eq!(judge(&alike, &alike, Stage::Trial, 2_000), Verdict::Hold);
}

#[test]
fn one_target_fails() {
    let mut evidence = evidence("r", (800, 10.0, 8), (18, 10.0, 0));
    let tally = evidence.route_mut("r").arm_mut(Arm::Candidate);
    for _ in 0..10 {
        tally.record_failure(7);
    }
    assert_eq!(
        judge(&evidence, &evidence, Stage::Trial, 2_000),
        Verdict::Hold
    );
}

#[test]
fn slow_version() {
    let slow = evidence("r", (800, 10.0, 8), (20, 50.0, 0));
    let verdict = judge(&slow, &slow, Stage::Trial, 2_000);
    assert!(matches!(rolled_back(&verdict), Some(Reason::Slow { .. })));
    let cold_caches = evidence("r", (800, 10.0, 8), (200, 15.0, 0));
    assert_eq!(
        judge(&cold_caches, &cold_caches, Stage::Trial, 2_000),
        Verdict::Hold
    );
}

#[test]
fn bad_on_one_route() {
    let mut all = evidence("r", (8_000, 10.0, 80), (250, 10.0, 2));
    all.add(&evidence("small", (200, 10.0, 2), (3, 10.0, 4)));
    let verdict = judge(&all, &Evidence::default(), Stage::Trial, 2_000);
    let route = Some("small".to_owned());
    assert_eq!(rolled_back(&verdict), Some(&Reason::Failing { route }));
}

#[test]
fn turns_bad_late() {
    let earlier = evidence("r", (8_000, 10.0, 80), (800, 10.0, 8));
    let mut all = earlier.clone();
    all.add(&evidence("r", (600, 10.0, 6), (20, 60.0, 0)));
    assert_eq!(
        judge(&all, &Evidence::default(), Stage::Trial, 9_000),
        Verdict::Hold
    );
    let recent = all.since(&earlier);
    let verdict = judge(&all, &recent, Stage::Trial, 9_000);
    assert!(matches!(rolled_back(&verdict), Some(Reason::Slow { .. })));
    // Also while it gets all requests.
    let verdict = judge(&all, &recent, Stage::Shift, 11_700);
    assert!(matches!(rolled_back(&verdict), Some(Reason::Slow { .. })));
}

#[test]
fn stage_never_goes_back() {
    let mut rollouts = ordered();
    let fresh = Written::After(NOW);
    let mut record = |stage, written| {
        rollouts.record(NOW, SERVICE, &progress(stage, 0), written);
        rollouts.get(SERVICE).unwrap().stage
    };
    assert_eq!(record(Stage::Trial, fresh), Some(Stage::Trial));
    assert_eq!(record(Stage::Shift, fresh), Some(Stage::Shift));
    assert_eq!(record(Stage::Trial, Written::Unknown), Some(Stage::Shift));
    assert_eq!(record(Stage::RolledBack, fresh), Some(Stage::RolledBack));
    // The store was restored from a copy.
    assert_eq!(
        record(Stage::Trial, Written::Unknown),
        Some(Stage::RolledBack)
    );
    assert_eq!(record(Stage::Done, fresh), Some(Stage::RolledBack));
    assert!(
        !rollouts.order(NOW, SERVICE, order("v2")),
        "a repeated order"
    );
    assert!(rollouts.get(SERVICE).unwrap().has_ended());
    assert!(rollouts.order(NOW, SERVICE, order("v3")));
    assert_eq!(rollouts.get(SERVICE).unwrap().stage, None);
    // A record of the version before.
    rollouts.record(NOW, SERVICE, &progress(Stage::Done, 0), fresh);
    assert_eq!(rollouts.get(SERVICE).unwrap().stage, None);
}

#[test]
fn age_from_record() {
    let mut rollouts = ordered();
    let later = NOW + Millis(100);
    rollouts.record(
        later,
        SERVICE,
        &progress(Stage::Trial, 5_000),
        Written::Unknown,
    );
    let rollout = rollouts.get(SERVICE).unwrap();
    assert_eq!(rollout.age(later), Millis(5_000));
    assert_eq!(rollout.record_age(later), None, "it may be an old record");
    // A younger age does not set the deadline back.
    rollouts.record(
        later,
        SERVICE,
        &progress(Stage::Trial, 10),
        Written::After(NOW),
    );
    let rollout = rollouts.get(SERVICE).unwrap();
    assert_eq!(rollout.age(later), Millis(5_000));
    assert_eq!(rollout.record_age(later), Some(Millis(100)));
}

#[test]
fn learned_from_router() {
    let view = View {
        service: SERVICE.into(),
        order: order("v2"),
        stage: Some(Stage::Trial),
        age: Millis(3_000),
    };
    let mut rollouts = Rollouts::new(LIMIT);
    assert!(rollouts.merge(NOW, &view));
    assert!(!rollouts.merge(NOW, &view));
    let none = || None;
    for _ in 0..1_000 {
        let arm = rollouts.assign(NOW, SERVICE, 1, none);
        assert_eq!(arm, Some(Arm::Stable), "the store does not answer");
    }
    let done = View {
        stage: Some(Stage::Done),
        ..view
    };
    assert!(rollouts.merge(NOW, &done));
    assert_eq!(rollouts.assign(NOW, SERVICE, 1, none), Some(Arm::Candidate));
    assert_eq!(rollouts.assign(NOW, "another", 1, none), None);
}

#[test]
fn retry_at_stable() {
    let mut rollouts = ordered();
    rollouts.record(
        NOW,
        SERVICE,
        &progress(Stage::Trial, 0),
        Written::After(NOW),
    );
    assert_eq!(rollouts.retry_arm(SERVICE), Some(Arm::Stable));
    rollouts.record(
        NOW,
        SERVICE,
        &progress(Stage::Shift, 0),
        Written::After(NOW),
    );
    assert_eq!(rollouts.retry_arm(SERVICE), Some(Arm::Stable));
    rollouts.record(NOW, SERVICE, &progress(Stage::Done, 0), Written::After(NOW));
    assert_eq!(rollouts.retry_arm(SERVICE), Some(Arm::Candidate));
}

#[test]
fn evidence_of_many_routes() {
    let mut rollouts = ordered();
    for route in 0..1_000 {
        let end = AttemptEnd::Answered { duration_ms: 10.0 };
        rollouts.note_attempt(SERVICE, &format!("r{route}"), Arm::Stable, &end);
    }
    let evidence = &rollouts.get(SERVICE).unwrap().evidence;
    assert!(evidence.routes().count() <= 17);
    assert_eq!(evidence.total().stable.answered, 1_000);
}
