//! A gateway's link after a shortage of file descriptors.

mod deployment;

use std::process::Command;
use std::time::Duration;

use deployment::{Deployment, config, until};
use lanedeck::gateway::message::{Reply, Request};
use lanedeck::units::Tokens;
use lanedeck::wire::{self, NoReply};
use tokio::net::TcpStream;

const LARGE_BUDGET: u64 = 1_000_000;

/// Limits how many files a process may have open.
fn limit_files(process: u32, count: usize) {
    let mut command = Command::new("prlimit");
    command.args(["--pid", &process.to_string(), &format!("--nofile={count}:")]);
    assert!(command.status().unwrap().success());
}

/// Guards against a link whose listener is dropped at the first failed accept, when the process is out of file
/// descriptors for a moment. `wire::serve` has to pause and go on, as `net::Server` does. Otherwise other routers are
/// refused until the process ends while callers are still served, and a stop does not wait for pending requests on the
/// link, which are lost with the process.
#[tokio::test(flavor = "multi_thread")]
async fn link_after_shortage() {
    const FREE: usize = 8;
    let mut deployment = Deployment::start_with(1, &config(1, LARGE_BUDGET), &[], &[]).await;
    let gateway = deployment.gateways.remove(0);
    let folder = format!("/proc/{}/fd", gateway.id());
    let open = || std::fs::read_dir(&folder).unwrap().count();
    let before = open();
    limit_files(gateway.id(), before + FREE);
    let mut held = Vec::new();
    for _ in 0..4 * FREE {
        held.extend(TcpStream::connect(gateway.link).await);
    }
    // All descriptors are in use, so the next accept fails.
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(held);
    limit_files(gateway.id(), 10 * (before + FREE));
    until(|| gateway.is_ready()).await;
    let request = Request::Give {
        customer: deployment::CUSTOMER.to_owned(),
        tokens: Tokens(1),
    };
    let mut last: Result<Reply, NoReply> = Err(NoReply::TimedOut);
    for _ in 0..10 {
        last = wire::Client::new("lanedeck-fleet")
            .ask(gateway.link, &request)
            .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(matches!(last, Ok(Reply::Taken)), "{last:?}");
}
