//! Whether a request's body is read while the bodies and answers that this router holds take much of its memory.
//!
//! Callers may send and read slowly, and so may targets, so a router holds bytes for as long as the slowest of them
//! takes. A process that exceeds its host's memory is ended with all its requests. So a body is refused before it is
//! read once too much is held, the less urgent ranks first. Answers are never refused: their requests have run. But targets in
//! trouble send bytes without end, so long answers are read a few at a time.
//!
//! Each connection takes memory too, whether or not it has a request. Above a number of connections they are closed with
//! their next answer, so that those of idle callers make room; above a higher one new ones are accepted slowly.

/// Share of the process's memory that bodies and answers may take, 0 to 1. The rest is for connections, the lists of
/// targets and routers, and answers that arrive for requests that were admitted before.
const HELD_SHARE: f64 = 0.35;
/// Share of the process's memory that answers may take while they are read, 0 to 1.
const ARRIVING_SHARE: f64 = 0.25;
/// Memory that a caller's connection takes with its buffers and the request on it, in bytes.
const CONNECTION_BYTES: f64 = 32_768.0;
/// Share of the process's memory up to which connections are kept open after an answer, 0 to 1.
const KEPT_SHARE: f64 = 0.25;
/// Share of the process's memory up to which connections are accepted at once, 0 to 1.
const ACCEPTED_SHARE: f64 = 0.5;
/// Part of the share of bodies and answers that each rank leaves to the more urgent ones, 0 to 1.
const RANK_STEP: f64 = 0.05;
/// Number of ranks that leave a part; further ranks are treated alike.
const RANKS: u8 = 10;

/// Bytes of long answers that are read at the same time, given the process's `memory` in bytes.
pub fn arriving_max(memory: usize) -> usize {
    (memory as f64 * ARRIVING_SHARE) as usize
}

/// Decides whether `more` bytes are refused to a request of this rank, given the bytes that are `held` and the process's
/// `memory` in bytes; `None` if it is not limited.
pub fn is_refused(held: usize, more: usize, rank: u8, memory: Option<usize>) -> bool {
    let Some(memory) = memory else {
        return false;
    };
    let left_to_others = f64::from(rank.min(RANKS)) * RANK_STEP;
    let allowed = memory as f64 * HELD_SHARE * (1.0 - left_to_others);
    more > 0 && held.saturating_add(more) as f64 > allowed
}

/// Number of callers' connections up to which they are kept open after an answer, given the process's `memory` in bytes.
pub fn connections_kept_max(memory: Option<usize>) -> usize {
    connections(memory, KEPT_SHARE)
}

/// Number of callers' connections up to which new ones are accepted at once, given the process's `memory` in bytes.
pub fn connections_accepted_max(memory: Option<usize>) -> usize {
    connections(memory, ACCEPTED_SHARE)
}

fn connections(memory: Option<usize>, share: f64) -> usize {
    memory.map_or(usize::MAX, |memory| {
        (memory as f64 * share / CONNECTION_BYTES) as usize
    })
}
