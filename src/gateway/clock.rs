//! The time of day that the hosts of the fleet agree on.
//!
//! A router compares its host's steady clock with the clocks that other hosts tell it of. What most of them tell
//! alike outlives a loss of power, which the steady clock does not, and does not follow one host whose time of day
//! is set. Nothing is told where too few hosts are known or too many differ.
//!
//! What rests on it holds unless three quarters of the hosts that were asked have their time of day set alike, by as
//! much as a promise lasts, between two looks that are compared.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::boot_clock::Reading;
use crate::units::Millis;

/// Hosts whose time of day must be known, this one among them: two that differ say nothing of who is right.
const HOSTS_MIN: usize = 3;
/// The same in a fleet of sixteen or more; in a smaller one three of four routers must have told theirs. Where 28 in
/// 100 hosts are set alike, nine or more of twelve that are drawn are among them once in a thousand draws, and two of
/// three once in five.
const HOSTS_ENOUGH: usize = 12;
/// How far from the median a time of day counts as the same, in milliseconds. Hosts whose time of day
/// is kept by the usual means differ by far less, and a step that matters is longer.
const SAME: u64 = 250;
/// How long a comparison is believed. A few rounds of them.
const BELIEVED: Millis = Millis(8_000);

/// How long an offset stands that hosts agreed on and no longer do, or no longer answer. This host's steady clock runs
/// on meanwhile, whatever becomes of the others' time of day; what it drifts in a minute is some milliseconds.
const AGREED_BELIEVED: Millis = Millis(60_000);

/// How far two readings of one steady clock may differ, each told over a link, in milliseconds.
const SAME_BOOT: u64 = 1_000;

/// What a host's clocks read. It is encoded for other processes, so the order of fields is part of its form.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readings {
    /// Its steady clock, where it has one.
    pub boot: Option<Reading>,
    /// Its time of day, in milliseconds since 1970.
    pub wall: Option<Millis>,
}

/// How far a time of day is ahead of this host's steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offset(i64);

impl Offset {
    /// The time of day at a time of the steady clock, in milliseconds since 1970.
    pub fn wall(self, steady: Millis) -> Millis {
        Millis(steady.0.saturating_add_signed(self.0))
    }
}

/// What hosts told of their clocks.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    /// By host: when it told its time of day, and how far that was ahead of this host's steady clock.
    told: HashMap<String, (Millis, i64)>,
    /// This host's boot, where it tells one.
    boot: Option<u64>,
    /// Whether another host names the same boot, and its steady clock reads otherwise.
    is_boot_shared: bool,
    /// Routers that the fleet was seen to have.
    fleet: usize,
    /// What hosts agreed on last.
    last: Option<Agreement>,
}

/// An offset that enough hosts agreed on.
#[derive(Clone, Copy, Debug)]
struct Agreement {
    at: Millis,
    offset: Offset,
    /// Hosts that were known.
    hosts: usize,
}

impl Clock {
    /// The clock of a host that nobody has told of theirs yet, with the id of its boot.
    pub fn new(boot: Option<u64>) -> Self {
        Self {
            boot,
            ..Self::default()
        }
    }

    /// Notes what a host's clocks read when this host's steady clock read `now`.
    pub fn note(&mut self, host: &str, now: Millis, theirs: &Readings) {
        if let Some(boot) = theirs.boot {
            let is_same = self.boot == Some(boot.boot);
            let differs = boot.at.0.abs_diff(now.0) > SAME_BOOT;
            self.is_boot_shared |= is_same && differs;
        }
        if let Some(wall) = theirs.wall {
            let ahead = wall.0.wrapping_sub(now.0) as i64;
            self.told.insert(host.to_owned(), (now, ahead));
        }
        self.told
            .retain(|_, (at, _)| now.saturating_sub(*at) < BELIEVED);
        if let Some(offset) = self.agreed(now) {
            self.last = Some(Agreement {
                at: now,
                offset,
                hosts: self.told.len(),
            });
        }
    }

    /// Notes how many routers the fleet was seen to have.
    pub fn set_fleet(&mut self, routers: usize) {
        self.fleet = routers;
    }

    /// Whether the id of this host's boot tells one boot from another. Where two hosts name the same boot and their
    /// clocks differ, it does not.
    pub fn tells_boots(&self) -> bool {
        !self.is_boot_shared
    }

    /// The offset that three quarters of the hosts agree on, or have agreed on last: a router that is busy or cut off
    /// hears of too few in time, and the promises that it makes then would prove nothing.
    pub fn offset(&self, now: Millis) -> Option<Offset> {
        let last = self.last.filter(|last| {
            let is_young = now.saturating_sub(last.at) < AGREED_BELIEVED;
            // The fleet may have turned out to be larger since.
            is_young && last.hosts >= self.enough()
        });
        self.agreed(now).or(last.map(|last| last.offset))
    }

    /// Hosts whose time of day must be known.
    fn enough(&self) -> usize {
        (self.fleet * 3).div_ceil(4).clamp(HOSTS_MIN, HOSTS_ENOUGH)
    }

    /// The offset that three quarters of the hosts agree on; `None` where they do not, or too few have told theirs.
    pub fn agreed(&self, now: Millis) -> Option<Offset> {
        let fresh = self
            .told
            .values()
            .filter(|(at, _)| now.saturating_sub(*at) < BELIEVED);
        let mut offsets: Vec<i64> = fresh.map(|(_, ahead)| *ahead).collect();
        if offsets.len() < self.enough() {
            return None;
        }
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        let alike = offsets
            .iter()
            .filter(|ahead| ahead.abs_diff(median) <= SAME);
        (alike.count() * 4 >= offsets.len() * 3).then_some(Offset(median))
    }
}
