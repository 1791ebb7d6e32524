//! A target announces in its responses that it leaves, while its entry in the store cannot be updated.
//!
//! Guards against routers that learn only from the store's list that a target leaves. If the store is unreachable, such
//! a router forwards the responses that announce it and keeps sending requests: 2.5 and 2.9 s after the announcement.

mod deployment;

use std::time::{Duration, Instant};

use deployment::runner::Runner;
use deployment::{Ask, Gateway, ask, turns, until};

const TARGETS: usize = 3;
/// Time between two requests, which are sent to the routers in turn.
const GAP: Duration = Duration::from_millis(8);
/// When the target starts to announce that it leaves, after the first request.
const LEAVES_AFTER: Duration = Duration::from_secs(2);
/// How long it continues to serve.
const SERVES_FOR: Duration = Duration::from_secs(6);
/// Time after the start of the announcements after which no more requests may arrive.
const KNOWN_BY: Duration = Duration::from_secs(2);

/// Checks that a leaving target whose entry is not updated gets no late requests from any router, and that all requests
/// are served.
async fn check_leaving(service: &str, request: fn(usize) -> Ask) {
    let (deployment, runners) = turns::start_fleet(3, TARGETS, service).await;
    let begun = Instant::now();
    let leaves = begun + LEAVES_AFTER;
    let end = leaves + SERVES_FOR;
    let fronts = turns::fronts(&deployment);
    let callers = tokio::spawn(turns::ask_in_turn(fronts, GAP, end, request));
    tokio::time::sleep_until(leaves.into()).await;
    runners[0].set_answer_headers(&[("server-leaving", "1")]);
    let (asked, served) = callers.await.unwrap();
    let late = count_late(&runners[0], leaves + KNOWN_BY);
    println!("{late} late; served {served} of {asked}");
    assert_eq!(late, 0, "late requests to a leaving target");
    assert_eq!(served, asked, "the other targets have free slots");
}

fn count_late(runner: &Runner, since: Instant) -> usize {
    let arrivals = runner.arrivals();
    arrivals
        .iter()
        .filter(|arrival| arrival.at >= since)
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_plain() {
    check_leaving("app", |number| Ask::new(&format!("r{number}"), "/often/x")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_stream() {
    check_leaving("engine", |number| {
        Ask::talk(&format!("r{number}"), "/talk/x", 100, 50).post(&format!("prompt {number}"))
    })
    .await;
}

async fn metrics(gateway: &Gateway) -> String {
    ask(gateway.metrics, &Ask::get("/metrics")).await.body
}

/// Announcements seen by one router appear in the metrics of all.
#[tokio::test(flavor = "multi_thread")]
async fn operators_see() {
    let (deployment, runners) = turns::start_fleet(3, TARGETS, "app").await;
    for runner in &runners {
        runner.set_answer_headers(&[("server-leaving", "1"), ("server-limit", "1.8")]);
    }
    let answer = ask(deployment.gateways[0].front, &Ask::new("r1", "/often/x")).await;
    assert_eq!(answer.status, 200);
    // The control thread counts a notice after the traffic thread has passed the answer on.
    until(|| async {
        let first = metrics(&deployment.gateways[0]).await;
        ["leaving", "rate_limit"].iter().all(|kind| {
            let line = format!("lanedeck_target_notices_total{{kind=\"{kind}\"}} 1\n");
            first.contains(&line)
        })
    })
    .await;
    for gateway in &deployment.gateways {
        until(|| async {
            let text = metrics(gateway).await;
            text.contains("lanedeck_target_leaving{instance=\"i-")
                && text.contains("lanedeck_target_rate_limit{instance=\"i-")
        })
        .await;
    }
}

/// If all targets leave, requests are refused at once, and have not run.
#[tokio::test(flavor = "multi_thread")]
async fn all_leave() {
    let (deployment, runners) = turns::start_fleet(1, TARGETS, "app").await;
    for runner in &runners {
        runner.set_answer_headers(&[("server-leaving", "1")]);
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
