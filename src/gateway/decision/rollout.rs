//! What part of a service's requests a new version gets, and when a rollout ends.
//!
//! A version may turn out bad late, so whatever it has shown so far, all that it gets until the deadline counts as
//! exposed. The exposure is therefore planned over the whole time of the rollout: a steady trial, and all requests only
//! in a last short span, in which requests at the other versions end before these are stopped. The trial's requests go
//! to so few targets that each of them has as much work as one of the other versions' targets, since a version may fail
//! only under load.
//!
//! Rejected alternatives: raising the part in steps spends most of the exposure before the last step, so that a version
//! that turns bad late exceeds the bound; a longer trial by a few routers needs less communication, but those routers'
//! part of the traffic is not known to them.

use super::share::Allocation;
use crate::gateway::rollout::{Comparison, Evidence, Stage, Tally};
use crate::units::Millis;

/// Share of the allowed exposure that the trial uses, 0 to 1.
const TRIAL_SHARE: f64 = 0.25;
/// Share of the allowed exposure that is left for the span in which the new version gets all requests, 0 to 1. With the
/// trial's share it leaves a tenth for requests that are counted differently here and at the targets.
const SHIFT_SHARE: f64 = 0.65;
/// Share of the requests allowed beyond the exposure's share that routers use, 0 to 1: these are divided among the
/// routers by number, and routers that start anew count from zero.
const EXTRA_SHARE: f64 = 0.5;
/// Requests of a router for each one that the trial sends to the new version, at least: if that fails them all, the
/// retry budget covers each of them.
const TRIAL_SPACING: u64 = 8;
/// How long before the deadline the end is recorded, so that it is acknowledged in time.
const FINISH_BEFORE: Millis = Millis(450);
/// Largest part of the span in which the new version gets all requests that [`FINISH_BEFORE`] may take, 0 to 1.
const FINISH_SHARE_MAX: f64 = 0.65;
/// Part of that span for which the new version gets all requests before the end is recorded, 0 to 1.
const SHIFT_SHARE_MIN: f64 = 0.2;
/// Age of the decider's last record up to which a router sends requests to the new version. The decider repeats its
/// record each [`RECORD_INTERVAL`].
const RECORD_VALID_FOR: Millis = Millis(3_500);
/// Interval at which the decider repeats its record.
pub const RECORD_INTERVAL: Millis = Millis(1_000);

/// Reports a second that a decider gets of attempts at the other versions alone, whatever the size of the fleet.
const STABLE_REPORTS_PER_SECOND: u64 = 100;

/// Minimum number of attempts at the new version for a judgement that it is good.
const ATTEMPTS_MIN: u32 = 20;
/// Minimum number of attempts at the other versions for any comparison.
const STABLE_ATTEMPTS_MIN: u32 = 20;
/// Minimum number of failures that count as evidence.
const FAILURES_MIN: u32 = 4;
/// Minimum number of targets at which attempts failed: one target may crash or be cut off whatever its version is.
const FAILING_TARGETS_MIN: u32 = 2;
/// Excess of the failure share that is tolerated, 0 to 1.
const FAILURE_EXCESS_MAX: f64 = 0.05;
/// Minimum number of answers of the new version for a comparison of durations.
const ANSWERS_MIN: u32 = 10;
/// Excess of the mean logarithm of the durations that is tolerated: a factor of 1.6. The new version's targets have
/// empty caches, which alone makes their answers slower by less than that.
const LOG_EXCESS_MAX: f64 = 0.47;
/// Excess, in standard errors, that is not attributed to chance. Each rollout is judged some hundred times, by several
/// routes and spans.
const STANDARD_ERRORS_MIN: f64 = 4.5;

/// The bound on what a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Share of all requests for the service between the order and its deadline, 0 to 1.
    pub share: f64,
    /// Number of requests allowed in addition, over the whole fleet.
    pub extra: f64,
}

/// One router's count of a service's requests during a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sends {
    /// Requests for the service, with the one to be sent.
    pub requests: u64,
    /// Attempts sent to the new version.
    pub candidate: u64,
    /// Number of routers of the fleet.
    pub routers: usize,
    /// This router's position among them; `None` if it is not known yet.
    pub place: Option<usize>,
}

/// What a router knows of a rollout when it sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// The stage; `None` if it has not been read yet.
    pub stage: Option<Stage>,
    /// Upper bound of the age of the decider's last record; `None` if it is not known.
    pub record_age: Option<Millis>,
}

