//! A gateway's process: its listeners, its threads, and how it stops.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};

use super::attempt::Desk;
use super::control::{self, Message};
use super::dialect::Dialect;
use super::listener::{Door, serve};
use super::relay::Relay;
use super::shared::{Shared, Stop};
use super::state::Settings;
use crate::net::Pool;
use crate::store::Store;
use crate::units::Millis;

/// How often a stopping gateway looks whether its requests have ended.
const STOP_POLL: Duration = Duration::from_millis(25);
/// Left at the end of the time to stop, to give grants back and to exit.
const STOP_RESERVE: Duration = Duration::from_millis(1_150);
/// Part of the time to stop in which any request is still taken.
const LINGER_SHARE: f64 = 0.4;
/// Longest time to give grants back.
const GIVE_BACK_MAX: Duration = Duration::from_millis(500);
/// Between two looks for connections that are no longer needed.
const SWEEP_GAP: Duration = Duration::from_secs(2);

/// What a gateway is started with.
pub struct Options {
    /// Settings of the control state.
    pub settings: Settings,
    /// For callers.
    pub front: TcpListener,
    /// For other routers.
    pub link: TcpListener,
    /// What routers of this fleet show each other.
    pub fleet_key: String,
    /// Partitions of the store that customers are spread over.
    pub partitions: u32,
    /// For questions about readiness.
    pub ready: TcpListener,
    /// For questions about addresses.
    pub directory: TcpListener,
    /// For metrics, where they are wanted.
    pub metrics: Option<TcpListener>,
    /// How long callers may keep addresses.
    pub keep: Millis,
    /// Longest time to stop.
    pub grace: Millis,
    /// What the deployment speaks.
    pub dialect: Arc<dyn Dialect>,
    /// The deployment's store.
    pub store: Arc<dyn Store>,
    /// Reads and checks the settings again; the text is logged.
    pub reload: Box<dyn Fn() -> Result<String, String> + Send>,
    /// Log lines that were dropped.
    pub dropped: fn() -> u64,
}

/// Runs until SIGTERM or SIGINT, and then until all that has begun is done, or the time to stop is
/// over.
///
/// # Errors
/// The system's, where signals cannot be taken.
pub async fn run(options: Options) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (sender, messages) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::default());
    shared.set_fronts(vec![options.settings.me.front]);
    tracing::info!(
        event = "started",
        name = %options.settings.me.name,
        incarnation = options.settings.me.incarnation,
        front = %options.settings.me.front,
        hall = %options.settings.me.hall
    );
    let dialect = Arc::clone(&options.dialect);
    control::spawn(control::Parts {
        settings: options.settings,
        shared: Arc::clone(&shared),
        store: options.store,
        dialect: Arc::clone(&dialect),
        link: options.link.into_std()?,
        fleet_key: options.fleet_key,
        partitions: options.partitions,
        messages,
    });
    let desk = Desk::new(sender);
    let relay = Arc::new(Relay {
        shared: Arc::clone(&shared),
        desk: desk.clone(),
        dialect: Arc::clone(&dialect),
        pool: Pool::default(),
    });
    let open = |listener, door| tokio::spawn(serve(listener, Arc::clone(&shared), door));
    open(options.front, Door::Front(Arc::clone(&relay)));
    open(
        options.ready,
        Door::Ready(Arc::clone(&shared), Arc::clone(&dialect)),
    );
    let directory = Door::Directory(Arc::clone(&shared), dialect, options.keep);
    open(options.directory, directory);
    if let Some(listener) = options.metrics {
        open(
            listener,
            Door::Metrics(Arc::clone(&shared), options.dropped),
        );
    }
    tokio::spawn(sweep(relay));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match (options.reload)() {
                Ok(in_force) => tracing::info!(event = "reloaded", settings = %in_force),
                Err(error) => tracing::error!(event = "reload_refused", %error),
            },
        }
    }
    stop(&shared, &desk, options.keep, options.grace).await;
    Ok(())
}

async fn sweep(relay: Arc<Relay>) {
    loop {
        sleep(SWEEP_GAP).await;
        let targets = relay.shared.targets.load_full();
        relay.pool.retain(|address| targets.contains(&address));
    }
}

async fn stop(shared: &Shared, desk: &Desk, keep: Millis, grace: Millis) {
    let since = Instant::now();
    let most = Duration::from_millis(grace.0).saturating_sub(STOP_RESERVE);
    // Callers that hold an earlier answer still come for a while.
    let linger = Duration::from_millis(keep.0 * 3 / 2).min(most.mul_f64(LINGER_SHARE));
    shared.set_stopping(Stop {
        late: since + linger,
        end: since + most,
    });
    tracing::info!(event = "stopping", active = shared.active());
    desk.tell(Message::Leave);
    while since.elapsed() < most && (since.elapsed() < linger || shared.active() > 0) {
        sleep(STOP_POLL).await;
    }
    let cut = shared.active();
    let (done, closed) = oneshot::channel();
    desk.tell(Message::Close { done });
    let _ = timeout(GIVE_BACK_MAX, closed).await;
    tracing::info!(
        event = "stopped",
        cut,
        ms = since.elapsed().as_millis() as u64
    );
}
