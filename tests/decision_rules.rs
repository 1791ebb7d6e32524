//! Table tests of the gateway's rules: retries after failed attempts, reasons and retry delays of refusals, admission,
//! grant sizes, and the phases of a shutdown.

use std::time::Duration;

use lanedeck::gateway::decision::admission::{self, MissingTokens, Request, Source};
use lanedeck::gateway::decision::grant::{self, Need, Role, Sizing, Spending};
use lanedeck::gateway::decision::refusal::{self, Reason, Refusal, RetryContext, Shortage};
use lanedeck::gateway::decision::retry::{self, Decision, Failure, History, Limit, Verdict};
use lanedeck::gateway::decision::stop::Plan;
use lanedeck::gateway::decision::surplus::{self, Trust};
use lanedeck::gateway::route::{
    Backend, Config, Customer, Kind, Limits, Route, Service, ServiceKey,
};
use lanedeck::units::{Millis, Tokens};

const FRESH: History = History {
    kind: Kind::Once,
    attempts_max: 2,
    sent: 1,
    unreached: 0,
    is_expired: false,
};

fn after(failure: Failure, history: History) -> Decision {
    retry::decide(failure, &history)
}

#[test]
fn not_run() {
    let not_run = [
        Failure::Unreachable,
        Failure::IdleClosed,
        Failure::Late,
        Failure::Unwritable,
        Failure::Refused,
        Failure::AskedRest,
        Failure::WrongInstance,
    ];
    for failure in not_run {
        assert_eq!(failure.verdict(), Verdict::NotRun, "{failure:?}");
        assert_eq!(after(failure, FRESH), Decision::Retry, "{failure:?}");
        let used = History { sent: 2, ..FRESH };
        let limit = Decision::GiveUp(Limit::Attempts);
        assert_eq!(after(failure, used), limit, "{failure:?}");
        let unreached = History {
            unreached: 3,
            ..FRESH
        };
        let limit = Decision::GiveUp(Limit::Unreached);
        assert_eq!(after(failure, unreached), limit, "{failure:?}");
        let expired = History {
            is_expired: true,
            ..FRESH
        };
        let limit = Decision::GiveUp(Limit::Time);
        assert_eq!(after(failure, expired), limit, "{failure:?}");
    }
}

#[test]
fn may_have_run() {
    let resumable = Kind::Stream { resumable: true };
    let not_resumable = Kind::Stream { resumable: false };
    let not_repeatable = Decision::GiveUp(Limit::NotRepeatable);
    let cases = [
        (Failure::BrokenOff, Kind::Repeatable, Decision::Retry),
        (Failure::BrokenOff, resumable, Decision::Retry),
        (Failure::BrokenOff, not_resumable, not_repeatable),
        (Failure::BrokenOff, Kind::Once, not_repeatable),
        (Failure::DoubtfulRefusal, Kind::Once, not_repeatable),
        (Failure::DoubtfulRefusal, Kind::Repeatable, Decision::Retry),
        (Failure::Ended, Kind::Repeatable, Decision::Retry),
        (Failure::Ended, Kind::Once, not_repeatable),
        (
            Failure::TimedOut,
            Kind::Repeatable,
            Decision::GiveUp(Limit::Time),
        ),
        (Failure::TimedOut, Kind::Once, not_repeatable),
        (Failure::ServerError, Kind::Repeatable, Decision::Retry),
        (Failure::ServerError, resumable, not_repeatable),
        (Failure::ServerError, Kind::Once, not_repeatable),
    ];
    for (failure, kind, decision) in cases {
        assert_eq!(failure.verdict(), Verdict::MayHaveRun);
        let history = History { kind, ..FRESH };
        assert_eq!(after(failure, history), decision, "{failure:?} {kind:?}");
    }
}

#[test]
fn reason_after_failure() {
    let reason = |failure| Reason::of(failure, Verdict::NotRun);
    assert_eq!(reason(Failure::Unreachable), Reason::Unreachable);
    assert_eq!(reason(Failure::Refused), Reason::TargetRefused);
    assert_eq!(reason(Failure::Late), Reason::Late);
    // Once an attempt may have run, no later failure reports the request as not run.
    for failure in [Failure::Unreachable, Failure::Refused, Failure::Late] {
        let reason = Reason::of(failure, Verdict::MayHaveRun);
        assert_eq!(reason, Reason::BrokenOff);
        assert_eq!(reason.verdict(), Verdict::MayHaveRun);
    }
    let reason = Reason::of(Failure::TimedOut, Verdict::MayHaveRun);
    assert_eq!(reason, Reason::TimedOut);
}

