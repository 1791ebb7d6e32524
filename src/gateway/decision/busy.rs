//! Whether a request is refused at once because all targets are too busy to answer it within its time limit, and when
//! it can come back.
//!
//! A request that waits in a target's queue until its deadline takes up a connection and a place there for nothing, and
//! its caller learns too late that it has to try again. The estimate may be wrong by a factor of two, since other
//! routers' reports are old and targets run several prompts at a time, so a request that is expected to be somewhat
//! late is still sent.
//!
//! A refused request is told when the queue of the target with the shortest expected time has drained. All that are
//! refused during an overload would come back at that moment, and most of them be refused again, so [`Returns`] lays
//! their work one after the other on the targets.

use super::promise::RETURN_MAX;
use crate::units::Millis;

/// A request is refused only if the time left is less than one part in this many of the shortest estimate.
const ERROR_DIVISOR: f64 = 2.0;

/// Part of the targets' time that the work of returning requests is laid on, 0 to 1. New requests need the rest.
const RETURNS_SHARE: f64 = 0.5;

/// The expected time of a request at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expected {
    /// Time to the first event, or to the plain answer, in milliseconds.
    pub ms: f64,
    /// The part of it for which the request waits in the target's queue, in milliseconds.
    pub queue_ms: f64,
}

impl Expected {
    /// Time until the work that is queued ahead of the request is done.
    pub fn drained_after(&self) -> Millis {
        Millis(self.queue_ms.ceil() as u64)
    }
}

/// The inputs of the decision.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// The shortest expected time among the targets that may run the request; `None` if there is no estimate.
    pub shortest: Option<Expected>,
    /// The time that the request has left.
    pub left: Millis,
}

/// Whether a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is sent: its targets' times are not known.
    Unknown,
    /// It is sent: it is expected to be answered in time.
    InTime,
    /// It is sent: it is expected to be late, but by no more than the estimate may be wrong.
    Uncertain,
    /// It is sent: it is expected to be late because of its own work, and the queues make no difference.
    OwnWork,
    /// It is refused.
    Busy {
        /// The shortest expected time.
        expected: Millis,
    },
}

/// Decides whether a request is sent although the targets are busy.
pub fn decide(prospect: &Prospect) -> Outcome {
    let Some(shortest) = prospect.shortest else {
        return Outcome::Unknown;
    };
    let left = prospect.left.0 as f64;
    let is_beyond = |ms: f64| left < ms / ERROR_DIVISOR;
    if left >= shortest.ms {
        return Outcome::InTime;
    }
    if !is_beyond(shortest.ms) {
        return Outcome::Uncertain;
    }
    let own_ms = shortest.ms - shortest.queue_ms;
    if is_beyond(own_ms) && !is_beyond(shortest.queue_ms) {
        return Outcome::OwnWork;
    }
    Outcome::Busy {
        expected: Millis(shortest.ms.ceil() as u64),
    }
}

/// When the requests of one service that this router has refused come back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Returns {
    /// When the targets have done the work of those that were refused so far, in their share of the time, in
    /// milliseconds. Not rounded: targets of a large service answer many requests within one millisecond.
    until: f64,
}

impl Returns {
    /// The time until a request that is refused now can come back: once the queue has drained, and the work of those
    /// that were refused before it is done by `targets` targets.
    pub fn promise(&mut self, now: Millis, shortest: &Expected, targets: usize) -> Millis {
        let now = now.0 as f64;
        let latest = now + RETURN_MAX.0 as f64;
        let from = (now + shortest.queue_ms).max(self.until).min(latest);
        let own_ms = (shortest.ms - shortest.queue_ms).max(0.0);
        self.until = from + own_ms / (targets.max(1) as f64 * RETURNS_SHARE);
        Millis((from - now).ceil() as u64)
    }
}
