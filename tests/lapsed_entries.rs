//! Targets whose entries expire during an outage of the store, in which they cannot renew them.

mod deployment;

use deployment::runner::Runner;
use deployment::store::Fault;
use deployment::{Ask, Deployment, ask, config, list, until};

const LARGE_BUDGET: u64 = 1_000_000;
const TARGETS: &str = "keyed.servers";

/// Starts a gateway with one target whose entry expired in an outage of the store that has just ended.
async fn after_an_outage(app: &Runner) -> Deployment {
    let deployment = Deployment::start(1, &config(1, LARGE_BUDGET), &[("app", app)]).await;
    let store = deployment.gateways[0].store;
    deployment.store.set_fault(store, Fault::Unavailable);
    until(|| async { deployment.store.has_answered_503(store, TARGETS) }).await;
    deployment.store.put(TARGETS, &app.instance(), None);
    deployment.store.set_fault(store, Fault::None);
    deployment
}

async fn status(deployment: &Deployment, id: &str) -> u16 {
    let request = Ask::new(id, "/often/x");
    ask(deployment.gateways[0].front, &request).await.status
}

#[tokio::test(flavor = "multi_thread")]
async fn relisted_in_time() {
    let app = Runner::start("i-app").await;
    let deployment = after_an_outage(&app).await;
    // The target stays in use after the next read of the list; then it is listed again, and stays in use.
    for number in 0..6 {
        assert_eq!(status(&deployment, &format!("missing{number}")).await, 200);
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    list(&deployment.store, "app", &app, "ready");
    for number in 0..30 {
        assert_eq!(status(&deployment, &format!("back{number}")).await, 200);
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn still_missing() {
    let app = Runner::start("i-app").await;
    let deployment = after_an_outage(&app).await;
    until(|| async { status(&deployment, "missing").await == 503 }).await;
    let runs = app.runs();
    for number in 0..5 {
        assert_eq!(status(&deployment, &format!("gone{number}")).await, 503);
    }
    assert_eq!(app.runs(), runs, "the target gets no further requests");
}
