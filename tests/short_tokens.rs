//! Requests for tokens that neither the store nor another router can provide are refused as soon as that is known, not
//! only when the maximum wait is over.

mod deployment;

use deployment::runner::Runner;
use deployment::store::Fault;
use deployment::{Ask, Deployment, ask, config};
use serde_json::Value;

const PREPAID_TOKENS: u64 = 1_000_000;
const TOKENS_BEYOND_GRANT: u64 = 600_000;

/// A configuration in which the maximum wait for tokens is longer than any caller's time limit.
fn config_with_long_wait() -> Value {
    let mut config = config(1, PREPAID_TOKENS);
    for route in config["routes"].as_array_mut().unwrap() {
        route["goalMs"] = 1_000_000.into();
    }
    config
}

#[tokio::test(flavor = "multi_thread")]
async fn all_asked() {
    let engine = Runner::start("i-e").await;
    let deployment = Deployment::start(2, &config_with_long_wait(), &[("engine", &engine)]).await;
    deployment.wait_for_members().await;
    for gateway in &deployment.gateways {
        deployment.store.set_fault(gateway.store, Fault::NoGrants);
    }
    for number in 0..5 {
        let request = Ask::talk(&format!("r{number}"), "/talk/x", TOKENS_BEYOND_GRANT, 50);
        let answer = ask(deployment.gateways[0].front, &request).await;
        assert_eq!(answer.status, 503);
        assert!(answer.body.contains("budget_short"), "{}", answer.body);
        assert!(!answer.header("retry-after").is_empty());
    }
    assert_eq!(engine.runs(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_at_once() {
    let engine = Runner::start("i-e").await;
    let deployment = Deployment::start(2, &config_with_long_wait(), &[("engine", &engine)]).await;
    deployment.wait_for_members().await;
    for gateway in &deployment.gateways {
        deployment.store.set_fault(gateway.store, Fault::NoGrants);
    }
    let front = deployment.gateways[0].front;
    let asked = (0..40).map(|number| {
        let request = Ask::talk(&format!("r{number}"), "/talk/x", TOKENS_BEYOND_GRANT, 50);
        tokio::spawn(async move {
            // Each arrives while the router still asks for the tokens of the others.
            tokio::time::sleep(std::time::Duration::from_millis(number)).await;
            ask(front, &request).await
        })
    });
    let asked: Vec<_> = asked.collect();
    for asked in asked {
        let answer = asked.await.unwrap();
        assert!(answer.body.contains("budget_short"), "{}", answer.body);
    }
}