/// Whether a router may send its next request to the new version.
pub fn may_send(limit: &Limit, knowledge: Knowledge, sends: &Sends) -> bool {
    match knowledge.stage {
        Some(Stage::Trial) => {
            let is_spaced = sends.requests >= sends.candidate.saturating_add(1) * TRIAL_SPACING;
            is_spaced && is_within(TRIAL_SHARE, limit, knowledge, sends)
        }
        Some(Stage::Shift) => is_within(TRIAL_SHARE + SHIFT_SHARE, limit, knowledge, sends),
        Some(Stage::Done) => true,
        None | Some(Stage::RolledBack) => false,
    }
}

/// Whether a router may send a stream that the new version has begun to that version again. It can go on nowhere else, so
/// it may use what the trial leaves of the allowed exposure.
pub fn may_continue(limit: &Limit, knowledge: Knowledge, sends: &Sends) -> bool {
    match knowledge.stage {
        Some(Stage::Trial | Stage::Shift) => {
            is_within(TRIAL_SHARE + SHIFT_SHARE, limit, knowledge, sends)
        }
        Some(Stage::Done) => true,
        None | Some(Stage::RolledBack) => false,
    }
}

/// Whether one more attempt at the new version stays within this share of the allowed exposure, and the decider lives.
fn is_within(share: f64, limit: &Limit, knowledge: Knowledge, sends: &Sends) -> bool {
    let is_recent = knowledge
        .record_age
        .is_some_and(|age| age <= RECORD_VALID_FOR);
    let allowed = limit.share * share * sends.requests as f64 + extra(limit, sends);
    is_recent && (sends.candidate + 1) as f64 <= allowed
}

/// This router's part of the requests that are allowed in addition to the share.
fn extra(limit: &Limit, sends: &Sends) -> f64 {
    let requests = (limit.extra * EXTRA_SHARE).floor() as usize;
    let (Some(place), true) = (sends.place, requests > 0) else {
        return 0.0;
    };
    Allocation::new(requests, sends.routers).quota(place) as f64
}

/// Number of targets that the trial uses, so that each has the load of one of `stable` targets.
pub fn trial_targets(limit: &Limit, stable: usize) -> usize {
    let targets = stable as f64 * limit.share * TRIAL_SHARE;
    (targets.ceil() as usize).max(FAILING_TARGETS_MIN as usize)
}

/// The inputs of the decider.
#[derive(Clone, Debug)]
pub struct Input<'a> {
    /// The bound on what a bad version may get.
    pub limit: &'a Limit,
    /// The stage as recorded in the store.
    pub stage: Stage,
    /// Time since the order.
    pub age: Millis,
    /// Time since the stage was recorded.
    pub stage_age: Millis,
    /// Time from the order to its deadline.
    pub duration: Millis,
    /// Number of the new version's targets that accept requests.
    pub candidates: usize,
    /// All evidence.
    pub all: &'a Evidence,
    /// The evidence of the last seconds.
    pub recent: &'a Evidence,
}

/// The decider's verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing changes.
    Hold,
    /// The rollout enters another stage.
    Enter(Stage, Reason),
}

/// Why a rollout enters a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The new version is as good as the others, and the time for the stage has come.
    Good,
    /// Attempts at the new version fail more often.
    Failing {
        /// The route; `None` for all routes together.
        route: Option<String>,
    },
    /// Answers of the new version take longer.
    Slow {
        /// The route; `None` for all routes together.
        route: Option<String>,
    },
    /// There were too few attempts at the new version to judge it.
    Untested,
}

impl Reason {
    /// The name in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Failing { .. } => "failing",
            Self::Slow { .. } => "slow",
            Self::Untested => "untested",
        }
    }

    /// The route that the reason is about.
    pub fn route(&self) -> Option<&str> {
        match self {
            Self::Failing { route } | Self::Slow { route } => route.as_deref(),
            Self::Good | Self::Untested => None,
        }
    }
}

/// Decides how a rollout continues.
pub fn decide(input: &Input<'_>) -> Verdict {
    if input.stage.is_final() {
        return Verdict::Hold;
    }
    if let Some(reason) = fault(input) {
        return Verdict::Enter(Stage::RolledBack, reason);
    }
    let plan = Plan::new(input.limit, input.duration);
    let is_tested = input.all.total().candidate.attempts() >= ATTEMPTS_MIN;
    match input.stage {
        Stage::Trial if is_tested && input.age >= plan.shift_at => {
            Verdict::Enter(Stage::Shift, Reason::Good)
        }
        Stage::Trial if input.age >= plan.finish_at => {
            Verdict::Enter(Stage::RolledBack, Reason::Untested)
        }
        Stage::Shift if input.age >= plan.finish_at && input.stage_age >= plan.shift_min => {
            Verdict::Enter(Stage::Done, Reason::Good)
        }
        _ => Verdict::Hold,
    }
}

