//! The phases of a graceful shutdown, as times after its signal, and which requests are admitted during one.

use std::time::Duration;

use crate::units::Millis;

/// Share of the grace period, 0 to 1, in which any request is still admitted.
const LINGER_SHARE: f64 = 0.4;
/// Longest time in which any request is still admitted. A shutdown may cut off a long request only if it was sent
/// within 3 s of the signal; the difference allows for the time that a request takes to arrive.
const LINGER_MAX: Duration = Duration::from_millis(2_900);
/// How long callers may still connect after the signal, as a multiple of the TTL of address answers.
const LINGER_TTLS: f64 = 1.5;
/// Longest time reserved at the end of the grace period for sending the last answers, giving grants back and exiting.
/// Sending an answer to a caller and writing to the store take far less.
const RESERVE_MAX: Duration = Duration::from_millis(1_150);
/// Longest reserve as a share of the grace period, 0 to 1: a shutdown may cut off a long request only in the last sixth
/// of the grace period.
const RESERVE_SHARE: f64 = 0.15;
/// Share of the reserve for writing the answers of abandoned requests. Only a caller that does not read needs longer.
const ANSWERS_SHARE: f64 = 0.13;
/// Share of the reserve for giving grants back if the shutdown has used all of its time. The rest is for the exit.
const GIVE_BACK_SHARE: f64 = 0.435;
/// Longest time for giving grants back if the shutdown finished early. A write to the store and a loan take far less.
const GIVE_BACK_MAX: Duration = Duration::from_millis(500);

/// When each phase of a shutdown begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Time after the signal from which only requests with a deadline before `end` are admitted.
    pub linger: Duration,
    /// Time after the signal at which requests that still run are abandoned with an error answer.
    pub end: Duration,
    /// Longest time for writing the answers of abandoned requests.
    pub answers: Duration,
    /// Time after the signal by which grants are given back.
    given_back: Duration,
}

impl Plan {
    /// Plans a shutdown of at most `grace`, where callers may cache address answers for `address_ttl`.
    pub fn new(grace: Millis, address_ttl: Millis) -> Self {
        let grace = Duration::from_millis(grace.0);
        let reserve = RESERVE_MAX.min(grace.mul_f64(RESERVE_SHARE));
        let end = grace - reserve;
        let linger = Duration::from_millis(address_ttl.0).mul_f64(LINGER_TTLS);
        Self {
            linger: linger.min(end.mul_f64(LINGER_SHARE)).min(LINGER_MAX),
            end,
            answers: reserve.mul_f64(ANSWERS_SHARE),
            given_back: end + reserve.mul_f64(ANSWERS_SHARE + GIVE_BACK_SHARE),
        }
    }

    /// Longest time for giving grants back if that begins at `elapsed` after the signal.
    pub fn give_back(&self, elapsed: Duration) -> Duration {
        GIVE_BACK_MAX.min(self.given_back.saturating_sub(elapsed))
    }
}

/// The deadlines of a shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Times<T> {
    /// From this time on, only requests with a deadline before `end` are admitted.
    pub late: T,
    /// When requests that still run are abandoned.
    pub end: T,
}

/// Whether a request arrives too late for the shutdown to wait for it.
pub fn is_too_late<T: PartialOrd>(times: &Times<T>, now: T, deadline: T) -> bool {
    now >= times.late && deadline > times.end
}
