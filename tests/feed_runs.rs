//! Gateway processes of one hall: a few read the list of targets from the store, and the others follow them, also when
//! these die or are cut off from the store.

mod deployment;

use std::collections::BTreeSet;
use std::time::Duration;

use deployment::runner::Runner;
use deployment::store::Fault;
use deployment::{
    Ask, Deployment, Gateway, HOST, ask, config, free_address, list, list_at, status_of, until,
    until_reached,
};
use lanedeck::gateway::decision::feed::READERS_PER_HALL;
use lanedeck::gateway::members::{Members, Router, Source};
use lanedeck::gateway::message::{Heartbeat, Reply, Request};
use lanedeck::store::hedge;
use lanedeck::units::Millis;
use lanedeck::wire;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

const GATEWAYS: usize = 12;
const LARGE_BUDGET: u64 = 1_000_000;
/// Targets of another service, so many that not all of the gateways read them.
const FAR_TARGETS: usize = 9_000;
const TARGETS: &str = "keyed.servers";
const FLEET_KEY: &str = "lanedeck-fleet";
const OPERATORS: &str = "keyed.op";
/// A change of the configuration is in force everywhere within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
/// Three of four calls.
const BUSY: Fault = Fault::Busy(75);
/// As the gateways of the deployment are told.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Longer than a router waits to learn its role.
const SETTLING: Duration = Duration::from_secs(2);
/// A leaving target gets requests for no longer than this, as the page of the whole fleet counts it.
const KNOWN_WITHIN: Duration = Duration::from_millis(2_200);
/// Within this time a fleet has to serve again after all were killed.
const RECOVERED_WITHIN: Duration = Duration::from_secs(12);
/// A round in which a reader asks another one.
const ROUND: Duration = Duration::from_millis(500);
/// Several rounds of reads.
const ROUNDS: Duration = Duration::from_secs(2);

async fn start() -> (Deployment, Runner) {
    let app = Runner::start("i-app").await;
    let runners = [("app", &app)];
    let deployment = Deployment::start(GATEWAYS, &config(1, LARGE_BUDGET), &runners).await;
    deployment.wait_for_members().await;
    for number in 0..FAR_TARGETS {
        let instance = format!("i-far-{number}");
        list_at(&deployment.store, "far", &instance, app.address, "ready");
    }
    sleep(SETTLING).await;
    (deployment, app)
}

/// The names of the gateways that read the list.
fn readers(deployment: &Deployment) -> BTreeSet<String> {
    let router = |gateway: &Gateway| Router {
        name: gateway.name.clone(),
        incarnation: 1,
        front: gateway.front,
        link: gateway.link,
        hall: "hall".into(),
        is_ready: true,
        heartbeat: 1,
    };
    let routers: Vec<Router> = deployment.gateways.iter().map(router).collect();
    let mut members = Members::new(routers[0].clone(), Millis(200));
    members.record_read(Millis(1));
    for other in &routers {
        members.update(Millis(1), other.clone(), Source::Store);
    }
    let first = members.first_in_hall(Millis(1), READERS_PER_HALL);
    first.iter().map(|router| router.name.clone()).collect()
}

fn followers(deployment: &Deployment) -> impl Iterator<Item = &Gateway> {
    let readers = readers(deployment);
    let gateways = deployment.gateways.iter();
    gateways.filter(move |gateway| !readers.contains(&gateway.name))
}

