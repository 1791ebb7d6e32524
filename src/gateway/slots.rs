//! Leases of slots between routers, as messages and as counts for operators. The messages are encoded by position for
//! other processes, so the order of fields and variants must not change.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::metrics::Counter;
use crate::units::Millis;

/// Identifies a lease among those of its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// Whether a request waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Patience {
    /// Only a free slot is of use.
    Now,
    /// The request waits for a slot.
    Wait,
}

/// Asks for the lease of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Hash of the target's instance.
    pub instance: u64,
    /// Id of the lease, chosen by the asking router.
    pub lease: LeaseId,
    /// Time until the request ends at the latest.
    pub left: Millis,
    /// Rank of the request; 0 goes first.
    pub rank: u8,
    /// Whether the request waits.
    pub patience: Patience,
}

/// Answers a [`Query`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The slot is leased until its end is reported, and no longer than the request has left.
    Granted,
    /// No slot is free in time.
    Busy {
        /// Time until one can be free.
        after: Millis,
    },
}

/// What is known of a request's target at the end of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Occupancy {
    /// The target does not work on the request, or no longer.
    #[default]
    Ended,
    /// The target has rejected the request.
    Rejected,
    /// The target may still work on the request.
    Unknown,
}

/// Ends a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Hash of the target's instance.
    pub instance: u64,
    /// The lease.
    pub lease: LeaseId,
    /// How the request has ended.
    pub occupancy: Occupancy,
}

/// What became of requests for slots.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests that got a slot of this router.
    pub own: Counter,
    /// Requests that got a slot of another router.
    pub leased: Counter,
    /// Requests of this router that got no slot where they asked.
    pub refused: Counter,
    /// Slots leased to other routers.
    pub lent: Counter,
    /// Requests of other routers that got no slot here.
    pub declined: Counter,
}

impl Counts {
    /// Formats the counts, one value per line.
    pub fn text(&self) -> String {
        let counters = [
            ("own", &self.own),
            ("leased", &self.leased),
            ("refused", &self.refused),
            ("lent", &self.lent),
            ("declined", &self.declined),
        ];
        let mut text = String::new();
        for (outcome, counter) in counters {
            let count = counter.get();
            // Writing to a `String` cannot fail.
            let _ = writeln!(
                text,
                "lanedeck_slots_total{{outcome=\"{outcome}\"}} {count}"
            );
        }
        text
    }
}
