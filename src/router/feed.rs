//! Inputs that a router polls for: the log service (in [`log_feed`]), the host list, and the targets' load reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::log_feed;
use super::shared::Shared;
use crate::router::client::{HostList, Log};
use crate::router::control::Input;
use crate::router::http::relay::Relay;

/// Delay between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay between two rounds of load reports from the targets with requests from this router.
const LOAD_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest wait for a target's load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts all polling tasks.
pub fn spawn<L: Log, H: HostList>(shared: &Arc<Shared>, log: L, hosts: H) {
    tokio::spawn(log_feed::follow(Arc::clone(shared), log));
    tokio::spawn(follow_hosts(Arc::clone(shared), hosts));
    tokio::spawn(follow_targets(Arc::clone(shared)));
}

async fn follow_hosts<H: HostList>(shared: Arc<Shared>, hosts: H) {
    loop {
        match hosts.list().await {
            Ok(listed) => {
                let listed = listed.into_iter().map(|host| (host.address, host.leaving));
                shared.tell(Input::Hosts(listed.collect()));
            }
            Err(error) => tracing::warn!(event = "host_list_failed", %error),
        }
        tokio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}

/// Polls the load of the targets to which this router has dispatched lately; the load of the others is not needed.
async fn follow_targets(shared: Arc<Shared>) {
    let relay = Relay::new(LOAD_TIMEOUT);
    let mut cursors: HashMap<SocketAddr, usize> = HashMap::new();
    loop {
        tokio::time::sleep(LOAD_INTERVAL).await;
        for address in shared.active_targets() {
            let from = cursors.get(&address).copied().unwrap_or(0);
            let Some(load) = relay.load(address, from).await else {
                continue;
            };
            cursors.insert(address, load.next);
            shared.tell(Input::Report {
                address,
                running: load.running,
            });
        }
    }
}
