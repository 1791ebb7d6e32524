//! What a caller is told whose request gets no target's answer: the status, the word, and when to
//! come back.
//!
//! "Not run" is said only where no attempt can have run. A time to come back goes with each refusal
//! that a later try may not meet.

use http::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use super::retry::{Failure, Verdict};
use crate::gateway::deadline::Expiry;
use crate::units::{Millis, Tokens};

/// Time to come back without a configuration: one comes within a read of the store.
const NO_CONFIG_RETRY: Millis = Millis(300);
/// Time to come back to another router when this one stops: any other serves at once.
const STOPPING_RETRY: Millis = Millis(20);
/// Time to come back where a router is behind with its work: what waits is done, and other routers serve at once. As
/// long as it is judged over.
const OVERLOADED_RETRY: Millis = Millis(200);
/// Time to come back for a grant, which takes a write to the store or a loan.
const GRANT_RETRY: Millis = Millis(250);
/// Time to come back while the store does not answer; its outages last many seconds.
const CUT_OFF_RETRY: Millis = Millis(5_000);
/// Time to come back where no target could be reached: the list is read each half a second.
const NO_TARGET_RETRY: Millis = Millis(250);
/// Time to come back where all halls with targets of a service are emptied: operators do that for work of some seconds
/// at least, and take halls back one by one.
const EVACUATED_RETRY: Millis = Millis(2_000);
/// Time to come back where targets have no room left for this router by their own word: another router may have some.
const BARRED_RETRY: Millis = Millis(250);
/// Shortest time to come back after that, where it is known when a target takes a request again.
const BARRED_RETRY_MIN: Millis = Millis(50);
/// Time to come back after a target's refusal, or where the retry budget is used up.
const REFUSED_RETRY: Millis = Millis(100);

/// Time to come back where little is left of a budget: only a request under way that costs less than was
/// reserved frees any of it, and an operator adds to it. Longer than nearly all callers wait.
const SCARCE_RETRY: Millis = Millis(30_000);
/// Longest time to come back for what is late, which may come at any time.
const LATE_RETRY_MAX: Millis = Millis(60_000);

/// A budget is scarce where what is left of it pays for fewer requests of this cost than that: it is spread
/// over routers and requests under way, so a request of this cost is hardly ever paid for soon.
const SCARCE_REQUESTS: u64 = 16;

/// Why the control state does not let a request run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target takes requests.
    NoTarget,
    /// The operators have emptied all halls that have targets.
    Evacuated,
    /// The retry budget is used up.
    NoRepeats,
    /// What is left of the prepaid budget does not cover it.
    Exhausted,
    /// This router's part of the budget does not cover it, and no more came in time.
    Short,
    /// The same, and little is left of the whole budget.
    Scarce,
    /// This router's part does not cover it, while the store does not answer.
    CutOff,
    /// No target takes a request of this router now by the targets' own word.
    Barred {
        /// When one does again, where that is known.
        left: Option<Millis>,
    },
    /// Targets crashed under it one after the other, so it is sent to none.
    Quarantined {
        /// How long that holds.
        left: Millis,
    },
}

/// What is known when tokens did not come that a request waited for.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    /// The most that the request may cost.
    pub cost: Tokens,
    /// Tokens of the prepaid budget that nobody is known to have spent.
    pub left: Tokens,
    /// Whether the store answers.
    pub store_answers: bool,
}

/// Decides why a request is refused whose tokens did not come.
pub fn shortage(shortage: &Shortage) -> Refusal {
    if !shortage.store_answers {
        Refusal::CutOff
    } else if shortage.left.0 / SCARCE_REQUESTS < shortage.cost.0 {
        Refusal::Scarce
    } else {
        Refusal::Short
    }
}

/// What is known when a caller is told when to come back.
#[derive(Clone, Copy, Debug)]
pub struct Outlook<'a> {
    /// The request's id.
    pub id: &'a str,
    /// How long the store has not answered, where it does not.
    pub store_lost: Option<Millis>,
    /// How long the process has run.
    pub running: Millis,
}

/// Why a caller gets no target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A header cannot be read.
    BadHeader,
    /// The body did not arrive complete.
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
    /// This router is behind with its work, and would answer late.
    Overloaded,
    /// The control state refused it.
    Refused(Refusal),
    /// The target refused it, and has not run it.
    TargetRefused,
    /// No target could be reached.
    Unreachable,
    /// The caller's time was over before anything was sent.
    Late,
    /// It was sent and broke off; it may have run.
    BrokenOff,
    /// It was sent and the caller's time was over; it may have run.
    TimedOut,
    /// It was sent and this router, which is stopping, waited no longer; it may have run.
    Cut,
}

