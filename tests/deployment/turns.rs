//! Callers that send requests to all gateways in turn.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::runner::Runner;
use super::{Ask, Deployment, config, try_ask};

/// A prepaid budget that no test exhausts.
pub const LARGE_BUDGET: u64 = 1_000_000_000;
/// Request header with the index of the gateway that the request was sent to.
pub const GATEWAY_HEADER: &str = "x-gateway";

/// Starts runners of one service behind gateways that all know each other.
pub async fn start_fleet(
    gateways: usize,
    runners: usize,
    service: &str,
) -> (Deployment, Vec<Runner>) {
    let count = runners;
    let mut runners = Vec::new();
    for number in 0..count {
        runners.push(Runner::start(&format!("i-{number}")).await);
    }
    let mut deployment = Deployment::start(0, &config(1, LARGE_BUDGET), &[]).await;
    for runner in &runners {
        runner.list_in(&deployment.store, service);
    }
    for number in 0..gateways {
        deployment.add(&format!("g{number}"), &[]).await;
    }
    deployment.wait_ready().await;
    deployment.wait_for_members().await;
    (deployment, runners)
}

/// Addresses where the gateways accept callers.
pub fn fronts(deployment: &Deployment) -> Vec<SocketAddr> {
    let gateways = deployment.gateways.iter();
    gateways.map(|gateway| gateway.front).collect()
}

/// Sends the requests that `make` builds from a sequence number to the gateways in turn, one per `gap`. Returns the
/// number of requests and how many of them got a complete answer with status 200.
pub async fn ask_in_turn(
    fronts: Vec<SocketAddr>,
    gap: Duration,
    until: Instant,
    make: fn(usize) -> Ask,
) -> (usize, usize) {
    let mut asked = Vec::new();
    let mut next = Instant::now();
    while next < until {
        tokio::time::sleep_until(next.into()).await;
        next += gap;
        let at = asked.len() % fronts.len();
        let front = fronts[at];
        let request = make(asked.len()).with(GATEWAY_HEADER, &at.to_string());
        asked.push(tokio::spawn(async move { try_ask(front, &request).await }));
    }
    let count = asked.len();
    let mut served = 0;
    for answer in asked {
        let answer = answer.await.unwrap();
        served += usize::from(answer.is_some_and(|answer| answer.status == 200 && answer.is_whole));
    }
    (count, served)
}
