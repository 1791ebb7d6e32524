//! Routers that lose their network path to all targets while callers, the store and other routers still reach them.

mod deployment;
mod routes;

use std::time::{Duration, Instant};

use deployment::turns::ask_in_turn;
use deployment::{Ask, status_of};
use routes::{Fleet, Partition};

const GATEWAYS: usize = 4;
/// Time after which a partition has to be known.
const KNOWN_BY: Duration = Duration::from_secs(3);
/// How long requests are sent after that.
const SEND_FOR: Duration = Duration::from_secs(4);
/// Time between two requests.
const GAP: Duration = Duration::from_millis(20);

fn once(number: usize) -> Ask {
    Ask::new(&format!("o{number}"), "/once/x").post(&format!("body {number}"))
}

fn often(number: usize) -> Ask {
    Ask::new(&format!("f{number}"), "/often/x")
}

fn talk(number: usize) -> Ask {
    Ask::talk(&format!("t{number}"), "/talk/x", 100, 50).post(&format!("talk {number}"))
}

fn resume(number: usize) -> Ask {
    Ask::talk(&format!("r{number}"), "/resume/x", 100, 50).post(&format!("resume {number}"))
}

/// Checks that the partitioned routers serve their callers as the others do once the partition has to be known.
async fn check_served(fleet: &Fleet, struck: usize, make: fn(usize) -> Ask) {
    let fronts = fleet.fronts();
    let (partitioned, others) = fronts.split_at(struck);
    let begin = Instant::now();
    // Callers go on while the partition is not known.
    ask_in_turn(partitioned.to_vec(), GAP, begin + KNOWN_BY, make).await;
    let end = Instant::now() + SEND_FOR;
    let at_others = tokio::spawn(ask_in_turn(others.to_vec(), GAP, end, make));
    let (asked, served) = ask_in_turn(partitioned.to_vec(), GAP, end, make).await;
    let (asked_others, served_others) = at_others.await.unwrap();
    println!("served {served} of {asked}, the others {served_others} of {asked_others}");
    assert!(served * 100 >= asked * 98, "served {served} of {asked}");
    assert!(
        served_others * 100 >= asked_others * 98,
        "others served {served_others} of {asked_others}"
    );
}

async fn check_partition(struck: usize, partition: Partition, make: fn(usize) -> Ask) {
    let fleet = Fleet::start(GATEWAYS, 3, 5).await;
    let warm = Instant::now() + Duration::from_secs(1);
    ask_in_turn(fleet.fronts(), GAP, warm, make).await;
    fleet.cut(struck, partition).await;
    check_served(&fleet, struck, make).await;
    fleet.heal(struck).await;
    check_served(&fleet, struck, make).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_once() {
    check_partition(1, Partition::Silent, once).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_often() {
    check_partition(3, Partition::Silent, often).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_stream() {
    check_partition(3, Partition::Silent, talk).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_resumed() {
    check_partition(1, Partition::Silent, resume).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_once() {
    check_partition(3, Partition::Reset, once).await;
}

/// Pooled connections go on, but there are not enough of them.
#[tokio::test(flavor = "multi_thread")]
async fn refused_stream() {
    check_partition(1, Partition::Refused, |number| {
        talk(number).with("x-work", "0,0,10,100")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_start() {
    let mut fleet = Fleet::start(2, 3, 5).await;
    fleet.add_gateway(Some(Partition::Silent)).await;
    fleet.deployment.wait_ready().await;
    fleet.deployment.gateways.rotate_right(1);
    check_served(&fleet, 1, once).await;
}

/// Where no router has a path, callers are told at once that their requests have not run.
#[tokio::test(flavor = "multi_thread")]
async fn all_partitioned() {
    let fleet = Fleet::start(2, 3, 5).await;
    fleet.cut(2, Partition::Silent).await;
    let fronts = fleet.fronts();
    let begin = Instant::now();
    ask_in_turn(fronts.clone(), GAP, begin + KNOWN_BY, once).await;
    for front in fronts {
        let begin = Instant::now();
        assert_eq!(status_of(front, "/once/x").await, Some(503));
        let took = begin.elapsed();
        assert!(took < Duration::from_millis(200), "refused after {took:?}");
    }
}
