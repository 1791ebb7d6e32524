//! The account of the bytes that a router holds for callers and targets: bodies that were read, answers that were not sent
//! yet, and reservations for long answers and events while they arrive. The rules for them are in
//! [`decision::memory`](super::decision::memory).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::decision::memory;
use crate::net::Bulkhead;

/// Maximum size of a response that is not a stream: it is read completely before it is forwarded.
pub const RESPONSE_MAX: usize = 8 << 20;

/// The bytes held for all requests.
#[derive(Debug)]
pub struct Account {
    held: AtomicUsize,
    /// Memory that the process may use, in bytes.
    memory: Option<usize>,
    arriving: Bulkhead,
}

impl Default for Account {
    /// The account of a process whose memory is not limited.
    fn default() -> Self {
        Self::with_memory(None)
    }
}

impl Account {
    /// Creates an account for a process that may use this memory; `None` if it is not limited.
    pub fn new(memory: Option<usize>) -> Arc<Self> {
        Arc::new(Self::with_memory(memory))
    }

    fn with_memory(memory: Option<usize>) -> Self {
        Self {
            held: AtomicUsize::new(0),
            memory,
            arriving: Bulkhead::new(memory.map(memory::arriving_max), RESPONSE_MAX),
        }
    }

    /// The memory set aside for long answers and events while they arrive.
    pub fn arriving(&self) -> &Bulkhead {
        &self.arriving
    }

    /// Memory that the process may use, in bytes; `None` if it is not limited.
    pub fn memory(&self) -> Option<usize> {
        self.memory
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Begins to count the bytes of a request of this rank.
    pub fn open(self: &Arc<Self>, rank: u8) -> Usage {
        Usage {
            account: Arc::clone(self),
            rank,
            bytes: 0,
        }
    }
}

/// The bytes held for one request. They are given back when it is dropped.
#[derive(Debug)]
pub struct Usage {
    account: Arc<Account>,
    rank: u8,
    bytes: usize,
}

impl Usage {
    /// Raises the count to `bytes`, unless the rule refuses that; returns whether it was raised.
    #[must_use]
    pub fn try_raise(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let Account { held, memory, .. } = &*self.account;
        let raise = |held: usize| {
            (!memory::is_refused(held, more, self.rank, *memory)).then_some(held + more)
        };
        let is_raised = held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, raise)
            .is_ok();
        if is_raised {
            self.bytes += more;
        }
        is_raised
    }

    /// Counts more bytes, whatever is held: they have arrived.
    pub fn add(&mut self, bytes: usize) {
        self.account.held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.account.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
