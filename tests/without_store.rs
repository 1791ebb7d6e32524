//! What does not need the platform's store goes on without it, and what was known before holds.

mod deployment;

use deployment::runner::{EVENTS, Mode, Runner};
use deployment::store::Fault;
use deployment::{Ask, Deployment, ask, config, list, until};

const PLENTY: u64 = 1_000_000;
const TARGETS: &str = "keyed.servers";

#[tokio::test(flavor = "multi_thread")]
async fn plain_requests() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(1, &config(1, PLENTY), &[("app", &app)]).await;
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

/// A target that says that it leaves stays left out when the store is away from then on.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_before_an_outage() {
    let leaving = Runner::start("i-leaving").await;
    let staying = Runner::start("i-staying").await;
    let runners = [("app", &leaving), ("app", &staying)];
    let deployment = Deployment::start(1, &config(1, PLENTY), &runners).await;
    let gateway = &deployment.gateways[0];
    list(&deployment.store, "app", &leaving, "draining");
    let asked = |id: String| async move { ask(gateway.front, &Ask::new(&id, "/often/x")).await };
    let mut number = 0;
    until(|| {
        let runs = leaving.runs();
        let first = number;
        number += 40;
        let leaving = &leaving;
        async move {
            for number in first..first + 40 {
                asked(format!("before{number}")).await;
            }
            leaving.runs() == runs
        }
    })
    .await;
    deployment
        .store
        .set_fault(gateway.store, Fault::Unavailable);
    until(|| async { deployment.store.has_turned_away(gateway.store, TARGETS) }).await;
    let runs = leaving.runs();
    for number in 0..40 {
        let answer = asked(format!("during{number}")).await;
        assert_eq!(answer.status, 200);
    }
    deployment.store.set_fault(gateway.store, Fault::None);
    for number in 0..40 {
        asked(format!("after{number}")).await;
        tokio::time::sleep(std::time::Duration::from_millis(25)).await;
    }
    assert_eq!(
        leaving.runs(),
        runs,
        "it gets nothing in the outage nor after it"
    );
}

/// A target that leaves without saying so serves on: what runs there is not cut off.
#[tokio::test(flavor = "multi_thread")]
async fn gone_amid_stream() {
    let engine = Runner::start("i-e").await;
    engine.set(Mode::Slow(400));
    let deployment = Deployment::start(1, &config(1, PLENTY), &[("engine", &engine)]).await;
    let front = deployment.gateways[0].front;
    let asked = tokio::spawn(async move { ask(front, &Ask::talk("s", "/talk/x", 100, 50)).await });
    until(|| async { engine.runs() > 0 }).await;
    deployment.store.put(TARGETS, &engine.instance(), None);
    until(|| async {
        let answer = ask(front, &Ask::talk("n", "/talk/x", 100, 50)).await;
        answer.status == 503
    })
    .await;
    let answer = asked.await.unwrap();
    assert!(answer.is_whole);
    assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<_>>());
}
