//! The answer to a request that gets none from a target: its status, reason code and retry delay.
//!
//! A request is reported as not run only if no attempt can have run. Each refusal that a later retry may avoid has a
//! retry delay.

use http::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use super::busy::Expected;
use super::promise::{self, Kind, Promise};
use super::retry::{Failure, Verdict};
use crate::gateway::deadline::Expiry;
use crate::units::{Millis, Tokens};

/// Retry delay while there is no configuration: one read of the store provides it.
const NO_CONFIG_RETRY: Millis = Millis(300);
/// Retry delay while this router is stopping: any other router serves immediately.
const STOPPING_RETRY: Millis = Millis(20);
/// Retry delay when a router is overloaded or short of memory: by then it has worked off its queue, and other routers serve immediately.
/// As long as it is judged over.
const OVERLOADED_RETRY: Millis = Millis(200);
/// Retry delay while a grant is pending, which takes a write to the store or a loan.
const GRANT_RETRY: Millis = Millis(250);
/// Retry delay while the store does not answer; its outages last many seconds.
const CUT_OFF_RETRY: Millis = Millis(5_000);
/// Retry delay when no target could be reached: the list of targets is read every half second.
const NO_TARGET_RETRY: Millis = Millis(250);
/// Retry delay when all halls with targets of a service are evacuated: operators evacuate halls for work that takes
/// some seconds at least, and return them to service one by one.
const EVACUATED_RETRY: Millis = Millis(2_000);
/// Retry delay when rate limits or pauses that targets announced leave no request to this router: another router may
/// still be allowed one.
const BARRED_RETRY: Millis = Millis(250);
/// Shortest retry delay in that case when it is known when a target accepts requests again.
const BARRED_RETRY_MIN: Millis = Millis(50);
/// Retry delay after a target's refusal, or when the retry budget is used up.
const REFUSED_RETRY: Millis = Millis(100);

/// Retry delay when little is left of a prepaid budget: tokens only become available when a request in flight costs
/// less than was reserved for it, or when an operator adds some. Longer than nearly all callers wait.
const SCARCE_RETRY: Millis = Millis(30_000);
/// Longest retry delay while waiting for a configuration or the store, which may become available at any time.
const OUTAGE_RETRY_MAX: Millis = Millis(60_000);

/// A budget is scarce if what is left of it pays for fewer requests of the same cost than this: what is left is spread
/// over routers and requests in flight, so a request of this cost can seldom be paid for soon.
const SCARCE_REQUESTS: u64 = 16;

/// Why the control state refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target accepts requests.
    NoTarget,
    /// Operators have evacuated all halls that have targets.
    Evacuated,
    /// The retry budget is used up.
    NoRepeats,
    /// What is left of the prepaid budget does not cover the request.
    Exhausted,
    /// This router's share of the budget does not cover the request, and no more tokens were granted or lent in time.
    Short,
    /// This router's share does not cover the request, and little is left of the whole budget.
    Scarce,
    /// This router's share does not cover the request, and the store does not answer.
    CutOff,
    /// Rate limits or pauses that the targets announced leave no request to this router for now.
    Barred {
        /// Time until a target accepts requests again, if known.
        left: Option<Millis>,
    },
    /// Even the target with the shortest expected time cannot answer within the request's time limit.
    Busy {
        /// The shortest expected time.
        expected: Millis,
        /// Time until the targets can run the request.
        after: Millis,
    },
    /// It is not known which version of the targets' software began the stream.
    VersionUnknown,
    /// No target of the version that began the stream accepts requests.
    VersionGone,
    /// Targets crashed in succession while they ran the request, so it is not sent to any.
    Quarantined {
        /// How much longer the quarantine lasts.
        left: Millis,
    },
}

impl Refusal {
    /// Whether tokens can be promised to a request that is refused for this reason.
    pub fn is_promisable(self) -> bool {
        matches!(self, Self::Short | Self::CutOff)
    }

    /// Time until the tokens can be there that a request lacks which is refused for this reason, given the time that its
    /// caller has `left`. The end of a cut-off may come before a time that follows from the few tokens that arrive
    /// meanwhile, so only promised tokens count then. While the store answers, the next renewal may bring more than
    /// arrived lately, so a caller that is promised none comes back within its time.
    pub fn forecast(self, promise: &Promise, left: Millis, id: &str) -> Option<Millis> {
        match (self, promise.kind) {
            (Self::CutOff, Kind::Beyond) => None,
            (Self::Short, Kind::Beyond) => Some(promise::within_reach(left, id)),
            (_, Kind::Booked | Kind::Beyond) => Some(promise.after),
        }
    }
}

/// A refusal by the control state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined {
    /// Why the request is refused.
    pub refusal: Refusal,
    /// Time until the tokens that the request lacks can be there, or until the targets' queues have drained; `None` if
    /// it is not known.
    pub forecast: Option<Millis>,
}