impl Reason {
    /// What is told of a request whose time was over before anything was sent.
    pub(in crate::gateway) fn before(expiry: Expiry) -> Self {
        Self::of(Failure::before(expiry), Verdict::NotRun)
    }

    /// What is told of a request that is given up after a failed attempt. `verdict` covers all of its
    /// attempts: once one may have run, no later failure says that none has.
    pub fn of(failure: Failure, verdict: Verdict) -> Self {
        match (failure, verdict) {
            (Failure::TimedOut, _) => Self::TimedOut,
            (Failure::Cut, _) => Self::Cut,
            (Failure::BrokenOff | Failure::ServerError, _) | (_, Verdict::MayHaveRun) => {
                Self::BrokenOff
            }
            (Failure::Refused | Failure::AskedRest | Failure::WrongInstance, _) => {
                Self::TargetRefused
            }
            (Failure::Unreachable | Failure::IdleClosed | Failure::Unwritable, _) => {
                Self::Unreachable
            }
            (Failure::Late, _) => Self::Late,
            (Failure::Stopping, _) => Self::Stopping,
        }
    }

    /// Whether the request may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Self::BrokenOff | Self::TimedOut | Self::Cut => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// The status of the answer.
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
            | Self::Refused(_)
            | Self::TargetRefused
            | Self::Unreachable
            | Self::Late => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// When to come back, where it has not run and a later try may. Callers are spread by their requests'
    /// ids over as long again as the shortest time, so that those refused together do not return together.
    pub fn retry_after(self, outlook: &Outlook<'_>) -> Option<Millis> {
        let shortest = match (self, outlook.store_lost) {
            // What is late is as late again, where no more is known of it.
            (Self::NoConfig, None) => outlook.running.clamp(NO_CONFIG_RETRY, LATE_RETRY_MAX),
            (Self::NoConfig | Self::Refused(Refusal::CutOff), Some(lost)) => {
                lost.clamp(CUT_OFF_RETRY, LATE_RETRY_MAX)
            }
            _ => self.shortest_retry()?,
        };
        Some(spread(shortest, outlook.id))
    }

    /// The shortest time to come back, by the reason alone.
    pub fn shortest_retry(self) -> Option<Millis> {
        match self {
            Self::NoConfig => Some(NO_CONFIG_RETRY),
            Self::Stopping => Some(STOPPING_RETRY),
            Self::Overloaded => Some(OVERLOADED_RETRY),
            Self::Refused(Refusal::Short) => Some(GRANT_RETRY),
            Self::Refused(Refusal::Scarce) => Some(SCARCE_RETRY),
            Self::Refused(Refusal::CutOff) => Some(CUT_OFF_RETRY),
            Self::Refused(Refusal::Quarantined { left }) => Some(left),
            Self::Refused(Refusal::Barred { left }) => {
                Some(left.map_or(BARRED_RETRY, |left| left.max(BARRED_RETRY_MIN)))
            }
            Self::Refused(Refusal::NoTarget) | Self::Unreachable => Some(NO_TARGET_RETRY),
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

    /// Its word in answers and logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::BadHeader => "bad_header",
            Self::BadBody => "bad_body",
            Self::TooLong => "body_too_long",
            Self::NoConfig => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::Stopping => "stopping",
            Self::Overloaded => "overloaded",
            Self::Refused(Refusal::NoTarget) => "no_target",
            Self::Refused(Refusal::Evacuated) => "halls_evacuated",
            Self::Refused(Refusal::NoRepeats) => "no_repeats",
            Self::Refused(Refusal::Exhausted) => "budget_exhausted",
            Self::Refused(Refusal::Short) => "budget_short_here",
            Self::Refused(Refusal::Scarce) => "budget_short_everywhere",
            Self::Refused(Refusal::CutOff) => "budget_short_and_cut_off",
            Self::Refused(Refusal::Barred { .. }) => "targets_barred",
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

/// A time from `shortest` to twice that, the same for an id each time.
fn spread(shortest: Millis, id: &str) -> Millis {
    shortest + Millis(xxh3_64(id.as_bytes()) % (shortest.0 + 1))
}
