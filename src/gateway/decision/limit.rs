//! How much of a target's advertised rate limit a router may use, and when.
//!
//! The limit applies to all routers together. Its requests are allocated to routers by [`share`](super::share). Each
//! router paces its quota evenly, and the routers' first requests are staggered, so that the target does not get them
//! all at the start of a window. Rejected alternatives: an equal share for each router, which is less than one request
//! in large fleets; a budget that routers lend each other, which adds a round trip to another router to a request and
//! is unknown during a network partition; and pinning whole customers to one target, which leaves the target idle when
//! they send nothing.

use super::share::Allocation;
use crate::gateway::notice::Rate;
use crate::units::Millis;

/// The window in which requests are allocated. Compliance with a limit is counted in windows of this length.
const WINDOW: Millis = Millis(4_000);
/// Longest window. A target with a lower limit still gets one request in each, since only its answer shows that the
/// limit has ended.
const WINDOW_MAX: Millis = Millis(10_000);
/// Share of a limit that is allocated, 0 to 1. Together with [`ALLOCATED_EXTRA`] it is never more than the limit.
/// Up to one and a half times the limit and five requests in a window are acceptable, which leaves room for two groups
/// of routers that do not see each other to allocate this much twice.
const ALLOCATED_SHARE: f64 = 0.75;
/// Requests allocated in each window in addition to the share.
const ALLOCATED_EXTRA: f64 = 2.0;

/// How far ahead of schedule a request may be sent after a late one: a router seldom has a request ready at the moment
/// one is due.
const CATCH_UP: Millis = Millis(100);

/// A router's share of a target's limit, as a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Schedule {
    /// Least time between two requests.
    interval: Millis,
    /// Least time from when the limit became known to the first request.
    first: Millis,
}

/// The inputs that decide whether one more request may be sent to a target with a rate limit.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// The rate limit of the target.
    pub limit: Rate,
    /// When this router learned of it.
    pub since: Millis,
    /// The last request that this router sent to the target under the limit.
    pub last: Option<Sent>,
    /// Number of routers in the fleet.
    pub routers: usize,
    /// This router's position in the target's order of routers; `None` if it has none yet.
    pub place: Option<usize>,
}

/// A request that was sent under a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// When the request was sent.
    pub at: Millis,
    /// When the next request is due.
    pub next: Millis,
}

/// Requests that all routers together may send in a window, and the window's length.
fn allocated(limit: Rate) -> (usize, Millis) {
    let allowed = limit.per_second() * WINDOW.0 as f64 / 1_000.0;
    let whole = (allowed * ALLOCATED_SHARE + ALLOCATED_EXTRA)
        .min(allowed)
        .floor();
    if whole >= 1.0 {
        return (whole as usize, WINDOW);
    }
    let window = Millis((1_000.0 / limit.per_second()) as u64);
    (1, window.clamp(WINDOW, WINDOW_MAX))
}

/// The schedule of the router at this position of the order, if any requests are allocated to it.
fn schedule(limit: Rate, routers: usize, place: usize) -> Option<Schedule> {
    let (requests, window) = allocated(limit);
    let allocation = Allocation::new(requests, routers);
    let own = allocation.quota(place) as u64;
    if own == 0 {
        return None;
    }
    // Catching up may shorten the time between two requests; the quota of a window still holds.
    let interval = (window + CATCH_UP).0.div_ceil(own);
    let first = interval * place as u64 / allocation.routers as u64;
    Some(Schedule {
        interval: Millis(interval),
        first: Millis(first),
    })
}

/// When this router may next send to the target; `None` if the whole limit is allocated to other routers.
pub fn next(usage: &Usage) -> Option<Millis> {
    Some(due(usage, &own_schedule(usage)?))
}

/// The record of a request that is sent to the target now; `None` if this router has no share of the limit, so that the
/// request exceeds it.
pub fn sent(now: Millis, usage: &Usage) -> Option<Sent> {
    let schedule = own_schedule(usage)?;
    let due = due(usage, &schedule).max(now.saturating_sub(CATCH_UP));
    let next = due + schedule.interval;
    Some(Sent { at: now, next })
}

fn own_schedule(usage: &Usage) -> Option<Schedule> {
    schedule(usage.limit, usage.routers, usage.place?)
}

fn due(usage: &Usage, schedule: &Schedule) -> Millis {
    match usage.last {
        // If the limit has risen since then, the interval is shorter than the one that `next` was computed with.
        Some(last) => last.next.min(last.at + schedule.interval),
        None => usage.since + schedule.first,
    }
}
