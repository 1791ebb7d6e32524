//! The asking side: one connection a peer, made again when it has gone.

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

use super::frame::{WAIT, WINDOW, collect};
use crate::util;

/// Why a peer gave no answer. Unless it says so, the question may have been taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Missing {
    /// Nothing listens there; the question has not been taken.
    #[snafu(display("refused"))]
    Refused,
    /// The time was over.
    #[snafu(display("silent"))]
    Silent,
    /// The connection failed, or the answer made no sense.
    #[snafu(display("failed"))]
    Failed,
}

type Slot = Arc<tokio::sync::Mutex<Option<SendRequest<Bytes>>>>;

/// Connections to peers.
#[derive(Clone, Debug)]
pub struct Client {
    key: String,
    wait: Duration,
    slots: Arc<Mutex<HashMap<SocketAddr, Slot>>>,
}

impl Client {
    /// A client that shows the fleet's key.
    pub fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            wait: WAIT,
            slots: Arc::default(),
        }
    }

    /// The same with another longest wait.
    pub fn with_wait(self, wait: Duration) -> Self {
        Self { wait, ..self }
    }

    /// Asks a peer. A question may have been taken although there is no answer, so those that must
    /// count once carry a sequence number.
    ///
    /// # Errors
    /// Why there is no answer.
    pub async fn ask<Q, R>(&self, to: SocketAddr, request: &Q) -> Result<R, Missing>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        match timeout(self.wait, self.exchange(to, request)).await {
            Ok(Ok(Some(reply))) => Ok(reply),
            Ok(Ok(None)) => Err(Missing::Failed),
            Ok(Err(error)) => {
                tracing::debug!(event = "peer_call_failed", %to, %error);
                let refused = error.reason() == Some(h2::Reason::CONNECT_ERROR);
                Err(if refused {
                    Missing::Refused
                } else {
                    Missing::Failed
                })
            }
            Err(_) => {
                // A peer that is frozen keeps its connection; the next call tries a new one.
                self.forget(to).await;
                Err(Missing::Silent)
            }
        }
    }

    async fn exchange<Q, R>(&self, to: SocketAddr, request: &Q) -> Result<Option<R>, h2::Error>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let frame = Bytes::from(util::encode(request));
        let response = loop {
            match self.send(to, frame.clone()).await {
                // The peer closes this connection, and has not taken the question: the next is a new
                // connection, or a refusal.
                Err(error) if is_untaken(&error) => {
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
    ) -> Result<http::Response<RecvStream>, h2::Error> {
        let head = http::Request::post(format!("http://{to}/"))
            .header(http::header::AUTHORIZATION, &self.key)
            .body(())
            .expect("a peer's address and the checked key make a request");
        let mut sender = self.sender(to).await?.ready().await?;
        let (response, mut send) = sender.send_request(head, false)?;
        let sent = send.send_data(frame, true);
        // Where the question could not be sent, this says why.
        let response = response.await?;
        sent?;
        Ok(response)
    }

    fn slot(&self, to: SocketAddr) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(to).or_default())
    }

    async fn forget(&self, to: SocketAddr) {
        *self.slot(to).lock().await = None;
    }

    async fn sender(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, h2::Error> {
        let slot = self.slot(to);
        let mut slot = slot.lock().await;
        if let Some(sender) = slot.clone() {
            match sender.ready().await {
                Ok(sender) => return Ok(sender),
                Err(_) => *slot = None,
            }
        }
        let stream = TcpStream::connect(to).await.map_err(io_error)?;
        stream.set_nodelay(true).map_err(io_error)?;
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .handshake(stream)
            .await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                // Calls under way fail with an error of their own.
                tracing::debug!(event = "peer_connection_ended", %to, %error);
            }
        });
        *slot = Some(sender.clone());
        Ok(sender)
    }
}

/// Whether the peer closes the connection and says that it has not taken the question. Only questions that
/// came after its last one end with this error; those that it has taken and left fail with the connection.
fn is_untaken(error: &h2::Error) -> bool {
    error.is_go_away() && error.is_remote() && error.reason() == Some(h2::Reason::NO_ERROR)
}

fn io_error(error: std::io::Error) -> h2::Error {
    tracing::debug!(event = "peer_connect_failed", %error);
    h2::Error::from(h2::Reason::CONNECT_ERROR)
}
