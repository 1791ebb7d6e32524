//! The server side of the protocol between routers.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::frame::{CALL_TIMEOUT, WINDOW, collect};
use crate::{net, util};

/// Time after which connections are closed forcibly once the server closes: clients wait no longer for a reply.
const CLOSE_TIMEOUT: Duration = CALL_TIMEOUT;

/// Serves peers until `closing` is cancelled, and then until all requests received by then are answered and all
/// connections have ended. A peer must authenticate with the fleet's key. `answer` returns the reply to each request,
/// or `None` if this process is about to end.
pub async fn serve<Q, R, F, A>(
    listener: TcpListener,
    key_hash: String,
    answer: F,
    closing: CancellationToken,
) where
    Q: DeserializeOwned + Send + 'static,
    R: Serialize + Send + 'static,
    F: Fn(Q) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Option<R>> + Send + 'static,
{
    let connections = TaskTracker::new();
    let closing_connections = CancellationToken::new();
    loop {
        let (stream, peer) = tokio::select! {
            // Connections that arrived before the cancellation are accepted first.
            biased;
            accepted = net::accept(&listener) => accepted,
            () = closing.cancelled() => break,
        };
        let (answer, key_hash) = (answer.clone(), key_hash.clone());
        let closing = closing_connections.clone();
        connections.spawn(async move {
            let timeout = async {
                closing.cancelled().await;
                tokio::time::sleep(CLOSE_TIMEOUT).await;
            };
            tokio::select! {
                biased;
                ended = connection(stream, &key_hash, answer, &closing) => {
                    if let Err(error) = ended {
                        tracing::debug!(event = "peer_connection_ended", %peer, %error);
                    }
                }
                () = timeout => tracing::warn!(event = "peer_connection_cut", %peer),
            }
        });
    }
    // Peers reconnect once their connection closes; without a listener they are refused then.
    drop(listener);
    closing_connections.cancel();
    connections.close();
    connections.wait().await;
}

async fn connection<Q, R, F, A>(
    stream: TcpStream,
    key_hash: &str,
    answer: F,
    closing: &CancellationToken,
) -> Result<(), h2::Error>
where
    Q: DeserializeOwned + Send + 'static,
    R: Serialize + Send + 'static,
    F: Fn(Q) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Option<R>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        // The connection still works, only slower.
        tracing::debug!(event = "nodelay_failed", %error);
    }
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake::<_, Bytes>(stream)
        .await?;
    let mut is_closing = false;
    loop {
        let accepted = tokio::select! {
            // Requests that have arrived are accepted before the shutdown begins.
            biased;
            accepted = connection.accept() => accepted,
            () = closing.cancelled(), if !is_closing => {
                is_closing = true;
                connection.graceful_shutdown();
                continue;
            }
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, respond) = accepted?;
        let authorized = is_authorized(&request, key_hash);
        let answer = answer.clone();
        tokio::spawn(async move {
            let result = if authorized {
                exchange(request.into_body(), respond, answer).await
            } else {
                refuse(respond)
            };
            if let Err(error) = result {
                tracing::debug!(event = "peer_exchange_failed", %error);
            }
        });
    }
}

fn is_authorized<B>(request: &http::Request<B>, key_hash: &str) -> bool {
    let key = request.headers().get(http::header::AUTHORIZATION);
    let key = key.and_then(|value| value.to_str().ok());
    key.is_some_and(|key| util::secret_matches(key, key_hash))
}

fn refuse(mut respond: SendResponse<Bytes>) -> Result<(), h2::Error> {
    tracing::warn!(event = "peer_refused", reason = "wrong fleet key");
    respond.send_response(status(StatusCode::FORBIDDEN), true)?;
    Ok(())
}

async fn exchange<Q, R, F, A>(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    answer: F,
) -> Result<(), h2::Error>
where
    Q: DeserializeOwned,
    R: Serialize,
    F: Fn(Q) -> A,
    A: Future<Output = Option<R>>,
{
    let request = collect(body).await?;
    let Some(request) = request.and_then(|bytes| util::decode(&bytes)) else {
        respond.send_response(status(StatusCode::BAD_REQUEST), true)?;
        return Ok(());
    };
    let Some(reply) = answer(request).await else {
        respond.send_response(status(StatusCode::SERVICE_UNAVAILABLE), true)?;
        return Ok(());
    };
    let mut send = respond.send_response(status(StatusCode::OK), false)?;
    send.send_data(util::encode(&reply).into(), true)
}

fn status(status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    response
}
