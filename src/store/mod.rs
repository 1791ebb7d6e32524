//! A store of the platform: partitioned logs of records, and the newest record of each key.
//!
//! A call that got no answer may have been done, or may still be done. Whoever needs to know reads
//! back. Only reads are sent twice, by [`hedge`].

pub mod hedge;
mod place;
mod timeout;

pub use place::{BadEra, Era, Eras, Place, Told};
pub use timeout::Timeout;

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use snafu::Snafu;

/// Longest key of a record, in bytes: the store keeps a key's length in one byte.
pub const KEY_MAX: usize = 255;

/// Why a call did not do what it should.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// Too many calls; nothing was done.
    #[snafu(display("too many calls"))]
    Limited,
    /// The store is not available; nothing was done.
    #[snafu(display("unavailable"))]
    Unavailable,
    /// No connection came up; nothing was done.
    #[snafu(display("no connection"))]
    Unreachable,
    /// No answer; it may have been done, or may be done later.
    #[snafu(display("no answer"))]
    Unknown,
    /// Records from the wanted offset on are gone.
    #[snafu(display("records before {first} are gone"))]
    Gone {
        /// The first offset that is kept.
        first: u64,
    },
    /// The partition does not end where it was expected to; nothing was done.
    #[snafu(display("the partition ends at {end}"))]
    Moved {
        /// Where it ends.
        end: u64,
    },
    /// The store has come back from a copy since the place that the call names; an append may have been done.
    #[snafu(display("the store came back from a copy, in era {era}"))]
    Restored {
        /// Its era now.
        era: Era,
    },
    /// A record's key is longer than [`KEY_MAX`]; nothing was sent.
    #[snafu(display("a key of {length} bytes"))]
    KeyTooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// An answer that is not one of the store's, by its status or its body; it may have been done.
    #[snafu(display("answered {status}"))]
    Refused {
        /// Its status.
        status: u16,
    },
}

impl CallError {
    /// Whether the call may have been done all the same.
    pub fn may_be_done(&self) -> bool {
        matches!(
            self,
            Self::Unknown | Self::Refused { .. } | Self::Restored { .. }
        )
    }

    /// Whether the store has answered that what the call rested on is out of date.
    pub fn is_outdated(&self) -> bool {
        matches!(self, Self::Moved { .. }) || self.loses_place()
    }

    /// Whether what was read before is to be read anew, from the newest records on.
    pub fn loses_place(&self) -> bool {
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
    /// The operators' configuration.
    Config,
    /// The targets, as they list themselves.
    Targets,
    /// The routers, as they list themselves.
    Routers,
    /// What was prepaid and what is granted, by customer.
    Prepaid,
}

/// A record of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; `None` drops the key.
    pub value: Option<Bytes>,
}

/// Records of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records, in order.
    pub records: Vec<Record>,
    /// The place after the last record of the partition at the time of the answer.
    pub end: Place,
    /// The place after the last record of this page.
    pub next: Place,
}

/// The store. An answer is waited for `limit`, beside what the store is asked to wait.
pub trait Store: Send + Sync {
    /// Appends records, all or none; with `at`, only if the partition ends there. The new end is
    /// returned.
    fn append<'a>(
        &'a self,
        partition: Partition,
        records: &'a [Record],
        at: Option<Place>,
        limit: Duration,
    ) -> BoxFuture<'a, Result<Place, CallError>>;

    /// Reads from a place on, and waits up to `wait` for the first record.
    fn read(
        &self,
        partition: Partition,
        from: Place,
        wait: Duration,
        limit: Duration,
    ) -> BoxFuture<'_, Result<Page, CallError>>;

    /// The newest record of each key. Read on from `next`: the answer comes in several parts, which
    /// need not be of one moment.
    fn newest(
        &self,
        partition: Partition,
        limit: Duration,
    ) -> BoxFuture<'_, Result<Page, CallError>>;

    /// The newest era that any answer has named.
    fn era(&self) -> Era;
}
