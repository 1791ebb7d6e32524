//! A request that crashes each target by which it is run, sent again and again at any router.
//!
//! What callers saw: an answer broke off, again and again, since another request had made its target crash.
//! A caller sent that one each quarter of a second, with a new id each time, at one router after the other.
//! Each router took it for a request that it had never seen, sent it to a target that was well, told its caller
//! that it had broken off, and forgot it. So it reached targets for as long as it was sent: eleven times more
//! once three targets had ended under it, 14 ended in all, and each took the answers with it on which it worked.
//!
//! The cause is that a router judged targets by what became of requests, and never a request by what became of
//! its targets. The evidence: in each of these crashes, at whichever router, one request was on its way of
//! which customer, path and body were the same, sent a fraction of a second before, under another id each time.

mod deployment;

use std::time::{Duration, Instant};

use deployment::runner::{CRASHING, Down, Runner};
use deployment::turns::{self, ask_in_turn};
use deployment::{Ask, ask, try_ask};

const GATEWAYS: usize = 3;
const TARGETS: usize = 6;
/// Time between two tries of the request that crashes targets.
const TRY_GAP: Duration = Duration::from_millis(250);
/// Time between two requests of others.
const OTHER_GAP: Duration = Duration::from_millis(50);
/// How long it is sent.
const PLAY: Duration = Duration::from_secs(20);
/// By then after its third crash, all routers have to know; and how often it may be sent after that.
const KNOWN_BY: Duration = Duration::from_secs(3);
const SENT_LATE_MAX: usize = 3;

fn crashing_post(number: usize) -> Ask {
    Ask::new(&format!("c{number}"), "/once/x").post(CRASHING)
}

fn other_post(number: usize) -> Ask {
    Ask::new(&format!("o{number}"), "/once/x").post("other")
}

/// Crashes of all targets in order.
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

/// Plays a request that crashes targets beside others with the same path and customer.
async fn play(service: &str, crashing: fn(usize) -> Ask, other: fn(usize) -> Ask) {
    play_with(service, Down::Closed, crashing, other).await;
}

/// The same with targets that look so while they are down.
async fn play_with(service: &str, down: Down, crashing: fn(usize) -> Ask, other: fn(usize) -> Ask) {
    let (deployment, runners) = turns::fleet(GATEWAYS, TARGETS, service).await;
    runners.iter().for_each(|runner| runner.looks_down(down));
    let fronts = turns::fronts(&deployment);
    let end = Instant::now() + PLAY;
    let crashing = tokio::spawn(ask_in_turn(fronts.clone(), TRY_GAP, end, crashing));
    let (asked, served) = ask_in_turn(fronts, OTHER_GAP, end, other).await;
    crashing.await.unwrap();
    let (ended, late) = (crashes(&runners).len(), sent_late(&runners));
    println!("{ended} crashes, sent {late} times late, others served {served} of {asked}");
    assert!(ended >= 3, "the request crashes targets");
    assert!(
        late <= SENT_LATE_MAX,
        "sent {late} times after all had to know; {ended} targets ended"
    );
    assert!(
        served * 100 >= asked * 95,
        "{served} of {asked} others are served"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_once() {
    play("app", crashing_post, other_post).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_often() {
    play(
        "app",
        |number| Ask::new(&format!("c{number}"), "/often/crashing"),
        |number| Ask::new(&format!("o{number}"), "/often/x"),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_stream() {
    play(
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
    play(
        "engine",
        |number| Ask::talk(&format!("c{number}"), "/resume/x", 100, 50).post(CRASHING),
        |number| {
            Ask::talk(&format!("o{number}"), "/resume/x", 100, 50).post(&format!("other {number}"))
        },
    )
    .await;
}

/// Nothing but its next start tells that a target has crashed whose port a supervisor holds.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_held_port() {
    play_with("app", Down::Open, crashing_post, other_post).await;
}

/// The same where its entry goes meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_unlisted() {
    play_with("app", Down::OpenUnlisted, crashing_post, other_post).await;
}

/// A router that starts later, or again, knows as well.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_after_start() {
    let (mut deployment, runners) = turns::fleet(GATEWAYS, TARGETS, "app").await;
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
        gateway.start_again();
    }
    deployment.add("g3", &[]).await;
    deployment.wait_ready().await;
    let before = crashes(&runners).len();
    for gateway in &deployment.gateways {
        let answer = ask(gateway.front, &crashing_post(number)).await;
        number += 1;
        assert_eq!(answer.status, 503, "it has not run: {answer:?}");
        assert!(!answer.header("retry-after").is_empty());
    }
    assert_eq!(crashes(&runners).len(), before, "no target ends by it");
    for gateway in &deployment.gateways {
        let text = ask(gateway.metrics, &Ask::get("/metrics")).await.body;
        assert!(
            text.contains("lanedeck_quarantine_held 1\n"),
            "an operator sees it: {text}"
        );
        assert!(
            text.contains("lanedeck_quarantine_refused_total 1\n"),
            "{text}"
        );
    }
}
