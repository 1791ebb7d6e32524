//! The steps of a planned stop, as times after its signal, and which requests are let in during one.

use std::time::Duration;

use crate::units::Millis;

/// Part of the time to stop, 0 to 1, in which any request is still let in.
const LINGER_SHARE: f64 = 0.4;
/// Longest time in which any request is still let in. Users forgive the end of a long request at a stop to those
/// that were sent within 3 s of the signal; a request is on its way for a part of the rest.
const LINGER_MAX: Duration = Duration::from_millis(2_900);
/// Times the life of an answer about addresses in which callers may still come by it.
const LINGER_TTLS: f64 = 1.5;
/// Longest time left at the end of the time to stop, for the last answers, to give grants back and to exit. An
/// answer's way to a caller and a write to the store take far less.
const RESERVE_MAX: Duration = Duration::from_millis(1_150);
/// The same as a part of the time to stop, 0 to 1: users forgive the end of a long request within its last sixth.
const RESERVE_SHARE: f64 = 0.15;
/// Part of what is left to write the answers of requests that are given up; longer only where a caller does not
/// read.
const ANSWERS_SHARE: f64 = 0.13;
/// Part of what is left to give grants back, where the stop took all of its time. The rest is for the exit.
const GIVE_BACK_SHARE: f64 = 0.435;
/// Longest time to give grants back, where the stop was done early. A write to the store and a loan
/// take far less.
const GIVE_BACK_MAX: Duration = Duration::from_millis(500);

/// When each step of a stop begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// After the signal: only requests are let in from then on that end before `end`.
    pub linger: Duration,
    /// After the signal: what runs then is given up with an answer.
    pub end: Duration,
    /// Longest time to write the answers of what is given up.
    pub answers: Duration,
    /// After the signal: grants are given back by then.
    given_back: Duration,
}

impl Plan {
    /// The plan of a stop of at most `grace`, where callers may use an answer about addresses for `address_ttl`.
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

    /// Longest time to give grants back, so long after the signal.
    pub fn give_back(&self, since: Duration) -> Duration {
        GIVE_BACK_MAX.min(self.given_back.saturating_sub(since))
    }
}

/// A stop that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Times<T> {
    /// From then on only requests are let in that end before `end`.
    pub late: T,
    /// What runs then is given up.
    pub end: T,
}

/// Whether a request comes too late for a stop to wait for its end.
pub fn is_too_late<T: PartialOrd>(times: &Times<T>, now: T, deadline: T) -> bool {
    now >= times.late && deadline > times.end
}
