//! One part of a prompt crashes every target that answers on it, in requests of which no two are alike.

mod deployment;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use deployment::runner::{Arrival, CRASHING, CRASHING_PART, Runner};
use deployment::store::Fault;
use deployment::turns::{self, ask_in_turn};
use deployment::{Ask, Deployment, ask, try_ask, until};

const GATEWAYS: usize = 3;
const TARGETS: usize = 6;
/// Time between two requests with the part.
const CRASHING_GAP: Duration = Duration::from_millis(250);
/// Time between two other requests.
const OTHER_GAP: Duration = Duration::from_millis(20);
/// How long requests are sent before the part has to be known, and after.
const SEND_FOR: Duration = Duration::from_secs(10);
/// Crashes after which the part has to become known.
const CRASHES: usize = 5;
/// Time after these crashes by which all routers have to know of the part.
const KNOWN_BY: Duration = Duration::from_secs(3);
/// Requests with the part that may reach targets after that.
const SENT_LATE_MAX: usize = 3;
/// Time by which requests are served again whose blocks crash no target.
const FREED_BY: Duration = Duration::from_secs(20);
/// Prompts of other requests: parts that they share with those that crash targets.
const PROMPTS: usize = 8;

static NEXT: AtomicUsize = AtomicUsize::new(0);

/// A request that is unlike all others but for the shared parts of its prompt.
fn with_parts(path: &str, shared: &str) -> Ask {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ask::talk(&format!("r{number}"), path, 100, 50)
        .post(&format!("request {number}"))
        .with("x-prompt-prefix", &format!("{shared},f{number:x}:1"))
}

fn crashing(path: &str, number: usize) -> Ask {
    let shared = format!("a1:50,b{}:20,{CRASHING_PART}:29", number % PROMPTS);
    with_parts(path, &shared)
}

fn other(path: &str, number: usize) -> Ask {
    with_parts(path, &format!("a1:50,b{}:49", number % PROMPTS))
}

fn crashing_talk(number: usize) -> Ask {
    crashing("/talk/x", number)
}

fn other_talk(number: usize) -> Ask {
    other("/talk/x", number)
}

fn crashing_resume(number: usize) -> Ask {
    crashing("/resume/x", number)
}

fn other_resume(number: usize) -> Ask {
    other("/resume/x", number)
}

fn crashes(runners: &[Runner]) -> Vec<Instant> {
    let mut all: Vec<Instant> = runners.iter().flat_map(Runner::crashes).collect();
    all.sort();
    all
}

fn has_part(arrival: &Arrival) -> bool {
    arrival.header("x-prompt-prefix").contains(CRASHING_PART)
}

/// How many requests with the part reached targets after it had to be known.
fn sent_late(runners: &[Runner]) -> usize {
    let Some(last) = crashes(runners).get(CRASHES - 1).copied() else {
        return 0;
    };
    let arrivals = runners.iter().flat_map(Runner::arrivals);
    arrivals
        .filter(|arrival| has_part(arrival) && arrival.at > last + KNOWN_BY)
        .count()
}

async fn check_quarantine(crashing: fn(usize) -> Ask, other: fn(usize) -> Ask) {
    let (deployment, runners) = turns::start_fleet(GATEWAYS, TARGETS, "engine").await;
    check_quarantine_of(&deployment, &runners, crashing, other).await;
}

async fn check_quarantine_of(
    deployment: &Deployment,
    runners: &[Runner],
    crashing: fn(usize) -> Ask,
    other: fn(usize) -> Ask,
) {
    let fronts = turns::fronts(deployment);
    let end = Instant::now() + 2 * SEND_FOR;
    let crashing = tokio::spawn(ask_in_turn(fronts.clone(), CRASHING_GAP, end, crashing));
    let early = Instant::now() + SEND_FOR;
    ask_in_turn(fronts.clone(), OTHER_GAP, early, other).await;
    let (asked, served) = ask_in_turn(fronts, OTHER_GAP, end, other).await;
    crashing.await.unwrap();
    let (ended, late) = (crashes(runners).len(), sent_late(runners));
    println!("{ended} crashes, {late} sent late, others served {served} of {asked}");
    assert!(ended >= 3, "the part crashes at least three targets");
    assert!(late <= SENT_LATE_MAX, "{late} sent late; {ended} crashes");
    assert!(served * 100 >= asked * 98, "served {served} of {asked}");
}

#[tokio::test(flavor = "multi_thread")]
async fn part_talk() {
    check_quarantine(crashing_talk, other_talk).await;
}

