//! A TCP proxy between gateways and a target that forwards bytes and injects link faults.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// What the proxy does with bytes that arrive while the fault is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    #[default]
    None,
    /// Forwards them after this many milliseconds.
    Delay(u64),
    /// Closes the connection.
    Reset,
    /// Forwards to the target, but drops its responses; the connection stalls and is then closed.
    DropResponses,
    /// Drops bytes in both directions; the connection stalls and is then closed.
    Stall,
}

#[derive(Clone)]
pub struct Proxy {
    fault: Arc<Mutex<LinkFault>>,
    pub address: SocketAddr,
}

/// The direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToGateway,
}

/// Size of the forwarding buffer, in bytes.
const BUFFER_SIZE: usize = 16 << 10;
/// How long a connection stalls before it is closed: longer than any request waits.
const STALL: Duration = Duration::from_secs(8);

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            fault: Arc::default(),
            address: listener.local_addr().unwrap(),
        };
        let fault = Arc::clone(&proxy.fault);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, target, Arc::clone(&fault)));
            }
        });
        proxy
    }

    pub fn set(&self, fault: LinkFault) {
        *self.fault.lock().unwrap() = fault;
    }
}

async fn forward(client: TcpStream, target: SocketAddr, fault: Arc<Mutex<LinkFault>>) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    // Both directions end with the first, so that a connection with a fault is not reused.
    tokio::select! {
        () = copy(client_read, upstream_write, Direction::ToTarget, &fault) => {}
        () = copy(upstream_read, client_write, Direction::ToGateway, &fault) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    fault: &Mutex<LinkFault>,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let now = *fault.lock().unwrap();
        match (now, direction) {
            (LinkFault::Reset, _) => return,
            (LinkFault::Stall, _) | (LinkFault::DropResponses, Direction::ToGateway) => {
                return sleep(STALL).await;
            }
            (LinkFault::Delay(millis), _) => sleep(Duration::from_millis(millis)).await,
            (LinkFault::None | LinkFault::DropResponses, _) => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