impl From<Refusal> for Declined {
    fn from(refusal: Refusal) -> Self {
        let forecast = match refusal {
            Refusal::Busy { after, .. } => Some(after),
            _ => None,
        };
        Self { refusal, forecast }
    }
}

/// What is known when a request has waited in vain for tokens.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    /// Maximum cost of the request.
    pub cost: Tokens,
    /// Tokens of the prepaid budget that are not known to be spent.
    pub left: Tokens,
    /// Whether the store answers.
    pub store_answers: bool,
}

/// Decides the reason for refusing a request that has waited in vain for tokens.
pub fn shortage(shortage: &Shortage) -> Refusal {
    if !shortage.store_answers {
        Refusal::CutOff
    } else if shortage.left.0 / SCARCE_REQUESTS < shortage.cost.0 {
        Refusal::Scarce
    } else {
        Refusal::Short
    }
}

/// The inputs of a retry delay.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext<'a> {
    /// The request's id.
    pub id: &'a str,
    /// How long the store has not answered; `None` if it answers.
    pub store_lost: Option<Millis>,
    /// Uptime of the process.
    pub running: Millis,
    /// Time until the tokens that the request lacks can be there, or until the targets' queues have drained; `None` if
    /// it is not known.
    pub forecast: Option<Millis>,
    /// The time that the caller has left; `None` if it is not known.
    pub left: Option<Millis>,
}

/// Why a caller gets no answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A header cannot be read.
    BadHeader,
    /// The body did not arrive completely.
    BadBody,
    /// The body is longer than the configuration allows.
    TooLong,
    /// No configuration is known yet.
    NoConfig,
    /// No route has this host and path.
    NoRoute,
    /// The customer's key is missing or unknown.
    NoKey,
    /// This router is stopping, and would not finish the request.
    Stopping,
    /// This router is overloaded and would answer late.
    Overloaded,
    /// Bodies and answers already take too much of this router's memory.
    MemoryFull,
    /// The control state refused the request.
    Refused(Refusal),
    /// The target refused the request and has not run it.
    TargetRefused,
    /// No target could be reached.
    Unreachable,
    /// The request's deadline passed before anything was sent.
    Late,
    /// The connection or the answer broke off after the request was sent; the request may have run.
    BrokenOff,
    /// The request's deadline passed after it was sent; it may have run.
    TimedOut,
    /// This router is stopping and gave up on the request after it was sent; it may have run.
    Cut,
}

impl Reason {
    /// The reason for a request whose deadline, or that of a shutdown, passed before anything was sent.
    pub(in crate::gateway) fn expired_before_send(expiry: Expiry) -> Self {
        Self::of(Failure::expired_before_send(expiry), Verdict::NotRun)
    }

    /// The reason for a request that is given up after a failed attempt. `verdict` covers all of its attempts: once one
    /// may have run, no later failure reports the request as not run.
    pub fn of(failure: Failure, verdict: Verdict) -> Self {
        match (failure, verdict) {
            (Failure::TimedOut, _) => Self::TimedOut,
            (Failure::Cut, _) => Self::Cut,
            (
                Failure::BrokenOff
                | Failure::DoubtfulRefusal
                | Failure::Ended
                | Failure::ServerError,
                _,
            )
            | (_, Verdict::MayHaveRun) => Self::BrokenOff,
            (Failure::Refused | Failure::AskedRest | Failure::WrongInstance, _) => {
                Self::TargetRefused
            }
            (
                Failure::Unreachable | Failure::NoPath | Failure::IdleClosed | Failure::Unwritable,
                _,
            ) => Self::Unreachable,
            (Failure::NoSlot { after }, _) => {
                let expected = after;
                Self::Refused(Refusal::Busy { expected, after })
            }
            (Failure::Late, _) => Self::Late,
            (Failure::Stopping, _) => Self::Stopping,
        }
    }

    /// The reason for a request whose last attempt failed and whose next one the control state refuses. That targets are
    /// busy is reported only if no attempt can have run.
    pub fn of_declined(failure: Failure, verdict: Verdict, refusal: Refusal) -> Self {
        let reason = Self::of(failure, verdict);
        match (refusal, reason.verdict()) {
            (Refusal::Busy { .. }, Verdict::NotRun) => Self::Refused(refusal),
            _ => reason,
        }
    }

    /// The return time after a refusal by the targets, given the shortest expected time when the last attempt was
    /// placed. `None` where the queues are too short to explain the refusal, or the reason is another.
    pub fn queue_forecast(self, shortest: Option<Expected>) -> Option<Millis> {
        let drained = shortest?.drained_after();
        (self == Self::TargetRefused && drained > REFUSED_RETRY).then_some(drained)
    }

