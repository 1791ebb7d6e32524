//! Network paths from gateways to runners, each of which can be partitioned.
#![allow(dead_code, missing_docs)]

use std::net::{SocketAddr, TcpStream as BlockingStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::deployment::runner::Runner;
use crate::deployment::{Deployment, config, free_address, turns};

/// What a gateway sees of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Open connections are closed, and new ones hang.
    Silent,
    /// Open connections are closed, and new ones are refused.
    Reset,
    /// Open connections go on, and new ones are refused.
    Refused,
}

/// How long a connection is tried while a listener's queue is filled.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// The path from one gateway to one runner.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    target: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Cancelled to end the accept loop.
    accepting: CancellationToken,
    /// Cancelled to close the open connections.
    open: CancellationToken,
    /// A listener that accepts nothing, and the connections that fill its queue.
    silent: Option<(TcpListener, Vec<BlockingStream>)>,
}

impl Path {
    pub async fn open(target: SocketAddr) -> Self {
        let listener = listen().await;
        let path = Self {
            address: listener.local_addr().unwrap(),
            target,
            state: Arc::default(),
        };
        path.serve(listener);
        path
    }

    fn serve(&self, listener: TcpListener) {
        let target = self.target;
        let mut state = self.state.lock().unwrap();
        state.accepting = CancellationToken::new();
        state.open = CancellationToken::new();
        let (accepting, open) = (state.accepting.clone(), state.open.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = tokio::select! {
                    biased;
                    () = accepting.cancelled() => return,
                    accepted = listener.accept() => accepted.unwrap(),
                };
                let open = open.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = open.cancelled() => {}
                        () = forward(stream, target) => {}
                    }
                });
            }
        });
    }

    pub async fn cut(&self, partition: Partition) {
        {
            let state = self.state.lock().unwrap();
            state.accepting.cancel();
            if partition != Partition::Refused {
                state.open.cancel();
            }
        }
        if partition == Partition::Silent {
            let listener = self.bind_again(0).await;
            let address = self.address;
            let fill = move || {
                let connect = || BlockingStream::connect_timeout(&address, FILL_TIMEOUT);
                std::iter::from_fn(|| connect().ok()).collect()
            };
            let filled = tokio::task::spawn_blocking(fill).await.unwrap();
            self.state.lock().unwrap().silent = Some((listener, filled));
        }
    }

    pub async fn heal(&self) {
        drop(self.state.lock().unwrap().silent.take());
        let listener = self.bind_again(1_024).await;
        self.serve(listener);
    }

    /// Binds the address again once the former listener is closed.
    async fn bind_again(&self, backlog: u32) -> TcpListener {
        loop {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_reuseaddr(true).unwrap();
            if socket.bind(self.address).is_ok()
                && let Ok(listener) = socket.listen(backlog)
            {
                return listener;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Binds a port that no outgoing connection takes while the path is cut. A process that another thread starts may hold
/// a copy of the socket that probed a port for a moment, so others are tried.
async fn listen() -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(free_address()).await {
            return listener;
        }
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr) {
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    // The connection ends with an error on either side.
    let _ = copy_bidirectional(&mut client, &mut upstream).await;
}

/// Gateways, each with its own paths to all runners.
pub struct Fleet {
    pub deployment: Deployment,
    pub runners: Vec<Runner>,
    /// Paths by gateway.
    pub paths: Vec<Vec<Path>>,
}

impl Fleet {
    /// Starts gateways that all know each other, before runners of both services.
    pub async fn start(gateways: usize, plain: usize, engines: usize) -> Self {
        let mut fleet = Self::start_runners(plain, engines).await;
        for _ in 0..gateways {
            fleet.add_gateway(None).await;
        }
        fleet.deployment.wait_ready().await;
        fleet.deployment.wait_for_members().await;
        fleet
    }

    async fn start_runners(plain: usize, engines: usize) -> Self {
        let deployment = Deployment::start(0, &config(1, turns::LARGE_BUDGET), &[]).await;
        let mut runners = Vec::new();
        for number in 0..plain + engines {
            let runner = Runner::start(&format!("i-{number}")).await;
            let service = if number < plain { "app" } else { "engine" };
            runner.list_in(&deployment.store, service);
            runners.push(runner);
        }
        Self {
            deployment,
            runners,
            paths: Vec::new(),
        }
    }

    /// Adds a gateway, whose paths may be partitioned from the start.
    pub async fn add_gateway(&mut self, partition: Option<Partition>) {
        let mut paths = Vec::new();
        for runner in &self.runners {
            paths.push(Path::open(runner.address).await);
        }
        let listed = self.runners.iter().map(|runner| runner.address);
        let routes = listed.zip(paths.iter().map(|path| path.address)).collect();
        for path in &paths {
            if let Some(partition) = partition {
                path.cut(partition).await;
            }
        }
        let name = format!("g{}", self.paths.len());
        self.deployment.add_routed(&name, routes).await;
        self.paths.push(paths);
    }

    /// Partitions the first `count` gateways from all runners.
    pub async fn cut(&self, count: usize, partition: Partition) {
        for path in self.paths[..count].iter().flatten() {
            path.cut(partition).await;
        }
    }

    pub async fn heal(&self, count: usize) {
        for path in self.paths[..count].iter().flatten() {
            path.heal().await;
        }
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        turns::fronts(&self.deployment)
    }
}
