//! Follows whether this router has a path to the targets, and finds routers that send its requests while it has none.
//!
//! A connection that fails makes this router probe a few targets. While none can be reached, it probes them again at
//! short intervals, and asks its neighbours whether they can. The number of questions per interval does not depend on
//! the size of the fleet, and a router that has a path asks nobody.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::context::Control;
use crate::gateway::decision::reachability::{self, PROBES, Pooled, Probe, Reachability};
use crate::gateway::key::TargetKey;
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::gateway::paths::Paths;

/// Timeout of a probe. A target in another region accepts within a fraction of it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest time between two rounds of probes.
const INTERVAL: Duration = Duration::from_millis(500);
/// Routers that are asked at once whether they send requests for this one.
const ASKED_AT_ONCE: usize = 8;
/// Routers that are used at the same time: more than one, so that one that ends costs few requests.
const PROXIES_MIN: usize = 2;
/// Most routers that are used at the same time.
const PROXIES_MAX: usize = 4;
/// Most rounds without a search after one that found no router: the neighbours are partitioned too, and asking all of
/// them in each round would take more than a router may use for control.
const ROUNDS_PAUSED_MAX: u32 = 3;

/// What the task that follows the path needs between its rounds.
#[derive(Debug, Default)]
pub(super) struct Monitor {
    is_running: Cell<bool>,
    /// Whether a connection has failed since the last round of probes began.
    is_suspected: Cell<bool>,
    state: Cell<Reachability>,
}

impl Monitor {
    /// Whether targets can be reached, as far as is known.
    pub(super) fn is_reachable(&self) -> bool {
        self.state.get() == Reachability::Reachable
    }
}

/// Handles a connection to a target that failed or could not be opened.
pub(super) fn suspect(control: &Rc<Control>) {
    let monitor = &control.reachability;
    monitor.is_suspected.set(true);
    if !monitor.is_running.replace(true) {
        tokio::task::spawn_local(follow(Rc::clone(control)));
    }
}

/// Probes targets until they can be reached and no connection has failed since.
async fn follow(control: Rc<Control>) {
    let monitor = &control.reachability;
    let mut proxies = Vec::new();
    let (mut searches_in_vain, mut rounds_paused) = (0, 0);
    while monitor.is_suspected.replace(false) || !monitor.is_reachable() {
        let probes = probe_targets(&control).await;
        let before = monitor.state.get();
        let state = reachability::judge(before, &probes);
        monitor.state.set(state);
        if before != state {
            log_change(state, &probes);
        }
        match state {
            Reachability::Reachable => {
                proxies.clear();
                (searches_in_vain, rounds_paused) = (0, 0);
                publish(&control, Paths::Direct);
            }
            Reachability::Partitioned(_) if rounds_paused > 0 => rounds_paused -= 1,
            Reachability::Partitioned(pooled) => {
                // Requests wait for the first search only: neighbours that do not answer make one take seconds.
                if proxies.is_empty() && searches_in_vain == 0 {
                    publish(&control, proxied(pooled, &proxies, true));
                }
                proxies = find_proxies(&control, &proxies).await;
                if proxies.is_empty() {
                    searches_in_vain += 1;
                    rounds_paused = ROUNDS_PAUSED_MAX.min(searches_in_vain);
                } else {
                    searches_in_vain = 0;
                }
                publish(&control, proxied(pooled, &proxies, false));
            }
        }
        sleep(INTERVAL).await;
    }
    monitor.is_running.set(false);
}

fn log_change(state: Reachability, probes: &[Probe]) {
    let count = |outcome| reachability::count(probes, outcome);
    tracing::warn!(
        event = "target_path",
        is_reachable = state == Reachability::Reachable,
        opened = count(Probe::Opened),
        refused = count(Probe::Refused),
        timed_out = count(Probe::TimedOut)
    );
}

