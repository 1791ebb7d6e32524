//! Rollouts with gateway processes: a good version takes over, and a bad one is rolled back before many requests have
//! reached it.

#![allow(dead_code)]

mod deployment;
#[path = "../platform/mod.rs"]
mod platform;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use deployment::runner::{Mode, Runner};
use deployment::store::Store;
use deployment::{Deployment, config, list_version, status_of, until, until_reached};
use lanedeck::gateway::members::{Members, Router, Source};
use lanedeck::store::{Partition, Store as _, Topic};
use lanedeck::units::Millis;
use platform::LogStore;
use serde_json::{Value, json};
use tokio::time::sleep;

const LARGE_BUDGET: u64 = 1_000_000;
const GATEWAYS: usize = 3;
/// Time from an order to its deadline, in seconds.
const DURATION_S: u64 = 5;
/// Callers that send requests concurrently, and the pause of each between two requests.
const CALLERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(20);
/// Allowed share of the requests that a bad version gets, and the number allowed in addition.
const SHARE: f64 = 0.1;
const EXTRA: f64 = 50.0;

struct Fleet {
    deployment: Deployment,
    old: Vec<Runner>,
    new: Vec<Runner>,
    status: LogStore,
}

/// Requests of the callers, by outcome.
#[derive(Default)]
struct Counts {
    asked: AtomicU64,
    failed: AtomicU64,
}

impl Fleet {
    async fn start() -> Self {
        let mut old = Vec::new();
        for number in 0..3 {
            old.push(Runner::start(&format!("i-old-{number}")).await);
        }
        let runners: Vec<(&str, &Runner)> = old.iter().map(|runner| ("app", runner)).collect();
        let deployment = Deployment::start(GATEWAYS, &config(1, LARGE_BUDGET), &runners).await;
        deployment.wait_for_members().await;
        for gateway in &deployment.gateways {
            for runner in &old {
                until_reached(gateway.front, runner).await;
            }
        }
        let status = LogStore::new(deployment.store.open().await);
        Self {
            deployment,
            old,
            new: Vec::new(),
            status,
        }
    }

    fn store(&self) -> &Store {
        &self.deployment.store
    }

    /// Orders a version and starts its runners.
    async fn order(&mut self, version: &str, mode: Mode) {
        let order = json!({"service": "app", "targetVersion": version, "durationS": DURATION_S});
        self.store().put("keyed.op", "rollout/app", Some(&order));
        for number in 0..3 {
            let runner = Runner::start(&format!("i-{version}-{number}")).await;
            runner.set(mode);
            list_version(self.store(), "app", &runner, version);
            self.new.push(runner);
        }
    }

    /// The newest record of the rollout.
    async fn record(&self) -> Value {
        let partition = Partition {
            topic: Topic::Status,
            number: 0,
        };
        let page = self
            .status
            .newest(partition, None, Duration::from_secs(5))
            .await;
        let records = page.unwrap().records;
        let record = records.iter().find(|record| record.key == "rollout/app");
        let value = record.and_then(|record| record.value.clone());
        value.map_or(Value::Null, |value| serde_json::from_slice(&value).unwrap())
    }

    /// Sends requests until the rollout has ended, and the old or the new runners have stopped by what it says.
    /// Returns the final state.
    async fn until_ended(&self, counts: &Counts) -> String {
        let is_over = AtomicBool::new(false);
        let callers = (0..CALLERS).map(|number| self.call(number, counts, &is_over));
        let watch = async {
            let mut state = String::new();
            until(|| async {
                let record = self.record().await;
                record["state"].as_str().is_some_and(|it| it != "running")
            })
            .await;
            state.push_str(self.record().await["state"].as_str().unwrap());
            is_over.store(true, Ordering::SeqCst);
            state
        };
        let (state, _) = tokio::join!(watch, futures::future::join_all(callers));
        state
    }

    async fn call(&self, number: usize, counts: &Counts, is_over: &AtomicBool) {
        let fronts: Vec<SocketAddr> = self
            .deployment
            .gateways
            .iter()
            .map(|gateway| gateway.front)
            .collect();
        let mut front = number;
        while !is_over.load(Ordering::SeqCst) {
            front += 1;
            let status = status_of(fronts[front % fronts.len()], "/often/x").await;
            // A gateway that was killed does not answer.
            if let Some(status) = status {
                counts.asked.fetch_add(1, Ordering::SeqCst);
                counts
                    .failed
                    .fetch_add(u64::from(status != 200), Ordering::SeqCst);
            }
            sleep(PAUSE).await;
        }
    }

    fn exposed(&self) -> usize {
        self.new.iter().map(|runner| runner.arrivals().len()).sum()
    }

