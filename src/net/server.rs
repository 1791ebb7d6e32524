//! Serves HTTP/1.1 on listeners until it is shut down, and then ends with what it has begun to read.
//!
//! What decides that a server is done is not a count of requests but its connections: a request that is
//! read while a shutdown begins holds its connection open, so there is no moment between the last look and
//! the end in which one can come in unseen. Of what a caller sends ahead of an answer, only the request that is
//! being answered is kept, as HTTP/1.1 allows. The server owns the accept loops and the connections; what is
//! answered is the business of the connections' services.

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
use super::socket::{Reading, Socket};

/// Time in which the runtime is sure to look at its sockets: a timer goes off after the sockets have been looked
/// at. The shortest that the runtime's timers have. To yield is no such turn where the runtime has
/// workers and this thread only waits for them.
const TURN: Duration = Duration::from_millis(1);

/// Age up to which a connection is not closed although it carries no request: its first one may be on the
/// way, and would meet a closed connection. Many times the way from a caller.
const FIRST_REQUEST_MAX: Duration = Duration::from_millis(100);

/// Longest time in which the rest of a head is waited for on a kept connection, which the HTTP library would
/// close over the part that it has read. A head is mostly sent at once, and a stop is still
/// short with a caller that never sends the rest.
const HEAD_REST_MAX: Duration = Duration::from_millis(500);

/// A connection that has been accepted, with the service that answers on it.
pub type Accepted<S> = http1::Connection<TokioIo<Socket>, S>;

/// Accept loops and open connections. Connections are only added by accept loops, so these end first.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// Cancelled to end the accept loops.
    refusing: CancellationToken,
    /// Cancelled to end the connections.
    closing: CancellationToken,
    accepting: TaskTracker,
    connections: TaskTracker,
}

impl Server {
    /// Accepts connections on a listener until the server closes; `open` gives each its service.
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
        let (refusing, closing) = (self.refusing.clone(), self.closing.clone());
        let connections = self.connections.clone();
        self.accepting.spawn(async move {
            while let Some(socket) = next(&listener, &refusing).await {
                let reading = socket.reading();
                connections.spawn(drive(open(socket), reading, closing.clone()));
            }
        });
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Takes no further connection and no further request, and waits for no answer. Connections that carry
    /// none are closed, new ones after the time for their first, those with a part of one after the time for
    /// the rest, the others once their answer is written.
    ///
    /// The runtime knows of what has arrived at a socket after it has looked, so there is a turn of it before
    /// each step: without them a close passes over requests that have arrived.
    pub async fn close(&self) {
        sleep(TURN).await;
        self.refusing.cancel();
        self.accepting.close();
        self.accepting.wait().await;
        sleep(TURN).await;
        self.closing.cancel();
        self.connections.close();
    }

    /// Waits until all connections of a server that was closed have ended.
    pub async fn closed(&self) {
        self.connections.wait().await;
    }
}

/// The next connection; `None` once none is to be accepted, and all that came before has been, but for those that
/// came while no connection could be accepted.
async fn next(listener: &TcpListener, refusing: &CancellationToken) -> Option<Socket> {
    tokio::select! {
        biased;
        (stream, _) = accept(listener) => Some(Socket::new(stream)),
        () = refusing.cancelled() => None,
    }
}

async fn drive<S>(connection: Accepted<S>, reading: Reading, closing: CancellationToken)
where
    S: HttpService<Incoming>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    S::ResBody: Body + 'static,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    let accepted = Instant::now();
    let close = async {
        closing.cancelled().await;
        sleep_until(accepted + FIRST_REQUEST_MAX).await;
        read(&reading).await;
    };
    let ended = tokio::select! {
        // The connection goes first: a request that has arrived is read, and keeps it open.
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

/// Waits for what of a connection's requests is still being read. A body may begin to be discarded while a head is
/// waited for, and the next head may begin while a body is discarded, so each is looked at after the other.
async fn read(reading: &Reading) {
    loop {
        reading.discarded().await;
        if timeout(HEAD_REST_MAX, reading.answered()).await.is_err() {
            tracing::debug!(event = "unanswered_at_close");
        }
        if !reading.is_discarding() {
            return;
        }
    }
}