/// When the stages of a rollout end, in times since the order.
struct Plan {
    /// When the new version gets all requests.
    shift_at: Millis,
    /// Minimum time for which it gets them before the end.
    shift_min: Millis,
    /// When the end is recorded.
    finish_at: Millis,
}

impl Plan {
    /// Plans a rollout whose last span uses up what the trial leaves of the exposure.
    fn new(limit: &Limit, duration: Millis) -> Self {
        let shift = duration.0 as f64 * limit.share * SHIFT_SHARE;
        let finish_before = (shift * FINISH_SHARE_MAX) as u64;
        Self {
            shift_at: duration.saturating_sub(Millis(shift as u64)),
            shift_min: Millis((shift * SHIFT_SHARE_MIN) as u64),
            finish_at: duration.saturating_sub(FINISH_BEFORE.min(Millis(finish_before))),
        }
    }
}

/// Time until a rollout of this age may enter its next stage as planned; `None` if there is no such moment left.
pub fn until_next_stage(limit: &Limit, duration: Millis, age: Millis) -> Option<Millis> {
    let plan = Plan::new(limit, duration);
    let moments = [
        plan.shift_at,
        plan.shift_at + plan.shift_min,
        plan.finish_at,
    ];
    let left = moments.into_iter().filter(|moment| *moment > age);
    left.min().map(|moment| moment.saturating_sub(age))
}

/// What a router has to report to the decider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// Time since its last report to this decider, or else since the order.
    pub since_last: Millis,
    /// Whether attempts at the new version have ended since.
    pub is_candidate: bool,
    /// Whether any attempts have ended since.
    pub is_any: bool,
}

/// Whether a router of a fleet reports to the decider now. Attempts at the new version are reported at once; there are
/// few. Those at the other versions are only compared with, so a large fleet reports them less often.
pub fn is_report_due(news: &News, routers: usize) -> bool {
    let interval = Millis((1_000 * routers as u64) / STABLE_REPORTS_PER_SECOND);
    news.is_candidate || (news.is_any && news.since_last >= interval)
}

/// What is wrong with the new version, if anything is: over all routes, or on one of them.
fn fault(input: &Input<'_>) -> Option<Reason> {
    let few = (input.candidates as u32).clamp(1, FAILING_TARGETS_MIN);
    [input.all, input.recent].into_iter().find_map(|evidence| {
        let total = evidence.total();
        judge(&total, few, None).or_else(|| {
            evidence
                .routes()
                .find_map(|(route, comparison)| judge(comparison, few, Some(route)))
        })
    })
}

fn judge(comparison: &Comparison, targets_min: u32, route: Option<&str>) -> Option<Reason> {
    let route = route.map(str::to_owned);
    if fails_more(comparison, targets_min) {
        Some(Reason::Failing { route })
    } else if is_slower(comparison) {
        Some(Reason::Slow { route })
    } else {
        None
    }
}

/// Whether attempts at the new version fail more often, by a test of two proportions.
fn fails_more(comparison: &Comparison, targets_min: u32) -> bool {
    let Comparison { stable, candidate } = comparison;
    let is_evidence = stable.attempts() >= STABLE_ATTEMPTS_MIN
        && candidate.failed >= FAILURES_MIN
        && candidate.failing_targets() >= targets_min;
    let excess = candidate.failure_share() - stable.failure_share();
    if !is_evidence || excess <= FAILURE_EXCESS_MAX {
        return false;
    }
    let (few, many) = (attempts(candidate), attempts(stable));
    let failed = f64::from(candidate.failed + stable.failed);
    // One failure more than seen keeps the variance above zero.
    let pooled = ((failed + 1.0) / (few + many + 2.0)).min(1.0);
    let variance = pooled * (1.0 - pooled) * (1.0 / few + 1.0 / many);
    excess > STANDARD_ERRORS_MIN * variance.sqrt()
}

/// Whether answers of the new version take longer, by a test of the mean logarithms of the durations.
fn is_slower(comparison: &Comparison) -> bool {
    let Comparison { stable, candidate } = comparison;
    if candidate.answered < ANSWERS_MIN || stable.answered < STABLE_ATTEMPTS_MIN {
        return false;
    }
    let (slow, slow_variance) = candidate.log_moments();
    let (usual, usual_variance) = stable.log_moments();
    let variance = slow_variance.max(usual_variance) / f64::from(candidate.answered)
        + usual_variance / f64::from(stable.answered);
    let excess = slow - usual;
    excess > LOG_EXCESS_MAX && excess > STANDARD_ERRORS_MIN * variance.sqrt()
}

fn attempts(tally: &Tally) -> f64 {
    f64::from(tally.attempts())
}
