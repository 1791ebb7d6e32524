//! How many requests a router may have at a target that fails once it rejects too many.
//!
//! Such a target may shorten its queue without notice, so only its slots are certain to take a request. All routers
//! together therefore send no more requests at a time than a target has slots. The slots are owned by routers as
//! [`share`](super::share) allocates them; a router without a free one asks an owner for a lease. An owner that has ended
//! leaves its slots unused until it is back: nobody takes them over, so two routers that disagree about who is live
//! cannot use the same slot.
//!
//! Rejected alternatives: sending less after each rejection, since a target fails after a few rejections and each router
//! of a large fleet would contribute one; and one router that admits all requests to a target, since routers that do not
//! see each other would use two of them.

use super::share::Allocation;
use crate::units::Millis;

/// Maximum time that a request waits for a slot. Another router answers within the timeout of calls between routers, so
/// this is less.
pub const WAIT_MAX: Millis = Millis(300);
/// How long a slot stays unused after a request in it was rejected: the target has less room than it states, or another
/// router uses the slot, too.
pub const WITHHELD_FOR: Millis = Millis(8_000);
/// Owners that are asked for a free slot before the request waits for one.
pub const PROBES: u32 = 2;
/// Retry delay if there is no slot that can become free here.
const NO_SLOT_RETRY: Millis = Millis(250);

/// Number of a target's slots that the router at this position of the order owns; none while its position is not known.
pub fn owned(slots: u32, routers: usize, place: Option<usize>) -> u32 {
    let quota = place.map(|place| Allocation::new(slots as usize, routers).quota(place));
    quota.map_or(0, |quota| u32::try_from(quota).unwrap_or(u32::MAX))
}

/// The slots of a target that this router owns, and the requests that use them or wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line {
    /// Slots that this router owns.
    pub owned: u32,
    /// Owned slots that are not used for now.
    pub withheld: u32,
    /// Requests that use the owned slots.
    pub occupied: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How long a request uses a slot.
    pub work: Millis,
}

/// Whether a request may use a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A slot is free.
    Enter,
    /// A slot is expected to become free in time.
    Wait,
    /// No slot becomes free in time.
    Busy {
        /// Time until one can be free.
        after: Millis,
    },
}

impl Line {
    fn usable(&self) -> u32 {
        self.owned.saturating_sub(self.withheld)
    }

    /// Whether a slot is free, no matter how many requests wait.
    pub fn has_free_slot(&self) -> bool {
        self.occupied < self.usable()
    }

    /// Decides whether a request with this much time left may use a slot.
    pub fn enter(&self, left: Millis) -> Entry {
        let usable = self.usable();
        if usable == 0 {
            let after = NO_SLOT_RETRY;
            return Entry::Busy { after };
        }
        if self.waiting == 0 && self.has_free_slot() {
            return Entry::Enter;
        }
        let ahead = self.waiting + 1 + self.occupied.saturating_sub(usable);
        let expected = Millis(self.work.0 * u64::from(ahead) / u64::from(usable));
        if expected <= WAIT_MAX && expected + self.work <= left {
            Entry::Wait
        } else {
            Entry::Busy { after: expected }
        }
    }
}
