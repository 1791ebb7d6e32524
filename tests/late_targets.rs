//! Targets that are listed long after the routers have started.

mod deployment;

use std::time::Duration;

use deployment::runner::Runner;
use deployment::turns::LARGE_BUDGET;
use deployment::{Deployment, config, list, until_reached};
use tokio::time::sleep;

const GATEWAYS: usize = 2;
/// Longer than routers ask others at their start.
const LISTED_AFTER: Duration = Duration::from_secs(11);

/// Guards against routers that ask others for limits only before they know any target, and hold the first requests in vain.
#[tokio::test(flavor = "multi_thread")]
async fn limits_asked_too_early() {
    let app = Runner::start("i-app").await;
    let mut deployment = Deployment::start(0, &config(1, LARGE_BUDGET), &[]).await;
    let log_of = |name: &str| {
        let file = format!("late-targets-{name}-{}.log", std::process::id());
        std::env::temp_dir().join(file)
    };
    for number in 0..GATEWAYS {
        let name = format!("g{number}");
        deployment.add_logged(&name, &[], Some(log_of(&name))).await;
    }
    sleep(LISTED_AFTER).await;
    list(&deployment.store, "app", &app, "ready");
    for gateway in &deployment.gateways {
        until_reached(gateway.front, &app).await;
        let log = std::fs::read_to_string(log_of(&gateway.name)).unwrap();
        assert!(!log.contains("event=limits_unknown"), "{log}");
        std::fs::remove_file(log_of(&gateway.name)).unwrap();
    }
}
