//! A crashed target whose supervisor holds its port, behind routers that have sent it little or nothing yet.

mod deployment;

use std::time::{Duration, Instant};

use deployment::runner::{BACK_AFTER, Down};
use deployment::turns::{self, ask_in_turn};
use deployment::{Ask, until_reached};

const GATEWAYS: usize = 12;
const TARGETS: usize = 4;
/// Time between two requests.
const GAP: Duration = Duration::from_millis(10);
/// Requests that may fail at one crash: one that was running, and those sent until its end is known.
const FAILED_MAX: usize = 4;
const CRASHES: usize = 3;

fn post(number: usize) -> Ask {
    Ask::new(&format!("o{number}"), "/once/x").post("other")
}

/// Guards against routers that each lose requests at a closing port until their own failures eject the target.
#[tokio::test(flavor = "multi_thread")]
async fn learned_by_each_router_alone() {
    let (deployment, runners) = turns::start_fleet(GATEWAYS, TARGETS, "app").await;
    let fronts = turns::fronts(&deployment);
    for gateway in &deployment.gateways {
        for runner in &runners {
            until_reached(gateway.front, runner).await;
        }
    }
    for runner in runners.iter().take(CRASHES) {
        runner.set_down(Down::Open);
        runner.crash();
        let end = Instant::now() + BACK_AFTER;
        let (asked, served) = ask_in_turn(fronts.clone(), GAP, end, post).await;
        println!("{served} of {asked} served");
        assert!(asked - served <= FAILED_MAX, "{served} of {asked} served");
    }
}
