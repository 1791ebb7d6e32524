//! Whether a request is retried after an attempt without an answer to forward, and whether a broken stream is resumed.
//!
//! Three limits apply together: the request's own ([`decide`]), its route's maximum number of attempts, and the retry
//! budget of the whole fleet ([`Budget`]). A request that may have run is retried only if its route declares that
//! running it twice is harmless. Resuming a stream counts as such a retry.

use std::collections::VecDeque;

use crate::ejection::Outcome;
use crate::gateway::deadline::Expiry;
use crate::gateway::route::Kind;
use crate::units::Millis;

/// Failed connection attempts before a request is given up. They never reached a target, so they do not count against
/// the route's maximum number of attempts. If three targets in a row refuse connections, the fault is not in one
/// target.
const UNREACHED_MAX: u32 = 3;

/// Share of its retry budget that a router uses, 0 to 1. Targets count an attempt when it arrives, which is later than
/// when the router counts it, so retries of two of the router's windows can fall into one window of a target.
const BUDGET_SHARE: f64 = 0.7;

/// How an attempt failed that produced no answer to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No slot of a target was free in time; nothing was sent.
    NoSlot {
        /// Time until one can be free.
        after: Millis,
    },
    /// The connection could not be established; nothing was sent.
    Unreachable,
    /// This router is partitioned from the targets, and no other router has sent the request.
    NoPath,
    /// The target had closed the idle connection before anything was sent on it.
    IdleClosed,
    /// The request's deadline passed before anything was sent.
    Late,
    /// The process is stopping and gave up on the request before anything was sent.
    Stopping,
    /// The target's instance or the customer cannot be encoded as a header value; nothing was sent.
    Unwritable,
    /// The target reports that it has not run the request.
    Refused,
    /// The target reports that it has not run the request, and asks this router to send nothing for some time.
    AskedRest,
    /// The target reports that it has not run a request, which may be an earlier one.
    DoubtfulRefusal,
    /// Another instance now has the target's address, and has not run the request.
    WrongInstance,
    /// The connection or the answer broke off.
    BrokenOff,
    /// The target's incarnation is known to have ended, while the connection was still open.
    Ended,
    /// The request's deadline passed while the target was processing it.
    TimedOut,
    /// The process is stopping and gave up on the request while the target was processing it.
    Cut,
    /// The target answered with a server error, which can be forwarded if there is no retry.
    ServerError,
}

/// Whether the target may have run the request of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request has not run and never will.
    NotRun,
    /// The request may have run, or may run later.
    MayHaveRun,
}

/// Whether a retry is charged to the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The retry is charged, since the failed attempt reached a target or may have.
    Budget,
    /// The retry is free, since the failed attempt reached no target.
    Free,
}

impl Failure {
    /// The failure of an attempt whose deadline, or that of a shutdown, passed before anything was sent.
    pub(in crate::gateway) fn expired_before_send(expiry: Expiry) -> Self {
        match expiry {
            Expiry::Timeout => Self::Late,
            Expiry::Stop => Self::Stopping,
        }
    }

    /// The failure of an attempt whose deadline, or that of a shutdown, passed while the target was processing it.
    pub(in crate::gateway) fn expired_after_send(expiry: Expiry) -> Self {
        match expiry {
            Expiry::Timeout => Self::TimedOut,
            Expiry::Stop => Self::Cut,
        }
    }

