//! A gateway's process: its listeners, its threads, and how it stops.
//!
//! The control thread is the only one that changes the control state; traffic runs on the caller's
//! runtime. On SIGTERM or SIGINT the router tells callers to go elsewhere, serves those that still come,
//! closes its server, finishes what it has begun within the time to stop, gives its grants back and ends.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::attempt::{Controller, Message};
use super::control;
use super::decision::stop;
use super::dialect::Dialect;
use super::fingerprint::Hasher;
use super::lag;
use super::listener::{self, Endpoint};
use super::members::Router;
use super::relay::Relay;
use super::shared::Shared;
use super::state::Settings;
use crate::net::{Pool, Server};
use crate::signals::Signals;
use crate::store::Store;
use crate::units::Millis;

/// Interval at which a stopping gateway checks whether its requests have ended.
const STOP_POLL: Duration = Duration::from_millis(25);
/// Interval at which connections to targets that are gone are closed.
const SWEEP_GAP: Duration = Duration::from_secs(2);

/// The listeners of a gateway, but for the one of its link.
pub struct Listeners {
    /// For callers' requests.
    pub callers: TcpListener,
    /// For questions about readiness.
    pub ready: TcpListener,
    /// For questions about addresses.
    pub directory: TcpListener,
    /// For metrics.
    pub metrics: TcpListener,
}

/// What a gateway is started with.
pub struct Options {
    /// Settings of the control state.
    pub settings: Settings,
    /// Bound for callers and for questions.
    pub listeners: Listeners,
    /// Bound for other routers.
    pub link: TcpListener,
    /// What routers of this fleet show each other.
    pub fleet_key: String,
    /// Partitions of the store that customers are spread over.
    pub partitions: u32,
    /// How long callers may use an answer about addresses.
    pub address_ttl: Millis,
    /// Longest time to stop.
    pub grace: Millis,
    /// What the deployment speaks.
    pub dialect: Arc<dyn Dialect>,
    /// The deployment's store.
    pub store: Arc<dyn Store>,
    /// What stops it, and has its settings read again.
    pub signals: Signals,
    /// Log lines that were dropped.
    pub dropped: fn() -> u64,
}

/// Runs until SIGTERM or SIGINT, and then until all that has begun is done, or the time to stop is
/// over.
///
/// # Errors
/// The system's, about the listener of its link.
pub async fn run(mut options: Options) -> std::io::Result<()> {
    crate::panics::install_abort_hook(control::THREAD);
    let (sender, messages) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::default());
    shared.set_caller_addresses(vec![options.settings.me.front]);
    log_start(&options.settings.me);
    let relay = Arc::new(Relay {
        shared: Arc::clone(&shared),
        controller: Controller::new(sender),
        dialect: options.dialect,
        hasher: Hasher::new(&options.fleet_key),
        pool: Pool::default(),
        started: Instant::now(),
    });
    control::spawn(control::Parts {
        settings: options.settings,
        shared: Arc::clone(&shared),
        store: options.store,
        dialect: Arc::clone(&relay.dialect),
        link: options.link.into_std()?,
        fleet_key: options.fleet_key,
        partitions: options.partitions,
        messages,
    });
    let server = Server::default();
    listen(
        &server,
        &relay,
        options.listeners,
        options.address_ttl,
        options.dropped,
    );
    tokio::spawn(sweep(Arc::clone(&relay)));
    tokio::spawn(lag::measure(Arc::clone(&shared)));
    options.signals.stop().await;
    stop(
        &shared,
        &relay.controller,
        &server,
        &stop::Plan::new(options.grace, options.address_ttl),
    )
    .await;
    Ok(())
}

fn log_start(me: &Router) {
    tracing::info!(
        event = "started",
        name = %me.name,
        incarnation = me.incarnation,
        front = %me.front,
        hall = %me.hall
    );
}

/// Serves all listeners until the server closes.
fn listen(
    server: &Server,
    relay: &Arc<Relay>,
    listeners: Listeners,
    address_ttl: Millis,
    dropped: fn() -> u64,
) {
    let (shared, dialect) = (&relay.shared, &relay.dialect);
    let open = |listener, endpoint| listener::listen(server, listener, shared, endpoint);
    open(listeners.callers, Endpoint::Callers(Arc::clone(relay)));
    let ready = Endpoint::Ready(Arc::clone(shared), Arc::clone(dialect));
    open(listeners.ready, ready);
    let directory = Endpoint::Directory(Arc::clone(shared), Arc::clone(dialect), address_ttl);
    open(listeners.directory, directory);
    let metrics = Endpoint::Metrics(Arc::clone(shared), dropped);
    open(listeners.metrics, metrics);
}

async fn sweep(relay: Arc<Relay>) {
    loop {
        sleep(SWEEP_GAP).await;
        let used = relay.shared.target_addresses.load_full();
        relay.pool.retain(|address| used.contains(&address));
    }
}

/// Stops in an order in which nothing can come in after the last look at what is under way: callers are
/// sent elsewhere, the server closes, its connections end, and only then grants are given back.
async fn stop(shared: &Shared, controller: &Controller, server: &Server, plan: &stop::Plan) {
    let since = Instant::now();
    let end = since + plan.end;
    shared.stop.begin(stop::Times {
        // Callers that hold an earlier answer about addresses still come for a while.
        late: since + plan.linger,
        end,
    });
    let (active, connections) = (shared.active(), server.connections());
    tracing::info!(event = "stopping", active, connections);
    controller.send(Message::Drain);
    while Instant::now() < end && (since.elapsed() < plan.linger || shared.active() > 0) {
        sleep(STOP_POLL).await;
    }
    server.close().await;
    let (active, connections) = (shared.active(), server.connections());
    tracing::info!(event = "closing", active, connections, ms = millis(since));
    let cut = finish(shared, server, end, plan.answers).await;
    let (active, connections) = (shared.active(), server.connections());
    tracing::info!(
        event = "giving_back",
        cut,
        active,
        connections,
        ms = millis(since)
    );
    give_back(controller, plan.give_back(since.elapsed())).await;
    tracing::info!(event = "stopped", ms = millis(since));
}

fn millis(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Waits until the connections of a closing server have ended; what is under way at `end` is given up
/// with an answer. How many requests that were is returned.
async fn finish(shared: &Shared, server: &Server, end: Instant, answers: Duration) -> usize {
    if timeout_at(end, server.closed()).await.is_ok() {
        return 0;
    }
    let cut = shared.active();
    shared.stop.give_up();
    if timeout(answers, server.closed()).await.is_err() {
        let connections = server.connections();
        tracing::warn!(event = "connections_cut", connections);
    }
    cut
}

async fn give_back(controller: &Controller, limit: Duration) {
    let (done, closed) = oneshot::channel();
    controller.send(Message::Close { done });
    if timeout(limit, closed).await.is_err() {
        tracing::warn!(event = "give_back_timed_out");
    }
}
