//! A request that crashes every target that runs it is sent again and again, to any router.
//!
//! Guards against routers that judge targets by the outcomes of requests, but never a request by the fate of its
//! targets. A caller sent such a request every quarter of a second to one router after the other, with a new id each
//! time but the same customer, path and body. Each router treated it as new and sent it to a healthy target: eleven
//! times more after the third crash, 14 crashes in all, and each crash broke off the other responses in progress there.

mod deployment;

use std::time::{Duration, Instant};

use deployment::runner::{CRASHING, Down, Runner};
use deployment::turns::{self, ask_in_turn};
use deployment::{Ask, ask, try_ask};

const GATEWAYS: usize = 3;
const TARGETS: usize = 6;
/// Time between two attempts to send the crashing request.
const TRY_GAP: Duration = Duration::from_millis(250);
/// Time between two other requests.
const OTHER_GAP: Duration = Duration::from_millis(50);
/// How long requests are sent.
const SEND_FOR: Duration = Duration::from_secs(20);
/// Time after the third crash by which all routers have to know of the crashing request.
const KNOWN_BY: Duration = Duration::from_secs(3);
/// How often the crashing request may reach targets after that.
const SENT_LATE_MAX: usize = 3;

fn crashing_post(number: usize) -> Ask {
    Ask::new(&format!("c{number}"), "/once/x").post(CRASHING)
}

fn other_post(number: usize) -> Ask {
    Ask::new(&format!("o{number}"), "/once/x").post("other")
}

/// Times of the crashes of all targets, in order.
fn crashes(runners: &[Runner]) -> Vec<Instant> {
    let mut all: Vec<Instant> = runners.iter().flat_map(Runner::crashes).collect();
    all.sort();
    all
}

/// How often a crashing request reached targets later than [`KNOWN_BY`] after the third crash.
fn sent_late(runners: &[Runner]) -> usize {
    let Some(third) = crashes(runners).get(2).copied() else {
        return 0;
    };
    let arrivals = runners.iter().flat_map(Runner::arrivals);
    let is_late = |at: Instant| at > third + KNOWN_BY;
    arrivals
        .filter(|arrival| arrival.ran && is_late(arrival.at))
        .filter(|arrival| {
            let body = String::from_utf8_lossy(&arrival.body).into_owned();
            body.contains(CRASHING) || arrival.path.contains(CRASHING)
        })
        .count()
}

/// Checks that a crashing request is quarantined, and that other requests of the same path and customer are served.
async fn check_quarantine(service: &str, crashing: fn(usize) -> Ask, other: fn(usize) -> Ask) {
    check_quarantine_with(service, Down::Closed, crashing, other).await;
}

/// The same, with a choice of how targets appear while they are down.
async fn check_quarantine_with(
    service: &str,
    down: Down,
    crashing: fn(usize) -> Ask,
    other: fn(usize) -> Ask,
) {
    let (deployment, runners) = turns::start_fleet(GATEWAYS, TARGETS, service).await;
    runners.iter().for_each(|runner| runner.set_down(down));
    let fronts = turns::fronts(&deployment);
    let end = Instant::now() + SEND_FOR;
    let crashing = tokio::spawn(ask_in_turn(fronts.clone(), TRY_GAP, end, crashing));
    let (asked, served) = ask_in_turn(fronts, OTHER_GAP, end, other).await;
    crashing.await.unwrap();
    let (ended, late) = (crashes(&runners).len(), sent_late(&runners));
    println!("{ended} crashes, sent {late} times late, others served {served} of {asked}");
    assert!(ended >= 3, "the request crashes at least three targets");
    assert!(
        late <= SENT_LATE_MAX,
        "sent {late} times after all routers had to know; {ended} targets crashed"
    );
    assert!(
        served * 100 >= asked * 95,
        "{served} of {asked} other requests served"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_once() {
    check_quarantine("app", crashing_post, other_post).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_often() {
    check_quarantine(
        "app",
        |number| Ask::new(&format!("c{number}"), "/often/crashing"),
        |number| Ask::new(&format!("o{number}"), "/often/x"),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_stream() {
    check_quarantine(
        "engine",
        |number| Ask::talk(&format!("c{number}"), "/talk/x", 100, 50).post(CRASHING),
        |number| {
            Ask::talk(&format!("o{number}"), "/talk/x", 100, 50).post(&format!("other {number}"))
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_resumed() {
    check_quarantine(
        "engine",
        |number| Ask::talk(&format!("c{number}"), "/resume/x", 100, 50).post(CRASHING),
        |number| {
            Ask::talk(&format!("o{number}"), "/resume/x", 100, 50).post(&format!("other {number}"))
        },
    )
    .await;
}

/// If a supervisor keeps a target's port open, only the target's next start reveals the crash.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_held_port() {
    check_quarantine_with("app", Down::Open, crashing_post, other_post).await;
}

/// The same, if the target's entry disappears in the meantime.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_unlisted() {
    check_quarantine_with("app", Down::OpenUnlisted, crashing_post, other_post).await;
}

/// Routers that start later or restart also know of the quarantine.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_after_start() {
    let (mut deployment, runners) = turns::start_fleet(GATEWAYS, TARGETS, "app").await;
    let mut number = 0;
    let begun = Instant::now();
    while crashes(&runners).len() < 3 || begun.elapsed() < 2 * KNOWN_BY {
        let front = deployment.gateways[number % 3].front;
        let _ = try_ask(front, &crashing_post(number)).await;
        number += 1;
        tokio::time::sleep(TRY_GAP).await;
    }
    for gateway in &mut deployment.gateways {
        gateway.kill();
        gateway.restart();
    }
    deployment.add("g3", &[]).await;
    deployment.wait_ready().await;
    let before = crashes(&runners).len();
    for gateway in &deployment.gateways {
        let answer = ask(gateway.front, &crashing_post(number)).await;
        number += 1;
        assert_eq!(answer.status, 503, "the request has not run: {answer:?}");
        assert!(!answer.header("retry-after").is_empty());
    }
    assert_eq!(crashes(&runners).len(), before, "no target crashes");
    for gateway in &deployment.gateways {
        let text = ask(gateway.metrics, &Ask::get("/metrics")).await.body;
        assert!(
            text.contains("lanedeck_quarantine_held 1\n"),
            "the quarantine is in the metrics: {text}"
        );
        assert!(
            text.contains("lanedeck_quarantine_refused_total 1\n"),
            "{text}"
        );
    }
}
