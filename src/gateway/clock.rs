//! The time of day that the hosts of the fleet agree on.
//!
//! A router compares its host's steady clock with the time of day that other hosts report. The time that most of them
//! agree on survives a power loss, unlike the steady clock, and does not change when the time of day is set on a single
//! host. There is no such time while too few hosts are known or too many differ.
//!
//! What follows from two of its readings is valid unless, between them, the time of day is set alike on three quarters
//! of the hosts that were asked, by as much as a spending commitment lasts.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::boot_clock::Reading;
use crate::units::Millis;

/// Minimum number of hosts whose time of day must be known, this one included: if two differ, neither can be trusted
/// over the other.
const QUORUM_MIN: usize = 3;
/// Required number of hosts whose time of day is known, in a fleet of sixteen or more routers; in a smaller fleet,
/// three quarters of the routers must have reported theirs. If 28 of 100 hosts have the same wrong time, a random
/// sample of twelve contains nine or more of them once in a thousand draws, and a sample of three contains two or more
/// of them once in five.
const QUORUM_MAX: usize = 12;
/// Maximum difference from the median at which a time of day counts as agreeing, in milliseconds. Hosts that
/// synchronize their time of day differ by far less, and any step that matters is longer.
const AGREEMENT_TOLERANCE_MS: u64 = 250;
/// Maximum age of a comparison with a host: a few rounds of comparisons.
const COMPARISON_MAX_AGE: Millis = Millis(8_000);

/// How long the last agreed offset stays valid after hosts stop agreeing or answering. This host's steady clock
/// continues meanwhile, whatever happens to the time of day on other hosts, and drifts by a few milliseconds a minute.
const AGREEMENT_MAX_AGE: Millis = Millis(60_000);

/// Maximum difference between two readings of the same steady clock that are transmitted over links, in milliseconds.
const BOOT_TOLERANCE_MS: u64 = 1_000;

/// The readings of a host's clocks. It is encoded by position for other processes, so the order of its fields must not
/// change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readings {
    /// The steady clock, if the host's boot id is known.
    pub boot: Option<Reading>,
    /// The time of day, in milliseconds since the Unix epoch.
    pub wall: Option<Millis>,
}

/// How far a time of day is ahead of this host's steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offset(i64);

impl Offset {
    /// The time of day at a time of the steady clock, in milliseconds since the Unix epoch.
    pub fn wall(self, steady: Millis) -> Millis {
        Millis(steady.0.saturating_add_signed(self.0))
    }
}

/// The clock readings that hosts have reported.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    /// By host: when it reported its time of day, and how far that was ahead of this host's steady clock.
    comparisons: HashMap<String, (Millis, i64)>,
    /// Id of this host's boot, if known.
    boot: Option<u64>,
    /// Whether another host has the same boot id but a different steady clock.
    is_boot_shared: bool,
    /// Number of routers in the fleet.
    fleet_size: usize,
    /// The last offset that hosts agreed on.
    last_agreement: Option<Agreement>,
}

/// An offset that enough hosts agreed on.
#[derive(Clone, Copy, Debug)]
struct Agreement {
    at: Millis,
    offset: Offset,
    /// Number of hosts whose time of day was known.
    hosts: usize,
}

impl Clock {
    /// Creates a clock without comparisons, for a host with this boot id.
    pub fn new(boot: Option<u64>) -> Self {
        Self {
            boot,
            ..Self::default()
        }
    }

    /// Records the readings of a host's clocks, taken when this host's steady clock read `now`.
    pub fn record(&mut self, host: &str, now: Millis, theirs: &Readings) {
        if let Some(boot) = theirs.boot {
            let is_same = self.boot == Some(boot.boot);
            let differs = boot.at.0.abs_diff(now.0) > BOOT_TOLERANCE_MS;
            self.is_boot_shared |= is_same && differs;
        }
        if let Some(wall) = theirs.wall {
            let ahead = wall.0.wrapping_sub(now.0) as i64;
            self.comparisons.insert(host.to_owned(), (now, ahead));
        }
        self.comparisons
            .retain(|_, (at, _)| now.saturating_sub(*at) < COMPARISON_MAX_AGE);
        if let Some(offset) = self.agreed(now) {
            self.last_agreement = Some(Agreement {
                at: now,
                offset,
                hosts: self.comparisons.len(),
            });
        }
    }

    /// Sets the number of routers in the fleet, from which the required number of hosts follows.
    pub fn set_fleet_size(&mut self, routers: usize) {
        self.fleet_size = routers;
    }

    /// Whether this host's boot id identifies its boot. It does not if another host has the same id but a different
    /// steady clock.
    pub fn is_boot_id_unique(&self) -> bool {
        !self.is_boot_shared
    }

    /// The offset that three quarters of the hosts agree on, or else the last one that they agreed on: a router that is
    /// busy or partitioned off hears from too few hosts in time, and the commitments that it makes then would prove
    /// nothing.
    pub fn offset(&self, now: Millis) -> Option<Offset> {
        let last = self.last_agreement.filter(|last| {
            let is_recent = now.saturating_sub(last.at) < AGREEMENT_MAX_AGE;
            // More routers may have become known since.
            is_recent && last.hosts >= self.quorum()
        });
        self.agreed(now).or(last.map(|last| last.offset))
    }

    /// Number of hosts whose time of day must be known.
    fn quorum(&self) -> usize {
        (self.fleet_size * 3)
            .div_ceil(4)
            .clamp(QUORUM_MIN, QUORUM_MAX)
    }

    /// The offset that three quarters of the hosts agree on; `None` if they do not agree or too few have reported
    /// theirs.
    pub fn agreed(&self, now: Millis) -> Option<Offset> {
        let fresh = self
            .comparisons
            .values()
            .filter(|(at, _)| now.saturating_sub(*at) < COMPARISON_MAX_AGE);
        let mut offsets: Vec<i64> = fresh.map(|(_, ahead)| *ahead).collect();
        if offsets.len() < self.quorum() {
            return None;
        }
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        let agreeing = offsets
            .iter()
            .filter(|ahead| ahead.abs_diff(median) <= AGREEMENT_TOLERANCE_MS);
        (agreeing.count() * 4 >= offsets.len() * 3).then_some(Offset(median))
    }
}
