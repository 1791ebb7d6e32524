//! What all requests of the process share: access to the control thread, the dialect, and the idle connections to
//! targets.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::attempt::{Controller, Message};
use super::decision::reachability::Pooled;
use super::decision::retry::Failure;
use super::dialect::{Dialect, Reply};
use super::fingerprint::Hasher;
use super::held;
use super::paths::Paths;
use super::proxy;
use super::shared::Shared;
use crate::net::{self, Connection, Pool};

/// Timeout for connecting to a target. A target in another region accepts within a fraction of it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection fails if the target's host does not acknowledge data for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// Idle timeout of a connection whose target does not state its own.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Idle timeout of a connection to a router that sends requests for this one: shorter than a router keeps an idle
/// connection of a caller.
const PROXY_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
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
    /// Another router sends the request to the target.
    Proxied,
}

impl Origin {
    /// The name of the origin in logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Pooled => "pooled",
            Self::Opened => "opened",
            Self::Proxied => "proxied",
        }
    }
}

/// A connection for a request.
pub(super) struct Link {
    pub(super) connection: Connection,
    pub(super) origin: Origin,
    /// Address of the target, or of the router that sends the request there.
    peer: SocketAddr,
}

impl Link {
    /// The router that sends the request to the target, if another one does.
    pub(super) fn proxy(&self) -> Option<SocketAddr> {
        (self.origin == Origin::Proxied).then_some(self.peer)
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
    /// The key by which the routers of a fleet authenticate to each other, as a header value.
    pub fleet_key: HeaderValue,
    /// Hash of that key.
    pub fleet_key_hash: String,
    /// Requests of other routers.
    pub(super) proxy_load: proxy::Load,
    /// When the process started.
    pub started: Instant,
}

impl Relay {
    /// Returns a connection for a request to a target: to the target, or to a router that sends the request there while
    /// this one is partitioned from the targets.
    ///
    /// # Errors
    /// The failure of the attempt; nothing was sent.
    pub(super) async fn connect(&self, target: SocketAddr) -> Result<Link, Failure> {
        let mut paths = self.shared.paths.subscribe();
        loop {
            let current = paths.borrow_and_update().clone();
            match current {
                Paths::Direct => {
                    tokio::select! {
                        biased;
                        link = self.connect_direct(target) => {
                            return link.ok_or(Failure::Unreachable);
                        }
                        // The sender is part of the shared state, so it is not dropped before.
                        _ = paths.changed() => {}
                    }
                }
                Paths::Proxied {
                    pooled,
                    proxies,
                    is_searching,
                } => {
                    match pooled {
                        Pooled::Usable => {
                            if let Some(link) = self.take_pooled(target, Origin::Pooled) {
                                return Ok(link);
                            }
                        }
                        Pooled::Stale => self.pool.retain(|address| proxies.contains(&address)),
                    }
                    let proxy = proxies.choose(&mut rand::rng()).copied();
                    match proxy {
                        Some(proxy) => return self.connect_proxy(proxy).await,
                        None if is_searching => {
                            // An error would mean that the sender is gone, as above.
                            let _ = paths.changed().await;
                        }
                        None => return Err(Failure::NoPath),
                    }
                }
            }
        }
    }

    fn take_pooled(&self, peer: SocketAddr, origin: Origin) -> Option<Link> {
        let connection = self.pool.take(peer)?;
        Some(Link {
            connection,
            origin,
            peer,
        })
    }

    /// Returns an idle connection to a target or opens one; `None` if it cannot be opened in time.
    pub(super) async fn connect_direct(&self, target: SocketAddr) -> Option<Link> {
        if let Some(link) = self.take_pooled(target, Origin::Pooled) {
            return Some(link);
        }
        self.shared.metrics.connects.add(1);
        match net::open(target, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await {
            Ok(connection) => Some(Link {
                connection,
                origin: Origin::Opened,
                peer: target,
            }),
            Err(error) => {
                let counts = &self.shared.path_counts;
                match error.kind() {
                    ErrorKind::TimedOut => counts.timed_out.add(1),
                    _ => counts.refused.add(1),
                }
                tracing::info!(event = "connect_failed", address = %target, cause = ?error.kind());
                self.controller.send(Message::Unreachable);
                None
            }
        }
    }

    async fn connect_proxy(&self, proxy: SocketAddr) -> Result<Link, Failure> {
        if let Some(link) = self.take_pooled(proxy, Origin::Proxied) {
            return Ok(link);
        }
        match net::open(proxy, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await {
            Ok(connection) => Ok(Link {
                connection,
                origin: Origin::Proxied,
                peer: proxy,
            }),
            Err(error) => {
                tracing::info!(event = "proxy_unreachable", address = %proxy, cause = ?error.kind());
                Err(Failure::NoPath)
            }
        }
    }

    /// How long a connection may be reused after a response of its target.
    pub(super) fn reusable_for(reply: &Reply) -> Duration {
        reply.idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            Duration::from_millis(timeout.0).mul_f64(IDLE_TIMEOUT_SHARE)
        })
    }

    /// Returns a connection to the pool once its response was read to the end.
    pub(super) fn store(&self, link: Link, time: Duration) {
        let time = match link.origin {
            Origin::Pooled | Origin::Opened => time,
            Origin::Proxied => PROXY_IDLE_TIMEOUT,
        };
        self.pool.put(link.peer, link.connection, time);
    }
}
