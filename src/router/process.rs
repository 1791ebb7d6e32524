//! A router process: one thread for the control state, the others for traffic.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get, post};

use super::entry::Entry;
use super::shared::Shared;
use super::{core, feed};
use crate::net::Server;
use crate::router::api::{caller, operator};
use crate::router::client::{HttpHosts, HttpLog};
use crate::router::control::{Input, Settings};
use crate::router::http::Headers;
use crate::signals::Signals;
use crate::wire;

/// Longest time that a stop waits for the last responses to be written. All requests are decided by then, so only
/// callers that do not read their responses, or never send the rest of a head, take this long; without a bound one
/// of them would keep the process running until it is killed. As long as the timeout for a head.
const LAST_ANSWERS_MAX: Duration = Duration::from_secs(30);

/// Configuration and bound listeners of a router process.
pub struct Options {
    /// Settings of the control state.
    pub settings: Settings,
    /// Listener for callers and operators.
    pub entry: TcpListener,
    /// Listener for other routers.
    pub peers: TcpListener,
    /// Client of the log service.
    pub log: HttpLog,
    /// Client of the host list.
    pub hosts: HttpHosts,
    /// Hash of the operators' secret.
    pub operator_hash: String,
    /// Key that authenticates the routers of the fleet to each other.
    pub fleet_key: String,
    /// Longest accepted body, in bytes.
    pub body_max: usize,
    /// Longest time without data from a target.
    pub silence: Duration,
    /// Signals that stop the process or make it read its settings again.
    pub signals: Signals,
}

/// Runs a router until SIGTERM or SIGINT, and then until the work in progress is done.
pub async fn run(mut options: Options) {
    let (input, inputs) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::new(
        input,
        options.settings.me.incarnation,
        options.operator_hash.clone(),
        options.fleet_key.clone(),
        options.log.clone(),
    ));
    let done = core::spawn(
        options.settings,
        Arc::clone(&shared),
        inputs,
        options.silence,
    );
    feed::spawn(&shared, options.log.clone(), options.hosts);
    let peers = PeerServer::spawn(&shared, options.peers, &options.fleet_key);
    let server = Server::default();
    let entry = Entry::new(routes(&shared), options.body_max);
    entry.listen(&server, options.entry);
    options.signals.stop().await;
    stop(&shared, done, &entry, &server, peers).await;
}

/// Stops in an order in which every request that was read gets a response: new work is refused, work in progress
/// finishes, then the callers' connections are closed, and last those of other routers.
async fn stop(
    shared: &Shared,
    done: oneshot::Receiver<()>,
    entry: &Entry,
    server: &Server,
    peers: PeerServer,
) {
    tracing::info!(event = "stopping", connections = server.connections());
    entry.stop();
    shared.tell(Input::Stop);
    // An error means that the control thread has ended, which is equivalent.
    let _ = done.await;
    tracing::info!(event = "closing", connections = server.connections());
    entry.close();
    server.close().await;
    if timeout(LAST_ANSWERS_MAX, server.closed()).await.is_err() {
        let connections = server.connections();
        tracing::warn!(event = "connections_cut", connections);
    }
    peers.close().await;
    tracing::info!(event = "stopped");
}

/// The listener for other routers.
struct PeerServer {
    closing: CancellationToken,
    serving: JoinHandle<()>,
}

impl PeerServer {
    fn spawn(shared: &Arc<Shared>, listener: TcpListener, fleet_key: &str) -> Self {
        let shared = Arc::clone(shared);
        let key_hash = crate::util::hash_secret(fleet_key);
        let closing = CancellationToken::new();
        let answer = move |request| {
            let shared = Arc::clone(&shared);
            async move { shared.answer_peer(request).await }
        };
        let serving = tokio::spawn(wire::serve(listener, key_hash, answer, closing.clone()));
        Self { closing, serving }
    }

    /// Accepts no further requests, and waits until those already received are answered.
    async fn close(self) {
        self.closing.cancel();
        if let Err(error) = self.serving.await {
            tracing::error!(event = "peer_listener_failed", %error);
        }
    }
}

/// Builds a handler that owns a reference to the shared state.
macro_rules! handler {
    ($shared:ident, |$($arg:ident: $kind:ty),*| $body:expr) => {{
        let $shared = Arc::clone($shared);
        move |$($arg: $kind),*| {
            let $shared = Arc::clone(&$shared);
            async move { $body.await }
        }
    }};
}

fn routes(shared: &Arc<Shared>) -> Router {
    let entry = handler!(shared, |headers: Headers| caller::entry(shared, headers.0));
    let chat = handler!(shared, |headers: Headers, body: Bytes| caller::chat(
        shared, headers.0, body
    ));
    let service = handler!(shared, |name: PathParams<String>,
                                    headers: Headers,
                                    body: Bytes| {
        caller::service(shared, name.0, headers.0, body)
    });
    let intent = handler!(shared, |headers: Headers, body: Bytes| {
        operator::intent(shared, headers.0, body)
    });
    let confirm = handler!(shared, |headers: Headers, body: Bytes| {
        operator::confirm(shared, headers.0, body)
    });
    let explain = handler!(shared, |id: PathParams<String>, headers: Headers| {
        operator::explain(shared, id.0, headers.0)
    });
    let status = handler!(shared, |headers: Headers| operator::status(
        shared, headers.0
    ));
    let config = handler!(shared, |headers: Headers| operator::config(
        shared, headers.0
    ));
    let burn = handler!(shared, |headers: Headers| operator::burn(shared, headers.0));
    Router::new()
        .route("/v1/entry", get(entry))
        .route("/v1/chat/completions", post(chat))
        .route("/v1/services/{name}", post(service))
        .route("/v1/intents", post(intent))
        .route("/v1/confirm", post(confirm))
        .route("/v1/explain/{id}", get(explain))
        .route("/v1/status", get(status))
        .route("/v1/config", get(config))
        .route("/v1/burn", get(burn))
}