    /// Whether the attempt may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::NoSlot { .. }
            | Self::Unreachable
            | Self::NoPath
            | Self::IdleClosed
            | Self::Late
            | Self::Stopping
            | Self::Unwritable
            | Self::Refused
            | Self::AskedRest
            | Self::WrongInstance => Verdict::NotRun,
            Self::DoubtfulRefusal
            | Self::BrokenOff
            | Self::Ended
            | Self::TimedOut
            | Self::Cut
            | Self::ServerError => Verdict::MayHaveRun,
        }
    }

    /// The outcome that counts towards the target's ejection; `None` if the failure says nothing about the target.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Unreachable
            | Self::Refused
            | Self::DoubtfulRefusal
            | Self::BrokenOff
            | Self::Ended
            | Self::TimedOut
            | Self::ServerError => Some(Outcome::Failed),
            Self::NoSlot { .. }
            | Self::NoPath
            | Self::IdleClosed
            | Self::Late
            | Self::Stopping
            | Self::Unwritable
            | Self::WrongInstance
            // The target has not failed; the pause that it asked for is respected elsewhere.
            | Self::AskedRest
            | Self::Cut => None,
        }
    }

    /// Whether a retry after this failure is charged to the retry budget.
    pub fn charge(self) -> Charge {
        match self {
            Self::NoSlot { .. }
            | Self::Unreachable
            | Self::NoPath
            | Self::IdleClosed
            | Self::Late
            | Self::Stopping
            | Self::Unwritable => Charge::Free,
            Self::Refused
            | Self::AskedRest
            | Self::DoubtfulRefusal
            | Self::WrongInstance
            | Self::BrokenOff
            | Self::Ended
            | Self::TimedOut
            | Self::Cut
            | Self::ServerError => Charge::Budget,
        }
    }
}

/// The attempts of a request so far, including the one that has just failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct History {
    /// The kind of the request's route, which says whether the request may run twice.
    pub kind: Kind,
    /// Maximum number of attempts that the request's route allows.
    pub attempts_max: u32,
    /// Attempts that were sent to a target.
    pub sent: u32,
    /// Attempts that reached no target.
    pub unreached: u32,
    /// Whether the request's deadline or that of a shutdown has passed.
    pub is_expired: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Try another target, if there is one and the retry budget allows it.
    Retry,
    /// Do not send the request again.
    GiveUp(Limit),
}

/// The limit that ends a request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// The request may have run, and its route does not allow it to run twice.
    NotRepeatable,
    /// The request was sent to as many targets as its route allows.
    Attempts,
    /// Connections to [`UNREACHED_MAX`] targets in a row failed.
    Unreached,
    /// The request's deadline or that of a shutdown has passed.
    Time,
}

impl Limit {
    /// The name of the limit in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::Attempts => "attempts",
            Self::Unreached => "unreached",
            Self::Time => "time",
        }
    }
}

/// Decides what to do after a failed attempt.
pub fn decide(failure: Failure, history: &History) -> Decision {
    let may_repeat = match failure {
        // The answer at hand is better than a stream's second start.
        Failure::ServerError => history.kind == Kind::Repeatable,
        _ => failure.verdict() == Verdict::NotRun || history.kind.may_repeat(),
    };
    // With a failure to pass on, one more target that cannot be reached costs the caller nothing.
    let is_unreached = failure != Failure::ServerError && history.unreached >= UNREACHED_MAX;
    if !may_repeat {
        Decision::GiveUp(Limit::NotRepeatable)
    } else if history.sent >= history.attempts_max {
        Decision::GiveUp(Limit::Attempts)
    } else if is_unreached {
        Decision::GiveUp(Limit::Unreached)
    } else if history.is_expired || matches!(failure, Failure::TimedOut | Failure::Cut) {
        Decision::GiveUp(Limit::Time)
    } else {
        Decision::Retry
    }
}

/// The limit on the whole fleet's retries to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Millis,
    /// Retries allowed in each window in addition, over all routers together.
    pub extra: f64,
}

/// A router's share of the retry budget of one service. Each router observes the ratio for its own requests and uses an
/// equal share of the extra retries, so that all routers together stay within the bound in every window without
/// coordination.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl Budget {
    /// Counts a request, which adds to the budget.
    pub fn record_request(&mut self, now: Millis, bound: &Bound) {
        self.requests.push_back(now);
        self.expire(now, bound.window);
    }

    /// Charges a retry to this router's share in a fleet of `routers` routers. Returns `false` if the budget is used
    /// up.
    pub fn withdraw(&mut self, now: Millis, bound: &Bound, routers: usize) -> bool {
        self.expire(now, bound.window);
        let extra = bound.extra / routers.max(1) as f64;
        let allowed = bound.ratio * self.requests.len() as f64 + extra;
        if self.retries.len() as f64 + 1.0 > allowed * BUDGET_SHARE {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: Millis, window: Millis) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time + window < now) {
                times.pop_front();
            }
        }
    }
}
