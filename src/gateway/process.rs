//! The process of a gateway: its listeners, its threads and its graceful shutdown.
//!
//! The control thread is the only one that changes the control state; traffic runs on the runtime that calls [`run`].
//! On SIGTERM or SIGINT the router directs callers to other routers but still serves those that connect. It then closes
//! its server, finishes the requests in progress within the grace period, gives its grants back and exits.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::attempt::{Controller, Message};
use super::control;
use super::decision::stop;
use super::dialect::Dialect;
use super::fingerprint::Hasher;
use super::held;
use super::lag;
use super::listener::{self, Endpoint};
use super::members::Router;
use super::pauses;
use super::proxy;
use super::relay::Relay;
use super::shared::Shared;
use super::state::Settings;
use crate::net::{Pool, Server};
use crate::signals::Signals;
use crate::store::Store;
use crate::units::Millis;
use crate::util;

/// Interval at which a gateway that is shutting down checks whether its requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which pooled connections to removed targets are closed.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

/// The listeners of a gateway, except the one for the links of other routers.
pub struct Listeners {
    /// Listener for callers' requests.
    pub callers: TcpListener,
    /// Listener for readiness checks.
    pub ready: TcpListener,
    /// Listener for address queries.
    pub directory: TcpListener,
    /// Listener for reads of the metrics.
    pub metrics: TcpListener,
    /// Listener for requests of routers that are partitioned from the targets, if this one takes them.
    pub proxy: Option<TcpListener>,
}

/// The parameters of a gateway.
pub struct Options {
    /// Settings of the control state.
    pub settings: Settings,
    /// Bound listeners for callers, readiness checks, address queries and metrics.
    pub listeners: Listeners,
    /// Bound listener for other routers.
    pub link: TcpListener,
    /// The key by which the routers of a fleet authenticate to each other.
    pub fleet_key: String,
    /// Number of partitions of the store that customers are distributed over.
    pub partitions: u32,
    /// How long callers may cache the answer to an address query.
    pub address_ttl: Millis,
    /// Memory that the process may use, in bytes; `None` if it is not limited.
    pub memory: Option<usize>,
    /// The grace period: maximum duration of a shutdown.
    pub grace: Millis,
    /// Adapter for the deployment's wire format.
    pub dialect: Arc<dyn Dialect>,
    /// The deployment's store.
    pub store: Arc<dyn Store>,
    /// The signals that stop the process or make it read its settings again.
    pub signals: Signals,
    /// Returns the number of log lines that were dropped.
    pub dropped_log_lines: fn() -> u64,
}

/// Runs a gateway until SIGTERM or SIGINT, and then until all requests have ended or the grace period is over.
///
/// # Errors
/// The I/O error if the listener of the link cannot be detached from the runtime.
pub async fn run(mut options: Options) -> std::io::Result<()> {
    crate::panics::install_abort_hook(control::THREAD);
    let (sender, messages) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::new(held::Account::new(options.memory)));
    shared.set_caller_addresses(vec![options.settings.me.front]);
    log_start(&options.settings.me);
    let proxy = options.listeners.proxy.as_ref();
    let proxy = proxy.map(TcpListener::local_addr).transpose()?;
    let fleet_key = HeaderValue::from_str(&options.fleet_key).map_err(std::io::Error::other)?;
    let relay = Arc::new(Relay {
        shared: Arc::clone(&shared),
        controller: Controller::new(sender),
        dialect: options.dialect,
        hasher: Hasher::new(&options.fleet_key),
        held: Arc::clone(&shared.held),
        pool: Pool::default(),
        fleet_key,
        fleet_key_hash: util::hash_secret(&options.fleet_key),
        proxy_load: proxy::Load::default(),
        started: Instant::now(),
    });
    control::spawn(control::Parts {
        settings: options.settings,
        shared: Arc::clone(&shared),
        store: options.store,
        dialect: Arc::clone(&relay.dialect),
        link: options.link.into_std()?,
        proxy,
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
        options.dropped_log_lines,
    );
    tokio::spawn(close_stale_connections(Arc::clone(&relay)));
    tokio::spawn(lag::measure(Arc::clone(&shared)));
    tokio::spawn(pauses::log(Arc::clone(&shared)));
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
    dropped_log_lines: fn() -> u64,
) {
    let (shared, dialect) = (&relay.shared, &relay.dialect);
    let open = |listener, endpoint| listener::listen(server, listener, shared, endpoint);
    let measured = Arc::clone(shared);
    // A delay that is not known does not pause accepting.
    let link_delay = move || measured.link_delay().unwrap_or_default();
    listener::listen_callers(server, listeners.callers, relay, link_delay);
    let ready = Endpoint::Ready(Arc::clone(shared), Arc::clone(dialect));
    open(listeners.ready, ready);
    let directory = Endpoint::Directory(Arc::clone(shared), Arc::clone(dialect), address_ttl);
    open(listeners.directory, directory);
    let metrics = Endpoint::Metrics(Arc::clone(shared), dropped_log_lines);
    open(listeners.metrics, metrics);
    if let Some(listener) = listeners.proxy {
        open(listener, Endpoint::Proxy(Arc::clone(relay)));
    }
}

/// Closes pooled connections to addresses that no target uses any more.
async fn close_stale_connections(relay: Arc<Relay>) {
    loop {
        sleep(POOL_CLEANUP_INTERVAL).await;
        let used = relay.shared.target_addresses.load_full();
        relay.pool.retain(|address| used.contains(&address));
    }
}

/// Shuts down in an order in which no request can arrive after the last check for active ones: callers are directed to
/// other routers, the server closes, its connections end, and only then are grants given back.
async fn stop(shared: &Shared, controller: &Controller, server: &Server, plan: &stop::Plan) {
    let since = Instant::now();
    let end = since + plan.end;
    shared.stop.begin(stop::Times {
        // Callers that have cached an earlier address answer still connect for a while.
        late: since + plan.linger,
        end,
    });
    let (active, connections) = (shared.active(), server.connections());
    tracing::info!(event = "stopping", active, connections);
    controller.send(Message::Drain);
    while Instant::now() < end && (since.elapsed() < plan.linger || shared.active() > 0) {
        sleep(STOP_POLL_INTERVAL).await;
    }
    server.close().await;
    let (active, connections) = (shared.active(), server.connections());
    tracing::info!(event = "closing", active, connections, ms = millis(since));
    let cut = drain(shared, server, end, plan.answers).await;
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

/// Waits until the connections of a closing server have ended. Requests that are still in progress at `end` are
/// abandoned with an answer; returns their number.
async fn drain(shared: &Shared, server: &Server, end: Instant, answers: Duration) -> usize {
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
