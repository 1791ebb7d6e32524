//! The store comes back from a copy that is some seconds old: what was written since is gone, and offsets are given
//! out again.

mod deployment;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::runner::{EVENTS, Mode, Runner};
use deployment::store::Fault;
use deployment::{
    Ask, Deployment, Gateway, config, config_without_key, list, status_of, try_ask, until,
    until_reached,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

const PLENTY: u64 = 200_000;
const PROMPT: u64 = 100;
/// What one stream costs.
const EACH: u64 = PROMPT + EVENTS as u64;
/// A budget that is used up within a test.
const PREPAID: u64 = 20_000;
/// Callers that send streams at once.
const CALLERS: usize = 8;
/// Longer than the interval at which routers renew their grants.
const RENEWAL: Duration = Duration::from_millis(1_500);
/// Users' bound from a change of the configuration to its effect.
const IN_FORCE: Duration = Duration::from_secs(3);

/// The configuration with a route that others do not have.
fn with_route(version: u64, prefix: &str) -> Value {
    let mut config = config(version, PLENTY);
    let mut route = config["routes"][1].clone();
    route["name"] = json!(prefix);
    route["pathPrefix"] = json!(prefix);
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

async fn status(gateway: &Gateway, path: &str) -> Option<u16> {
    status_of(gateway.front, path).await
}

/// Sends a stream; whether it was served.
async fn stream(front: SocketAddr) -> bool {
    let id = format!("s{}", rand::random::<u64>());
    let request = Ask::talk(&id, "/talk/x", PROMPT, 50);
    let answer = try_ask(front, &request).await;
    answer.is_some_and(|answer| answer.status == 200)
}

/// Sends streams for a while, some at once.
async fn load(gateway: &Gateway, span: Duration) {
    let (front, end) = (gateway.front, Instant::now() + span);
    let caller = || async move {
        while Instant::now() < end {
            stream(front).await;
            sleep(Duration::from_millis(10)).await;
        }
    };
    futures::future::join_all((0..CALLERS).map(|_| caller())).await;
}

/// Whether every gateway answers a path with a status within the users' bound from `begun`.
async fn late(deployment: &Deployment, begun: Instant, path: &str, wanted: u16) -> Vec<String> {
    let mut late = Vec::new();
    for gateway in &deployment.gateways {
        while status(gateway, path).await != Some(wanted) {
            if begun.elapsed() > IN_FORCE {
                late.push(gateway.name.clone());
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
    late
}

/// A router whose own row went back below what it has spent stopped following configurations.
#[tokio::test(flavor = "multi_thread")]
async fn own_row_back() {
    let (app, engine) = (Runner::start("i-app").await, Runner::start("i-e").await);
    let runners = [("app", &app), ("engine", &engine)];
    let flags = ["--partitions", "1", "--horizon", "16000", "--spread", "0"];
    let deployment = Deployment::start_with(1, &config(1, PLENTY), &runners, &flags).await;
    let gateway = &deployment.gateways[0];
    until(|| stream(gateway.front)).await;
    // Some streams are under way at any time.
    engine.set(Mode::Slow(100));
    let copy = deployment.store.copy();
    load(gateway, RENEWAL).await;
    deployment.store.set_fault(gateway.store, Fault::LostGrants);
    let restored = async {
        sleep(RENEWAL).await;
        deployment.store.restore(&copy);
        deployment.store.set_fault(gateway.store, Fault::None);
    };
    tokio::join!(load(gateway, RENEWAL * 2), restored);
    let begun = Instant::now();
    deployment
        .store
        .put("keyed.op", "config", Some(&with_route(2, "/new/")));
    assert!(
        late(&deployment, begun, "/new/x", 200).await.is_empty(),
        "the new route is not served"
    );
}

/// A change whose offset had been given out before was passed over.
#[tokio::test(flavor = "multi_thread")]
async fn offset_given_again() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(3, &config(1, PLENTY), &[("app", &app)]).await;
    let copy = deployment.store.copy();
    deployment
        .store
        .put("keyed.op", "config", Some(&with_route(2, "/new/")));
    for gateway in &deployment.gateways {
        until(|| async { status(gateway, "/new/x").await == Some(200) }).await;
    }
    deployment.store.restore(&copy);
    let begun = Instant::now();
    deployment
        .store
        .put("keyed.op", "config", Some(&config_without_key(3, PLENTY)));
    let late = late(&deployment, begun, "/often/x", 401).await;
    assert!(
        late.is_empty(),
        "{late:?} still serve a key that was taken away"
    );
}

/// Spends what can be spent, at all gateways in turn.
async fn spend(deployment: &Deployment, tries: usize) {
    for number in 0..tries {
        let gateway = &deployment.gateways[number % deployment.gateways.len()];
        stream(gateway.front).await;
    }
}

/// How the routers fare while the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// All live.
    Live,
    /// One is killed and started again.
    OneKilled,
    /// All are.
    AllKilled,
}

/// Spends a part of a budget, has the store come back from a copy of before that, and spends all that is left; what
/// was spent in all.
async fn spent_over_return(fate: Fate) -> u64 {
    let engine = Runner::start("i-e").await;
    let runners = [("engine", &engine)];
    let flags = ["--partitions", "1", "--copy-age", "4000"];
    let mut deployment = Deployment::start_with(3, &config(1, PREPAID), &runners, &flags).await;
    deployment.wait_acquainted().await;
    // The first rows are spent from once no copy can lack them.
    until(|| stream(deployment.gateways[0].front)).await;
    spend(&deployment, 15).await;
    let copy = deployment.store.copy();
    for _ in 0..90 {
        stream(deployment.gateways[0].front).await;
    }
    for gateway in &deployment.gateways {
        deployment.store.set_fault(gateway.store, Fault::Silent);
    }
    let killed = match fate {
        Fate::Live => 0,
        Fate::OneKilled => 1,
        Fate::AllKilled => deployment.gateways.len(),
    };
    for gateway in &mut deployment.gateways[..killed] {
        gateway.kill();
        gateway.start_again();
    }
    deployment.store.restore(&copy);
    for gateway in &deployment.gateways {
        deployment.store.set_fault(gateway.store, Fault::None);
    }
    deployment.wait_ready().await;
    let before = engine.runs();
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end {
        for gateway in deployment.gateways.iter().rev() {
            for _ in 0..30 {
                stream(gateway.front).await;
            }
        }
    }
    assert!(
        fate != Fate::Live || engine.runs() > before,
        "what is left can be spent"
    );
    engine.runs() as u64 * EACH
}

/// Routers that live were granted again what others of them had spent since the copy.
#[tokio::test(flavor = "multi_thread")]
async fn budget_of_the_living() {
    let spent = spent_over_return(Fate::Live).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}

/// A router that was killed was granted again what it had spent since the copy.
#[tokio::test(flavor = "multi_thread")]
async fn budget_of_one_killed() {
    let spent = spent_over_return(Fate::OneKilled).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}

/// What was spent since the copy was known to nobody.
#[tokio::test(flavor = "multi_thread")]
async fn budget_of_all_killed() {
    let spent = spent_over_return(Fate::AllKilled).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}

/// Requests that reached a runner while these gateways were asked for a while.
async fn arrivals_meanwhile(deployment: &Deployment, runner: &Runner, span: Duration) -> usize {
    let before = runner.arrivals().len();
    let end = Instant::now() + span;
    while Instant::now() < end {
        for gateway in &deployment.gateways {
            status(gateway, "/often/x").await;
        }
    }
    runner.arrivals().len() - before
}

/// Asks each gateway until its requests reach a runner.
async fn until_used(deployment: &Deployment, runner: &Runner) {
    for gateway in &deployment.gateways {
        until_reached(gateway.front, runner).await;
    }
}

/// Longer than any router reads the newest records anew.
const READ_ANEW: Duration = Duration::from_millis(1_200);
/// Within which others write again what the copy lacks.
const WRITTEN_AGAIN: Duration = Duration::from_millis(500);

async fn two_runners() -> (Deployment, Runner, Runner) {
    let (first, second) = (Runner::start("i-1").await, Runner::start("i-2").await);
    let runners = [("app", &first), ("app", &second)];
    let deployment = Deployment::start(3, &config(1, PLENTY), &runners).await;
    until_used(&deployment, &first).await;
    until_used(&deployment, &second).await;
    (deployment, first, second)
}

/// A target that was known to leave was used again, since the copy has it ready.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_ready_in_copy() {
    let (deployment, leaving, other) = two_runners().await;
    let copy = deployment.store.copy();
    list(&deployment.store, "app", &leaving, "draining");
    sleep(READ_ANEW).await;
    deployment.store.restore(&copy);
    assert_eq!(
        arrivals_meanwhile(&deployment, &leaving, READ_ANEW).await,
        0
    );
    list(&deployment.store, "app", &leaving, "draining");
    assert_eq!(
        arrivals_meanwhile(&deployment, &leaving, READ_ANEW).await,
        0
    );
    assert!(arrivals_meanwhile(&deployment, &other, WRITTEN_AGAIN).await > 0);
}

/// A target whose entry had gone was used again, since the copy has it.
#[tokio::test(flavor = "multi_thread")]
async fn gone_target_in_copy() {
    let (deployment, gone, other) = two_runners().await;
    let copy = deployment.store.copy();
    deployment
        .store
        .put("keyed.servers", &gone.instance(), None);
    sleep(READ_ANEW).await;
    deployment.store.restore(&copy);
    assert_eq!(arrivals_meanwhile(&deployment, &gone, READ_ANEW).await, 0);
    assert!(arrivals_meanwhile(&deployment, &other, WRITTEN_AGAIN).await > 0);
    // It lives after all, and says so.
    list(&deployment.store, "app", &gone, "ready");
    until_used(&deployment, &gone).await;
}

/// A target that the copy lacks is used on, where there is no other.
#[tokio::test(flavor = "multi_thread")]
async fn target_copy_lacks() {
    let deployment = Deployment::start(3, &config(1, PLENTY), &[]).await;
    let copy = deployment.store.copy();
    let only = Runner::start("i-1").await;
    list(&deployment.store, "app", &only, "ready");
    until_used(&deployment, &only).await;
    deployment.store.restore(&copy);
    let end = Instant::now() + READ_ANEW;
    while Instant::now() < end {
        for gateway in &deployment.gateways {
            assert_eq!(status(gateway, "/often/x").await, Some(200));
        }
    }
    list(&deployment.store, "app", &only, "ready");
    until_used(&deployment, &only).await;
}

/// Targets of an emptied hall were used until operators had written it again.
#[tokio::test(flavor = "multi_thread")]
async fn emptied_hall_not_in_copy() {
    let (deployment, first, second) = two_runners().await;
    let copy = deployment.store.copy();
    let empty = || {
        let state = json!({});
        deployment
            .store
            .put("keyed.op", "evacuate/hall", Some(&state));
    };
    empty();
    sleep(READ_ANEW).await;
    deployment.store.restore(&copy);
    for runner in [&first, &second] {
        assert_eq!(
            arrivals_meanwhile(&deployment, runner, WRITTEN_AGAIN).await,
            0
        );
    }
    empty();
    sleep(READ_ANEW).await;
    deployment.store.put("keyed.op", "evacuate/hall", None);
    until_used(&deployment, &first).await;
}
