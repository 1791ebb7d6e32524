//! Evacuated halls: no requests are sent there until the operators take the halls back, even by gateways that learn of
//! it only from other routers.

mod deployment;
mod listed;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use deployment::runner::Runner;
use deployment::store::{Fault, Store};
use deployment::{Ask, Deployment, ask, config, status_of, until_reached};
use lanedeck::gateway::dialect::Listing;
use lanedeck::gateway::evacuation::{Order, View};
use lanedeck::gateway::key::TargetKey;
use lanedeck::gateway::targets::Targets;
use lanedeck::store::{Era, Place};
use lanedeck::units::Millis;
use serde_json::json;

const NOW: Millis = Millis(1_000_000);
const LARGE_BUDGET: u64 = 1_000_000;
/// The required time from an operator's order to its effect, plus the delay that an unstable store adds.
const BOUND: Duration = Duration::from_millis(11_000);

fn halls(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn place(era: u64, offset: u64) -> Place {
    Place {
        era: Era(era),
        offset,
    }
}

fn targets() -> Targets {
    let mut targets = Targets::default();
    for (number, hall) in [(0, "east"), (1, "east"), (2, "west")] {
        targets.list(Listing {
            hall: hall.into(),
            ..listed::listing(number)
        });
    }
    targets
}

#[test]
fn no_candidates_there() {
    let mut targets = targets();
    targets.set_evacuated(NOW, &halls(&["east"]));
    assert_eq!(targets.candidates(NOW, "s", &[]), [TargetKey(2)]);
    assert!(!targets.is_evacuated("s"));
    // The first hall is taken back as the second is evacuated.
    targets.set_evacuated(NOW, &halls(&["west"]));
    assert_eq!(
        targets.candidates(NOW, "s", &[]),
        [TargetKey(0), TargetKey(1)]
    );
    targets.set_evacuated(NOW, &halls(&["east", "west", "nowhere"]));
    assert!(targets.candidates(NOW, "s", &[]).is_empty());
    assert!(targets.is_evacuated("s"));
    assert!(
        !targets.is_evacuated("another"),
        "a service without targets is not evacuated"
    );
}

#[test]
fn later_view_wins() {
    let mut view = View::default();
    view.set("east", Order::Evacuate);
    view.set("west", Order::Evacuate);
    view.set("east", Order::TakeBack);
    view.as_of = place(1, 4);
    assert_eq!(view.halls, halls(&["west"]));
    let earlier = View {
        as_of: place(1, 3),
        halls: halls(&["east"]),
    };
    assert!(earlier.is_older(&view));
    assert!(!view.is_older(&earlier));
    assert!(!view.is_older(&view), "views of the same offset are equal");
    let restored = View {
        as_of: place(2, 3),
        halls: halls(&["east"]),
    };
    assert!(
        view.is_older(&restored),
        "a later era of the store wins over a larger offset"
    );
}

/// Lists a runner of the service `app` in a hall.
fn list_in_hall(store: &Store, runner: &Runner, hall: &str) {
    let entry = json!({
        "service": "app", "address": runner.address, "zone": hall, "version": "v1",
        "slots": 64, "state": "ready", "coldLeftMs": 0, "sequence": 1,
    });
    store.put("keyed.servers", &runner.instance(), Some(&entry));
}

/// Starts two runners, in the halls east and west, and gateways that know both.
async fn start(gateways: usize) -> (Deployment, Runner, Runner) {
    let (east, west) = (Runner::start("i-east").await, Runner::start("i-west").await);
    let deployment = Deployment::start(gateways, &config(1, LARGE_BUDGET), &[]).await;
    list_in_hall(&deployment.store, &east, "east");
    list_in_hall(&deployment.store, &west, "west");
    deployment.wait_for_members().await;
    for gateway in &deployment.gateways {
        until_reached(gateway.front, &east).await;
        until_reached(gateway.front, &west).await;
    }
    (deployment, east, west)
}

async fn status(front: SocketAddr) -> Option<u16> {
    status_of(front, "/often/x").await
}

/// Sends requests to a gateway until twenty in a row do not reach a runner. Returns how many of those were served.
async fn until_not_reached(front: SocketAddr, runner: &Runner) -> usize {
    let begun = tokio::time::Instant::now();
    loop {
        let before = runner.arrivals().len();
        let mut served = 0;
        for _ in 0..20 {
            served += usize::from(status(front).await == Some(200));
        }
        if runner.arrivals().len() == before {
            return served;
        }
        assert!(begun.elapsed() < BOUND, "requests still reach the hall");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn emptied_and_taken_back() {
    let (deployment, east, _west) = start(2).await;
    let store = &deployment.store;
    store.put("keyed.op", "evacuate/east", Some(&json!({})));
    for gateway in &deployment.gateways {
        assert_eq!(
            until_not_reached(gateway.front, &east).await,
            20,
            "every request is served elsewhere"
        );
    }
    // The evacuation survives a new configuration, a compaction and an outage of the store.
    store.put("keyed.op", "config", Some(&config(2, LARGE_BUDGET)));
    store.compact("keyed.op");
    let front = deployment.gateways[0].front;
    assert_eq!(until_not_reached(front, &east).await, 20);
    store.set_fault(deployment.gateways[0].store, Fault::Unavailable);
    assert_eq!(until_not_reached(front, &east).await, 20);
    store.set_fault(deployment.gateways[0].store, Fault::None);
    store.put("keyed.op", "evacuate/east", None);
    for gateway in &deployment.gateways {
        until_reached(gateway.front, &east).await;
    }
}

/// A router that the store does not answer learns of an evacuation from other routers, both while it runs and when it
/// starts during the outage.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_learned_from_peers() {
    for fault in [Fault::Unavailable, Fault::Silent, Fault::Limited] {
        let (mut deployment, east, _west) = start(3).await;
        let cut = &deployment.gateways[0];
        deployment.store.set_fault(cut.store, fault);
        let store = &deployment.store;
        store.put("keyed.op", "evacuate/east", Some(&json!({})));
        assert_eq!(until_not_reached(cut.front, &east).await, 20);
        let restarted = &mut deployment.gateways[0];
        restarted.kill();
        restarted.restart();
        let front = restarted.front;
        let before = east.arrivals().len();
        tokio::time::sleep(Duration::from_millis(500)).await;
        for _ in 0..20 {
            status(front).await;
        }
        assert_eq!(
            east.arrivals().len(),
            before,
            "a restarted router sends nothing there either"
        );
    }
}

/// A record evacuates its hall whatever its value; a record whose key names no hall is ignored.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_records() {
    let (deployment, east, west) = start(1).await;
    let (store, front) = (&deployment.store, deployment.gateways[0].front);
    store.put_bytes("keyed.op", b"evacuate/", b"{}");
    store.put_bytes("keyed.op", b"evacuate", b"{}");
    store.put_bytes("keyed.op", b"\xff\xfe", b"{}");
    store.put_bytes("keyed.op", b"evacuate/east", b"\xff not json");
    assert_eq!(until_not_reached(front, &east).await, 20);
    until_reached(front, &west).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_halls_emptied() {
    let (deployment, east, west) = start(1).await;
    let (store, front) = (&deployment.store, deployment.gateways[0].front);
    store.put("keyed.op", "evacuate/east", Some(&json!({})));
    store.put("keyed.op", "evacuate/west", Some(&json!({})));
    until_not_reached(front, &east).await;
    until_not_reached(front, &west).await;
    let answer = ask(front, &Ask::new("last", "/often/x")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("halls_evacuated"), "{}", answer.body);
    let wait: f64 = answer.header("retry-after").parse().unwrap();
    assert!(wait >= 1.0, "operators need some time to take a hall back");
    store.put("keyed.op", "evacuate/west", None);
    until_reached(front, &west).await;
}
