//! Records of the versions at which streams began, for callers that take up a stream at another router.
//!
//! A caller names the request that brought the stream's first event, so that request's id is the key. For callers that do
//! not, there is a second record by the stream's content: its request's fingerprint. The router that has begun a stream
//! keeps both and sends them to a few keepers, which every router can name from the key
//! ([`Members::keepers`](super::members::Members::keepers)). A router that is asked to go on with a stream asks the keepers
//! at once; without a record it sends the request nowhere, unless the service has had a single version for longer than
//! streams last. Records are a cache that dies with its routers: nothing is agreed on, and the version in a record never
//! changes, since the first event of a stream has one origin.

use std::collections::{BTreeSet, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::decision::origin::{Answer, CONTENT_KEEPERS, Origin, REQUEST_KEEPERS};
use super::fingerprint::Fingerprint;
use crate::units::Millis;

/// Maximum number of records, in some 3 MB: of 2,100 streams a second that callers go on with for 15 s, each of 7 routers
/// keeps 32,000.
const RECORDS_MAX: usize = 1 << 16;
/// Longest time for which a record is kept, whatever time its caller has.
pub const KEPT_MAX: Millis = Millis(60_000);

/// Identifies a stream. It is encoded by position for other processes, so the order of the variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Id {
    /// Hash of the stream's customer and of the request that brought its first event.
    Request(u64),
    /// Hash of the request's fingerprint, which streams of equal requests share.
    Content(u64),
}

impl Id {
    /// The id of the stream whose first event a customer's request has brought.
    pub fn of_request(customer: Option<&str>, request: &str) -> Self {
        let seed = xxh3_64(customer.unwrap_or_default().as_bytes());
        Self::Request(xxh3_64_with_seed(request.as_bytes(), seed))
    }

    /// The id that all streams of a request and its equals share.
    pub fn of_content(fingerprint: Fingerprint) -> Self {
        let request = fingerprint.request.to_le_bytes();
        Self::Content(xxh3_64_with_seed(&request, fingerprint.customer))
    }

    /// Seed by which the keepers of the record are ranked.
    pub(super) fn seed(self) -> u64 {
        match self {
            Self::Request(hash) | Self::Content(hash) => hash,
        }
    }

    /// Number of the record's keepers.
    pub(super) fn keepers(self) -> usize {
        match self {
            Self::Request(_) => REQUEST_KEEPERS,
            Self::Content(_) => CONTENT_KEEPERS,
        }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(hash) => write!(f, "request-{hash:016x}"),
            Self::Content(hash) => write!(f, "content-{hash:016x}"),
        }
    }
}

/// A stream that callers may take up again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// The id by which its record is looked for: of the request that its caller names, or of its content.
    pub id: Id,
    /// The id of its content.
    pub content: Id,
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
    known: HashMap<Id, (Answer, Millis)>,
    unsent: Vec<Unsent>,
}

impl Streams {
    /// Keeps a record of a stream until `until`. Returns whether there was room for it.
    pub fn keep(&mut self, now: Millis, id: Id, origin: Origin, until: Millis) -> bool {
        if self.known.len() >= RECORDS_MAX {
            self.forget(now);
        }
        if self.known.len() >= RECORDS_MAX {
            return false;
        }
        let until = until.min(now + KEPT_MAX);
        let (known, kept) = self.known.entry(id).or_insert((Answer::Missing, until));
        if *kept <= now {
            *known = Answer::Missing;
        }
        *known = known.and(Answer::Known(origin));
        *kept = until.max(*kept);
        true
    }

    /// Keeps the records of a stream that a target of this router's request has begun, to be sent to their keepers. Returns
    /// whether there was room for them.
    pub fn begin(&mut self, now: Millis, service: &str, stream: Stream, origin: Origin) -> bool {
        let ids = [stream.id, stream.content];
        let are_kept = ids.map(|id| self.keep(now, id, origin, stream.until));
        if are_kept != [true; 2] {
            return false;
        }
        self.unsent.push(Unsent {
            service: service.to_owned(),
            stream,
            origin,
        });
        true
    }

    /// Keeps the records of another router. Returns how many there was no room for.
    pub fn merge(&mut self, now: Millis, records: &[Record]) -> usize {
        let kept = records.iter().filter(|record| {
            let until = now + record.left.min(KEPT_MAX);
            self.keep(now, record.stream, record.origin, until)
        });
        records.len() - kept.count()
    }

    /// What is known here of the version that began a stream.
    pub fn answer(&self, now: Millis, id: Id) -> Answer {
        match self.known.get(&id) {
            Some((answer, until)) if *until > now => *answer,
            _ => Answer::Missing,
        }
    }

    /// Takes the records to be sent: those of services for which `is_needed` holds. The others wait until it does, or
    /// until their streams have ended.
    pub fn take_unsent(&mut self, now: Millis, is_needed: impl Fn(&str) -> bool) -> Vec<Record> {
        let unsent = std::mem::take(&mut self.unsent).into_iter();
        let in_progress = unsent.filter(|unsent| unsent.stream.until > now);
        let (needed, waiting): (Vec<Unsent>, Vec<Unsent>) =
            in_progress.partition(|unsent| is_needed(&unsent.service));
        self.unsent = waiting;
        let records = needed.into_iter().flat_map(|unsent| {
            let stream = unsent.stream;
            [stream.id, stream.content].map(|id| Record {
                stream: id,
                origin: unsent.origin,
                left: stream.until.saturating_sub(now),
            })
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
