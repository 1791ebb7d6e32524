//! Accepts connections, and retries after transient errors.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Delay before accepting is retried after an error, so that a lack of file descriptors does not cause a busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts the next connection and returns it with the peer's address. Errors are logged and retried: if the listener
/// were dropped at a momentary lack of file descriptors, all later connections would be refused.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
