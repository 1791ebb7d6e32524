//! Which routers read the lists of targets and routers from the store, and which get them from those.
//!
//! Each target and each router writes its entry every few seconds, and a read of the store returns all entries written
//! since the last one. If all routers read them, the bytes that the store sends grow with the number of routers times
//! that of targets. So in each hall a few routers read them and pass on only what changes, to relays that pass it on to the
//! others.

use std::ops::RangeInclusive;

use crate::units::Millis;

/// Number of routers of a hall that read the store. With 8 halls, 32 routers read 4,000 entries of 250 bytes a second,
/// those of 20,000 targets: 32 MB/s, of the 80 MB/s that the store sends. Two may fail before a router has to read the
/// store itself.
pub const READERS_PER_HALL: usize = 4;

/// Number of routers of a hall, after the readers, that pass on to the others what the readers tell them: a reader whose
/// link has 20 Mbit/s sends the list of 10,000 targets, 1 MB, to 6 relays in 2.4 s, and a relay to as many followers of a
/// hall of 170 routers.
pub const RELAYS_PER_HALL: usize = 24;

/// Number of readers of a hall that read the list of targets at their start without asking the others first. With 8 halls
/// they read 20,000 targets, 7 MB, in 1.4 s.
pub const LEADERS_PER_HALL: usize = 2;

/// Number of readers or relays that a router asks in one round.
pub const SOURCES_MAX: usize = 2;

/// Age of a reader's lists from which on they are not relied on: two rounds of its reads. With a round of the relay
/// and a source that does not answer, a leaving target is known there within 2.2 s.
const AGE_MAX: Millis = Millis(1_300);

/// Age of a relay's lists from which on they are not relied on: one round more.
const RELAYED_AGE_MAX: Millis = Millis(1_800);

/// Number of targets up to which a whole list is sent with a heartbeat to a router that the store does not answer: some
/// 50 kB, which a link of 20 Mbit/s sends in 20 ms. A longer one would hold up the heartbeats of a starting fleet, so it
/// is only followed in parts.
const HEARTBEAT_TARGETS_MAX: usize = 500;

/// Number of entries that the routers which are told of no current list read themselves in a round of half a second, all
/// together. With 250 bytes an entry, that is half of what the store sends.
const OWN_ENTRIES_MAX: usize = 80_000;

/// Reads a second that all readers together aim at while the store refuses them for its rate, of which it takes thousands.
/// [`READER_PAUSES`] bounds the pause, so few readers make fewer and a small fleet in which all read makes more.
const REFUSED_READS_MAX: u64 = 120;

/// Bounds of the longest pause of a reader whose reads are refused: a long list has many parts, each of which may be
/// refused several times.
const READER_PAUSES: RangeInclusive<u64> = 100..=300;

/// Longest pause of each of `readers` readers between reads that the store refuses for its rate.
pub fn reader_pause_max(readers: usize) -> Millis {
    let shared = readers as u64 * 1_000 / REFUSED_READS_MAX;
    Millis(shared.clamp(*READER_PAUSES.start(), *READER_PAUSES.end()))
}

/// Where a router gets the lists from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// From the store. It passes them on to others.
    Reader,
    /// From the readers of its hall. It passes them on to others.
    Relay,
    /// From the relays of its hall.
    Follower,
}

impl Role {
    /// Whether the router passes the lists on.
    pub fn passes_on(self) -> bool {
        match self {
            Self::Reader | Self::Relay => true,
            Self::Follower => false,
        }
    }
}

/// Number of routers times that of entries, of targets and routers, up to which all routers read the store. With an entry
/// of 250 bytes every 1.2 s they read 21 MB/s then, a quarter of what the store sends.
const ENTRIES_READ_MAX: usize = 100_000;

/// The size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Number of routers.
    pub routers: usize,
    /// Number of targets that are known.
    pub targets: usize,
}

impl Fleet {
    /// Whether all routers read the store.
    pub fn is_small(&self) -> bool {
        let entries = self.routers.saturating_mul(self.routers + self.targets);
        entries <= ENTRIES_READ_MAX
    }
}

/// Chance at which a router reads the list itself in a round, since those that it asks have no current one either. They are
/// late because the store or their links are overloaded, which reads by all routers at once would keep up.
pub fn own_read_chance(fleet: Fleet) -> f64 {
    let entries = fleet.routers.saturating_mul(fleet.targets);
    (OWN_ENTRIES_MAX as f64 / entries.max(1) as f64).min(1.0)
}

/// The role of a router, by how many routers of its hall come before it. In a small fleet all are readers: each learns of
/// changes one call sooner then.
pub fn role(before: usize, fleet: Fleet) -> Role {
    if before < READERS_PER_HALL || fleet.is_small() {
        Role::Reader
    } else if before < READERS_PER_HALL + RELAYS_PER_HALL {
        Role::Relay
    } else {
        Role::Follower
    }
}

/// Whether a list of so many targets is sent with a heartbeat.
pub fn fits_heartbeat(targets: usize) -> bool {
    targets <= HEARTBEAT_TARGETS_MAX
}

/// Which routers are asked for the lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The relays of the hall.
    Relays,
    /// The readers of the hall.
    Readers,
    /// The readers of the other halls.
    OtherHalls,
}

/// Rounds without current lists after which a reader asks those of other halls, in every second round: its own hall may be
/// cut off from the store.
const HALL_ROUNDS_MAX: u32 = 2;

/// Rounds without current lists after which a follower asks the readers, in every second round: the relays may all be gone.
/// Before, they may only lack the list, while a fleet starts, and the links of the readers are needed for them.
const RELAY_ROUNDS_MAX: u32 = 8;

/// Which routers are asked after so many rounds without current lists. Only readers ask in other halls, since they are few.
pub fn scope(role: Role, failed_rounds: u32) -> Scope {
    let is_even = failed_rounds % 2 == 0;
    match role {
        Role::Reader if failed_rounds >= HALL_ROUNDS_MAX && is_even => Scope::OtherHalls,
        Role::Follower if failed_rounds < RELAY_ROUNDS_MAX || is_even => Scope::Relays,
        Role::Reader | Role::Relay | Role::Follower => Scope::Readers,
    }
}

/// Whether lists of this age are relied on by a router of this role.
pub fn is_fresh(age: Millis, role: Role) -> bool {
    let longest = match role {
        Role::Reader | Role::Relay => AGE_MAX,
        Role::Follower => RELAYED_AGE_MAX,
    };
    age <= longest
}
