//! How much of a target's own rate limit a router may use, and when.
//!
//! The limit holds for all routers together. Its requests are dealt out to routers in a [`share`](super::share); each
//! sends its part at even distances, and routers begin one after the other, so that the target gets them spread out and
//! not all at the span's begin. Weighed against that: an even part for each router, which large fleets cannot use; a
//! budget that routers lend each other, which costs a request the way to another router and is not known in a cut; and
//! sending whole customers to one target, which leaves it unused when they have nothing to ask.

use super::share::Draw;
use crate::gateway::notice::Rate;
use crate::units::Millis;

/// The span in which requests are dealt out. Users count what a target gets in spans of this length.
const SPAN: Millis = Millis(4_000);
/// Longest span, of which each has one request: what a target that takes less often gets, so that a limit that is over
/// is noticed.
const SPAN_MAX: Millis = Millis(10_000);
/// Part of a limit that is dealt out, 0 to 1, and requests of each span beside it, as long as the sum is within the
/// limit. Users bear one and a half times the limit and five requests a span: so much may be dealt out twice, by
/// routers that do not see each other.
const DEALT: f64 = 0.75;
const DEALT_BESIDE: f64 = 2.0;

/// By how much a request that was sent late lets the next one be early: routers have no request at hand just when one
/// is due.
const CATCH_UP: Millis = Millis(100);

/// A router's part of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Part {
    /// Least time between two requests.
    interval: Millis,
    /// Least time from when the limit became known to the first request.
    first: Millis,
}

/// What decides whether one more request may be sent to a target that has a limit.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// The limit.
    pub limit: Rate,
    /// Since when it is known to this router.
    pub since: Millis,
    /// The last request that this router has sent there under the limit.
    pub last: Option<Sent>,
    /// Routers of the fleet.
    pub routers: usize,
    /// This router's place in the order of routers for the target, where it has one.
    pub place: Option<usize>,
}

/// A request that was sent under a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// When.
    pub at: Millis,
    /// When the next one is due.
    pub next: Millis,
}

/// Requests that all routers together may send in a span.
fn dealt(limit: Rate) -> (usize, Millis) {
    let taken = limit.per_second() * SPAN.0 as f64 / 1_000.0;
    let whole = (taken * DEALT + DEALT_BESIDE).min(taken).floor();
    if whole >= 1.0 {
        return (whole as usize, SPAN);
    }
    let span = Millis((1_000.0 / limit.per_second()) as u64);
    (1, span.clamp(SPAN, SPAN_MAX))
}

/// The part of the router in this place of the order, if it has one.
fn part(limit: Rate, routers: usize, place: usize) -> Option<Part> {
    let (requests, span) = dealt(limit);
    let draw = Draw::new(requests, routers);
    let own = draw.part(place) as u64;
    if own == 0 {
        return None;
    }
    // Catching up may bring two requests nearer to each other; a span has no more than the part all the same.
    let interval = (span + CATCH_UP).0.div_ceil(own);
    let first = interval * place as u64 / draw.routers as u64;
    Some(Part {
        interval: Millis(interval),
        first: Millis(first),
    })
}

/// When this router may send there next; `None` where others use all of the limit.
pub fn next(usage: &Usage) -> Option<Millis> {
    Some(due(usage, &own_part(usage)?))
}

/// What is remembered of a request that is sent there now; `None` where this router has no part, and sends what it may
/// not.
pub fn sent(now: Millis, usage: &Usage) -> Option<Sent> {
    let part = own_part(usage)?;
    let due = due(usage, &part).max(now.saturating_sub(CATCH_UP));
    let next = due + part.interval;
    Some(Sent { at: now, next })
}

fn own_part(usage: &Usage) -> Option<Part> {
    part(usage.limit, usage.routers, usage.place?)
}

fn due(usage: &Usage, part: &Part) -> Millis {
    match usage.last {
        // A limit that has risen since then leaves less time between two requests.
        Some(last) => last.next.min(last.at + part.interval),
        None => usage.since + part.first,
    }
}
