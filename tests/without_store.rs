//! Outages of the platform's store: requests that do not need it are served, and what was read before stays in force.

mod deployment;

use deployment::runner::{EVENTS, Mode, Runner};
use deployment::store::Fault;
use deployment::{Ask, Deployment, ask, config, list, until};

const LARGE_BUDGET: u64 = 1_000_000;
const TARGETS: &str = "keyed.servers";

#[tokio::test(flavor = "multi_thread")]
async fn plain_requests() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(1, &config(1, LARGE_BUDGET), &[("app", &app)]).await;
    let gateway = &deployment.gateways[0];
    for (number, fault) in [Fault::Silent, Fault::Unavailable, Fault::Limited]
        .into_iter()
        .enumerate()
    {
        deployment.store.set_fault(gateway.store, fault);
        for path in ["/once/x", "/often/x"] {
            for turn in 0..10 {
                let request = Ask::new(&format!("r{number}-{turn}{path}"), path);
                assert_eq!(ask(gateway.front, &request).await.status, 200, "{fault:?}");
            }
        }
    }
}

/// A target that was listed as draining gets no requests during a following outage of the store, nor after it.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_before_an_outage() {
    let leaving = Runner::start("i-leaving").await;
    let staying = Runner::start("i-staying").await;
    let runners = [("app", &leaving), ("app", &staying)];
    let deployment = Deployment::start(1, &config(1, LARGE_BUDGET), &runners).await;
    let gateway = &deployment.gateways[0];
    list(&deployment.store, "app", &leaving, "draining");
    let send = |id: String| async move { ask(gateway.front, &Ask::new(&id, "/often/x")).await };
    let mut number = 0;
    until(|| {
        let runs = leaving.runs();
        let first = number;
        number += 40;
        let leaving = &leaving;
        async move {
            for number in first..first + 40 {
                send(format!("before{number}")).await;
            }
            leaving.runs() == runs
        }
    })
    .await;
    deployment
        .store
        .set_fault(gateway.store, Fault::Unavailable);
    until(|| async { deployment.store.has_answered_503(gateway.store, TARGETS) }).await;
    let runs = leaving.runs();
    for number in 0..40 {
        let answer = send(format!("during{number}")).await;
        assert_eq!(answer.status, 200);
    }
    deployment.store.set_fault(gateway.store, Fault::None);
    for number in 0..40 {
        send(format!("after{number}")).await;
        tokio::time::sleep(std::time::Duration::from_millis(25)).await;
    }
    assert_eq!(
        leaving.runs(),
        runs,
        "the draining target gets no requests during or after the outage"
    );
}

/// A target that is removed without draining first: the requests that run on it are not cut off.
#[tokio::test(flavor = "multi_thread")]
async fn gone_amid_stream() {
    let engine = Runner::start("i-e").await;
    engine.set(Mode::Slow(400));
    let deployment = Deployment::start(1, &config(1, LARGE_BUDGET), &[("engine", &engine)]).await;
    let front = deployment.gateways[0].front;
    let pending =
        tokio::spawn(async move { ask(front, &Ask::talk("s", "/talk/x", 100, 50)).await });
    until(|| async { engine.runs() > 0 }).await;
    deployment.store.put(TARGETS, &engine.instance(), None);
    until(|| async {
        let answer = ask(front, &Ask::talk("n", "/talk/x", 100, 50)).await;
        answer.status == 503
    })
    .await;
    let answer = pending.await.unwrap();
    assert!(answer.is_whole);
    assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<_>>());
}
