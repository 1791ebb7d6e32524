//! A gateway's link through a lack of descriptors.

mod deployment;

use std::process::Command;
use std::time::Duration;

use deployment::{Deployment, config, until};
use lanedeck::gateway::message::{Reply, Request};
use lanedeck::units::Tokens;
use lanedeck::wire::{self, Missing};
use tokio::net::TcpStream;

const PLENTY: u64 = 1_000_000;

/// Sets how many files a process may have open.
fn limit_files(process: u32, count: usize) {
    let mut command = Command::new("prlimit");
    command.args(["--pid", &process.to_string(), &format!("--nofile={count}:")]);
    assert!(command.status().unwrap().success());
}

/// Other routers see a router that refuses their connections for the rest of its life, while callers are served.
/// The order of events: the process has no descriptor left for a moment; the link's accept fails; the link's
/// listener is dropped; descriptors are free again. The cause: `wire::serve` ends at the first error of an
/// accept, where `net::Server` pauses and goes on. As its task has ended, a stop has nothing to wait for at the
/// link, and questions in hand end with the process.
#[tokio::test(flavor = "multi_thread")]
async fn link_after_shortage() {
    const FREE: usize = 8;
    let mut deployment = Deployment::start_with(1, &config(1, PLENTY), &[], &[]).await;
    let gateway = deployment.gateways.remove(0);
    let folder = format!("/proc/{}/fd", gateway.id());
    let open = || std::fs::read_dir(&folder).unwrap().count();
    let before = open();
    limit_files(gateway.id(), before + FREE);
    let mut held = Vec::new();
    for _ in 0..4 * FREE {
        held.extend(TcpStream::connect(gateway.link).await);
    }
    // All that may be open is, so the next accept fails.
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(held);
    limit_files(gateway.id(), 10 * (before + FREE));
    until(|| gateway.is_ready()).await;
    let request = Request::Give {
        customer: deployment::CUSTOMER.to_owned(),
        tokens: Tokens(1),
    };
    let mut last: Result<Reply, Missing> = Err(Missing::Silent);
    for _ in 0..10 {
        last = wire::Client::new("lanedeck-fleet")
            .ask(gateway.link, &request)
            .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(matches!(last, Ok(Reply::Taken)), "{last:?}");
}