    /// Whether the request may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::BrokenOff | Self::TimedOut | Self::Cut => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// The HTTP status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadHeader | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Refused(Refusal::Exhausted) => StatusCode::PAYMENT_REQUIRED,
            Self::BrokenOff => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::Cut => StatusCode::GATEWAY_TIMEOUT,
            Self::NoConfig
            | Self::Stopping
            | Self::Overloaded
            | Self::MemoryFull
            | Self::Refused(_)
            | Self::TargetRefused
            | Self::Unreachable
            | Self::Late => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The retry delay, if the request has not run and a later retry may succeed. Jitter derived from the request's id
    /// adds up to the shortest delay again, so that callers refused together do not retry together.
    pub fn retry_after(self, context: &RetryContext<'_>) -> Option<Millis> {
        if let Some(after) = context.forecast {
            return Some(promise::told(after, context.left, context.id));
        }
        let shortest = match (self, context.store_lost) {
            // Without more information, an outage is assumed to last as long again as it already has.
            (Self::NoConfig, None) => context.running.clamp(NO_CONFIG_RETRY, OUTAGE_RETRY_MAX),
            (Self::NoConfig | Self::Refused(Refusal::CutOff), Some(lost)) => {
                lost.clamp(CUT_OFF_RETRY, OUTAGE_RETRY_MAX)
            }
            _ => self.shortest_retry()?,
        };
        let told = with_jitter(shortest, context.id);
        match (self, context.left) {
            // An outage that has lasted for less than the caller has left may end before its deadline, but the caller
            // would not come back by then.
            (Self::Refused(Refusal::CutOff), Some(left))
                if context.store_lost.unwrap_or_default() < left
                    && told > promise::honoured(left) =>
            {
                Some(promise::within_reach(left, context.id))
            }
            _ => Some(told),
        }
    }

    /// The shortest retry delay for this reason.
    pub fn shortest_retry(self) -> Option<Millis> {
        match self {
            Self::NoConfig => Some(NO_CONFIG_RETRY),
            Self::Stopping => Some(STOPPING_RETRY),
            Self::Overloaded | Self::MemoryFull => Some(OVERLOADED_RETRY),
            Self::Refused(Refusal::Short) => Some(GRANT_RETRY),
            Self::Refused(Refusal::Scarce) => Some(SCARCE_RETRY),
            Self::Refused(Refusal::CutOff) => Some(CUT_OFF_RETRY),
            Self::Refused(Refusal::Quarantined { left }) => Some(left),
            Self::Refused(Refusal::Barred { left }) => {
                Some(left.map_or(BARRED_RETRY, |left| left.max(BARRED_RETRY_MIN)))
            }
            Self::Refused(Refusal::Busy { after, .. }) => Some(after.max(promise::RETURN_MIN)),
            Self::Refused(Refusal::NoTarget | Refusal::VersionUnknown | Refusal::VersionGone)
            | Self::Unreachable => Some(NO_TARGET_RETRY),
            Self::Refused(Refusal::Evacuated) => Some(EVACUATED_RETRY),
            Self::Refused(Refusal::NoRepeats) | Self::TargetRefused => Some(REFUSED_RETRY),
            Self::BadHeader
            | Self::BadBody
            | Self::TooLong
            | Self::NoRoute
            | Self::NoKey
            | Self::Refused(Refusal::Exhausted)
            | Self::Late
            | Self::BrokenOff
            | Self::TimedOut
            | Self::Cut => None,
        }
    }

    /// The reason code in answers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadHeader => "bad_header",
            Self::BadBody => "bad_body",
            Self::TooLong => "body_too_long",
            Self::NoConfig => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::Stopping => "stopping",
            Self::Overloaded => "overloaded",
            Self::MemoryFull => "memory_full",
            Self::Refused(Refusal::NoTarget) => "no_target",
            Self::Refused(Refusal::VersionUnknown) => "version_unknown",
            Self::Refused(Refusal::VersionGone) => "version_gone",
            Self::Refused(Refusal::Evacuated) => "halls_evacuated",
            Self::Refused(Refusal::NoRepeats) => "no_repeats",
            Self::Refused(Refusal::Exhausted) => "budget_exhausted",
            Self::Refused(Refusal::Short) => "budget_short_here",
            Self::Refused(Refusal::Scarce) => "budget_short_everywhere",
            Self::Refused(Refusal::CutOff) => "budget_short_and_cut_off",
            Self::Refused(Refusal::Barred { .. }) => "targets_barred",
            Self::Refused(Refusal::Busy { .. }) => "targets_busy",
            Self::Refused(Refusal::Quarantined { .. }) => "quarantined",
            Self::TargetRefused => "target_refused",
            Self::Unreachable => "unreachable",
            Self::Late => "late",
            Self::BrokenOff => "broken_off",
            Self::TimedOut => "timed_out",
            Self::Cut => "cut_at_stop",
        }
    }
}

/// A delay from `shortest` to twice that, always the same for the same id.
fn with_jitter(shortest: Millis, id: &str) -> Millis {
    shortest + Millis(xxh3_64(id.as_bytes()) % (shortest.0 + 1))
}
