//! A pool of idle connections by address. The most recently used connection is reused first, so that surplus ones
//! expire.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::connection::Connection;
use crate::boot_clock;
use crate::units::Millis;

/// Maximum number of idle connections per address.
const IDLE_PER_ADDRESS_MAX: usize = 64;

/// A pool of idle connections.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Removes a usable connection from the pool and returns it. Connections to the address that are no longer usable
    /// are dropped.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.take_at(boot_clock::now(), address)
    }

    /// Like [`take`](Self::take), at the time `now` of the host's boot clock.
    pub fn take_at(&self, now: Millis, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| connection.is_usable(now));
        connections.pop()
    }

    /// Returns a connection to the pool, reusable for `keep`. Its last response must have been read to the end.
    pub fn put(&self, address: SocketAddr, mut connection: Connection, keep: Duration) {
        connection.set_idle(keep);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_PER_ADDRESS_MAX {
            connections.push(connection);
        }
    }

    /// Drops the connections to addresses for which `is_used` is false.
    pub fn retain(&self, is_used: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|address, _| is_used(*address));
    }
}
