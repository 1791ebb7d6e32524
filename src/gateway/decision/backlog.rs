//! How many callers may wait for a connection, and whether the next of them is accepted.
//!
//! A caller whose connection the kernel has accepted sends its request, whether or not the router accepts it too. On a
//! full link these bodies delay all others, and those of refused or late requests have been carried for nothing. While
//! the accept queue is full, the kernel drops the opening packet instead: the caller waits or goes elsewhere without
//! having sent a body. So the queue is as long as the link is fast, and a router whose link is delayed accepts slowly, as
//! does one whose connections take much of its memory.

use crate::units::Millis;

/// Time in which the link carries the requests of a full queue. Shorter than the shortest objective in use, 120 ms, so
/// that the last caller of a full queue can still be served in time.
const QUEUE_TIME: Millis = Millis(100);
/// Size of a large request, in bytes: those fill a link. With smaller ones the queue drains sooner.
const REQUEST_BYTES: f64 = 8_000.0;
/// Minimum length. Callers that connect at the same moment to an idle router must not be dropped, since a dropped
/// opening packet is sent again only after a second.
const LENGTH_MIN: f64 = 16.0;
/// Maximum length, and the length if the link rate is unknown: the one that `TcpListener::bind` uses, so that routers
/// behind fast links keep it.
const LENGTH_MAX: u32 = 128;
/// Bytes that a link of 1 Mbit/s carries in a millisecond.
const BYTES_PER_MBPS_MS: f64 = 125.0;

/// Link delay above which accepting pauses. It is the delay of a round trip, and a request crosses the link twice in
/// each direction, from its caller and on to its target and back: 300 ms, half of the most common objective.
const LINK_DELAY_MAX: Millis = Millis(150);
/// Maximum pause before a connection. A ready router with waiting callers still accepts ten per second, each of which
/// may retry elsewhere if it is refused; without the limit, callers would wait for as long as the link is delayed.
const PAUSE_MAX: Millis = Millis(100);

/// What the accept loop does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It accepts the next connection.
    Accept,
    /// It pauses, and decides again soon.
    Pause,
}

/// Length of the accept queue of the callers' listener, given the link rate in Mbit/s; `None` if it is unknown.
pub fn length(link_mbps: Option<f64>) -> u32 {
    let Some(rate) = link_mbps.filter(|rate| *rate > 0.0) else {
        return LENGTH_MAX;
    };
    let requests = rate * BYTES_PER_MBPS_MS * QUEUE_TIME.0 as f64 / REQUEST_BYTES;
    // Within the bounds, so the conversion only drops the fraction.
    requests.clamp(LENGTH_MIN, f64::from(LENGTH_MAX)) as u32
}

/// Decides whether the next connection is accepted, given the link delay and how long the pause before this connection
/// has lasted.
pub fn step(link_delay: Millis, paused: Millis) -> Step {
    step_if(link_delay > LINK_DELAY_MAX, paused)
}

/// Like [`step`], given the number of open connections and the one up to which they are accepted at once.
pub fn step_of_count(open: usize, accepted_max: usize, paused: Millis) -> Step {
    step_if(open >= accepted_max, paused)
}

fn step_if(is_overloaded: bool, paused: Millis) -> Step {
    if is_overloaded && paused < PAUSE_MAX {
        Step::Pause
    } else {
        Step::Accept
    }
}