/// Routers resume a stream at another target, so one request crashes several.
#[tokio::test(flavor = "multi_thread")]
async fn part_resumed() {
    check_quarantine(crashing_resume, other_resume).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn part_without_store() {
    let (deployment, runners) = turns::start_fleet(GATEWAYS, TARGETS, "engine").await;
    for gateway in &deployment.gateways {
        // Without a grant from before the outage nothing is served in it.
        until(|| async { ask(gateway.front, &other_talk(0)).await.status == 200 }).await;
        deployment.store.set_fault(gateway.store, Fault::Silent);
    }
    check_quarantine_of(&deployment, &runners, crashing_talk, other_talk).await;
}

/// Routers that start later or restart also know of the quarantine.
#[tokio::test(flavor = "multi_thread")]
async fn part_after_start() {
    let (mut deployment, runners) = turns::start_fleet(GATEWAYS, TARGETS, "engine").await;
    let fronts = turns::fronts(&deployment);
    let end = Instant::now() + SEND_FOR;
    let others = tokio::spawn(ask_in_turn(fronts.clone(), OTHER_GAP, end, other_talk));
    ask_in_turn(fronts, CRASHING_GAP, end, crashing_talk).await;
    others.await.unwrap();
    for gateway in &mut deployment.gateways {
        gateway.kill();
        gateway.restart();
    }
    deployment.add("g3", &[]).await;
    deployment.wait_ready().await;
    let before = crashes(&runners).len();
    for gateway in &deployment.gateways {
        let answer = ask(gateway.front, &crashing_talk(0)).await;
        assert_eq!(answer.status, 503, "the request has not run: {answer:?}");
        assert!(!answer.header("retry-after").is_empty());
        let answer = ask(gateway.front, &other_talk(0)).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(crashes(&runners).len(), before, "no target crashes");
}

/// A request that crashes targets by its body does not condemn the blocks that it names.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_request() {
    let (deployment, runners) = turns::start_fleet(GATEWAYS, TARGETS, "engine").await;
    let fronts = turns::fronts(&deployment);
    let begin = Instant::now();
    let crashing = |number| {
        let request = Ask::talk(&format!("c{number}"), "/talk/x", 100, 50);
        request
            .post(CRASHING)
            .with("x-prompt-prefix", "a1:50,b2:49,c3:1")
    };
    for number in 0.. {
        let front = fronts[number % fronts.len()];
        let answer = try_ask(front, &crashing(number)).await;
        if answer.is_some_and(|answer| answer.status == 503) {
            break;
        }
        assert!(begin.elapsed() < 3 * SEND_FOR, "it is quarantined");
        tokio::time::sleep(CRASHING_GAP).await;
    }
    assert!(crashes(&runners).len() <= CRASHES, "it is quarantined soon");
    tokio::time::sleep(KNOWN_BY).await;
    for front in fronts {
        let request = with_parts("/talk/x", "a1:50,b2:49");
        assert_eq!(ask(front, &request).await.status, 200);
    }
}

/// Nothing but crashing requests has come with the first block of all prompts, so it is in as many crashes as the last.
#[tokio::test(flavor = "multi_thread")]
async fn first_block_stays_refused() {
    let (deployment, runners) = turns::start_fleet(GATEWAYS, 2, "engine").await;
    let fronts = turns::fronts(&deployment);
    let crashing = || with_parts("/talk/x", &format!("a1:70,{CRASHING_PART}:29"));
    let innocent = || with_parts("/talk/x", "a1:99");
    let begin = Instant::now();
    let mut in_turn = fronts.iter().cycle();
    let refusing = loop {
        let front = *in_turn.next().unwrap();
        let answer = try_ask(front, &crashing()).await;
        if answer.is_some_and(|answer| answer.body.contains("quarantined")) {
            break front;
        }
        assert!(begin.elapsed() < SEND_FOR, "the blocks are quarantined");
        tokio::time::sleep(CRASHING_GAP).await;
    };
    let ended = crashes(&runners).len();
    let held = ask(refusing, &innocent()).await;
    assert_eq!(held.status, 503, "the first block is held: {held:?}");
    for front in &fronts {
        let answer = until_served(*front, innocent).await;
        assert_eq!(answer, Some(200), "within {FREED_BY:?}");
    }
    // One of these may be sent as a trial.
    for front in &fronts {
        try_ask(*front, &crashing()).await;
    }
    tokio::time::sleep(KNOWN_BY).await;
    for front in &fronts {
        let answer = ask(*front, &crashing()).await;
        assert_eq!(answer.status, 503, "the last block stays held: {answer:?}");
    }
    assert!(crashes(&runners).len() <= ended + 1);
}

/// Sends requests to a gateway until one is served, or the time is over. Returns the last status.
async fn until_served(front: SocketAddr, make: impl Fn() -> Ask) -> Option<u16> {
    let end = Instant::now() + FREED_BY;
    loop {
        let status = try_ask(front, &make()).await.map(|answer| answer.status);
        if status == Some(200) || Instant::now() >= end {
            return status;
        }
        tokio::time::sleep(CRASHING_GAP).await;
    }
}
