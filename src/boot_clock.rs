//! The host's steady clock, which all processes of one boot of the host read alike.
//!
//! It counts from the boot, also while the host sleeps, and nobody can set it. A reading names its boot, since
//! readings of two boots say nothing of each other.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::units::Millis;

/// Where the system tells the id of its boot, which is drawn anew at each.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// What the clock reads at the boot, in milliseconds: differences to times before it are needed.
pub const AT_BOOT: Millis = Millis(1_000_000);

/// The time by the host's steady clock. Whatever is told to another host, or was told by one, is timed by it: the
/// clock that timers run by stands still while the host sleeps, and would have a caller wait on that has left.
///
/// # Panics
/// Where the system has no such clock; Linux has had one since 2.6.39.
pub fn now() -> Millis {
    let time =
        clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a clock that counts sleep");
    AT_BOOT + Millis(Duration::from(time).as_millis() as u64)
}

/// A time of the host's steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Which boot; a hash of its id.
    pub boot: u64,
    /// The time since then, from [`AT_BOOT`] on.
    pub at: Millis,
}

impl Reading {
    /// The time now; `None` where the system does not tell it, which is logged.
    pub fn now() -> Option<Self> {
        let boot = match std::fs::read_to_string(BOOT_ID) {
            Ok(id) => xxh3_64(id.trim().as_bytes()),
            Err(error) => {
                tracing::warn!(event = "boot_unknown", %error);
                return None;
            }
        };
        Some(Self { boot, at: now() })
    }
}
