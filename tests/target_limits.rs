//! A target that takes only so many requests a second from all routers together.
//!
//! What callers saw: a target in need named in its answers how many requests a second it takes from all routers
//! together, 1.4 to 1.8, and went on getting its usual share, 15 to 19 in four seconds where 13 to 16 were allowed.
//! The order of events: the first answers with a limit reached one router, then others; each sent on as before, as often
//! to this target as to those that named none, until the end of what was looked at.
//!
//! The cause is that no router read it: an answer's head was decoded into its id, its load and its keep-alive time, and
//! what else a target says of itself was passed on to callers. The evidence: `rate_limit_heard` lines of each router,
//! followed by as many `attempt_sent` lines to that target as to the others.

mod deployment;

use std::time::{Duration, Instant};

use deployment::runner::Runner;
use deployment::{Ask, Deployment, turns};

const TARGETS: usize = 3;
/// Time between two requests, which go to the routers in turn.
const GAP: Duration = Duration::from_millis(8);
/// When the target begins to name its limit, after the first request.
const NAMED_AFTER: Duration = Duration::from_secs(2);
/// How long it names it.
const NAMED_FOR: Duration = Duration::from_secs(14);
/// From then on after it first named it, the limit has to hold.
const KNOWN_BY: Duration = Duration::from_secs(3);
/// The span in which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Requests that a target may get in a [`SPAN`], by what users allow: half as many again as it named, and five.
fn allowed(limit: f64) -> usize {
    (limit * SPAN.as_secs_f64() * 1.5 + 5.0) as usize
}

fn request(number: usize) -> Ask {
    Ask::new(&format!("r{number}"), "/often/x")
}

/// When requests reached a target, in order.
fn arrivals(runner: &Runner) -> Vec<Instant> {
    runner.arrivals().iter().map(|one| one.at).collect()
}

/// Most arrivals in any [`SPAN`] that begins within these times.
fn most(arrivals: &[Instant], from: Instant, until: Instant) -> usize {
    let begins = arrivals.iter().copied();
    let begins = begins.filter(|at| (from..until).contains(at));
    let count = |begin: Instant| {
        let span = begin..begin + SPAN;
        arrivals.iter().filter(|at| span.contains(*at)).count()
    };
    begins.map(count).max().unwrap_or(0)
}

/// What happens to the routers while a target names its limit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// One is killed and starts again.
    Kill,
    /// One stands still for a while.
    Pause,
}

/// Brings the trouble about.
async fn trouble(deployment: &mut Deployment, trouble: Trouble) {
    let gateway = &mut deployment.gateways[1];
    match trouble {
        Trouble::None => {}
        Trouble::Kill => {
            gateway.kill();
            gateway.start_again();
        }
        Trouble::Pause => {
            gateway.signal("STOP");
            tokio::time::sleep(Duration::from_secs(2)).await;
            gateway.signal("CONT");
        }
    }
}

/// One of three targets names a limit for a while.
async fn play(limit: f64, routers: usize, kind: Trouble) {
    let (mut deployment, runners) = turns::fleet(routers, TARGETS, "app").await;
    let fronts = turns::fronts(&deployment);
    let begun = Instant::now();
    let named = begun + NAMED_AFTER;
    let ended = named + NAMED_FOR;
    let after = ended + KNOWN_BY;
    let callers = tokio::spawn(turns::ask_in_turn(fronts, GAP, after, request));
    tokio::time::sleep_until(named.into()).await;
    runners[0].say(&[("server-limit", &limit.to_string())]);
    tokio::time::sleep_until((named + KNOWN_BY * 2).into()).await;
    trouble(&mut deployment, kind).await;
    tokio::time::sleep_until(ended.into()).await;
    runners[0].say(&[]);
    let (asked, served) = callers.await.unwrap();
    let arrivals = arrivals(&runners[0]);
    let got = most(&arrivals, named + KNOWN_BY, ended - SPAN);
    let meanwhile = (named + KNOWN_BY)..ended;
    let used = arrivals.iter().filter(|at| meanwhile.contains(*at)).count();
    let since = arrivals.iter().filter(|at| **at >= ended).count();
    println!(
        "limit {limit}: {got} in a span, {} allowed; {used} in {:?}; {since} after; served {served} of {asked}",
        allowed(limit),
        NAMED_FOR - KNOWN_BY
    );
    assert!(got <= allowed(limit), "{got} requests in four seconds");
    // What a killed router worked on is lost, and nobody listens there for a while.
    assert!(
        kind != Trouble::None || served * 100 >= asked * 99,
        "{served} of {asked} are served, though others have room"
    );
    assert!(since >= 30, "it is used again: {since} requests");
}

#[tokio::test(flavor = "multi_thread")]
async fn low_limit_kept() {
    play(1.8, 3, Trouble::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn high_limit_kept() {
    play(12.5, 3, Trouble::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_after_kill() {
    play(1.4, 3, Trouble::Kill).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_after_pause() {
    play(1.4, 3, Trouble::Pause).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_over_eight() {
    play(1.8, 8, Trouble::None).await;
}
