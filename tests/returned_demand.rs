//! Requests that come back after a refusal for lack of tokens, each try under a new id: they count as demand once, and
//! go before new ones at their promised time.

mod listed;

use lanedeck::gateway::decision::capacity::Capacity;
use lanedeck::gateway::decision::grant::Sizing;
use lanedeck::gateway::decision::order::Standing;
use lanedeck::gateway::decision::origin::Constraint;
use lanedeck::gateway::decision::promise::{Book, Claim, RETURN_MIN, RETURNS_MAX};
use lanedeck::gateway::decision::refusal::Refusal;
use lanedeck::gateway::decision::retry::Bound;
use lanedeck::gateway::decision::returns::{Returns, Window};
use lanedeck::gateway::decision::rollout::Limit;
use lanedeck::gateway::dialect::Prompt;
use lanedeck::gateway::escrow::{Demand, Refused, TRIES_MAX};
use lanedeck::gateway::fingerprint::{Fingerprint, Hasher};
use lanedeck::gateway::job::Job;
use lanedeck::gateway::members::Router;
use lanedeck::gateway::state::{Settings, State};
use lanedeck::gateway::targets::Freshness;
use lanedeck::units::{Millis, Tokens};
use listed::listing;

const NOW: Millis = Millis(50_000);
const CUSTOMER: &str = "anna";
const PREPAID: Tokens = Tokens(1_000_000);
const COST: Tokens = Tokens(5_000);
/// The demand of one request: the estimate decays with a time constant of five seconds.
const DEMAND_OF_ONE: u64 = COST.0 / 5;
/// When a refused caller comes back.
const RETURN: Millis = Millis(300);

fn fingerprint(body: &str) -> Fingerprint {
    Hasher::new("key").fingerprint(Some(CUSTOMER), &[body.as_bytes()])
}

/// A router with a target and a customer, and no tokens of it.
fn state() -> State {
    let me = Router {
        name: "r-1".into(),
        incarnation: 1,
        front: ([127, 0, 0, 1], 1).into(),
        link: ([127, 0, 0, 1], 2).into(),
        hall: "hall".into(),
        is_ready: true,
        heartbeat: 1,
    };
    let mut state = State::new(Settings {
        me,
        capacity: Capacity::default(),
        heartbeat: Millis(1_000),
        retries: Bound {
            ratio: 0.1,
            window: Millis(10_000),
            extra: 10.0,
        },
        sizing: Sizing {
            horizon: Millis(8_000),
            exact: Millis(12_000),
            share: 0.5,
            spread: 0.5,
            holders: 8,
            copy_age: Millis::ZERO,
        },
        rollout: Limit {
            share: 0.1,
            extra: 10.0,
        },
        seed: 1,
        started: None,
    });
    state.list(NOW, listing(1), Freshness::Newest);
    state.set_prepaid(CUSTOMER, PREPAID);
    state
}

fn job(id: &str, body: &str) -> Job {
    Job {
        id: id.into(),
        route: "route".into(),
        services: vec![("s".into(), 1.0)],
        prompt: Some(Prompt {
            model: "m".into(),
            tokens: Tokens(COST.0 / 2),
            max_tokens: Tokens(COST.0 / 2),
            blocks: Vec::new(),
        }),
        stream: None,
        origin: Constraint::Any,
        fingerprint: fingerprint(body),
        payer: Some((CUSTOMER.into(), PREPAID)),
        demand: Demand::New,
        rank: 0,
        deadline: Millis(NOW.0 + 60_000),
    }
}

/// A request that arrives, as the control thread tries it first.
fn arrive(state: &mut State, now: Millis, id: &str, body: &str) -> (Job, Option<Refusal>) {
    let mut job = job(id, body);
    job.demand = state.arriving_demand(now, &job);
    let refusal = state.begin(now, job.clone()).err();
    (job, refusal)
}

/// A request that arrives and is refused for lack of tokens.
fn refuse(state: &mut State, now: Millis, id: &str, body: &str) {
    let (job, refusal) = arrive(state, now, id, body);
    assert_eq!(refusal, Some(Refusal::Short));
    state.record_refused(now, &job, Refusal::Short);
}

/// Guards against demand that grows with each try of a refused request, since each has a new id.
#[test]
fn counted_once() {
    let mut state = state();
    refuse(&mut state, NOW, "try 1", "body");
    let counted = state.demand(NOW, CUSTOMER);
    assert_eq!(counted, Tokens(DEMAND_OF_ONE));
    let mut now = NOW;
    for number in 2..5 {
        now += RETURN;
        let before = state.demand(now, CUSTOMER);
        refuse(&mut state, now, &format!("try {number}"), "body");
        assert_eq!(state.demand(now, CUSTOMER), before, "try {number}");
    }
    now += RETURN;
    let before = state.demand(now, CUSTOMER);
    state.borrow(CUSTOMER, COST);
    assert_eq!(arrive(&mut state, now, "try 5", "body").1, None);
    assert_eq!(state.demand(now, CUSTOMER), before, "the paid try");
}

