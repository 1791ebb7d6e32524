//! Hosts that sleep for seconds: the monotonic clock that timers use stops meanwhile, while all other hosts continue.
//!
//! Stopping a process by a signal does not reproduce this, since both clocks continue. These tests pass the time
//! explicitly instead.

mod deployment;

use std::time::Duration;

use deployment::{Ask, LONG, ask_on, until};
use lanedeck::boot_clock;
use lanedeck::gateway::deadline::Deadline;
use lanedeck::gateway::decision::retry::{Bound, Budget};
use lanedeck::net::{self, Pool};
use lanedeck::units::Millis;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const SLEEP: Millis = Millis(4_000);

#[tokio::test]
async fn deadline_counts_sleep() {
    let at = Instant::now() + Duration::from_secs(6);
    let deadline = Deadline::new(at, CancellationToken::new());
    assert!(deadline.left() > Duration::from_secs(5));
    let left = deadline.left_at(boot_clock::now() + SLEEP);
    assert!(
        left <= Duration::from_secs(2),
        "no target may get more time than the caller waits: {left:?}"
    );
    let left = deadline.left_at(boot_clock::now() + SLEEP + SLEEP);
    assert!(left.is_zero());
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_end() {
    let runner = deployment::runner::Runner::start("i-1").await;
    let pool = Pool::default();
    let request = Ask::new("r1", "/x");
    for (sleep, is_kept) in [(Millis::ZERO, true), (SLEEP, false)] {
        let mut connection = net::open(runner.address, LONG, LONG).await.unwrap();
        assert_eq!(ask_on(&mut connection, &request).await.unwrap().status, 200);
        // The task of the connection must be scheduled once more to process the end of the answer.
        until(|| std::future::ready(connection.is_usable(boot_clock::now()))).await;
        pool.put(runner.address, connection, Duration::from_millis(3_000));
        let taken = pool.take_at(boot_clock::now() + sleep, runner.address);
        assert_eq!(taken.is_some(), is_kept, "after {sleep} ms of sleep");
    }
}

#[test]
fn retry_windows_pass() {
    let bound = Bound {
        ratio: 0.0,
        window: Millis(3_000),
        extra: 2.0,
    };
    let mut budget = Budget::default();
    let now = boot_clock::now();
    assert!(budget.withdraw(now, &bound, 1));
    assert!(!budget.withdraw(now, &bound, 1));
    assert!(budget.withdraw(now + SLEEP, &bound, 1));
}
