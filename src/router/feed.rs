//! Inputs that a router polls for: the log service, the host list, and the targets' load reports.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::shared::Shared;
use crate::router::client::{Cursor, HostList, Log, Page};
use crate::router::control::Input;
use crate::router::http::relay::Relay;
use crate::router::key::Stream;
use crate::units::{Millis, Offset};

/// Longest time that a read waits for new records.
const READ_WAIT_MAX: Millis = Millis(5_000);
/// Delay before a failed read is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay between two rounds of load reports from the targets with requests from this router.
const LOAD_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest wait for a target's load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts all polling tasks.
pub fn spawn<L: Log, H: HostList>(shared: &Arc<Shared>, log: L, hosts: H) {
    tokio::spawn(follow_log(Arc::clone(shared), log));
    tokio::spawn(follow_hosts(Arc::clone(shared), hosts));
    tokio::spawn(follow_targets(Arc::clone(shared)));
}

async fn follow_log<L: Log>(shared: Arc<Shared>, log: L) {
    let mut next: BTreeMap<Stream, Offset> = Stream::all().map(|s| (s, Offset(1))).collect();
    catch_up(&shared, &log, &mut next).await;
    loop {
        match log.read(&cursors(&next), READ_WAIT_MAX).await {
            Ok(pages) => {
                shared.tell(Input::LogUp(true));
                for page in pages {
                    deliver(&shared, page, &mut next);
                }
            }
            Err(error) => retry(&shared, &error).await,
        }
    }
}

/// Reads every stream to its end before delivering anything: a follower behind the log's retention needs the newest
/// checkpoint together with the records after it.
async fn catch_up<L: Log>(shared: &Shared, log: &L, next: &mut BTreeMap<Stream, Offset>) {
    let mut read: BTreeMap<Stream, Page> = BTreeMap::new();
    loop {
        let pages = match log.read(&cursors(next), Millis::ZERO).await {
            Ok(pages) => pages,
            Err(error) => {
                retry(shared, &error).await;
                continue;
            }
        };
        if pages.is_empty() {
            break;
        }
        for page in pages {
            if let Some((last, _)) = page.batches.last() {
                next.insert(page.stream, *last + Offset(1));
            }
            match read.get_mut(&page.stream) {
                Some(known) => known.batches.extend(page.batches),
                None => {
                    read.insert(page.stream, page);
                }
            }
        }
    }
    shared.tell(Input::LogUp(true));
    for stream in Stream::all() {
        let page = read.remove(&stream).unwrap_or(Page {
            stream,
            first: Offset(1),
            batches: Vec::new(),
        });
        deliver(shared, page, next);
    }
}

fn cursors(next: &BTreeMap<Stream, Offset>) -> Vec<Cursor> {
    let cursors = next.iter().map(|(stream, from)| Cursor {
        stream: *stream,
        from: *from,
    });
    cursors.collect()
}

fn deliver(shared: &Shared, page: Page, next: &mut BTreeMap<Stream, Offset>) {
    if let Some((last, _)) = page.batches.last() {
        next.insert(page.stream, *last + Offset(1));
    }
    shared.tell(Input::Read {
        stream: page.stream,
        first: page.first,
        batches: page.batches,
    });
}

async fn retry(shared: &Shared, error: &crate::router::client::Error) {
    tracing::warn!(event = "log_read_failed", %error);
    shared.tell(Input::LogUp(false));
    tokio::time::sleep(READ_RETRY_DELAY).await;
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