/// Guards against a refused request that hides the demand of others: other requests, those of the same body once the
/// refused one has been paid for, and those that come back much later.
#[test]
fn others_count() {
    let mut state = state();
    let mut demand = 0;
    let mut expect_counted = |state: &mut State, now, what: &str| {
        demand += DEMAND_OF_ONE;
        assert_eq!(state.demand(now, CUSTOMER), Tokens(demand), "{what}");
    };
    refuse(&mut state, NOW, "a", "body");
    expect_counted(&mut state, NOW, "the first");
    refuse(&mut state, NOW, "b", "another body");
    expect_counted(&mut state, NOW, "another request");
    refuse(&mut state, NOW, "c", "body");
    expect_counted(&mut state, NOW, "another caller, sooner than any returns");

    let mut refused = Refused::default();
    refused.record(NOW, fingerprint("body"), Demand::New);
    let back = NOW + RETURN;
    let counted = Demand::Counted { tries: 1 };
    assert_eq!(refused.arrive(back, fingerprint("body")), counted);
    assert_eq!(refused.arrive(back, fingerprint("body")), Demand::New);
    for body in ["in time", "late"] {
        refused.record(NOW, fingerprint(body), Demand::New);
    }
    let in_time = NOW + Millis(9_999);
    assert_eq!(refused.arrive(in_time, fingerprint("in time")), counted);
    let late = NOW + Millis(10_000);
    assert_eq!(refused.arrive(late, fingerprint("late")), Demand::New);
    for number in 0..5_000 {
        refused.record(NOW, fingerprint(&number.to_string()), Demand::New);
    }
    assert_eq!(
        refused.arrive(back, fingerprint("0")),
        Demand::New,
        "the oldest is forgotten"
    );
    assert_eq!(refused.arrive(back, fingerprint("4999")), counted);
}

/// Ten callers send the same request, and each comes back twice. Guards against callers that count as one since they
/// cannot be told apart.
#[test]
fn same_request_of_ten_callers() {
    let mut state = state();
    // The callers arrive while earlier ones are away.
    for caller in 0..10 {
        let now = NOW + Millis(caller * RETURN_MIN.0 / 20);
        refuse(&mut state, now, &format!("caller {caller}"), "body");
    }
    let now = NOW + RETURN;
    let before = state.demand(now, CUSTOMER);
    for caller in 0..10 {
        refuse(&mut state, now, &format!("caller {caller} again"), "body");
    }
    assert_eq!(state.demand(now, CUSTOMER), before);
    assert!(before > Tokens(9 * DEMAND_OF_ONE), "{before}");
    // An eleventh caller among the returning ones counts.
    let now = now + RETURN;
    let before = state.demand(now, CUSTOMER);
    for caller in 0..11 {
        refuse(&mut state, now, &format!("caller {caller} of 11"), "body");
    }
    let after = state.demand(now, CUSTOMER);
    assert_eq!(after.0 - before.0, DEMAND_OF_ONE);
}

/// New callers send the same request one after the other and never come back. Guards against demand that all of them
/// together count for once.
#[test]
fn endless_tries_count() {
    let mut refused = Refused::default();
    let mut counted = 0;
    for number in 0..u64::from(TRIES_MAX) * 10 {
        let now = NOW + Millis(number * RETURN_MIN.0);
        let demand = refused.arrive(now, fingerprint("body"));
        counted += u32::from(demand == Demand::New);
        refused.record(now, fingerprint("body"), demand);
    }
    assert_eq!(counted, 10);
}

/// Guards against plain requests that are taken for returning ones: they cost no tokens.
#[test]
fn plain_requests_do_not_count() {
    let mut state = state();
    refuse(&mut state, NOW, "charged", "body");
    let now = NOW + RETURN;
    let mut plain = job("plain", "body");
    plain.payer = None;
    assert_eq!(state.arriving_demand(now, &plain), Demand::New);
    let back = job("charged again", "body");
    let counted = Demand::Counted { tries: 1 };
    assert_eq!(state.arriving_demand(now, &back), counted);
}

/// Guards against a request that waits behind new ones when it comes back at its promised time under a new id, and
/// against one promise that lets several requests go first.
#[test]
fn standing_of_returned() {
    let mut book = Book::default();
    let claim = Claim {
        request: fingerprint("body"),
        customer: CUSTOMER,
        rank: 3,
        cost: Tokens(100),
        queued: Tokens::ZERO,
        rate: Tokens(1_000),
        left: Millis(30_000),
    };
    let first = book.promise(NOW, &claim).unwrap().after;
    let second = book.promise(NOW, &claim).unwrap().after;
    assert_eq!((first, second), (Millis(100), Millis(200)));
    let standing = |book: &mut Book, at| book.standing(NOW + at, fingerprint("body"));
    assert_eq!(standing(&mut book, Millis(99)), Standing::New, "too early");
    assert_eq!(standing(&mut book, first), Standing::Returned);
    assert_eq!(standing(&mut book, first), Standing::New, "of one promise");
    assert_eq!(standing(&mut book, second), Standing::Returned);
    assert_eq!(standing(&mut book, second), Standing::New);
}

/// Guards against memory that grows with the refusals of one request or of many.
#[test]
fn bounded() {
    for bodies in [1, 2 * RETURNS_MAX] {
        let mut returns = Returns::new(RETURNS_MAX);
        for number in 0..2 * RETURNS_MAX {
            let window = Window {
                from: NOW,
                until: NOW + RETURN,
            };
            returns.expect(fingerprint(&(number % bodies).to_string()), window, number);
        }
        assert_eq!(returns.len(), RETURNS_MAX);
        let oldest = returns.take(NOW, fingerprint("0"));
        assert_eq!(oldest, (bodies == 1).then_some(RETURNS_MAX));
        let newest = (2 * RETURNS_MAX - 1) % bodies;
        assert!(
            returns
                .take(NOW, fingerprint(&newest.to_string()))
                .is_some()
        );
        let outdated = returns.take(NOW + RETURN, fingerprint(&newest.to_string()));
        assert_eq!(outdated, None);
        assert_eq!(returns.is_empty(), bodies == 1);
    }
}
