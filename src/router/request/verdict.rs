//! Verdicts: whether a request ran, did not run, or may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::units::{Millis, Tokens};

/// Why a request did not run, or not to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The budget has fewer tokens left than the request may cost.
    BudgetExhausted,
    /// The rest of the budget is granted to other routers, which have been asked to return it.
    BudgetElsewhere,
    /// There is no grant, and the log service cannot be reached to get one.
    LogUnavailable,
    /// No witness can be reached.
    WitnessUnavailable,
    /// The queue is full of requests that go first.
    Overloaded,
    /// The request could not start within its class's patience.
    TooLate,
    /// The customer has reached its limit of requests in progress.
    TooMany,
    /// No target for the model or service is available now.
    NoTarget,
    /// The router has not read the log yet.
    Starting,
    /// The router is about to stop.
    Stopping,
    /// An invariant of the budget is violated; an operator must intervene.
    Suspended,
    /// The target refused the request, or could not be reached.
    TargetRefused,
    /// The target broke off, or its answer cannot be trusted.
    TargetFailed,
    /// The request id belongs to another router.
    Elsewhere,
    /// The request id is too old to be known.
    Expired,
    /// The router that the request id belongs to is gone.
    Lost,
    /// The request id was used for a different request before.
    IdReused,
    /// This router does not know the customer, budget or class, or not yet.
    Unknown,
    /// The configuration has no target for the model or service.
    UnknownModel,
}

impl Reason {
    /// The name used on the wire and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BudgetExhausted => "budget_exhausted",
            Self::BudgetElsewhere => "budget_elsewhere",
            Self::LogUnavailable => "log_unavailable",
            Self::WitnessUnavailable => "witness_unavailable",
            Self::Overloaded => "overloaded",
            Self::TooLate => "too_late",
            Self::TooMany => "too_many",
            Self::NoTarget => "no_target",
            Self::Starting => "starting",
            Self::Stopping => "stopping",
            Self::Suspended => "suspended",
            Self::TargetRefused => "target_refused",
            Self::TargetFailed => "target_failed",
            Self::Elsewhere => "elsewhere",
            Self::Expired => "expired",
            Self::Lost => "lost",
            Self::IdReused => "id_reused",
            Self::Unknown => "unknown",
            Self::UnknownModel => "unknown_model",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The outcome that a caller is told of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request ran, once, and was billed.
    Ran {
        /// The bill.
        billed: Tokens,
    },
    /// The request did not run, and nothing was billed.
    NotRun {
        /// Why the request did not run.
        reason: Reason,
        /// Time after which to retry.
        retry_after: Millis,
    },
    /// The request may have run; if it is not repeatable, it must not be sent again.
    MayHaveRun {
        /// Why the outcome is unknown.
        reason: Reason,
    },
}

impl Verdict {
    /// The name used on the wire and in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Ran { .. } => "ran",
            Self::NotRun { .. } => "not_run",
            Self::MayHaveRun { .. } => "may_have_run",
        }
    }

    /// Why the request did not run, or why its outcome is unknown; `None` if it ran.
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Self::Ran { .. } => None,
            Self::NotRun { reason, .. } | Self::MayHaveRun { reason } => Some(*reason),
        }
    }
}
