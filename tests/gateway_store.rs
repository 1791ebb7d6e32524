//! Gateways whose store misbehaves: configuration, keys, targets and prepaid budgets.

mod deployment;

use deployment::runner::{EVENTS, Mode, Runner};
use deployment::store::Fault;
use deployment::{
    Ask, CUSTOMER, Deployment, KEY, ask, config, config_without_key, list, try_ask, until,
};
use serde_json::{Value, json};

const PLENTY: u64 = 1_000_000;
/// What one stream costs.
const EACH: u64 = 100 + EVENTS as u64;

fn without_key(version: u64) -> Value {
    config_without_key(version, PLENTY)
}

async fn status(front: std::net::SocketAddr, id: &str, path: &str) -> u16 {
    ask(front, &Ask::new(id, path)).await.status
}

#[tokio::test(flavor = "multi_thread")]
async fn newer_configuration() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(1, &config(5, PLENTY), &[("app", &app)]).await;
    let front = deployment.gateways[0].front;
    assert_eq!(status(front, "a", "/often/x").await, 200);
    deployment
        .store
        .put("keyed.op", "config", Some(&without_key(9)));
    until(|| async { status(front, "b", "/often/x").await == 401 }).await;
    // An older version, however late it comes, changes nothing.
    deployment
        .store
        .put("keyed.op", "config", Some(&config(7, PLENTY)));
    deployment
        .store
        .put("keyed.op", "config", Some(&config(8, PLENTY)));
    for number in 0..20 {
        assert_eq!(status(front, &format!("c{number}"), "/often/x").await, 401);
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    // A broken one is passed over, and the next is taken.
    deployment.store.put(
        "keyed.op",
        "config",
        Some(&json!({ "version": 10, "routes": 7 })),
    );
    deployment
        .store
        .put("keyed.op", "config", Some(&config(11, PLENTY)));
    until(|| async { status(front, "d", "/often/x").await == 200 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn history_dropped() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(1, &config(1, PLENTY), &[("app", &app)]).await;
    let front = deployment.gateways[0].front;
    assert_eq!(status(front, "a", "/often/x").await, 200);
    deployment
        .store
        .put("keyed.op", "config", Some(&without_key(2)));
    deployment.store.compact("keyed.op");
    deployment.store.compact("keyed.servers");
    until(|| async { status(front, "b", "/often/x").await == 401 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn key_taken_through_peer() {
    for fault in [Fault::Unavailable, Fault::Limited, Fault::Silent] {
        let app = Runner::start("i-app").await;
        let deployment = Deployment::start(3, &config(1, PLENTY), &[("app", &app)]).await;
        deployment.wait_acquainted().await;
        let cut = &deployment.gateways[0];
        deployment.store.set_fault(cut.store, fault);
        deployment
            .store
            .put("keyed.op", "config", Some(&without_key(2)));
        until(|| async { status(cut.front, "a", "/often/x").await == 401 }).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_through_peer() {
    let first = Runner::start("i-1").await;
    let second = Runner::start("i-2").await;
    let deployment = Deployment::start(2, &config(1, PLENTY), &[("app", &first)]).await;
    deployment.wait_acquainted().await;
    let cut = &deployment.gateways[0];
    deployment.store.set_fault(cut.store, Fault::Silent);
    list(&deployment.store, "app", &second, "ready");
    list(&deployment.store, "app", &first, "draining");
    until(|| async {
        status(cut.front, "a", "/often/x").await;
        second.runs() > 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn loan_when_cut_off() {
    let engine = Runner::start("i-e").await;
    let deployment = Deployment::start(2, &config(1, PLENTY), &[("engine", &engine)]).await;
    deployment.wait_acquainted().await;
    let cut = &deployment.gateways[0];
    deployment.store.set_fault(cut.store, Fault::Unavailable);
    // More than a router holds ahead of any demand.
    until(|| async {
        let request = Ask::talk("s", "/talk/x", 200_000, 50);
        ask(cut.front, &request).await.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_store() {
    let engine = Runner::start("i-e").await;
    let runners = [("engine", &engine)];
    let mut deployment = Deployment::start(0, &config(1, PLENTY), &runners).await;
    deployment.add("g0", &[]).await;
    let gateway = &deployment.gateways[0];
    deployment
        .store
        .set_fault(gateway.store, Fault::Slow(1_500));
    deployment.wait_ready().await;
    // What is waited for longer in vain is given up, but the next try waits longer still.
    until(|| async {
        let request = Ask::talk("s", "/talk/x", 100, 50);
        ask(gateway.front, &request).await.status == 200
    })
    .await;
}

/// Asks until nothing is served for a while, and returns how many were.
async fn spend(deployment: &Deployment, prefix: &str, tries: usize) -> u64 {
    let mut served = 0;
    for number in 0..tries {
        let gateway = &deployment.gateways[number % deployment.gateways.len()];
        let request = Ask::talk(&format!("{prefix}{number}"), "/talk/x", 100, 50);
        match try_ask(gateway.front, &request)
            .await
            .map(|answer| answer.status)
        {
            Some(200) => served += 1,
            Some(402 | 503) | None => {}
            Some(other) => panic!("{other}"),
        }
    }
    served
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_and_late_answers() {
    const PREPAID: u64 = 4_000;
    for fault in [Fault::LostAnswer, Fault::Late(300)] {
        let engine = Runner::start("i-e").await;
        let runners = [("engine", &engine)];
        let deployment = Deployment::start(3, &config(1, PREPAID), &runners).await;
        let mut served = spend(&deployment, "a", 9).await;
        for gateway in &deployment.gateways {
            deployment.store.set_fault(gateway.store, fault);
        }
        served += spend(&deployment, "b", 12).await;
        for gateway in &deployment.gateways {
            deployment.store.set_fault(gateway.store, Fault::None);
        }
        served += spend(&deployment, "c", 60).await;
        assert_eq!(served, engine.runs() as u64);
        assert!(served * EACH <= PREPAID, "{fault:?}: {served}");
        assert!(served > 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_killed() {
    const PREPAID: u64 = 6_000;
    let engine = Runner::start("i-e").await;
    let runners = [("engine", &engine)];
    let mut deployment = Deployment::start(3, &config(1, PREPAID), &runners).await;
    for round in 0..3 {
        spend(&deployment, &format!("k{round}-"), 9).await;
        let slow = Ask::talk(&format!("slow{round}"), "/talk/x", 100, 50);
        engine.set(Mode::Slow(50));
        let front = deployment.gateways[0].front;
        let asked = tokio::spawn(async move { try_ask(front, &slow).await });
        let before = engine.runs();
        until(|| async { engine.runs() > before || asked.is_finished() }).await;
        let names: Vec<String> = deployment.gateways.iter().map(|g| g.name.clone()).collect();
        deployment.gateways.clear();
        engine.set(Mode::Well);
        for name in names {
            deployment.add(&name, &[]).await;
        }
        deployment.wait_ready().await;
    }
    let after = spend(&deployment, "end", 90).await;
    assert!(
        engine.runs() as u64 * EACH <= PREPAID,
        "spent more than was prepaid"
    );
    assert!(after > 0, "what was not granted can still be spent");
}

async fn stream(front: std::net::SocketAddr, id: &str, key: &str) -> u16 {
    let request = Ask::talk(id, "/talk/x", 100, 50).with("authorization", &format!("Bearer {key}"));
    ask(front, &request).await.status
}

/// A row that this program cannot read may stand for any part of the budget.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_row() {
    let engine = Runner::start("i-e").await;
    let runners = [("engine", &engine)];
    let mut deployment = Deployment::start(0, &config(1, PLENTY), &runners).await;
    let row = format!("{CUSTOMER}/g9");
    let strange = json!("the row of a later program");
    deployment.store.put("keyed.prepaid", &row, Some(&strange));
    deployment.add("g0", &["--partitions", "1"]).await;
    deployment.wait_ready().await;
    let front = deployment.gateways[0].front;
    for number in 0..5 {
        let id = format!("a{number}");
        assert_eq!(
            stream(front, &id, KEY).await,
            503,
            "nothing is known to be free"
        );
    }
    assert_eq!(engine.runs(), 0);
    deployment.store.put("keyed.prepaid", &row, None);
    until(|| async { stream(front, "b", KEY).await == 200 }).await;
}
/// The store's keys have a longest length, and a customer's name is part of one.
#[tokio::test(flavor = "multi_thread")]
async fn long_customer_name() {
    let engine = Runner::start("i-e").await;
    let runners = [("engine", &engine)];
    let mut config = config(1, PLENTY);
    config["tenants"] = json!([
        { "name": "a".repeat(300), "apiKeys": ["long"], "prepaid": PLENTY },
        { "name": CUSTOMER, "apiKeys": [KEY], "prepaid": PLENTY },
    ]);
    let flags = ["--partitions", "1"];
    let deployment = Deployment::start_with(1, &config, &runners, &flags).await;
    let front = deployment.gateways[0].front;
    until(|| async { stream(front, "a", KEY).await == 200 }).await;
    for number in 0..5 {
        let id = format!("b{number}");
        assert_eq!(
            stream(front, &id, "long").await,
            503,
            "its rows cannot be written"
        );
    }
    assert_eq!(stream(front, "c", KEY).await, 200);
}