#[test]
fn refusal_for_missing_tokens() {
    let decide = |cost, left, store_answers| {
        refusal::shortage(&Shortage {
            cost: Tokens(cost),
            left: Tokens(left),
            store_answers,
        })
    };
    // If much is left, a loan or a grant is likely to arrive soon; if little is, the budget is nearly used up.
    assert_eq!(decide(1_000, 500_000, true), Refusal::Short);
    assert_eq!(decide(1_000, 1_000, true), Refusal::Scarce);
    assert_eq!(decide(1_000, 15_999, true), Refusal::Scarce);
    assert_eq!(decide(1_000, 16_000, true), Refusal::Short);
    assert_eq!(decide(u64::MAX, 16_000, true), Refusal::Scarce);
    // Without the store it is not known what other routers hold or have spent.
    assert_eq!(decide(1_000, 1_000, false), Refusal::CutOff);
}

fn retry_after_ms(reason: Reason, id: &str, store_lost: Option<Millis>) -> u64 {
    let delay = reason.retry_after(&RetryContext {
        id,
        store_lost,
        running: Millis(10),
        forecast: None,
        left: None,
    });
    delay.expect("a later retry may be served").0
}

#[test]
fn retry_delays() {
    let short = retry_after_ms(Reason::Refused(Refusal::Short), "r1", None);
    let scarce = retry_after_ms(Reason::Refused(Refusal::Scarce), "r1", None);
    assert!(short < 1_000, "a loan or a grant takes less: {short}");
    assert!(scarce >= 30_000, "tokens are not expected soon: {scarce}");
    // The longer the store has not answered, the longer the outage is likely to last; the delay is bounded.
    let cut_off = Reason::Refused(Refusal::CutOff);
    let lost = |ms| retry_after_ms(cut_off, "r1", Some(Millis(ms)));
    assert_eq!(lost(10), lost(5_000), "outages last many seconds");
    assert!(lost(20_000) >= 20_000);
    assert!(lost(20_000) > lost(5_000));
    assert_eq!(lost(60_000), lost(10_000_000));
    // The configuration is read from the store as well.
    let no_config = |lost: Option<u64>| retry_after_ms(Reason::NoConfig, "r1", lost.map(Millis));
    assert!(no_config(None) < 1_000);
    assert_eq!(no_config(Some(10)), lost(10));
    let no_config_for = |ms| {
        let context = RetryContext {
            id: "r1",
            store_lost: None,
            running: Millis(ms),
            forecast: None,
            left: None,
        };
        Reason::NoConfig.retry_after(&context).unwrap().0
    };
    assert_eq!(
        no_config_for(10),
        no_config_for(300),
        "a read of the store takes some time"
    );
    assert!(
        no_config_for(2_500) >= 2_500,
        "it is overdue, so it may take longer"
    );
    assert_eq!(no_config_for(60_000), no_config_for(10_000_000));
    // Another router serves immediately, whatever the state of the store.
    let stopping = retry_after_ms(Reason::Stopping, "r1", Some(Millis(20_000)));
    assert!(stopping < 100, "{stopping}");
    // There is no retry delay if a later retry would fail as well, or if the request may have run.
    for reason in [
        Reason::Refused(Refusal::Exhausted),
        Reason::NoKey,
        Reason::BrokenOff,
        Reason::Late,
    ] {
        let context = RetryContext {
            id: "r1",
            store_lost: None,
            running: Millis(10),
            forecast: None,
            left: None,
        };
        assert_eq!(reason.retry_after(&context), None, "{reason:?}");
    }
}

#[test]
fn callers_are_spread() {
    let reason = Reason::Refused(Refusal::CutOff);
    let shortest = reason.shortest_retry().unwrap().0;
    let ids = 0..1_000;
    let times = ids.map(|number| retry_after_ms(reason, &format!("r{number}"), None));
    let times: Vec<u64> = times.collect();
    assert!(
        times
            .iter()
            .all(|time| (shortest..=2 * shortest).contains(time))
    );
    // No tenth of the range has more than twice its share of the callers.
    let mut tenths = [0; 10];
    for time in &times {
        let tenth = (time - shortest) * 10 / (shortest + 1);
        tenths[usize::try_from(tenth).unwrap()] += 1;
    }
    assert!(tenths.iter().all(|count| *count <= 200), "{tenths:?}");
    assert_eq!(
        retry_after_ms(reason, "r7", None),
        retry_after_ms(reason, "r7", None),
        "an id always gets the same delay"
    );
}

