//! Which router may send to a target that has just started, and how much.
//!
//! A cold target takes a few requests a second and falls over well above that, and no router knows what the others
//! send there. For some seconds the others do its work: it gets nothing while a warm target has a free slot. Where
//! none has, a few routers that are drawn for the target may send to it, each a part of what it bears. The draw
//! depends on the names of the target and the routers only, so that all agree without a word. Routers whose views
//! differ, at a start or in a cut, may draw others; the part leaves room for twice as many as are meant.
//!
//! An equal part for each router of a large fleet would be less than one request a second, and since requests are
//! whole, 75 routers that each send one in five seconds can still meet in the same second.

use crate::gateway::route::ColdStart;
use crate::units::Millis;

/// Part of what a cold target bears that the routers drawn for it send together, 0 to 1. Users allow one and a half
/// times as much and a few requests more, so two views of who is drawn keep within it.
const SHARE: f64 = 0.75;

/// The span over which sends to a cold target are counted: a second, and what a clock or a timer may be off.
pub const WINDOW: Millis = Millis(1_050);

/// Who may send to a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draw {
    /// Routers that may.
    pub routers: usize,
    /// Requests that each of them may send in [`WINDOW`].
    pub each: usize,
}

/// Decides how many of a fleet's routers may send to a cold target, and how much each: as many as there are requests
/// to share out, so that every router is drawn for some targets where many are cold at once.
pub fn draw(cold: &ColdStart, routers: usize) -> Draw {
    let whole = (cold.per_second * SHARE).floor().max(1.0) as usize;
    let drawn = whole.min(routers.max(1));
    Draw {
        routers: drawn,
        each: whole / drawn,
    }
}
