//! Which router may send to a target that has just started, and how much.
//!
//! A cold target takes a few requests a second and falls over well above that. For some seconds the others do its
//! work: it gets nothing while a warm target has a free slot. Where none has, what it bears is dealt out to a few
//! routers in a [`share`](super::share).

use super::share::Draw;
use crate::gateway::route::ColdStart;
use crate::units::Millis;

/// Part of what a cold target bears that the routers drawn for it send together, 0 to 1. Users allow one and a half
/// times as much and a few requests more, so two views of who is drawn keep within it.
const SHARE: f64 = 0.75;

/// The span over which sends to a cold target are counted: a second, and what a clock or a timer may be off.
pub const WINDOW: Millis = Millis(1_050);

/// Decides which of a fleet's routers may send to a cold target, and how much each in [`WINDOW`].
pub fn draw(cold: &ColdStart, routers: usize) -> Draw {
    Draw::new((cold.per_second * SHARE).floor() as usize, routers)
}
