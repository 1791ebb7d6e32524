//! Targets refuse a request and ask the router that sent it to back off for some time.
//!
//! Guards against routers that ignore the requested back-off and only count the refusal as a failure. The ejection that
//! follows three failures has its own, doubling duration (2 s where 3 s were requested) and leaves half of a group in
//! use. Such a router sent five to seven requests within the back-off, where two are allowed; if more than half of the
//! targets of a service asked at once, none of them got a back-off.

mod deployment;

use std::time::{Duration, Instant};

use deployment::Ask;
use deployment::runner::{Arrival, Mode, Runner};
use deployment::turns::{self, GATEWAY_HEADER};

const TARGETS: usize = 3;
/// Time between two requests, which are sent to the routers in turn.
const GAP: Duration = Duration::from_millis(8);
/// When targets start to ask for back-off, after the first request.
const BACKOFF_AFTER: Duration = Duration::from_secs(2);
/// How long they do so.
const BACKOFF_FOR: Duration = Duration::from_secs(10);
/// How long requests are sent after that.
const RECOVERED_FOR: Duration = Duration::from_secs(5);
/// Requests in flight when a router is asked to back off do not count.
const IN_FLIGHT_MAX: Duration = Duration::from_millis(500);
/// Requests that a router may send within a back-off.
const SENT_MAX: usize = 2;

/// Some or all targets ask for back-off in some or all of their responses.
struct Scenario {
    backoff: Duration,
    /// One in this many responses asks.
    one_in: u32,
    /// Number of targets that ask.
    targets: usize,
    /// Minimum percentage of requests served, if other targets have free slots.
    served: Option<usize>,
}

/// Maximum number of requests that a router sent to a target within a back-off that the target had asked it for.
fn max_in_a_backoff(runner: &Runner, backoff: Duration) -> usize {
    let arrivals = runner.arrivals();
    let within = |asked: &Arrival| {
        let from = asked.at + IN_FLIGHT_MAX;
        let until = asked.at + backoff;
        let same = arrivals
            .iter()
            .filter(|arrival| arrival.header(GATEWAY_HEADER) == asked.header(GATEWAY_HEADER));
        same.filter(|arrival| arrival.at > from && arrival.at < until)
            .count()
    };
    let asked = arrivals.iter().filter(|arrival| !arrival.ran);
    asked.map(within).max().unwrap_or(0)
}

/// Number of requests that reached a target from `time` on.
fn since(runner: &Runner, time: Instant) -> usize {
    runner
        .arrivals()
        .iter()
        .filter(|arrival| arrival.at >= time)
        .count()
}

async fn check_backoff(scenario: Scenario) {
    let (deployment, runners) = turns::start_fleet(3, TARGETS, "app").await;
    let begun = Instant::now();
    let backoff_from = begun + BACKOFF_AFTER;
    let recovered = backoff_from + BACKOFF_FOR;
    let request = |number: usize| Ask::new(&format!("r{number}"), "/often/x");
    let fronts = turns::fronts(&deployment);
    let callers = tokio::spawn(turns::ask_in_turn(
        fronts,
        GAP,
        recovered + RECOVERED_FOR,
        request,
    ));
    tokio::time::sleep_until(backoff_from.into()).await;
    let mode = Mode::Rest(scenario.one_in, scenario.backoff.as_millis() as u64);
    runners[..scenario.targets]
        .iter()
        .for_each(|runner| runner.set(mode));
    tokio::time::sleep_until(recovered.into()).await;
    runners.iter().for_each(|runner| runner.set(Mode::Normal));
    let (asked, served) = callers.await.unwrap();
    let max_requests = runners
        .iter()
        .map(|runner| max_in_a_backoff(runner, scenario.backoff))
        .max();
    let max_requests = max_requests.unwrap_or(0);
    // One second after the end of the last back-off.
    let used_from = recovered + scenario.backoff + Duration::from_secs(1);
    let used = since(&runners[0], used_from);
    println!("{max_requests} in a back-off; used {used}; served {served} of {asked}");
    assert!(
        max_requests <= SENT_MAX,
        "{max_requests} requests within a back-off"
    );
    assert!(used > 0, "the target is used again after its back-off");
    if let Some(percent) = scenario.served {
        assert!(
            served * 100 >= asked * percent,
            "{served} of {asked} served"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_rests() {
    check_backoff(Scenario {
        backoff: Duration::from_secs(3),
        one_in: 1,
        targets: 1,
        served: Some(99),
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_rests_shortly() {
    check_backoff(Scenario {
        backoff: Duration::from_millis(1_500),
        one_in: 1,
        targets: 1,
        served: Some(99),
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_rests_at_times() {
    check_backoff(Scenario {
        backoff: Duration::from_secs(3),
        one_in: 4,
        targets: 1,
        served: Some(99),
    })
    .await;
}

/// If all targets ask, requests that cannot be served are refused, and no back-off is ignored.
#[tokio::test(flavor = "multi_thread")]
async fn all_rest() {
    check_backoff(Scenario {
        backoff: Duration::from_secs(3),
        one_in: 4,
        targets: 3,
        served: None,
    })
    .await;
}