    fn assert_bounded(&self, counts: &Counts) {
        let allowed = SHARE * counts.asked.load(Ordering::SeqCst) as f64 + EXTRA;
        let exposed = self.exposed();
        assert!(
            exposed as f64 <= allowed,
            "{exposed}, {allowed} are allowed"
        );
        assert!(exposed > 0, "the new version is tried");
    }

    /// Sends requests to all gateways, and returns how many the new version got.
    async fn exposed_afterwards(&self) -> usize {
        let before = self.exposed();
        for _ in 0..100 {
            for gateway in &self.deployment.gateways {
                status_of(gateway.front, "/often/x").await;
            }
        }
        self.exposed() - before
    }

    /// Index of the gateway that decides about the rollout.
    fn decider(&self) -> usize {
        let gateways = &self.deployment.gateways;
        let router = |number: usize| Router {
            name: gateways[number].name.clone(),
            incarnation: 1,
            front: gateways[number].front,
            link: gateways[number].link,
            hall: "hall".into(),
            is_ready: true,
            heartbeat: 1,
        };
        let mut members = Members::new(router(0), Millis(200));
        members.record_read(Millis(1));
        for number in 1..gateways.len() {
            members.update(Millis(1), router(number), Source::Store);
        }
        let name = members.holders(Millis(1), "app", 1)[0].name.clone();
        gateways
            .iter()
            .position(|gateway| gateway.name == name)
            .unwrap()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn good_version_takes_over() {
    let mut fleet = Fleet::start().await;
    let counts = Counts::default();
    fleet.order("v2", Mode::Normal).await;
    let state = fleet.until_ended(&counts).await;
    assert_eq!(state, "done");
    assert_eq!(counts.failed.load(Ordering::SeqCst), 0);
    let record = fleet.record().await;
    assert_eq!(record["targetVersion"], "v2");
    assert!(
        record["ageMs"].as_u64().unwrap() < DURATION_S * 1_000,
        "{record}"
    );
    for runner in &fleet.old {
        fleet.store().put("keyed.servers", &runner.instance(), None);
    }
    assert!(
        fleet.exposed_afterwards().await >= 300,
        "all requests go there"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_version_gets_little() {
    let mut fleet = Fleet::start().await;
    let counts = Counts::default();
    fleet.order("v2", Mode::Fail).await;
    assert_eq!(fleet.until_ended(&counts).await, "rolled_back");
    assert_eq!(
        counts.failed.load(Ordering::SeqCst),
        0,
        "the other version serves what the new one fails"
    );
    fleet.assert_bounded(&counts);
    assert_eq!(fleet.exposed_afterwards().await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_version_gets_little() {
    let mut fleet = Fleet::start().await;
    let counts = Counts::default();
    for runner in &fleet.old {
        runner.set(Mode::Delay(15));
    }
    fleet.order("v2", Mode::Delay(150)).await;
    assert_eq!(fleet.until_ended(&counts).await, "rolled_back");
    fleet.assert_bounded(&counts);
    assert_eq!(fleet.exposed_afterwards().await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn decider_dies() {
    let mut fleet = Fleet::start().await;
    let counts = Counts::default();
    fleet.order("v2", Mode::Normal).await;
    until(|| async { fleet.record().await["state"] == "running" }).await;
    let decider = fleet.decider();
    fleet.deployment.gateways[decider].kill();
    fleet.new.iter().for_each(|runner| runner.set(Mode::Fail));
    assert_eq!(fleet.until_ended(&counts).await, "rolled_back");
    fleet.assert_bounded(&counts);
}

/// Guards against a rollout that begins anew when the store is restored from a copy that lacks its end.
#[tokio::test(flavor = "multi_thread")]
async fn end_outlives_restore() {
    let mut fleet = Fleet::start().await;
    let counts = Counts::default();
    fleet.order("v2", Mode::Fail).await;
    until(|| async { fleet.record().await["state"] == "running" }).await;
    let copy = fleet.store().snapshot();
    assert_eq!(fleet.until_ended(&counts).await, "rolled_back");
    let lost = fleet.store().restore(&copy);
    fleet.store().rewrite(&lost);
    assert_eq!(fleet.exposed_afterwards().await, 0);
    until(|| async { fleet.record().await["state"] == "rolled_back" }).await;
    assert_eq!(fleet.exposed_afterwards().await, 0);
}

/// A second order while the first is under way.
#[tokio::test(flavor = "multi_thread")]
async fn two_orders() {
    let mut fleet = Fleet::start().await;
    let counts = Counts::default();
    fleet.order("v2", Mode::Normal).await;
    until(|| async { fleet.record().await["state"] == "running" }).await;
    fleet.order("v3", Mode::Fail).await;
    until(|| async { fleet.record().await["targetVersion"] == "v3" }).await;
    assert_eq!(fleet.until_ended(&counts).await, "rolled_back");
    assert_eq!(fleet.record().await["targetVersion"], "v3");
}
