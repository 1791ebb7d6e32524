//! A router process: one thread for the control state, others for traffic.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::Server;
use volo_http::server::layer::BodyLimitLayer;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get, post};

use super::shared::Shared;
use super::{core, feed};
use crate::router::api::{caller, operator};
use crate::router::client::{HttpHosts, HttpLog};
use crate::router::control::{Input, Settings};
use crate::router::http::Headers;
use crate::wire;

/// How often a stopping router looks whether its streams have ended. Not measured.
const STOP_POLL: Duration = Duration::from_millis(20);

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
}

/// Runs a router until a signal, and then until all that it has begun is done.
///
/// # Errors
/// The server's error.
pub async fn run(options: Options) -> Result<(), volo_http::error::BoxError> {
    let (input, inputs) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::new(
        input,
        options.settings.me.incarnation,
        options.operator_hash.clone(),
        options.fleet_key.clone(),
        options.log.clone(),
    ));
    let exit = core::spawn(
        options.settings,
        Arc::clone(&shared),
        inputs,
        options.silence,
    );
    feed::spawn(&shared, options.log.clone(), options.hosts);
    spawn_peers(&shared, options.peers, &options.fleet_key);

    let routes = routes(&shared).layer(BodyLimitLayer::new(options.body_max));
    let stopping = Arc::clone(&shared);
    let server = Server::new(routes).http1_only();
    // The server itself waits a bounded time for open connections, so the wait for streams,
    // however long, is here.
    let server = server.register_shutdown_hook(move || {
        Box::pin(async move {
            tracing::info!(event = "stopping");
            stopping.tell(Input::Stop);
            // Without an answer the control thread has ended, which is the same.
            let _ = exit.await;
            while stopping.has_streams() {
                tokio::time::sleep(STOP_POLL).await;
            }
            tracing::info!(event = "stopped");
        })
    });
    server.run(DefaultIncoming::from(options.entry)).await
}

fn spawn_peers(shared: &Arc<Shared>, listener: TcpListener, fleet_key: &str) {
    let shared = Arc::clone(shared);
    let key_hash = crate::util::hash_secret(fleet_key);
    tokio::spawn(async move {
        let answer = move |request| {
            let shared = Arc::clone(&shared);
            async move { shared.answer_peer(request).await }
        };
        if let Err(error) = wire::serve(listener, key_hash, answer).await {
            tracing::error!(event = "peer_listener_failed", %error);
        }
    });
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
