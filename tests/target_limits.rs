//! A target announces in its responses how many requests per second it accepts from all routers together.
//!
//! Guards against routers that ignore the announced limit and forward it to callers like any other header. With limits
//! of 1.4 to 1.8 requests per second, such a target kept getting its usual share: 15 to 19 requests in four seconds,
//! where 13 to 16 were allowed.

mod deployment;

use std::time::{Duration, Instant};

use deployment::churn::Churn;
use deployment::runner::Runner;
use deployment::{Ask, Deployment, turns};

const TARGETS: usize = 3;
/// Time between two requests, which are sent to the routers in turn.
const GAP: Duration = Duration::from_millis(8);
/// When the target starts to announce its limit, after the first request.
const LIMIT_AFTER: Duration = Duration::from_secs(2);
/// How long it announces the limit.
const LIMIT_FOR: Duration = Duration::from_secs(14);
/// Time after the first announcement from which the limit has to be kept.
const KNOWN_BY: Duration = Duration::from_secs(3);
/// The time window in which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Requests that a target may get in a [`SPAN`]: one and a half times its limit, plus five.
fn allowed(limit: f64) -> usize {
    (limit * SPAN.as_secs_f64() * 1.5 + 5.0) as usize
}

fn request(number: usize) -> Ask {
    Ask::new(&format!("r{number}"), "/often/x")
}

/// Times at which requests reached a target, in order.
fn arrivals(runner: &Runner) -> Vec<Instant> {
    runner.arrivals().iter().map(|arrival| arrival.at).collect()
}

/// Maximum number of arrivals in a [`SPAN`] that begins with an arrival between `from` and `until`.
fn max_in_span(arrivals: &[Instant], from: Instant, until: Instant) -> usize {
    let begins = arrivals.iter().copied();
    let begins = begins.filter(|at| (from..until).contains(at));
    let count = |begin: Instant| {
        let span = begin..begin + SPAN;
        arrivals.iter().filter(|at| span.contains(*at)).count()
    };
    begins.map(count).max().unwrap_or(0)
}

/// Fault of a router while a target announces its limit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// One router is killed and restarted.
    Kill,
    /// One router is paused for two seconds.
    Pause,
    /// Many routers at once.
    Churn(Churn),
}

/// Injects a fault.
async fn inject(deployment: &mut Deployment, fault: Fault, until: Instant) {
    let gateway = &mut deployment.gateways[1];
    match fault {
        Fault::None => {}
        Fault::Kill => {
            gateway.kill();
            gateway.restart();
        }
        Fault::Pause => {
            gateway.signal("STOP");
            tokio::time::sleep(Duration::from_secs(2)).await;
            gateway.signal("CONT");
        }
        Fault::Churn(churn) => churn.inject(deployment, until).await,
    }
}

/// Checks that the limit announced by one of three targets is kept, and that the target is used again afterwards.
async fn check_limit(limit: f64, routers: usize, fault: Fault) {
    let (mut deployment, runners) = turns::start_fleet(routers, TARGETS, "app").await;
    let fronts = turns::fronts(&deployment);
    let begun = Instant::now();
    let limit_from = begun + LIMIT_AFTER;
    let ended = limit_from + LIMIT_FOR;
    let after = ended + KNOWN_BY;
    let callers = tokio::spawn(turns::ask_in_turn(fronts, GAP, after, request));
    tokio::time::sleep_until(limit_from.into()).await;
    runners[0].set_answer_headers(&[("server-limit", &limit.to_string())]);
    tokio::time::sleep_until((limit_from + KNOWN_BY * 2).into()).await;
    inject(&mut deployment, fault, ended).await;
    tokio::time::sleep_until(ended.into()).await;
    runners[0].set_answer_headers(&[]);
    let (asked, served) = callers.await.unwrap();
    let arrivals = arrivals(&runners[0]);
    let got = max_in_span(&arrivals, limit_from + KNOWN_BY, ended - SPAN);
    let meanwhile = (limit_from + KNOWN_BY)..ended;
    let used = arrivals.iter().filter(|at| meanwhile.contains(*at)).count();
    let since = arrivals.iter().filter(|at| **at >= ended).count();
    println!(
        "limit {limit}: {got} in a span, {} allowed; {used} in {:?}; {since} after; served {served} of {asked}",
        allowed(limit),
        LIMIT_FOR - KNOWN_BY
    );
    assert!(got <= allowed(limit), "{got} requests in four seconds");
    // Requests in flight at a killed router are lost, and it accepts none until it has restarted.
    assert!(
        fault != Fault::None || served * 100 >= asked * 99,
        "{served} of {asked} served, although other targets have free slots"
    );
    assert!(
        since >= 30,
        "the target is used again: {since} requests after the limit ended"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn low_limit_kept() {
    check_limit(1.8, 3, Fault::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn high_limit_kept() {
    check_limit(12.5, 3, Fault::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_after_kill() {
    check_limit(1.4, 3, Fault::Kill).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_after_pause() {
    check_limit(1.4, 3, Fault::Pause).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_over_eight() {
    check_limit(1.8, 8, Fault::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_while_many_roll() {
    check_limit(12.5, 24, Fault::Churn(Churn::Roll)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_while_half_is_killed() {
    check_limit(1.8, 24, Fault::Churn(Churn::Kill)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_while_half_is_paused() {
    check_limit(12.5, 24, Fault::Churn(Churn::Pause)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_while_as_many_join() {
    check_limit(12.5, 16, Fault::Churn(Churn::Join)).await;
}
