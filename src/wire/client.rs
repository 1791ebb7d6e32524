//! The client side of the protocol between routers: one connection per peer, which is reopened after it has closed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::client::SendRequest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::frame::{CALL_TIMEOUT, WINDOW, collect};
use crate::util;

/// Why a call got no reply. Unless the variant excludes it, the peer may have processed the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum NoReply {
    /// No connection could be opened, as when nothing listens at the address; the request was not sent.
    #[snafu(display("refused"))]
    Refused,
    /// The call timed out.
    #[snafu(display("silent"))]
    TimedOut,
    /// The connection failed, or the peer gave an error status or a malformed reply.
    #[snafu(display("failed"))]
    Failed,
}

/// Whether a call had to open a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// The connection was open when the call began.
    Reused,
    /// The connection was opened during the call, by it or by a concurrent one.
    Opened,
}

type Slot = Arc<tokio::sync::Mutex<Option<SendRequest<Bytes>>>>;

/// A client with its connections to peers.
#[derive(Clone, Debug)]
pub struct Client {
    key: String,
    timeout: Duration,
    slots: Arc<Mutex<HashMap<SocketAddr, Slot>>>,
}

impl Client {
    /// Creates a client that authenticates with the fleet's key.
    pub fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            timeout: CALL_TIMEOUT,
            slots: Arc::default(),
        }
    }

    /// Sets another timeout of calls.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Sends a request to a peer and returns its reply. The peer may have processed a request although the call fails,
    /// so requests that must take effect only once carry a sequence number.
    ///
    /// # Errors
    /// Why there is no reply.
    pub async fn ask<Q, R>(&self, to: SocketAddr, request: &Q) -> Result<R, NoReply>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        self.ask_on(to, request).await.map(|(reply, _)| reply)
    }

    /// Like [`ask`](Self::ask), and tells whether a connection had to be opened.
    ///
    /// # Errors
    /// Why there is no reply.
    pub async fn ask_on<Q, R>(
        &self,
        to: SocketAddr,
        request: &Q,
    ) -> Result<(R, Connection), NoReply>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let mut connection = Connection::Reused;
        match timeout(self.timeout, self.exchange(to, request, &mut connection)).await {
            Ok(Ok(Some(reply))) => Ok((reply, connection)),
            Ok(Ok(None)) => Err(NoReply::Failed),
            Ok(Err(error)) => {
                tracing::debug!(event = "peer_call_failed", %to, %error);
                let refused = error.reason() == Some(h2::Reason::CONNECT_ERROR);
                Err(if refused {
                    NoReply::Refused
                } else {
                    NoReply::Failed
                })
            }
            Err(_) => {
                // The connection to a frozen peer stays open, so it is dropped: the next call opens a new one.
                self.drop_connection(to).await;
                Err(NoReply::TimedOut)
            }
        }
    }

    /// Sets `used` to [`Connection::Opened`] if the call waited for a connection to be opened.
    async fn exchange<Q, R>(
        &self,
        to: SocketAddr,
        request: &Q,
        used: &mut Connection,
    ) -> Result<Option<R>, h2::Error>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let frame = Bytes::from(util::encode(request));
        let response = loop {
            match self.send(to, frame.clone(), used).await {
                // The peer is closing this connection and has not processed the request. The next attempt opens a new
                // connection, or is refused.
                Err(error) if is_unprocessed(&error) => {
                    tracing::debug!(event = "peer_connection_closed", %to, %error);
                }
                result => break result?,
            }
        };
        if !response.status().is_success() {
            return Ok(None);
        }
        let body = collect(response.into_body()).await?;
        Ok(body.and_then(|bytes| util::decode(&bytes)))
    }

    async fn send(
        &self,
        to: SocketAddr,
        frame: Bytes,
        used: &mut Connection,
    ) -> Result<http::Response<RecvStream>, h2::Error> {
        let head = http::Request::post(format!("http://{to}/"))
            .header(http::header::AUTHORIZATION, &self.key)
            .body(())
            .expect("a socket address and the validated key form a valid request");
        let mut sender = self.sender(to, used).await?.ready().await?;
        let (response, mut send) = sender.send_request(head, false)?;
        let sent = send.send_data(frame, true);
        // If the request could not be sent, the error of the response has the cause.
        let response = response.await?;
        sent?;
        Ok(response)
    }

    fn slot(&self, to: SocketAddr) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(to).or_default())
    }

    async fn drop_connection(&self, to: SocketAddr) {
        *self.slot(to).lock().await = None;
    }

    async fn sender(
        &self,
        to: SocketAddr,
        used: &mut Connection,
    ) -> Result<SendRequest<Bytes>, h2::Error> {
        let slot = self.slot(to);
        let mut slot = match slot.try_lock() {
            Ok(slot) => slot,
            Err(_) => {
                // Another call holds it, and may be opening the connection.
                *used = Connection::Opened;
                slot.lock().await
            }
        };
        if let Some(sender) = slot.clone() {
            match sender.ready().await {
                Ok(sender) => return Ok(sender),
                Err(_) => *slot = None,
            }
        }
        *used = Connection::Opened;
        let stream = TcpStream::connect(to).await.map_err(io_error)?;
        stream.set_nodelay(true).map_err(io_error)?;
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .handshake(stream)
            .await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                // Pending calls fail with errors of their own.
                tracing::debug!(event = "peer_connection_ended", %to, %error);
            }
        });
        *slot = Some(sender.clone());
        Ok(sender)
    }
}

/// Whether the error says that the peer is closing the connection and has not processed the request. Only requests
/// after the last one that the peer accepted fail with this error; those that it accepted but did not answer fail with
/// the error of the connection.
fn is_unprocessed(error: &h2::Error) -> bool {
    error.is_go_away() && error.is_remote() && error.reason() == Some(h2::Reason::NO_ERROR)
}

fn io_error(error: std::io::Error) -> h2::Error {
    tracing::debug!(event = "peer_connect_failed", %error);
    h2::Error::from(h2::Reason::CONNECT_ERROR)
}
