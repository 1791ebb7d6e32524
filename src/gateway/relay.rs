//! What all requests of the process share: access to the control thread, the dialect, and the idle connections to
//! targets.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::attempt::Controller;
use super::dialect::{Dialect, Reply};
use super::fingerprint::Hasher;
use super::held;
use super::shared::Shared;
use crate::net::{self, Connection, Pool};

/// Timeout for connecting to a target. A target in another region accepts within a fraction of it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection fails if the target's host does not acknowledge data for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// Idle timeout of a connection whose target does not state its own.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Fraction of the target's own idle timeout for which a connection is reused, 0 to 1: if the target closes the
/// connection while a request is on its way, the request may have run.
const IDLE_TIMEOUT_SHARE: f64 = 0.85;

/// How an attempt got its connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// An idle connection was reused.
    Pooled,
    /// A connection was opened.
    Opened,
}

impl Origin {
    /// The name of the origin in logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Pooled => "pooled",
            Self::Opened => "opened",
        }
    }
}

/// Data that all requests share.
pub struct Relay {
    /// State shared with the control thread.
    pub shared: Arc<Shared>,
    /// Sends messages to the control thread.
    pub controller: Controller,
    /// The deployment's dialect.
    pub dialect: Arc<dyn Dialect>,
    /// Computes request fingerprints.
    pub hasher: Hasher,
    /// Counts the bytes held for callers and targets.
    pub held: Arc<held::Account>,
    /// Idle connections to targets.
    pub pool: Pool,
    /// When the process started.
    pub started: Instant,
}

impl Relay {
    /// Returns an idle connection to a target or opens one; `None` if it cannot be opened in time.
    pub(super) async fn connect(&self, address: SocketAddr) -> Option<(Connection, Origin)> {
        if let Some(connection) = self.pool.take(address) {
            return Some((connection, Origin::Pooled));
        }
        let metrics = &self.shared.metrics;
        metrics.connects.add(1);
        match net::open(address, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await {
            Ok(connection) => Some((connection, Origin::Opened)),
            Err(error) => {
                match error.kind() {
                    ErrorKind::TimedOut => metrics.connects_timed_out.add(1),
                    _ => metrics.connects_refused.add(1),
                }
                tracing::info!(event = "connect_failed", %address, cause = ?error.kind());
                None
            }
        }
    }

    /// Returns a connection to the pool once its response was read to the end.
    pub(super) fn store_connection(
        &self,
        address: SocketAddr,
        connection: Connection,
        reply: &Reply,
    ) {
        let idle = reply.idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            Duration::from_millis(timeout.0).mul_f64(IDLE_TIMEOUT_SHARE)
        });
        self.pool.put(address, connection, idle);
    }
}
