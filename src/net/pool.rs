//! Connections that rest between requests, by address. The most recently used goes first, so that
//! those that are not needed expire.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::Line;

/// Connections that rest for one address.
const RESTING_MAX: usize = 64;

/// Resting connections.
#[derive(Debug, Default)]
pub struct Pool {
    resting: Mutex<HashMap<SocketAddr, Vec<Line>>>,
}

impl Pool {
    /// Takes a connection that can be used at once, and drops those that cannot.
    pub fn take(&self, address: SocketAddr) -> Option<Line> {
        let mut resting = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = resting.get_mut(&address)?;
        let now = Instant::now();
        lines.retain(|line| line.is_usable(now));
        lines.pop()
    }

    /// Puts back a connection whose answer was whole, to rest for `keep` at most.
    pub fn put(&self, address: SocketAddr, mut line: Line, keep: Duration) {
        line.rest(keep);
        let mut resting = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = resting.entry(address).or_default();
        if lines.len() < RESTING_MAX {
            lines.push(line);
        }
    }

    /// Drops what rests for addresses that are no longer used.
    pub fn retain(&self, is_used: impl Fn(SocketAddr) -> bool) {
        let mut resting = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        resting.retain(|address, _| is_used(*address));
    }
}
