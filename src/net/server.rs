//! Serves HTTP/1.1 on listeners until it is shut down; requests that it has begun to read by then are completed.
//!
//! A server has ended once all its connections have, not once a count of requests is zero: a request that is being read
//! when a shutdown begins keeps its connection open, so no request can arrive unnoticed between a last check of a count
//! and the end. Of pipelined requests only the one that is being answered is completed, as HTTP/1.1 allows. The server
//! owns the accept loops and the connections; the connections' services produce the responses.

use std::error::Error;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::accept::accept;
use super::socket::{ReadState, Socket};

/// Delay after which the runtime has polled its sockets: a timer fires only after a poll of them. It is the shortest
/// delay of the runtime's timers. Yielding is no substitute: it guarantees no poll if the runtime has worker threads
/// and this thread only waits for them.
const SOCKET_POLL_DELAY: Duration = Duration::from_millis(1);

/// Age up to which a shutdown leaves a connection open without a request: its first request may be on the way, and
/// would reach a closed connection. Many times the latency of the network from a caller.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a shutdown waits for the rest of a partly received head on a kept-alive connection, which the HTTP library
/// would close despite the part that it has read. A head is mostly sent at once, and the shutdown remains short with a
/// caller that never sends the rest.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// An accepted connection with the service that responds on it.
pub type Accepted<S> = http1::Connection<TokioIo<Socket>, S>;

/// The accept loops and the open connections. Only accept loops add connections, so they are ended first.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// Cancelled to end the accept loops.
    stop_accepting: CancellationToken,
    /// Cancelled to shut the connections down.
    stop_serving: CancellationToken,
    accept_loops: TaskTracker,
    connections: TaskTracker,
}

impl Server {
    /// Accepts connections on a listener until the server closes. `open` combines each with its service.
    pub fn listen<S, F>(&self, listener: TcpListener, open: F)
    where
        F: Fn(Socket) -> Accepted<S> + Send + 'static,
        S: HttpService<Incoming> + Send + 'static,
        S::Future: Send,
        S::Error: Into<Box<dyn Error + Send + Sync>>,
        S::ResBody: Body + Send + 'static,
        <S::ResBody as Body>::Data: Send,
        <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        self.listen_paced(listener, open, |_| None);
    }

    /// Like [`listen`](Self::listen), but `pace` may pause accepting before each connection. It is given how long the
    /// pause has lasted, and returns after how long it is asked again, or `None` to accept. Connections that arrive
    /// meanwhile wait in the listener's queue. Closing the server ends a pause at once.
    pub fn listen_paced<S, F, P>(&self, listener: TcpListener, open: F, mut pace: P)
    where
        P: FnMut(Duration) -> Option<Duration> + Send + 'static,
        F: Fn(Socket) -> Accepted<S> + Send + 'static,
        S: HttpService<Incoming> + Send + 'static,
        S::Future: Send,
        S::Error: Into<Box<dyn Error + Send + Sync>>,
        S::ResBody: Body + Send + 'static,
        <S::ResBody as Body>::Data: Send,
        <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let (stop_accepting, stop_serving) =
            (self.stop_accepting.clone(), self.stop_serving.clone());
        let connections = self.connections.clone();
        self.accept_loops.spawn(async move {
            loop {
                pause(&mut pace, &stop_accepting).await;
                let Some(socket) = next_connection(&listener, &stop_accepting).await else {
                    return;
                };
                let read_state = socket.read_state();
                connections.spawn(serve_connection(
                    open(socket),
                    read_state,
                    stop_serving.clone(),
                ));
            }
        });
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Stops accepting connections and further requests, without waiting for responses. Connections without a request
    /// are closed, new ones only after the time allowed for a first request, and those with a part of a request after
    /// the time allowed for the rest; the others are closed once their response is written.
    ///
    /// The runtime learns of data that has arrived at a socket only when it polls the sockets, so each step is preceded
    /// by a delay in which it does. Without the delays a close would miss requests that have arrived.
    pub async fn close(&self) {
        sleep(SOCKET_POLL_DELAY).await;
        self.stop_accepting.cancel();
        self.accept_loops.close();
        self.accept_loops.wait().await;
        sleep(SOCKET_POLL_DELAY).await;
        self.stop_serving.cancel();
        self.connections.close();
    }

    /// Waits until all connections have ended, after [`close`](Self::close).
    pub async fn closed(&self) {
        self.connections.wait().await;
    }
}

/// Waits until `pace` lets the next connection be accepted, or `stop_accepting` is cancelled.
async fn pause(
    pace: &mut impl FnMut(Duration) -> Option<Duration>,
    stop_accepting: &CancellationToken,
) {
    let since = Instant::now();
    let mut paused = Duration::ZERO;
    while !stop_accepting.is_cancelled()
        && let Some(delay) = pace(paused)
    {
        // The result only tells which of the two ended the wait.
        let _ = timeout(delay, stop_accepting.cancelled()).await;
        paused = since.elapsed();
    }
}

/// Accepts the next connection. Returns `None` once `stop_accepting` is cancelled and all connections that arrived
/// before have been accepted, except those that arrived while accepting failed.
async fn next_connection(
    listener: &TcpListener,
    stop_accepting: &CancellationToken,
) -> Option<Socket> {
    tokio::select! {
        biased;
        (stream, _) = accept(listener) => Some(Socket::new(stream)),
        () = stop_accepting.cancelled() => None,
    }
}

/// Serves a connection until it ends, or until `stop_serving` is cancelled and the connection has shut down.
async fn serve_connection<S>(
    connection: Accepted<S>,
    read_state: ReadState,
    stop_serving: CancellationToken,
) where
    S: HttpService<Incoming>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    S::ResBody: Body + 'static,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    let accepted_at = Instant::now();
    let close = async {
        stop_serving.cancelled().await;
        sleep_until(accepted_at + FIRST_REQUEST_TIMEOUT).await;
        finish_reading(&read_state).await;
    };
    let ended = tokio::select! {
        // The connection is polled first: a request that has arrived is read and keeps the connection open.
        biased;
        ended = connection.as_mut() => ended,
        () = close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(event = "caller_connection_ended", %error);
    }
}

/// Waits until no part of a connection's requests is being read, within the time limits. Discarding of a body may begin
/// during the wait for a head, and the next head may begin while a body is discarded, so each is checked again after
/// the other.
async fn finish_reading(read_state: &ReadState) {
    loop {
        read_state.discarded().await;
        if timeout(HEAD_TIMEOUT, read_state.answered()).await.is_err() {
            tracing::debug!(event = "unanswered_at_close");
        }
        if !read_state.is_discarding() {
            return;
        }
    }
}
