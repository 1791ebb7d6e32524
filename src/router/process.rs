//! A router process: one thread for the control state, others for traffic.

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

/// Longest time to write the last answers of a stop. All has been decided by then, so only callers that do not
/// read their answers, or never send the rest of a head, take as long; without a bound one of them keeps the
/// process up until it is killed. As long as a head may take.
const LAST_ANSWERS_MAX: Duration = Duration::from_secs(30);

/// What a router is started with.
pub struct Options {
    /// Settings of the control state.
    pub settings: Settings,
    /// Bound for callers and operators.
    pub entry: TcpListener,
    /// Bound for other routers.
    pub peers: TcpListener,
    /// The log.
    pub log: HttpLog,
    /// The host list.
    pub hosts: HttpHosts,
    /// Hash of the operators' secret.
    pub operator_hash: String,
    /// The fleet's key.
    pub fleet_key: String,
    /// Longest body taken, in bytes.
    pub body_max: usize,
    /// Longest silence of a target.
    pub silence: Duration,
    /// What stops it, and has its settings read again.
    pub signals: Signals,
}

/// Runs a router until SIGTERM or SIGINT, and then until all that it has begun is done.
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
    let peers = Peers::spawn(&shared, options.peers, &options.fleet_key);
    let server = Server::default();
    let entry = Entry::new(routes(&shared), options.body_max);
    entry.listen(&server, options.entry);
    options.signals.stop().await;
    stop(&shared, done, &entry, &server, peers).await;
}

/// Stops in an order in which nothing that was read goes without an answer: work is refused, what has begun
/// is done, then callers' connections end, and last those of other routers.
async fn stop(
    shared: &Shared,
    done: oneshot::Receiver<()>,
    entry: &Entry,
    server: &Server,
    peers: Peers,
) {
    tracing::info!(event = "stopping", connections = server.connections());
    entry.stop();
    shared.tell(Input::Stop);
    // Without an answer the control thread has ended, which is the same.
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

/// What serves other routers.
struct Peers {
    closing: CancellationToken,
    serving: JoinHandle<()>,
}

impl Peers {
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

    /// Takes no further question, and waits until those that have come are answered.
    async fn close(self) {
        self.closing.cancel();
        if let Err(error) = self.serving.await {
            tracing::error!(event = "peer_listener_failed", %error);
        }
    }
}

/// Gives a handler its own hold on the shared state.
macro_rules! with {
    ($shared:ident, |$($arg:ident: $kind:ty),*| $body:expr) => {{
        let $shared = Arc::clone($shared);
        move |$($arg: $kind),*| {
            let $shared = Arc::clone(&$shared);
            async move { $body.await }
        }
    }};
}

fn routes(shared: &Arc<Shared>) -> Router {
    let entry = with!(shared, |headers: Headers| caller::entry(shared, headers.0));
    let chat = with!(shared, |headers: Headers, body: Bytes| caller::chat(
        shared, headers.0, body
    ));
    let service = with!(shared, |name: PathParams<String>,
                                 headers: Headers,
                                 body: Bytes| {
        caller::service(shared, name.0, headers.0, body)
    });
    let intent = with!(shared, |headers: Headers, body: Bytes| {
        operator::intent(shared, headers.0, body)
    });
    let confirm = with!(shared, |headers: Headers, body: Bytes| {
        operator::confirm(shared, headers.0, body)
    });
    let explain = with!(shared, |id: PathParams<String>, headers: Headers| {
        operator::explain(shared, id.0, headers.0)
    });
    let status = with!(shared, |headers: Headers| operator::status(
        shared, headers.0
    ));
    let config = with!(shared, |headers: Headers| operator::config(
        shared, headers.0
    ));
    let burn = with!(shared, |headers: Headers| operator::burn(shared, headers.0));
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