/// Waits until a gateway sends nothing more to a runner.
async fn until_avoided(gateway: &Gateway, runner: &Runner) {
    until(|| async {
        let before = runner.arrivals().len();
        for _ in 0..10 {
            status_of(gateway.front, "/often/x").await;
        }
        runner.arrivals().len() == before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn few_read_the_list() {
    let (deployment, _app) = start().await;
    let reads = |gateway: &Gateway| deployment.store.reads(gateway.store, TARGETS);
    let before: Vec<usize> = deployment.gateways.iter().map(reads).collect();
    sleep(ROUNDS).await;
    let reading = deployment
        .gateways
        .iter()
        .zip(before)
        .filter(|(gateway, before)| reads(gateway) > *before)
        .map(|(gateway, _)| gateway.name.clone());
    assert_eq!(reading.collect::<BTreeSet<_>>(), readers(&deployment));
}

#[tokio::test(flavor = "multi_thread")]
async fn all_learn_of_changes() {
    let (deployment, app) = start().await;
    let other = Runner::start("i-other").await;
    list(&deployment.store, "app", &other, "ready");
    for gateway in &deployment.gateways {
        until_reached(gateway.front, &other).await;
    }
    list(&deployment.store, "app", &app, "draining");
    for gateway in &deployment.gateways {
        until_avoided(gateway, &app).await;
    }
    deployment.store.put(TARGETS, &other.instance(), None);
    for gateway in &deployment.gateways {
        until(|| async { status_of(gateway.front, "/often/x").await == Some(503) }).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn readers_die() {
    let (mut deployment, app) = start().await;
    let readers = readers(&deployment);
    deployment
        .gateways
        .retain(|gateway| !readers.contains(&gateway.name));
    assert_eq!(deployment.gateways.len(), GATEWAYS - READERS_PER_HALL);
    let other = Runner::start("i-other").await;
    list(&deployment.store, "app", &other, "ready");
    list(&deployment.store, "app", &app, "draining");
    for gateway in &deployment.gateways {
        until_reached(gateway.front, &other).await;
        until_avoided(gateway, &app).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn readers_cut_off_from_store() {
    let (deployment, app) = start().await;
    let readers = readers(&deployment);
    for gateway in &deployment.gateways {
        if readers.contains(&gateway.name) {
            deployment.store.set_fault(gateway.store, Fault::Silent);
        }
    }
    let other = Runner::start("i-other").await;
    list(&deployment.store, "app", &other, "ready");
    list(&deployment.store, "app", &app, "draining");
    for gateway in followers(&deployment) {
        until_reached(gateway.front, &other).await;
        until_avoided(gateway, &app).await;
    }
}

/// Guards against readers that pass nothing on while they wait for entries that lapsed in an outage.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_after_an_outage() {
    let (deployment, app) = start().await;
    let other = Runner::start("i-other").await;
    list(&deployment.store, "app", &other, "ready");
    for gateway in &deployment.gateways {
        until_reached(gateway.front, &other).await;
    }
    let set_fault = |fault| {
        for gateway in &deployment.gateways {
            deployment.store.set_fault(gateway.store, fault);
        }
    };
    set_fault(Fault::Unavailable);
    sleep(ROUNDS).await;
    deployment.store.put(TARGETS, "i-far-0", None);
    set_fault(Fault::None);
    list(&deployment.store, "app", &app, "draining");
    let left = Instant::now();
    for gateway in &deployment.gateways {
        until_avoided(gateway, &app).await;
    }
    let last = app.arrivals().last().map(|arrival| arrival.at);
    let last = last.map(|at| at.saturating_duration_since(left.into_std()));
    assert!(last.is_none_or(|last| last < KNOWN_WITHIN), "{last:?}");
}

/// Guards against followers of a list with targets that have left, which read on from its place when its readers end.
#[tokio::test(flavor = "multi_thread")]
async fn readers_die_with_a_partial_list() {
    const LAPSED: usize = 1;
    let (mut deployment, app) = start().await;
    let other = Runner::start("i-other").await;
    list(&deployment.store, "app", &other, "ready");
    for gateway in &deployment.gateways {
        until_reached(gateway.front, &other).await;
    }
    set_fault(&deployment, Fault::Unavailable);
    sleep(ROUNDS).await;
    deployment.store.put(TARGETS, &app.instance(), None);
    let readers = readers(&deployment);
    for gateway in &deployment.gateways {
        if readers.contains(&gateway.name) {
            deployment.store.set_fault(gateway.store, Fault::None);
        }
    }
    for gateway in &deployment.gateways {
        if readers.contains(&gateway.name) {
            let missing = format!("lanedeck_targets_missing {LAPSED}");
            let metrics = Ask::get("/metrics");
            until(|| async { ask(gateway.metrics, &metrics).await.body.contains(&missing) }).await;
        }
    }
    sleep(ROUND).await;
    deployment
        .gateways
        .retain(|gateway| !readers.contains(&gateway.name));
    set_fault(&deployment, Fault::None);
    sleep(ROUNDS * 2).await;
    for gateway in &deployment.gateways {
        until_avoided(gateway, &app).await;
    }
    let arrived = app.arrivals().len();
    for gateway in &deployment.gateways {
        for _ in 0..10 {
            status_of(gateway.front, "/often/x").await;
        }
    }
    assert_eq!(app.arrivals().len(), arrived);
}

/// Guards against routers that wait for each other after all were killed.
#[tokio::test(flavor = "multi_thread")]
async fn all_killed_with_a_long_list() {
    let (mut deployment, app) = start().await;
    for round in 0..2 {
        deployment.gateways.iter_mut().for_each(Gateway::kill);
        let begun = Instant::now();
        deployment.gateways.iter_mut().for_each(Gateway::restart);
        for gateway in &deployment.gateways {
            until_reached(gateway.front, &app).await;
        }
        assert!(
            begun.elapsed() < RECOVERED_WITHIN,
            "round {round}: {:?}",
            begun.elapsed()
        );
    }
}

/// Guards against a start that depends on routers that are gone: the last router reads the list itself.
#[tokio::test(flavor = "multi_thread")]
async fn follower_starts_again() {
    let (mut deployment, app) = start().await;
    let name = followers(&deployment).next().unwrap().name.clone();
    let index = deployment.gateways.iter().position(|it| it.name == name);
    let mut last = deployment.gateways.swap_remove(index.unwrap());
    last.kill();
    deployment.gateways.clear();
    last.restart();
    deployment.gateways.push(last);
    deployment.wait_ready().await;
    until_reached(deployment.gateways[0].front, &app).await;
}

fn set_fault(deployment: &Deployment, fault: Fault) {
    for gateway in &deployment.gateways {
        deployment.store.set_fault(gateway.store, fault);
    }
}

/// Takes a target out while another one is left, and returns how long after that it got its last request.
async fn leave(deployment: &Deployment, app: &Runner) -> Duration {
    let other = Runner::start("i-other").await;
    list(&deployment.store, "app", &other, "ready");
    for gateway in &deployment.gateways {
        until_reached(gateway.front, &other).await;
    }
    list(&deployment.store, "app", app, "draining");
    let left = Instant::now();
    for gateway in &deployment.gateways {
        until_avoided(gateway, app).await;
    }
    let last = app.arrivals().last().map(|arrival| arrival.at);
    let last = last.map(|at| at.saturating_duration_since(left.into_std()));
    last.unwrap_or_default()
}

/// Guards against readers and followers that wait out long pauses while the store refuses most calls for its rate.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_while_calls_are_refused() {
    let (deployment, app) = start().await;
    set_fault(&deployment, BUSY);
    let last = leave(&deployment, &app).await;
    assert!(last < KNOWN_WITHIN, "{last:?}");
}

/// Guards against a first read of a long list that pauses longer with each of its parts.
#[tokio::test(flavor = "multi_thread")]
async fn start_while_calls_are_refused() {
    let (mut deployment, app) = start().await;
    set_fault(&deployment, BUSY);
    deployment.gateways.iter_mut().for_each(Gateway::kill);
    let begun = Instant::now();
    deployment.gateways.iter_mut().for_each(Gateway::restart);
    for gateway in &deployment.gateways {
        until_reached(gateway.front, &app).await;
    }
    let elapsed = begun.elapsed();
    assert!(elapsed < RECOVERED_WITHIN, "{elapsed:?}");
}

/// A configuration of about a hundred kilobytes.
fn large_config(version: u64) -> Value {
    let mut config = config(version, LARGE_BUDGET);
    let routes = config["routes"].as_array_mut().unwrap();
    for number in 0..500 {
        routes.push(json!({
            "name": format!("idle-{number}"), "host": HOST, "pathPrefix": format!("/idle-{number}/"),
            "kind": "idempotent", "service": "app", "timeoutMs": 4000, "goalMs": 500, "priority": 1,
            "maxAttempts": 1, "public": false, "resumable": false,
        }));
    }
    routes.push(json!({
        "name": "new", "host": HOST, "pathPrefix": format!("/new-{version}/"), "kind": "idempotent",
        "service": "app", "timeoutMs": 4000, "goalMs": 500, "priority": 1, "maxAttempts": 2,
        "public": false, "resumable": false,
    }));
    config
}

/// Writes a version, and waits until all gateways serve its new route; returns how long that took.
async fn change_config(deployment: &Deployment, version: u64) -> Duration {
    let config = large_config(version);
    deployment.store.put(OPERATORS, "config", Some(&config));
    let written = Instant::now();
    for gateway in &deployment.gateways {
        until(|| async {
            let request = Ask::new(
                &format!("r{}", rand::random::<u64>()),
                &format!("/new-{version}/x"),
            );
            ask(gateway.front, &request).await.status == 200
        })
        .await;
    }
    written.elapsed()
}

/// Guards against a store that sends each version of a large configuration to every router.
#[tokio::test(flavor = "multi_thread")]
async fn few_read_the_configuration() {
    const CHANGES: u64 = 8;
    let (deployment, _app) = start().await;
    change_config(&deployment, 2).await;
    let read = |gateway: &Gateway| deployment.store.bytes_read(gateway.store, OPERATORS);
    let before: usize = followers(&deployment).map(read).sum();
    for version in 3..3 + CHANGES {
        let elapsed = change_config(&deployment, version).await;
        assert!(elapsed < IN_FORCE_WITHIN, "{elapsed:?}");
    }
    let bytes = followers(&deployment).map(read).sum::<usize>() - before;
    let all = large_config(3).to_string().len() * CHANGES as usize * followers(&deployment).count();
    assert!(bytes < all / 4, "{bytes} of {all} bytes");
}

/// Guards against followers that rely on readers alone for the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_without_readers() {
    let (deployment, _app) = start().await;
    let readers = readers(&deployment);
    for gateway in &deployment.gateways {
        if readers.contains(&gateway.name) {
            deployment.store.set_fault(gateway.store, Fault::Silent);
        }
    }
    let elapsed = change_config(&deployment, 2).await;
    assert!(elapsed < IN_FORCE_WITHIN, "{elapsed:?}");
}

/// Guards against followers that write their own entries without a pause, since they have nothing to read.
/// Guards against followers that the store turned away, and that undo an evacuation once it serves them again.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_undone_after_an_outage() {
    let (deployment, app) = start().await;
    for gateway in followers(&deployment) {
        until_reached(gateway.front, &app).await;
        deployment.store.set_fault(gateway.store, Fault::Silent);
    }
    sleep(ROUNDS).await;
    let order = json!({ "zone": "hall" });
    deployment
        .store
        .put(OPERATORS, "evacuate/hall", Some(&order));
    for gateway in &deployment.gateways {
        until_avoided(gateway, &app).await;
    }
    // The followers give their reads up, and ask the readers for the records.
    sleep(hedge::ANSWER_MAX + ROUNDS).await;
    let before = app.arrivals().len();
    for gateway in followers(&deployment) {
        deployment.store.set_fault(gateway.store, Fault::None);
    }
    let end = Instant::now() + 2 * ROUNDS;
    while Instant::now() < end {
        for gateway in followers(&deployment) {
            status_of(gateway.front, "/often/x").await;
        }
    }
    let late = app.arrivals().len() - before;
    assert_eq!(late, 0, "requests in the evacuated hall");
    deployment.store.put(OPERATORS, "evacuate/hall", None);
    for gateway in &deployment.gateways {
        until_reached(gateway.front, &app).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_at_heartbeats() {
    const HEARTBEATS: usize = 10;
    /// A write and a read.
    const CALLS: usize = 2;
    let (deployment, _app) = start().await;
    let before = deployment.store.calls("keyed.routers");
    sleep(HEARTBEAT * HEARTBEATS as u32).await;
    let calls = deployment.store.calls("keyed.routers") - before;
    let allowed = GATEWAYS * CALLS * (HEARTBEATS + 1);
    assert!(calls <= allowed, "{calls} calls, {allowed} allowed");
}

/// Guards against heartbeats that are held up by whole lists of targets.
#[tokio::test(flavor = "multi_thread")]
async fn long_list_with_a_heartbeat() {
    let (deployment, _app) = start().await;
    let address = free_address();
    let request = Request::Heartbeat(Heartbeat {
        router: Router {
            name: "peer".into(),
            incarnation: 1,
            front: address,
            link: address,
            hall: "hall".into(),
            is_ready: false,
            heartbeat: 1,
        },
        config: 1,
        store_answers: false,
        outstanding: Vec::new(),
    });
    let peers = wire::Client::new(FLEET_KEY);
    for gateway in &deployment.gateways {
        let reply: Reply = peers.ask(gateway.link, &request).await.unwrap();
        let Reply::Heartbeat { targets, .. } = reply else {
            panic!("{reply:?}");
        };
        let count = targets.map(|view| view.listed.len());
        assert_eq!(count, None, "{}", gateway.name);
    }
}

/// Guards against a hall that knows of no changes while the store answers other halls only.
#[tokio::test(flavor = "multi_thread")]
async fn hall_cut_off_from_store() {
    let (mut deployment, app) = start().await;
    for number in 0..2 {
        let flags = ["--hall", "other-hall"];
        deployment.add(&format!("far{number}"), &flags).await;
    }
    deployment.wait_ready().await;
    deployment.wait_for_members().await;
    sleep(SETTLING).await;
    for gateway in &deployment.gateways[..GATEWAYS] {
        deployment.store.set_fault(gateway.store, Fault::Silent);
    }
    sleep(ROUNDS).await;
    let last = leave(&deployment, &app).await;
    assert!(last < KNOWN_WITHIN + ROUND, "{last:?}");
}

/// Guards against a router that serves nobody since it starts while the store answers none of a large fleet.
#[tokio::test(flavor = "multi_thread")]
async fn start_in_an_outage() {
    let (mut deployment, app) = start().await;
    let name = followers(&deployment).next().unwrap().name.clone();
    let index = deployment.gateways.iter().position(|it| it.name == name);
    let mut restarted = deployment.gateways.swap_remove(index.unwrap());
    set_fault(&deployment, Fault::Silent);
    restarted.kill();
    // The entries of the routers are all that it can read.
    deployment
        .store
        .set_fault(restarted.store, Fault::RoutersOnly);
    sleep(ROUNDS).await;
    restarted.restart();
    until_reached(restarted.front, &app).await;
}