fn config() -> Config {
    let route = |prefix: &str, public: bool, rank: u8| Route {
        name: prefix.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        backends: vec![Backend {
            service: ServiceKey(0),
            weight: 1.0,
        }],
        kind: Kind::Once,
        timeout: Millis(4_000),
        latency_objective: Millis(500),
        attempts: 1,
        rank,
        public,
    };
    let service = Service {
        name: "app".to_owned(),
        connections: 10,
        engine: None,
        cold_start: None,
    };
    let customer = |name: &str, rank| Customer {
        name: name.to_owned(),
        keys: vec![format!("key of {name}")],
        rank,
        prepaid: Some(Tokens(1_000)),
    };
    Config::new(
        1,
        vec![route("/open/", true, 7), route("/shut/", false, 1)],
        vec![service],
        vec![customer("anna", Some(1)), customer("bo", None)],
        Limits::default(),
    )
}

#[test]
fn terms() {
    let config = config();
    let request = |path, key, time_limit| Request {
        host: "Shop.Example:80",
        path,
        key,
        time_limit,
    };
    let admit = |path, key, limit| {
        let terms = admission::admit(&config, &request(path, key, limit));
        terms.map(|terms| (terms.rank, terms.time_limit, terms.event_tokens))
    };
    let anna = Some("key of anna");
    assert_eq!(admit("/none", anna, None), Err(Reason::NoRoute));
    assert_eq!(admit("/shut/x", None, None), Err(Reason::NoKey));
    assert_eq!(admit("/shut/x", Some("?"), None), Err(Reason::NoKey));
    assert_eq!(admit("/open/x", None, None), Ok((7, Millis(4_000), 1)));
    // A customer's rank takes precedence over that of the route, of which three are distinguished.
    let short = Some(Millis(9));
    assert_eq!(admit("/shut/x", anna, short), Ok((4, Millis(9), 1)));
    assert_eq!(admit("/open/x", anna, None), Ok((5, Millis(4_000), 1)));
    let bo = Some("key of bo");
    let long = Some(Millis(9_000));
    assert_eq!(admit("/shut/x", bo, long), Ok((1, Millis(4_000), 1)));
    let customer = config.customer("anna");
    let payer = Some(("anna".to_owned(), Tokens(1_000)));
    assert_eq!(admission::payer(customer, true), payer);
    assert_eq!(admission::payer(customer, false), None);
    assert_eq!(admission::payer(None, true), None);
    let source = |role, refusal| {
        admission::grant_source(&MissingTokens {
            role,
            refusal,
            limit: grant::Limit::Grant,
            unavailable_for: None,
        })
    };
    for refusal in [Refusal::Short, Refusal::Scarce] {
        assert_eq!(source(Role::Holder, refusal), Source::Store);
        assert_eq!(source(Role::Borrower, refusal), Source::Peers);
    }
    assert_eq!(source(Role::Holder, Refusal::CutOff), Source::Peers);
    assert_eq!(source(Role::Borrower, Refusal::CutOff), Source::Peers);
}

#[test]
fn nobody_has_tokens() {
    let pause = admission::UNAVAILABLE_PAUSE;
    for role in [Role::Holder, Role::Borrower] {
        let source = |refusal, ms: Option<u64>| {
            admission::grant_source(&MissingTokens {
                role,
                refusal,
                limit: grant::Limit::Grant,
                unavailable_for: ms.map(Millis),
            })
        };
        let scarce = |ms| source(Refusal::Scarce, ms);
        assert_eq!(scarce(Some(0)), Source::Nobody);
        assert_eq!(scarce(Some(pause.0 - 1)), Source::Nobody);
        assert_eq!(scarce(Some(pause.0)), scarce(None), "they are asked again");
        // A grant may arrive or the store may recover at any time.
        for refusal in [Refusal::Short, Refusal::CutOff] {
            assert_eq!(source(refusal, Some(0)), source(refusal, None));
        }
    }
}

