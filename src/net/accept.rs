//! Accepting connections, through errors that pass.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a connection could not be accepted, so that a lack of sockets does not spin.
const PAUSE: Duration = Duration::from_millis(10);

/// The next connection and its other side. Errors are logged and tried again: a listener that is dropped at a
/// moment's lack of descriptors refuses all that come later.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
