//! Requests whose tokens nobody can give are refused when that is known, and not when a wait is over.

mod deployment;

use deployment::runner::Runner;
use deployment::store::Fault;
use deployment::{Ask, Deployment, ask, config};
use serde_json::Value;

const PREPAID: u64 = 1_000_000;
const MORE_THAN_GRANTED: u64 = 600_000;

/// A configuration in which the wait for tokens is longer than any caller's time.
fn patient() -> Value {
    let mut patient = config(1, PREPAID);
    for route in patient["routes"].as_array_mut().unwrap() {
        route["goalMs"] = 1_000_000.into();
    }
    patient
}

#[tokio::test(flavor = "multi_thread")]
async fn all_asked() {
    let engine = Runner::start("i-e").await;
    let deployment = Deployment::start(2, &patient(), &[("engine", &engine)]).await;
    deployment.wait_acquainted().await;
    for gateway in &deployment.gateways {
        deployment.store.set_fault(gateway.store, Fault::NoGrants);
    }
    for number in 0..5 {
        let request = Ask::talk(&format!("r{number}"), "/talk/x", MORE_THAN_GRANTED, 50);
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
    let deployment = Deployment::start(2, &patient(), &[("engine", &engine)]).await;
    deployment.wait_acquainted().await;
    for gateway in &deployment.gateways {
        deployment.store.set_fault(gateway.store, Fault::NoGrants);
    }
    let front = deployment.gateways[0].front;
    let asked = (0..40).map(|number| {
        let request = Ask::talk(&format!("r{number}"), "/talk/x", MORE_THAN_GRANTED, 50);
        tokio::spawn(async move {
            // They come in the midst of each other's questions.
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
