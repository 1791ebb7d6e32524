//! Binds listeners with an accept queue of a given length, and accepts connections, retrying after transient errors.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Delay before accepting is retried after an error, so that a lack of file descriptors does not cause a busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Binds a listener like [`TcpListener::bind`], but with an accept queue of this length. The system may limit it further.
///
/// # Errors
/// The I/O error if the address cannot be bound.
pub fn bind(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // As `TcpListener::bind` does, except on Windows, where it would let others bind the same address.
    #[cfg(not(windows))]
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

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
