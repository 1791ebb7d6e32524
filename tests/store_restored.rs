//! The store is restored from a copy that is some seconds old: what was written since is gone, and offsets are reused.

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

const AMPLE_BUDGET: u64 = 200_000;
const PROMPT: u64 = 100;
/// Cost of one stream.
const STREAM_COST: u64 = PROMPT + EVENTS as u64;
/// A budget that is used up within a test.
const PREPAID: u64 = 20_000;
/// Callers that send streams concurrently.
const CALLERS: usize = 8;
/// Longer than the interval at which routers renew their grants.
const RENEWAL: Duration = Duration::from_millis(1_500);
/// Required maximum time from a change of the configuration to its effect.
const IN_FORCE_MAX: Duration = Duration::from_secs(3);

/// The configuration with an additional route.
fn with_route(version: u64, prefix: &str) -> Value {
    let mut config = config(version, AMPLE_BUDGET);
    let mut route = config["routes"][1].clone();
    route["name"] = json!(prefix);
    route["pathPrefix"] = json!(prefix);
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

async fn status(gateway: &Gateway, path: &str) -> Option<u16> {
    status_of(gateway.front, path).await
}

/// Sends a stream; returns whether it was served.
async fn stream(front: SocketAddr) -> bool {
    let id = format!("s{}", rand::random::<u64>());
    let request = Ask::talk(&id, "/talk/x", PROMPT, 50);
    let answer = try_ask(front, &request).await;
    answer.is_some_and(|answer| answer.status == 200)
}

/// Sends streams for a time span, several concurrently.
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

/// The gateways that do not answer a path with the wanted status within [`IN_FORCE_MAX`] from `begun`.
async fn late(deployment: &Deployment, begun: Instant, path: &str, wanted: u16) -> Vec<String> {
    let mut late = Vec::new();
    for gateway in &deployment.gateways {
        while status(gateway, path).await != Some(wanted) {
            if begun.elapsed() > IN_FORCE_MAX {
                late.push(gateway.name.clone());
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
    late
}

/// Guards against a router that stops following configurations after its own row was reset below what it has spent.
#[tokio::test(flavor = "multi_thread")]
async fn own_row_back() {
    let (app, engine) = (Runner::start("i-app").await, Runner::start("i-e").await);
    let runners = [("app", &app), ("engine", &engine)];
    let flags = ["--partitions", "1", "--horizon", "16000", "--spread", "0"];
    let deployment = Deployment::start_with(1, &config(1, AMPLE_BUDGET), &runners, &flags).await;
    let gateway = &deployment.gateways[0];
    until(|| stream(gateway.front)).await;
    // Some streams are in progress at any time.
    engine.set(Mode::Slow(100));
    let copy = deployment.store.snapshot();
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

/// Guards against skipping a change whose offset had been used before the restore.
#[tokio::test(flavor = "multi_thread")]
async fn offset_given_again() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(3, &config(1, AMPLE_BUDGET), &[("app", &app)]).await;
    let copy = deployment.store.snapshot();
    deployment
        .store
        .put("keyed.op", "config", Some(&with_route(2, "/new/")));
    for gateway in &deployment.gateways {
        until(|| async { status(gateway, "/new/x").await == Some(200) }).await;
    }
    deployment.store.restore(&copy);
    let begun = Instant::now();
    deployment.store.put(
        "keyed.op",
        "config",
        Some(&config_without_key(3, AMPLE_BUDGET)),
    );
    let late = late(&deployment, begun, "/often/x", 401).await;
    assert!(
        late.is_empty(),
        "{late:?} still serve a key that was removed"
    );
}

/// Spends what can be spent, at each gateway in turn.
async fn spend(deployment: &Deployment, tries: usize) {
    for number in 0..tries {
        let gateway = &deployment.gateways[number % deployment.gateways.len()];
        stream(gateway.front).await;
    }
}

/// Which routers are killed while the store is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    /// None.
    None,
    /// One is killed and restarted.
    One,
    /// All are killed and restarted.
    All,
}

/// Spends a part of a budget, restores the store from a copy made before that, and spends all that is left; returns the
/// total spent.
async fn spent_across_restore(kill: Killed) -> u64 {
    let engine = Runner::start("i-e").await;
    let runners = [("engine", &engine)];
    let flags = ["--partitions", "1", "--copy-age", "4000"];
    let mut deployment = Deployment::start_with(3, &config(1, PREPAID), &runners, &flags).await;
    deployment.wait_for_members().await;
    // Tokens of the first rows can be spent once every copy has those rows.
    until(|| stream(deployment.gateways[0].front)).await;
    spend(&deployment, 15).await;
    let copy = deployment.store.snapshot();
    for _ in 0..90 {
        stream(deployment.gateways[0].front).await;
    }
    for gateway in &deployment.gateways {
        deployment.store.set_fault(gateway.store, Fault::Silent);
    }
    let killed = match kill {
        Killed::None => 0,
        Killed::One => 1,
        Killed::All => deployment.gateways.len(),
    };
    for gateway in &mut deployment.gateways[..killed] {
        gateway.kill();
        gateway.restart();
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
        kill != Killed::None || engine.runs() > before,
        "what is left can be spent"
    );
    engine.runs() as u64 * STREAM_COST
}

/// Guards against granting surviving routers again what others of them have spent since the copy.
#[tokio::test(flavor = "multi_thread")]
async fn budget_of_surviving_routers() {
    let spent = spent_across_restore(Killed::None).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}

/// Guards against granting a killed router again what it had spent since the copy.
#[tokio::test(flavor = "multi_thread")]
async fn budget_of_one_killed() {
    let spent = spent_across_restore(Killed::One).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}

/// Guards against granting tokens again that were spent since the copy when no surviving process knows of it.
#[tokio::test(flavor = "multi_thread")]
async fn budget_of_all_killed() {
    let spent = spent_across_restore(Killed::All).await;
    assert!(spent <= PREPAID, "{spent} of {PREPAID}");
}

/// The number of requests that reach a runner while each gateway is sent requests for a time span.
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

/// Sends requests to each gateway until they reach a runner.
async fn until_used(deployment: &Deployment, runner: &Runner) {
    for gateway in &deployment.gateways {
        until_reached(gateway.front, runner).await;
    }
}

/// Longer than any router takes to read the newest records again.
const READ_ANEW: Duration = Duration::from_millis(1_200);
/// Time within which other routers write again what the copy lacks.
const WRITTEN_AGAIN: Duration = Duration::from_millis(500);

async fn two_runners() -> (Deployment, Runner, Runner) {
    let (first, second) = (Runner::start("i-1").await, Runner::start("i-2").await);
    let runners = [("app", &first), ("app", &second)];
    let deployment = Deployment::start(3, &config(1, AMPLE_BUDGET), &runners).await;
    until_used(&deployment, &first).await;
    until_used(&deployment, &second).await;
    (deployment, first, second)
}

/// Guards against using a target again that was known to be leaving, because the copy lists it as ready.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_ready_in_copy() {
    let (deployment, leaving, other) = two_runners().await;
    let copy = deployment.store.snapshot();
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

/// Guards against using a target again whose entry had been removed, because the copy still has the entry.
#[tokio::test(flavor = "multi_thread")]
async fn gone_target_in_copy() {
    let (deployment, gone, other) = two_runners().await;
    let copy = deployment.store.snapshot();
    deployment
        .store
        .put("keyed.servers", &gone.instance(), None);
    sleep(READ_ANEW).await;
    deployment.store.restore(&copy);
    assert_eq!(arrivals_meanwhile(&deployment, &gone, READ_ANEW).await, 0);
    assert!(arrivals_meanwhile(&deployment, &other, WRITTEN_AGAIN).await > 0);
    // The target is alive after all, and lists itself again.
    list(&deployment.store, "app", &gone, "ready");
    until_used(&deployment, &gone).await;
}

/// A target that the copy lacks stays in use if there is no other.
#[tokio::test(flavor = "multi_thread")]
async fn target_copy_lacks() {
    let deployment = Deployment::start(3, &config(1, AMPLE_BUDGET), &[]).await;
    let copy = deployment.store.snapshot();
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

/// Guards against using the targets of an evacuated hall after a restore, before operators have written the evacuation
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_hall_not_in_copy() {
    let (deployment, first, second) = two_runners().await;
    let copy = deployment.store.snapshot();
    let evacuate = || {
        let state = json!({});
        deployment
            .store
            .put("keyed.op", "evacuate/hall", Some(&state));
    };
    evacuate();
    sleep(READ_ANEW).await;
    deployment.store.restore(&copy);
    for runner in [&first, &second] {
        assert_eq!(
            arrivals_meanwhile(&deployment, runner, WRITTEN_AGAIN).await,
            0
        );
    }
    evacuate();
    sleep(READ_ANEW).await;
    deployment.store.put("keyed.op", "evacuate/hall", None);
    until_used(&deployment, &first).await;
}
