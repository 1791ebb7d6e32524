//! How a router gets a newer configuration from others.

mod deployment;
mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use deployment::{Deployment, config, until};
use lanedeck::gateway::members::Router;
use lanedeck::gateway::message::{Heartbeat, Reply, Request};
use lanedeck::{util, wire};
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// The secret that routers authenticate with by default.
const FLEET_KEY: &str = "lanedeck-fleet";
const PEERS: u16 = 6;
/// Version of the gateway's configuration.
const VERSION: u64 = 1;
/// Time that a newer configuration takes over a slow link, less than the timeout of requests to other routers.
const TRANSFER_TIME: Duration = Duration::from_millis(250);
const TRANSFERS_MIN: usize = 8;

/// Transfers of a newer configuration to the gateway.
#[derive(Default)]
struct Transfers {
    running: AtomicUsize,
    most: AtomicUsize,
    ended: AtomicUsize,
}

impl Transfers {
    async fn run(&self) {
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.most.fetch_max(running, Ordering::SeqCst);
        sleep(TRANSFER_TIME).await;
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.ended.fetch_add(1, Ordering::SeqCst);
    }
}

/// Serves heartbeats as a router with a newer configuration that takes long to transfer.
async fn serve_newer(listener: TcpListener, me: Router, transfers: Arc<Transfers>) {
    let count = Arc::new(AtomicUsize::new(0));
    let answer = move |request: Request| {
        let (me, count) = (me.clone(), Arc::clone(&count));
        let transfers = Arc::clone(&transfers);
        async move {
            let Request::Heartbeat(received) = request else {
                return Some(Reply::Noted);
            };
            if received.config <= VERSION {
                transfers.run().await;
            }
            let router = Router {
                heartbeat: 2 + count.fetch_add(1, Ordering::Relaxed) as u64,
                ..me
            };
            let heartbeat = Heartbeat {
                router,
                config: VERSION + 1,
                ..received
            };
            Some(Reply::Heartbeat {
                heartbeat: Box::new(heartbeat),
                config: None,
                targets: None,
            })
        }
    };
    let key_hash = util::hash_secret(FLEET_KEY);
    wire::serve(listener, key_hash, answer, CancellationToken::new()).await;
}

/// Guards against a newer configuration that fills a slow link with several copies of itself, none of which arrives in time.
#[tokio::test(flavor = "multi_thread")]
async fn several_at_once() {
    let mut deployment = Deployment::start(0, &config(VERSION, 1_000), &[]).await;
    let transfers = Arc::new(Transfers::default());
    for number in 1..=PEERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = Router {
            link: listener.local_addr().unwrap(),
            ..fleet::router(number)
        };
        let entry = util::encode(&peer);
        deployment
            .store
            .put_bytes("keyed.routers", peer.name.as_bytes(), &entry);
        tokio::spawn(serve_newer(listener, peer, Arc::clone(&transfers)));
    }
    deployment.add("g0", &[]).await;
    until(|| async { transfers.ended.load(Ordering::SeqCst) >= TRANSFERS_MIN }).await;
    assert_eq!(transfers.most.load(Ordering::SeqCst), 1);
}
