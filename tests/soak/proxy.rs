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
pub enum Harm {
    #[default]
    None,
    /// Forwards them after this many milliseconds.
    Delay(u64),
    /// Closes the connection.
    Reset,
    /// Forwards to the target, but drops its responses; the connection stalls and is then closed.
    CutBack,
    /// Drops bytes in both directions; the connection stalls and is then closed.
    Silence,
}

#[derive(Clone)]
pub struct Proxy {
    harm: Arc<Mutex<Harm>>,
    pub address: SocketAddr,
}

/// The direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    ToTarget,
    Back,
}

/// Size of the forwarding buffer, in bytes.
const CHUNK: usize = 16 << 10;
/// How long a connection stalls before it is closed: longer than any request waits.
const SILENCE: Duration = Duration::from_secs(8);

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            harm: Arc::default(),
            address: listener.local_addr().unwrap(),
        };
        let harm = Arc::clone(&proxy.harm);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass(near, target, Arc::clone(&harm)));
            }
        });
        proxy
    }

    pub fn set(&self, harm: Harm) {
        *self.harm.lock().unwrap() = harm;
    }
}

async fn pass(near: TcpStream, target: SocketAddr, harm: Arc<Mutex<Harm>>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    // Both directions end with the first, so that a connection with a fault is not reused.
    tokio::select! {
        () = copy(near_read, far_write, Way::ToTarget, &harm) => {}
        () = copy(far_read, near_write, Way::Back, &harm) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: Way, harm: &Mutex<Harm>) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let now = *harm.lock().unwrap();
        match (now, way) {
            (Harm::Reset, _) => return,
            (Harm::Silence, _) | (Harm::CutBack, Way::Back) => return sleep(SILENCE).await,
            (Harm::Delay(millis), _) => sleep(Duration::from_millis(millis)).await,
            (Harm::None | Harm::CutBack, _) => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
