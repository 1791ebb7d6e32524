//! Whether a router that is behind with its work takes one more request.
//!
//! Some customers' callers keep to one router, whatever addresses they are told, and send it more than its part of a
//! core can carry. Work then waits for its turn at each step of a request, so that all of them end late, and callers
//! that wait for a connection get none. A request that would be late by that alone is refused at once: its caller
//! may try another router, and what has been let in is served in time.

use crate::units::Millis;

/// Turns of the traffic thread that a request takes until its first byte goes back: it is accepted, read, admitted,
/// placed, connected, sent, answered and passed on.
const TURNS: u64 = 8;

/// Part of the objective, one in this many, that waiting for turns may take before any request is refused: the target
/// needs the rest.
const BEGIN_DIVISOR: u64 = 8;
/// The same before each is refused. Between the two a part is, so that what waits stays about as long, and not
/// all or nothing by turns.
const ALL_DIVISOR: u64 = 2;

/// Decides whether a request is refused, where work waits for its turn for `lag` and an answer is of use within
/// `objective`; `draw` is evenly drawn.
pub fn is_refused(lag: Millis, objective: Millis, draw: u64) -> bool {
    let waits = lag.0.saturating_mul(TURNS);
    let (begin, all) = (objective.0 / BEGIN_DIVISOR, objective.0 / ALL_DIVISOR);
    let beyond = waits.saturating_sub(begin);
    let span = all.saturating_sub(begin).max(1);
    beyond > draw % span
}
