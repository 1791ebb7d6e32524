//! Gateways with a faulty store: configuration, keys, targets and prepaid budgets.

mod deployment;

use deployment::runner::{EVENTS, Mode, Runner};
use deployment::store::Fault;
use deployment::{
    Ask, CUSTOMER, Deployment, KEY, ask, config, config_without_key, list, try_ask, until,
};
use serde_json::{Value, json};

const LARGE_BUDGET: u64 = 1_000_000;
/// Tokens that one stream costs.
const STREAM_COST: u64 = 100 + EVENTS as u64;

fn without_key(version: u64) -> Value {
    config_without_key(version, LARGE_BUDGET)
}

async fn status(front: std::net::SocketAddr, id: &str, path: &str) -> u16 {
    ask(front, &Ask::new(id, path)).await.status
}

#[tokio::test(flavor = "multi_thread")]
async fn newer_configuration() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(1, &config(5, LARGE_BUDGET), &[("app", &app)]).await;
    let front = deployment.gateways[0].front;
    assert_eq!(status(front, "a", "/often/x").await, 200);
    deployment
        .store
        .put("keyed.op", "config", Some(&without_key(9)));
    until(|| async { status(front, "b", "/often/x").await == 401 }).await;
    // An older version that arrives later changes nothing.
    deployment
        .store
        .put("keyed.op", "config", Some(&config(7, LARGE_BUDGET)));
    deployment
        .store
        .put("keyed.op", "config", Some(&config(8, LARGE_BUDGET)));
    for number in 0..20 {
        assert_eq!(status(front, &format!("c{number}"), "/often/x").await, 401);
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    // A malformed configuration is ignored, and the next valid one is applied.
    deployment.store.put(
        "keyed.op",
        "config",
        Some(&json!({ "version": 10, "routes": 7 })),
    );
    deployment
        .store
        .put("keyed.op", "config", Some(&config(11, LARGE_BUDGET)));
    until(|| async { status(front, "d", "/often/x").await == 200 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn history_dropped() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(1, &config(1, LARGE_BUDGET), &[("app", &app)]).await;
    let front = deployment.gateways[0].front;
    assert_eq!(status(front, "a", "/often/x").await, 200);
    deployment
        .store
        .put("keyed.op", "config", Some(&without_key(2)));
    deployment.store.compact("keyed.op");
    deployment.store.compact("keyed.servers");
    until(|| async { status(front, "b", "/often/x").await == 401 }).await;
}

/// Guards against a gateway that stays behind the store after records that it has not read were dropped.
#[tokio::test(flavor = "multi_thread")]
async fn history_dropped_while_frozen() {
    const TOPICS: [&str; 3] = ["keyed.op", "keyed.servers", "keyed.prepaid"];
    let first = Runner::start("i-1").await;
    let second = Runner::start("i-2").await;
    let deployment = Deployment::start(2, &config(1, LARGE_BUDGET), &[("app", &first)]).await;
    deployment.wait_for_members().await;
    let [frozen, other] = [&deployment.gateways[0], &deployment.gateways[1]];
    for round in 0..6 {
        frozen.signal("STOP");
        for step in 0..5 {
            let version = 2 + 10 * round + step;
            let (gone, used) = if round % 2 == 0 {
                (&first, &second)
            } else {
                (&second, &first)
            };
            list(&deployment.store, "app", gone, "draining");
            list(&deployment.store, "app", used, "ready");
            deployment
                .store
                .put("keyed.op", "config", Some(&without_key(version)));
            until(|| async { status(other.front, "a", "/often/x").await == 401 }).await;
            TOPICS
                .iter()
                .for_each(|topic| deployment.store.compact(topic));
        }
        frozen.signal("CONT");
        until(|| async { status(frozen.front, "b", "/often/x").await == 401 }).await;
        let version = 10 + 10 * round;
        deployment
            .store
            .put("keyed.op", "config", Some(&config(version, LARGE_BUDGET)));
        until(|| async { status(frozen.front, "c", "/often/x").await == 200 }).await;
        until(|| async { status(other.front, "d", "/often/x").await == 200 }).await;
        let (gone, used) = if round % 2 == 0 {
            (&first, &second)
        } else {
            (&second, &first)
        };
        let before = used.runs();
        until(|| async {
            status(frozen.front, "e", "/often/x").await;
            used.runs() > before
        })
        .await;
        let before = gone.runs();
        for _ in 0..40 {
            assert_eq!(status(frozen.front, "f", "/often/x").await, 200);
        }
        assert_eq!(gone.runs(), before, "round {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn key_removed_through_peer() {
    for fault in [Fault::Unavailable, Fault::Limited, Fault::Silent] {
        let app = Runner::start("i-app").await;
        let deployment = Deployment::start(3, &config(1, LARGE_BUDGET), &[("app", &app)]).await;
        deployment.wait_for_members().await;
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
    let deployment = Deployment::start(2, &config(1, LARGE_BUDGET), &[("app", &first)]).await;
    deployment.wait_for_members().await;
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
    let deployment = Deployment::start(2, &config(1, LARGE_BUDGET), &[("engine", &engine)]).await;
    deployment.wait_for_members().await;
    let cut = &deployment.gateways[0];
    deployment.store.set_fault(cut.store, Fault::Unavailable);
    // The request costs more than a router is granted without demand, so it needs a loan.
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
    let mut deployment = Deployment::start(0, &config(1, LARGE_BUDGET), &runners).await;
    deployment.add("g0", &[]).await;
    let gateway = &deployment.gateways[0];
    deployment
        .store
        .set_fault(gateway.store, Fault::Slow(1_500));
    deployment.wait_ready().await;
    // A call that times out is abandoned, but the next one has a longer timeout.
    until(|| async {
        let request = Ask::talk("s", "/talk/x", 100, 50);
        ask(gateway.front, &request).await.status == 200
    })
    .await;
}

/// Sends `tries` requests to the gateways in turn, and returns how many were served.
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
        assert!(served * STREAM_COST <= PREPAID, "{fault:?}: {served}");
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
        let pending = tokio::spawn(async move { try_ask(front, &slow).await });
        let before = engine.runs();
        until(|| async { engine.runs() > before || pending.is_finished() }).await;
        let names: Vec<String> = deployment.gateways.iter().map(|g| g.name.clone()).collect();
        deployment.gateways.clear();
        engine.set(Mode::Normal);
        for name in names {
            deployment.add(&name, &[]).await;
        }
        deployment.wait_ready().await;
    }
    let after = spend(&deployment, "end", 90).await;
    assert!(
        engine.runs() as u64 * STREAM_COST <= PREPAID,
        "more was spent than was prepaid"
    );
    assert!(after > 0, "tokens that were not granted can still be spent");
}

async fn stream(front: std::net::SocketAddr, id: &str, key: &str) -> u16 {
    let request = Ask::talk(id, "/talk/x", 100, 50).with("authorization", &format!("Bearer {key}"));
    ask(front, &request).await.status
}

/// A row that this version cannot decode may grant any part of the budget, so nothing is granted beside it.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_row() {
    let engine = Runner::start("i-e").await;
    let runners = [("engine", &engine)];
    let mut deployment = Deployment::start(0, &config(1, LARGE_BUDGET), &runners).await;
    let row = format!("{CUSTOMER}/g9");
    let undecodable = json!("the row of a later program");
    deployment
        .store
        .put("keyed.prepaid", &row, Some(&undecodable));
    deployment.add("g0", &["--partitions", "1"]).await;
    deployment.wait_ready().await;
    let front = deployment.gateways[0].front;
    for number in 0..5 {
        let id = format!("a{number}");
        assert_eq!(
            stream(front, &id, KEY).await,
            503,
            "no part of the budget is known to be free"
        );
    }
    assert_eq!(engine.runs(), 0);
    deployment.store.put("keyed.prepaid", &row, None);
    until(|| async { stream(front, "b", KEY).await == 200 }).await;
}

/// The store limits the length of keys. A customer whose name makes its rows' keys too long is refused; others are
/// served.
#[tokio::test(flavor = "multi_thread")]
async fn long_customer_name() {
    let engine = Runner::start("i-e").await;
    let runners = [("engine", &engine)];
    let mut config = config(1, LARGE_BUDGET);
    config["tenants"] = json!([
        { "name": "a".repeat(300), "apiKeys": ["long"], "prepaid": LARGE_BUDGET },
        { "name": CUSTOMER, "apiKeys": [KEY], "prepaid": LARGE_BUDGET },
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
            "the customer's rows cannot be written"
        );
    }
    assert_eq!(stream(front, "c", KEY).await, 200);
}