fn proxied(pooled: Pooled, proxies: &[Proxy], is_searching: bool) -> Paths {
    Paths::Proxied {
        pooled,
        proxies: proxies.iter().map(|proxy| proxy.address).collect(),
        is_searching,
    }
}

fn publish(control: &Control, paths: Paths) {
    control.shared.paths.send_if_modified(|published| {
        let is_change = *published != paths;
        *published = paths;
        is_change
    });
}

async fn probe_targets(control: &Control) -> Vec<Probe> {
    let addresses = sample_targets(control, PROBES, None);
    join_all(addresses.into_iter().map(probe)).await
}

/// Addresses of a random sample of the targets that accept requests, without `excluded`.
fn sample_targets(control: &Control, count: usize, excluded: Option<TargetKey>) -> Vec<SocketAddr> {
    let state = control.state.borrow();
    let excluded = excluded.map(|key| state.targets.get(key).listing.address);
    let open: Vec<SocketAddr> = state
        .targets
        .listed()
        .filter(|target| target.accepts_requests())
        .map(|target| target.listing.address)
        .filter(|address| Some(*address) != excluded)
        .collect();
    open.sample(&mut rand::rng(), count).copied().collect()
}

async fn probe(address: SocketAddr) -> Probe {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Probe::Opened,
        Ok(Err(_)) => Probe::Refused,
        Err(_) => Probe::TimedOut,
    }
}

/// Whether this router reaches any target but `excluded`, or there is no other.
pub(super) async fn reaches_others(control: &Control, excluded: TargetKey) -> bool {
    let others = sample_targets(control, PROBES, Some(excluded));
    let has_none = others.is_empty();
    for address in others {
        if probe(address).await == Probe::Opened {
            return true;
        }
    }
    has_none
}

/// A router that sends requests for this one.
#[derive(Clone)]
struct Proxy {
    router: Router,
    address: SocketAddr,
}

/// Asks the routers in use again, and others until enough of them can reach the targets.
async fn find_proxies(control: &Rc<Control>, in_use: &[Proxy]) -> Vec<Proxy> {
    let used: Vec<Router> = in_use.iter().map(|proxy| proxy.router.clone()).collect();
    let mut others: Vec<Router> = {
        let state = control.state.borrow();
        let neighbours = state.members.neighbours().into_iter();
        neighbours
            .filter(|router| !state.members.is_unreachable(&router.name))
            .filter(|router| !used.iter().any(|other| other.name == router.name))
            .cloned()
            .collect()
    };
    others.shuffle(&mut rand::rng());
    let mut found: Vec<Proxy> = Vec::new();
    for batch in std::iter::once(&used[..]).chain(others.chunks(ASKED_AT_ONCE)) {
        let offers = join_all(batch.iter().map(|router| ask(control, router))).await;
        found.extend(offers.into_iter().flatten());
        if found.len() >= PROXIES_MIN {
            break;
        }
    }
    found.truncate(PROXIES_MAX);
    tracing::debug!(
        event = "proxies_found",
        used = used.len(),
        found = found.len()
    );
    found
}

async fn ask(control: &Control, router: &Router) -> Option<Proxy> {
    let answer = control.peer_client.ask(router.link, &Request::Proxy).await;
    match answer {
        Ok(Reply::Proxy(address)) => Some(Proxy {
            router: router.clone(),
            address: address?,
        }),
        Ok(reply) => {
            tracing::warn!(event = "peer_answer_unfit", name = %router.name, ?reply);
            None
        }
        Err(missing) => {
            // Heartbeats tell whether a router answers.
            tracing::debug!(event = "proxy_unanswered", name = %router.name, reason = %missing);
            None
        }
    }
}

/// Answers whether this router sends requests of others to targets, and at which address.
pub(super) fn answer(control: &Control) -> Option<SocketAddr> {
    let is_free = control.reachability.is_reachable() && !control.shared.stop.has_begun();
    control.proxy_address.filter(|_| is_free)
}
