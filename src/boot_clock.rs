//! The host's boot-time clock, which is the same for all processes of one boot.
//!
//! The clock counts from the boot, also while the host is suspended, and cannot be set. A reading identifies its boot,
//! since readings of different boots cannot be compared.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::units::Millis;

/// File with the id of the boot, a new random one at each boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// What the clock reads at the boot. It is not zero, so that times before the boot can be represented.
pub const AT_BOOT: Millis = Millis(1_000_000);

/// Reads the boot-time clock. Whatever is exchanged with another host is timed by it: the monotonic clock that timers
/// use stops while the host is suspended, so that a caller that has given up would still count as waiting.
///
/// # Panics
/// If the system has no such clock; Linux has had one since 2.6.39.
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the system has a clock that counts during suspend");
    AT_BOOT + Millis(Duration::from(time).as_millis() as u64)
}

/// A reading of the host's boot-time clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Hash of the id of the boot.
    pub boot: u64,
    /// The time since the boot, plus [`AT_BOOT`].
    pub at: Millis,
}

impl Reading {
    /// Reads the clock; `None` if the id of the boot cannot be read, which is logged.
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
