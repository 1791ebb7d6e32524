//! A target that says in its answers that it leaves, while its entry in the list cannot be written.
//!
//! What callers saw: a target that was to end got requests until it did, 2.5 and 2.9 s after answers that said so had gone
//! through the very routers that sent them. The order of events: all routers lose the store; a target begins to leave and
//! says so in each answer, while its entry stays as it was; routers pass such answers on, and go on sending.
//!
//! The cause is that a router learned only from the list that a target leaves. The evidence: `leaving_heard` lines of a
//! router, followed by as many `attempt_sent` lines to that target as before.

mod deployment;

use std::time::{Duration, Instant};

use deployment::runner::Runner;
use deployment::{Ask, Gateway, ask, turns, until};

const TARGETS: usize = 3;
/// Time between two requests, which go to the routers in turn.
const GAP: Duration = Duration::from_millis(8);
/// When the target begins to leave, after the first request.
const LEAVES_AFTER: Duration = Duration::from_secs(2);
/// How long it serves on.
const SERVES_FOR: Duration = Duration::from_secs(6);
/// Time after an answer that says so from which on no request may come.
const KNOWN_BY: Duration = Duration::from_secs(2);

/// Requests that reach a target of a service later than allowed, at all routers, where its entry stays as it was.
async fn play(service: &str, request: fn(usize) -> Ask) {
    let (deployment, runners) = turns::fleet(3, TARGETS, service).await;
    let begun = Instant::now();
    let leaves = begun + LEAVES_AFTER;
    let end = leaves + SERVES_FOR;
    let fronts = turns::fronts(&deployment);
    let callers = tokio::spawn(turns::ask_in_turn(fronts, GAP, end, request));
    tokio::time::sleep_until(leaves.into()).await;
    runners[0].say(&[("server-leaving", "1")]);
    let (asked, served) = callers.await.unwrap();
    let late = late(&runners[0], leaves + KNOWN_BY);
    println!("{late} late; served {served} of {asked}");
    assert_eq!(late, 0, "requests to a target that leaves");
    assert_eq!(served, asked, "others have room");
}

fn late(runner: &Runner, since: Instant) -> usize {
    let arrivals = runner.arrivals();
    arrivals.iter().filter(|one| one.at >= since).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_plain() {
    play("app", |number| Ask::new(&format!("r{number}"), "/often/x")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_stream() {
    play("engine", |number| {
        Ask::talk(&format!("r{number}"), "/talk/x", 100, 50).post(&format!("prompt {number}"))
    })
    .await;
}

async fn metrics(gateway: &Gateway) -> String {
    ask(gateway.metrics, &Ask::get("/metrics")).await.body
}

/// One router hears it, and all show it to operators.
#[tokio::test(flavor = "multi_thread")]
async fn operators_see() {
    let (deployment, runners) = turns::fleet(3, TARGETS, "app").await;
    for runner in &runners {
        runner.say(&[("server-leaving", "1"), ("server-limit", "1.8")]);
    }
    let answer = ask(deployment.gateways[0].front, &Ask::new("r1", "/often/x")).await;
    assert_eq!(answer.status, 200);
    let first = metrics(&deployment.gateways[0]).await;
    for kind in ["leaving", "rate_limit"] {
        let line = format!("lanedeck_target_notices_total{{kind=\"{kind}\"}} 1\n");
        assert!(first.contains(&line), "{first}");
    }
    for gateway in &deployment.gateways {
        until(|| async {
            let text = metrics(gateway).await;
            text.contains("lanedeck_target_leaving{instance=\"i-")
                && text.contains("lanedeck_target_rate_limit{instance=\"i-")
        })
        .await;
    }
}

/// All leave: a request that no target takes is refused at once, and has not run.
#[tokio::test(flavor = "multi_thread")]
async fn all_leave() {
    let (deployment, runners) = turns::fleet(1, TARGETS, "app").await;
    for runner in &runners {
        runner.say(&[("server-leaving", "1")]);
    }
    let front = deployment.gateways[0].front;
    for number in 0..3 {
        assert_eq!(
            ask(front, &Ask::new(&format!("r{number}"), "/often/x"))
                .await
                .status,
            200
        );
    }
    let answer = ask(front, &Ask::new("r3", "/often/x")).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(!answer.header("retry-after").is_empty());
    let runs: usize = runners.iter().map(Runner::runs).sum();
    assert_eq!(runs, 3);
}
