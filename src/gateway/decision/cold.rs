//! Which routers may send to a target that has just started, and how much.
//!
//! A cold target handles only a few requests a second and fails well above that rate. While it warms up, it gets
//! nothing as long as a warm target has a free slot. If none has, the requests that it can handle are allocated to a
//! few routers by [`share`](super::share).

use super::share::Allocation;
use crate::gateway::route::ColdStart;
use crate::units::Millis;

/// Share of a cold target's capacity that is allocated to routers, 0 to 1. One and a half times the capacity and a few
/// requests more are acceptable, so the bound holds even if two different views of the fleet each allocate this much.
const ALLOCATED_SHARE: f64 = 0.75;

/// The window in which requests to a cold target are counted: a second, plus a margin for clock and timer inaccuracy.
pub const WINDOW: Millis = Millis(1_050);

/// Decides which of a fleet's routers may send to a cold target, and how many requests each in a [`WINDOW`].
pub fn allocation(cold: &ColdStart, routers: usize) -> Allocation {
    Allocation::new(
        (cold.per_second * ALLOCATED_SHARE).floor() as usize,
        routers,
    )
}
