//! The account of the bytes that a router holds for callers and targets: bodies that were read, answers that were not sent
//! yet, and reservations for long answers and events while they arrive. The rules for them are in
//! [`decision::memory`](super::decision::memory).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::decision::memory;

/// Maximum size of a response that is not a stream: it is read completely before it is forwarded.
pub const RESPONSE_MAX: usize = 8 << 20;
/// Unit of reservations, in bytes.
const RESERVATION_UNIT: usize = 1 << 10;

/// The bytes held for all requests.
#[derive(Debug)]
pub struct Account {
    held: AtomicUsize,
    /// Memory that the process may use, in bytes.
    memory: Option<usize>,
    /// What is left for long answers and events that arrive, in units of [`RESERVATION_UNIT`].
    arriving: Arc<Semaphore>,
}

impl Default for Account {
    /// The account of a process whose memory is not limited.
    fn default() -> Self {
        Self::with_memory(None)
    }
}

/// Bytes that an answer or event may take while it arrives, given back when it is dropped.
#[derive(Debug)]
pub struct Reservation(
    #[expect(dead_code, reason = "held until it is dropped")] Option<OwnedSemaphorePermit>,
);

impl Account {
    /// Creates an account for a process that may use this memory; `None` if it is not limited.
    pub fn new(memory: Option<usize>) -> Arc<Self> {
        Arc::new(Self::with_memory(memory))
    }

    fn with_memory(memory: Option<usize>) -> Self {
        let arriving = memory::arriving_max(memory, RESPONSE_MAX);
        let units = arriving.map_or(Semaphore::MAX_PERMITS, |bytes| bytes / RESERVATION_UNIT);
        Self {
            held: AtomicUsize::new(0),
            memory,
            arriving: Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reserves bytes for an answer or event that arrives, at most [`RESPONSE_MAX`]. Waits while others take them, in the
    /// order of the calls.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let units = bytes.min(RESPONSE_MAX).div_ceil(RESERVATION_UNIT);
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        let permit = Arc::clone(&self.arriving).acquire_many_owned(units).await;
        Reservation(permit.ok())
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
