//! Records of the versions at which streams began, for callers that take up a stream at another router.
//!
//! A caller names the request that brought the stream's first event, so that request's id is the key. The router that
//! has begun a stream keeps its record and sends it to a few keepers, which every router can name from the id
//! ([`Members::keepers`](super::members::Members::keepers)). A router that is asked to go on with a stream asks the keepers
//! at once; without a record it sends the request nowhere. Records are a cache that dies with its routers: nothing is
//! agreed on, and a record never changes, since the first event of a stream has one origin.

use std::collections::{BTreeSet, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::decision::origin::Origin;
use crate::units::Millis;

/// Maximum number of records: 25 s of the streams of 2,600 requests a second on one router, in some 3 MB.
const RECORDS_MAX: usize = 1 << 16;
/// Longest time for which a record is kept, whatever time its caller has.
pub const KEPT_MAX: Millis = Millis(60_000);

/// Identifies a stream: a hash of its customer and of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(u64);

impl Id {
    /// The id of the stream whose first event a customer's request has brought.
    pub fn new(customer: Option<&str>, request: &str) -> Self {
        let seed = xxh3_64(customer.unwrap_or_default().as_bytes());
        Self(xxh3_64_with_seed(request.as_bytes(), seed))
    }

    /// Seed by which the keepers of the stream are ranked.
    pub(super) fn seed(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A stream that callers may take up again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Its id.
    pub id: Id,
    /// When its caller stops going on with it, by the host's steady clock.
    pub until: Millis,
}

/// A stream's record, as routers send it. It is encoded by position for other processes, so the order of its fields must
/// not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The stream.
    pub stream: Id,
    /// The version that began it.
    pub origin: Origin,
    /// How much longer its caller may go on with it.
    pub left: Millis,
}

/// A record that was not sent to the stream's keepers yet.
#[derive(Clone, Debug)]
struct Unsent {
    service: String,
    stream: Stream,
    origin: Origin,
}

/// The records that a router has.
#[derive(Debug, Default)]
pub struct Streams {
    known: HashMap<Id, (Origin, Millis)>,
    unsent: Vec<Unsent>,
}

impl Streams {
    /// Keeps the record of a stream that this router has not begun. Returns whether there was room for it.
    pub fn keep(&mut self, now: Millis, stream: Stream, origin: Origin) -> bool {
        if self.known.len() >= RECORDS_MAX {
            self.forget(now);
        }
        if self.known.len() >= RECORDS_MAX {
            return false;
        }
        let until = stream.until.min(now + KEPT_MAX);
        let (_, kept) = self.known.entry(stream.id).or_insert((origin, until));
        *kept = until.max(*kept);
        true
    }

    /// Keeps the record of a stream that a target of this router's request has begun, to be sent to its keepers.
    pub fn begin(&mut self, now: Millis, service: &str, stream: Stream, origin: Origin) -> bool {
        let is_kept = self.keep(now, stream, origin);
        if is_kept {
            self.unsent.push(Unsent {
                service: service.to_owned(),
                stream,
                origin,
            });
        }
        is_kept
    }

    /// Keeps the records of another router. Returns how many there was no room for.
    pub fn merge(&mut self, now: Millis, records: &[Record]) -> usize {
        let kept = records.iter().filter(|record| {
            let stream = Stream {
                id: record.stream,
                until: now + record.left.min(KEPT_MAX),
            };
            self.keep(now, stream, record.origin)
        });
        records.len() - kept.count()
    }

    /// The version that began a stream, if its record is kept here.
    pub fn origin(&self, now: Millis, id: Id) -> Option<Origin> {
        let (origin, until) = self.known.get(&id)?;
        (*until > now).then_some(*origin)
    }

    /// Takes the records to be sent: those of services for which `is_needed` holds. The others wait until it does, or
    /// until their streams have ended.
    pub fn take_unsent(&mut self, now: Millis, is_needed: impl Fn(&str) -> bool) -> Vec<Record> {
        let unsent = std::mem::take(&mut self.unsent).into_iter();
        let in_progress = unsent.filter(|unsent| unsent.stream.until > now);
        let (needed, waiting): (Vec<Unsent>, Vec<Unsent>) =
            in_progress.partition(|unsent| is_needed(&unsent.service));
        self.unsent = waiting;
        let records = needed.into_iter().map(|unsent| Record {
            stream: unsent.stream.id,
            origin: unsent.origin,
            left: unsent.stream.until.saturating_sub(now),
        });
        records.collect()
    }

    /// The services of the records that were not sent yet.
    pub fn unsent_services(&self) -> BTreeSet<String> {
        let services = self.unsent.iter();
        services.map(|unsent| unsent.service.clone()).collect()
    }

    /// Whether there are records that were not sent yet.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Drops the records of streams that have ended.
    pub fn forget(&mut self, now: Millis) {
        self.known.retain(|_, (_, until)| *until > now);
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
