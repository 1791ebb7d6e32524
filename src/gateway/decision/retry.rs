//! Whether a request is sent again after an attempt that brought no answer to pass on, and whether a
//! stream that broke off is resumed.
//!
//! Three limits hold together: the request's own ([`decide`]), the attempts of its route, and the
//! retry budget of the whole fleet ([`Budget`]). A request that may have run is sent again only where
//! its route says that running it twice does no harm; a resumed stream counts as such a repeat.

use std::collections::VecDeque;

use crate::ejection::Outcome;
use crate::gateway::deadline::Expiry;
use crate::gateway::route::Kind;
use crate::units::Millis;

/// Attempts without a connection before a request is given up. They never reached a target, so they
/// do not count against the route's attempts. Three targets that refuse connections in a
/// row mean that more is wrong than one target.
const UNREACHED_MAX: u32 = 3;

/// Part of its retry budget that a router uses, 0 to 1. Targets count the window from the arrival of
/// an attempt, which is later than here, so two windows can overlap.
const BUDGET_USED: f64 = 0.7;

/// How an attempt ended that brought no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came up; nothing was sent.
    Unreachable,
    /// An idle connection had been closed by the target before anything was sent on it.
    IdleClosed,
    /// The caller's time was over before anything was sent.
    Late,
    /// The process is stopping and waited no longer before anything was sent.
    Stopping,
    /// The target's instance or the customer cannot be written in a header; nothing was sent.
    Unwritable,
    /// The target says that it has not run the request.
    Refused,
    /// The same, and it wants nothing from this router for some time.
    AskedRest,
    /// Another instance has the target's address, and has not run the request.
    WrongInstance,
    /// The connection or the answer broke off.
    BrokenOff,
    /// The caller's time was over while the target worked.
    TimedOut,
    /// The process is stopping and waited no longer while the target worked.
    Cut,
    /// The target answered with a failure of its own, which can be passed on if there is no retry.
    ServerError,
}

/// Whether the target may have run what was sent in an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has not run and never will.
    NotRun,
    /// It may have run, or may still run.
    MayHaveRun,
}

/// Whether a retry is taken out of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The failed attempt reached a target, or may have.
    Budget,
    /// It reached none.
    Free,
}

impl Failure {
    /// The failure of an attempt whose time was over before anything was sent.
    pub(in crate::gateway) fn before(expiry: Expiry) -> Self {
        match expiry {
            Expiry::Timeout => Self::Late,
            Expiry::Stop => Self::Stopping,
        }
    }

    /// The failure of an attempt whose time was over while the target worked.
    pub(in crate::gateway) fn during(expiry: Expiry) -> Self {
        match expiry {
            Expiry::Timeout => Self::TimedOut,
            Expiry::Stop => Self::Cut,
        }
    }

    /// Whether the attempt may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Unreachable
            | Self::IdleClosed
            | Self::Late
            | Self::Stopping
            | Self::Unwritable
            | Self::Refused
            | Self::AskedRest
            | Self::WrongInstance => Verdict::NotRun,
            Self::BrokenOff | Self::TimedOut | Self::Cut | Self::ServerError => Verdict::MayHaveRun,
        }
    }

    /// How the target is judged by it; `None` where it says nothing about the target.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Unreachable
            | Self::Refused
            | Self::BrokenOff
            | Self::TimedOut
            | Self::ServerError => Some(Outcome::Failed),
            Self::IdleClosed
            | Self::Late
            | Self::Stopping
            | Self::Unwritable
            | Self::WrongInstance
            // What it asked for is kept; it has not failed.
            | Self::AskedRest
            | Self::Cut => None,
        }
    }

    /// Whether a retry after it is charged to the retry budget.
    pub fn charge(self) -> Charge {
        match self {
            Self::Unreachable
            | Self::IdleClosed
            | Self::Late
            | Self::Stopping
            | Self::Unwritable => Charge::Free,
            Self::Refused
            | Self::AskedRest
            | Self::WrongInstance
            | Self::BrokenOff
            | Self::TimedOut
            | Self::Cut
            | Self::ServerError => Charge::Budget,
        }
    }
}

/// What a request has behind it when an attempt has failed, the failed one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct History {
    /// What its route says of repeats.
    pub kind: Kind,
    /// Attempts that its route allows.
    pub attempts_max: u32,
    /// Attempts that were sent to a target.
    pub sent: u32,
    /// Attempts that reached no target.
    pub unreached: u32,
    /// Whether its time is over: its caller's, or that of a stop.
    pub is_expired: bool,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Another target is tried, if there is one and the retry budget allows it.
    Retry,
    /// The request is not sent again.
    GiveUp(Limit),
}

/// The limit that ends a request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// It may have run, and its route does not allow it to run twice.
    NotRepeatable,
    /// All attempts of its route were sent.
    Attempts,
    /// [`UNREACHED_MAX`] targets in a row could not be connected to.
    Unreached,
    /// Its time is over.
    Time,
}

impl Limit {
    /// Its word in logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::Attempts => "attempts",
            Self::Unreached => "unreached",
            Self::Time => "time",
        }
    }
}

/// Decides what follows a failed attempt.
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

/// The fleet's bound on retries of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries for each request of the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Millis,
    /// Retries in each window beside those, over all routers together.
    pub extra: f64,
}

/// A router's part of the retry budget of one service. Each router keeps to the ratio of its own
/// requests and to an equal part of the extra, so that all together keep the bound in every window
/// without asking each other.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl Budget {
    /// Counts a request.
    pub fn note_request(&mut self, now: Millis, bound: &Bound) {
        self.requests.push_back(now);
        self.expire(now, bound.window);
    }

    /// Takes a retry out of the budget of a fleet of so many routers; whether there was one left.
    pub fn take(&mut self, now: Millis, bound: &Bound, routers: usize) -> bool {
        self.expire(now, bound.window);
        let extra = bound.extra / routers.max(1) as f64;
        let allowed = bound.ratio * self.requests.len() as f64 + extra;
        if self.retries.len() as f64 + 1.0 > allowed * BUDGET_USED {
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
