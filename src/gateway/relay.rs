//! What all requests of the process share: the control thread, the dialect, the idle connections to
//! targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::attempt::Controller;
use super::dialect::{Dialect, Reply};
use super::fingerprint::Hasher;
use super::shared::Shared;
use crate::net::{self, Connection, Pool};

/// Longest wait for a connection to a target. A target in another region answers within
/// a fraction of it.
const CONNECT_MAX: Duration = Duration::from_millis(400);
/// Data that a target's host has not acknowledged for this long fails its connection.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(900);
/// How long a connection is idle where the target does not say how long it keeps it.
const IDLE_DEFAULT: Duration = Duration::from_millis(4_000);
/// Part of the target's own idle time for which a connection is used, 0 to 1: a request that meets the
/// target's close on its way may have run.
const IDLE_USED: f64 = 0.85;

/// What all requests share.
pub struct Relay {
    /// What the control thread publishes.
    pub shared: Arc<Shared>,
    /// Asks the control thread.
    pub controller: Controller,
    /// What the deployment speaks.
    pub dialect: Arc<dyn Dialect>,
    /// Tells which requests are the same one again.
    pub hasher: Hasher,
    /// Idle connections to targets.
    pub pool: Pool,
    /// The start of the process.
    pub started: Instant,
}

impl Relay {
    /// An idle connection to a target, or a new one; `None` where none comes up in time.
    pub(super) async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        if let Some(connection) = self.pool.take(address) {
            return Some(connection);
        }
        self.shared.metrics.connects.add(1);
        match net::open(address, CONNECT_MAX, UNACKNOWLEDGED_MAX).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                tracing::debug!(event = "connect_failed", %address, %error);
                None
            }
        }
    }

    /// Keeps a connection whose answer has been read to its end.
    pub(super) fn keep(&self, address: SocketAddr, connection: Connection, reply: &Reply) {
        let idle = reply.idle_timeout.map_or(IDLE_DEFAULT, |timeout| {
            Duration::from_millis(timeout.0).mul_f64(IDLE_USED)
        });
        self.pool.put(address, connection, idle);
    }
}
