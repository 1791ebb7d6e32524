//! What a stop still leaves open: suspicions of a cold review, each shown by a test. Nothing is mended
//! here.

mod deployment;

use std::net::SocketAddr;

use deployment::runner::Runner;
use deployment::store::Fault;
use deployment::{Answer, Ask, Deployment, config, try_ask, until};

const PLENTY: u64 = 1_000_000;
/// A stop gives up what is under way 0.85 s after the signal.
const SHORT: [&str; 4] = ["--keep", "200", "--grace", "2000"];

/// A counter of a gateway.
async fn counter(metrics: SocketAddr, name: &str) -> u64 {
    let Some(answer) = try_ask(metrics, &Ask::get("/metrics")).await else {
        return 0;
    };
    let line = format!("lanedeck_{name}_total ");
    let mut values = answer
        .body
        .lines()
        .filter_map(|text| text.strip_prefix(&line));
    values.next().map_or(0, |value| value.parse().unwrap())
}

async fn wait_end(deployment: &mut Deployment) {
    until(|| {
        let ended = deployment.gateways[0].has_ended();
        async move { ended }
    })
    .await;
}

fn is_final(answer: Option<&Answer>) -> bool {
    answer.is_some_and(|answer| answer.is_whole)
}

/// A request that waits for tokens is not given up at the end of a stop: `Exchange::begin` waits a fifth
/// of the route's latency objective, whatever the deadline and the stop say.
#[tokio::test(flavor = "multi_thread")]
async fn stop_amid_grant() {
    let engine = Runner::start("i-e").await;
    let mut slow = config(1, PLENTY);
    for route in slow["routes"].as_array_mut().unwrap() {
        route["goalMs"] = 20_000.into();
    }
    let runners = [("engine", &engine)];
    let mut deployment = Deployment::start_with(1, &slow, &runners, &SHORT).await;
    let gateway = &deployment.gateways[0];
    let (front, metrics) = (gateway.front, gateway.metrics);
    deployment.store.set_fault(gateway.store, Fault::NoGrants);
    let request = Ask::talk("w", "/talk/x", 600_000, 50);
    let asked = tokio::spawn(async move { try_ask(front, &request).await });
    until(|| async { counter(metrics, "requests").await > 0 }).await;
    deployment.gateways[0].signal("TERM");
    let answer = asked.await.unwrap();
    wait_end(&mut deployment).await;
    assert!(
        is_final(answer.as_ref()),
        "a whole request that waits for tokens ends without an answer"
    );
}
