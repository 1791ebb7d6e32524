//! The interface of the platform's store: partitioned logs of records, and the newest record of each key.
//!
//! A call without an answer may have taken effect, or may still do so. A caller that needs to know reads back. Only
//! reads are repeated, by [`hedge`].

mod backoff;
pub mod hedge;
mod place;
mod snapshot;
mod timeout;

pub use backoff::Backoff;
pub use place::{BadEra, Era, EraTracker, Place, ReportedEra};
pub use snapshot::Snapshot;
pub use timeout::Timeout;

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use snafu::Snafu;

/// Maximum length of a record's key, in bytes: the store encodes it in one byte.
pub const KEY_MAX: usize = 255;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// Too many calls; the call had no effect.
    #[snafu(display("too many calls"))]
    Limited,
    /// The store is unavailable; the call had no effect.
    #[snafu(display("unavailable"))]
    Unavailable,
    /// No connection could be opened; nothing was sent.
    #[snafu(display("no connection"))]
    Unreachable,
    /// There is no usable answer; the call may have taken effect, or may do so later.
    #[snafu(display("no answer"))]
    Unknown,
    /// Records at the requested offset have been deleted.
    #[snafu(display("records before {first} are gone"))]
    Gone {
        /// The first offset that the store still has.
        first: u64,
    },
    /// The partition does not end at the expected offset; nothing was appended.
    #[snafu(display("the partition ends at {end}"))]
    Moved {
        /// The offset at which it ends.
        end: u64,
    },
    /// The store has been restored from a copy since the call's place was read; an append may have taken effect.
    #[snafu(display("the store was restored from a copy, in era {era}"))]
    Restored {
        /// The store's present era.
        era: Era,
    },
    /// A record's key is longer than [`KEY_MAX`]; nothing was sent.
    #[snafu(display("the key's length of {length} bytes is above the maximum"))]
    KeyTooLong {
        /// The key's length in bytes.
        length: usize,
    },
    /// The answer to a read of a list has no record that was not read before, and says that there are more.
    #[snafu(display("the list does not go on"))]
    NoProgress,
    /// The answer has a status or a body that the store does not use; the call may have taken effect.
    #[snafu(display("answered {status}"))]
    Refused {
        /// The answer's status.
        status: u16,
    },
}

impl CallError {
    /// Whether the call may have taken effect despite the error.
    pub fn may_be_done(&self) -> bool {
        matches!(
            self,
            Self::Unknown | Self::Refused { .. } | Self::Restored { .. }
        )
    }

    /// Whether a read of the newest records may succeed if it is asked to continue after another key.
    fn may_depend_on_key(&self) -> bool {
        match self {
            Self::NoProgress | Self::KeyTooLong { .. } => true,
            Self::Refused { status } => *status < 500,
            _ => false,
        }
    }

    /// Whether the store has answered that the place the call was based on is outdated.
    pub fn is_outdated(&self) -> bool {
        matches!(self, Self::Moved { .. }) || self.invalidates_place()
    }

    /// Whether reading cannot continue from the present place, so that the newest records must be read again.
    pub fn invalidates_place(&self) -> bool {
        matches!(self, Self::Gone { .. } | Self::Restored { .. })
    }
}

/// A partition of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Partition {
    /// The topic.
    pub topic: Topic,
    /// The partition's number.
    pub number: u32,
}

/// The topics that routers use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operators' configuration, evacuations of halls and orders of rollouts.
    Config,
    /// The targets' own entries.
    Targets,
    /// The routers' own entries.
    Routers,
    /// Prepaid budgets and grants, by customer.
    Prepaid,
    /// What the operators read: the progress of rollouts, by service.
    Status,
}

impl Topic {
    /// All topics, in the order of their numbers.
    pub const ALL: [Self; 5] = [
        Self::Config,
        Self::Targets,
        Self::Routers,
        Self::Prepaid,
        Self::Status,
    ];
}

/// A record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// A page of records of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records, in order.
    pub records: Vec<Record>,
    /// The end of the partition at the time of the answer.
    pub end: Place,
    /// The place after the last record of this page.
    pub next: Place,
}

/// A part of the newest records of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// The records that the product reads, in the store's order.
    pub records: Vec<Record>,
    /// The keys of all records, in the store's order. The next part begins after one of them.
    pub keys: Vec<String>,
    /// The end of the partition at the time of the answer.
    pub end: Place,
    /// Whether there are records after these.
    pub has_more: bool,
}

/// The store. `limit` is the timeout of each request to it, not counting the time that the store is asked to wait.
pub trait Store: Send + Sync {
    /// Appends all records or none; with `at`, only if the partition ends there. Returns the new end.
    fn append<'a>(
        &'a self,
        partition: Partition,
        records: &'a [Record],
        at: Option<Place>,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Place, CallError>>;

    /// Reads records from a place on. The store waits up to `wait` for the first record.
    fn read(
        &self,
        partition: Partition,
        from: Place,
        wait: Duration,
        limit: Duration,
    ) -> BoxFuture<'_, Result<Page, CallError>>;

    /// Reads the newest record of each key, as many as the store returns at once, from the key after `after` on. The
    /// parts are not one consistent snapshot; see [`Snapshot`].
    fn newest<'a>(
        &'a self,
        partition: Partition,
        after: Option<&'a str>,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Part, CallError>>;

    /// The newest era that any answer of the store has named.
    fn era(&self) -> Era;

    /// Number of bytes in the answers about a topic so far.
    fn bytes_received(&self, topic: Topic) -> u64;
}
