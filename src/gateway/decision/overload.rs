//! Whether an overloaded router accepts one more request.
//!
//! Some customers' callers stay with one router, whatever addresses they resolve, and send it more than its share of a
//! core can handle. Each step of a request then waits to be scheduled, so that all requests finish late and callers
//! that wait for a connection do not get one. A request that would be late because of this alone is refused
//! immediately: its caller may try another router, and admitted requests are served in time.

use crate::units::Millis;

/// Times that the traffic thread has to schedule a request before the first byte of its answer is sent: to accept,
/// read, admit, place, connect, send, receive the answer and forward it.
const STEPS_PER_REQUEST: u64 = 8;

/// Refusals start when scheduling delay takes more than one part in this many of the latency objective: the target
/// needs the rest.
const REFUSE_SOME_DIVISOR: u64 = 8;
/// All requests are refused when it takes more than one part in this many. In between, a share is refused that grows
/// with the delay, so that the queue settles at a length and does not oscillate between full and empty.
const REFUSE_ALL_DIVISOR: u64 = 2;

/// Decides whether a request is refused, given the traffic thread's scheduling delay `lag` and the latency objective of
/// the request. `random` is a uniformly distributed number.
pub fn is_refused(lag: Millis, objective: Millis, random: u64) -> bool {
    let delay = lag.0.saturating_mul(STEPS_PER_REQUEST);
    let (refuse_some, refuse_all) = (
        objective.0 / REFUSE_SOME_DIVISOR,
        objective.0 / REFUSE_ALL_DIVISOR,
    );
    let excess = delay.saturating_sub(refuse_some);
    let range = refuse_all.saturating_sub(refuse_some).max(1);
    excess > random % range
}