#[test]
fn grant_sizes() {
    let sizing = Sizing {
        horizon: Millis(8_000),
        exact: Millis(12_000),
        share: 0.8,
        spread: 0.05,
        holders: 5,
        copy_age: Millis::ZERO,
    };
    let need = Need {
        role: Role::Holder,
        demand: 100.0,
        total_demand: 200.0,
        used: Tokens(50),
        waiting: Tokens::ZERO,
        left: Tokens(100_000),
        free: Tokens(100_000),
        granted: Tokens(50),
    };
    let size = |need: Need| grant::size(&sizing, &need).0;
    // 0.05 of what is left beyond 12 s of total demand, over five holders, is 976; 8 s of own demand is 800.
    assert_eq!(size(need), 50 + 976);
    let busy = Need {
        demand: 150.0,
        ..need
    };
    assert_eq!(size(busy), 50 + 1_200);
    let low = Need {
        left: Tokens(2_000),
        waiting: Tokens(70),
        ..need
    };
    assert_eq!(
        size(low),
        50 + 70,
        "near the end of the budget only for waiting requests"
    );
    let borrower = Need {
        role: Role::Borrower,
        ..low
    };
    assert_eq!(size(borrower), 50 + 70);
    let mostly_granted = Need {
        free: Tokens(60),
        ..need
    };
    assert_eq!(
        size(mostly_granted),
        60,
        "no more than is not granted to others"
    );
    let lowered = Need {
        free: Tokens::ZERO,
        ..need
    };
    assert_eq!(size(lowered), 50, "used tokens stay granted");
    assert_eq!(grant::lend(Tokens(100), Tokens(10), Tokens(30)), Tokens(10));
    assert_eq!(grant::lend(Tokens(120), Tokens(10), Tokens(30)), Tokens(30));
    assert_eq!(grant::lend(Tokens(5), Tokens(10), Tokens(30)), Tokens(5));
}

/// A shutdown may cut off a long request only if it was sent within 3 s of the signal, and only in the last sixth of
/// the grace period.
#[test]
fn stop_steps() {
    for grace in [1_000, 2_000, 5_000, 6_900, 8_000, 10_000, 30_000, 3_600_000] {
        for keep in [100, 2_000, 5_000, 600_000] {
            let plan = Plan::new(Millis(grace), Millis(keep));
            let grace = Duration::from_millis(grace);
            assert!(plan.linger < Duration::from_secs(3), "{plan:?}");
            assert!(
                plan.linger <= Duration::from_millis(keep) * 3 / 2,
                "{plan:?}"
            );
            assert!(plan.linger < plan.end, "{plan:?}");
            assert!(plan.end >= grace * 5 / 6, "{plan:?} of {grace:?}");
            assert!(plan.answers > Duration::ZERO, "{plan:?}");
            let last = plan.end + plan.answers;
            assert!(plan.give_back(last) > plan.answers, "{plan:?}");
            assert!(last + plan.give_back(last) < grace, "{plan:?}");
            assert!(
                plan.give_back(plan.linger) >= plan.give_back(last),
                "{plan:?}"
            );
            assert!(plan.give_back(grace) == Duration::ZERO, "{plan:?}");
        }
    }
    let plan = Plan::new(Millis(8_000), Millis(2_000));
    assert_eq!(plan.end, Duration::from_millis(6_850));
    assert_eq!(plan.linger, Duration::from_millis(2_740));
    assert_eq!(plan.give_back(plan.end), Duration::from_millis(500));
}

/// Guards against a death during a restore that costs more of a budget the fewer routers hold it.
#[test]
fn cap_room_by_holders() {
    let need = Need {
        role: Role::Holder,
        demand: 0.0,
        total_demand: 0.0,
        used: Tokens::ZERO,
        waiting: Tokens::ZERO,
        left: Tokens(1_000_000),
        free: Tokens(1_000_000),
        granted: Tokens::ZERO,
    };
    let spending = Spending {
        need: &need,
        last_cost: Tokens::ZERO,
        headroom: Tokens::ZERO,
        span: Millis(8_000),
    };
    let room = |holders| {
        let sizing = Sizing {
            horizon: Millis(16_000),
            exact: Millis(12_000),
            share: 0.8,
            spread: 0.3,
            holders,
            copy_age: Millis(8_000),
        };
        grant::cap_headroom(&sizing, &spending).0
    };
    assert_eq!([1, 2, 4, 7].map(room), [500_000, 250_000, 125_000, 120_000]);
    assert_eq!([8, 16, 100].map(room), [118_750, 59_375, 9_500]);
}

#[test]
fn refusals_without_id() {
    let judge = |since_last: Option<u64>| surplus::judge(Kind::Once, since_last.map(Millis));
    assert_eq!(judge(None), Trust::Believed, "the connection's first");
    assert_eq!(judge(Some(0)), Trust::Doubtful);
    assert_eq!(judge(Some(15)), Trust::Doubtful);
    assert_eq!(judge(Some(5_000)), Trust::Believed);
    let repeatable = surplus::judge(Kind::Repeatable, Some(Millis(0)));
    assert_eq!(repeatable, Trust::Believed, "it may run twice");
}
