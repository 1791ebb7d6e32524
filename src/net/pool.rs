//! Idle connections between requests, by address. The most recently used goes first, so that those
//! that are not needed expire.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::connection::Connection;
use crate::boot_clock;
use crate::units::Millis;

/// Idle connections that are kept for one address.
const IDLE_MAX: usize = 64;

/// Idle connections.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Takes a connection that can be used at once, and drops those that cannot.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.take_at(boot_clock::now(), address)
    }

    /// The same at another time by the host's steady clock.
    pub fn take_at(&self, now: Millis, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| connection.is_usable(now));
        connections.pop()
    }

    /// Puts back a connection whose answer has been read to its end, to be used within `keep`.
    pub fn put(&self, address: SocketAddr, mut connection: Connection, keep: Duration) {
        connection.set_idle(keep);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(connection);
        }
    }

    /// Drops the connections to addresses that are no longer used.
    pub fn retain(&self, is_used: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|address, _| is_used(*address));
    }
}
