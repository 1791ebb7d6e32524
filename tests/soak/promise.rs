//! Checks each promise against what callers and targets have seen. docs/PROOFS.md names the rule behind each.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::caller::{CONTROL_HEADERS, Call, FORGED_VALUE, Route};
use crate::deployment::runner::{Arrival, Work};
use crate::deployment::version_of;
use crate::line::End;
use crate::plan::{LOCAL_PREPAID, Owner};
use crate::run::FOREIGN_PREFIX;
use crate::run::faults::CRASHING_BLOCK_ID;
use crate::said::NoticePeriod;

/// How long a request that was sent completely may stay unread before its connection is closed. A process reads what
/// has arrived within milliseconds; a loaded machine may delay it many times longer.
pub const UNREAD_MAX: Duration = Duration::from_secs(2);
/// How long after the store has accepted the change a leaving target may still get requests, and a revoked key may
/// still be served. Gateways read both every half second; this is six times as long, for a loaded machine.
pub const IN_FORCE_MAX: Duration = Duration::from_secs(3);

/// Streams that may hold events of several versions.
const MIXED_MAX: usize = 2;

/// Longest time from a gateway's refusal until its caller has it, on a loaded machine.
const REFUSAL_DELAY_MAX: Duration = Duration::from_millis(500);

/// A broken promise.
#[derive(Clone, Debug)]
pub struct Violation {
    pub promise: &'static str,
    /// The request that shows it.
    pub id: Option<String>,
    pub what: String,
}

/// What callers, targets and steps of a run have recorded.
#[derive(Default)]
pub struct Observations {
    pub calls: Vec<Call>,
    pub arrivals: Vec<Arrival>,
    /// Instances that have left, and when the store accepted it.
    pub departures: Vec<(String, Instant)>,
    /// Notices that targets sent about themselves.
    pub notices: Vec<NoticePeriod>,
    /// Failures after rejections of targets that announced a rejection limit, all of one service.
    pub failures_after_rejections: usize,
    /// When the store accepted that the key of [`Owner::Revoked`] is revoked.
    pub revoked: Option<Instant>,
    /// Gateways that were restarted, and when.
    pub restarts: Vec<(SocketAddr, Instant)>,
    /// Periods in which a gateway was killed, frozen, or recovering from either.
    pub disturbed: Vec<(SocketAddr, Instant, Instant)>,
    /// Periods in which the store was faulty or a gateway was frozen; time bounds do not apply then.
    pub unstable: Vec<(Instant, Instant)>,
    /// Whether the run has faults besides planned operations.
    pub has_faults: bool,
}

/// Tokens that a customer has used: those of each prompt once, and all that targets handed out. Requests in `unseen`
/// are left out.
pub fn spent(arrivals: &[Arrival], owner: Owner, unseen: &HashSet<String>) -> u64 {
    let mut prompts: HashMap<&str, u64> = HashMap::new();
    let mut handed_out = 0;
    for arrival in arrivals {
        let events = arrival.handed_out.load(Ordering::Relaxed);
        let is_unseen = unseen.contains(arrival.header("x-attempt-id"));
        if arrival.header("x-tenant") != owner.name() || events == 0 || is_unseen {
            continue;
        }
        let (tokens, _) = arrival.header("x-token-count").split_once(',').unwrap();
        prompts.insert(arrival.header("x-attempt-id"), tokens.parse().unwrap());
        handed_out += u64::from(events);
    }
    prompts.values().sum::<u64>() + handed_out
}

/// Failures after rejections that are acceptable at the targets of a service, of which there are two.
const FAILURES_MAX: usize = 2;

impl Observations {
    /// LIMIT: targets that announce a rejection limit seldom fail after rejections.
    fn too_many_failures(&self) -> Option<Violation> {
        let failures = self.failures_after_rejections;
        (failures > FAILURES_MAX).then(|| Violation {
            promise: "LIMIT",
            id: None,
            what: format!("targets failed {failures} times, {FAILURES_MAX} allowed"),
        })
    }

    /// Returns all violations.
    pub fn violations(&self) -> Vec<Violation> {
        let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.ran) {
            let id = arrival.header("x-attempt-id");
            runs.entry(id).or_default().push(arrival);
        }
        let mut violations = Vec::new();
        for call in &self.calls {
            let runs = runs.remove(call.id.as_str()).unwrap_or_default();
            let checks = [
                self.answered(call, &runs),
                once(call, &runs),
                refused(call, &runs),
                own_answer(call, &runs),
                unchanged(call, &runs),
                own_service(&runs),
                self.allowed(call, &runs),
                self.told_in_time(call),
            ];
            let found = checks.into_iter().flatten();
            violations.extend(found.map(|(promise, what)| Violation {
                promise,
                id: Some(call.id.clone()),
                what,
            }));
        }
        // Requests with a crashing block are sent once, beside the callers.
        let is_ours = |id: &str, arrivals: &[&Arrival]| {
            id.starts_with(CRASHING_BLOCK_ID) && arrivals.len() == 1
        };
        for (id, _) in runs.iter().filter(|(id, arrivals)| !is_ours(id, arrivals)) {
            violations.push(Violation {
                promise: "UNASKED",
                id: Some((*id).to_owned()),
                what: "ran, but no caller has sent it".to_owned(),
            });
        }
        violations.extend(self.mixed_streams());
        violations.extend(self.departed_unused());
        let notices = self.notices.iter();
        violations.extend(notices.filter_map(|period| period.first_violation(self)));
        violations.extend(self.too_many_failures());
        violations
    }

    /// What callers and targets saw of a request, for the timeline.
    pub fn timeline(&self, id: Option<&str>) -> Vec<(Instant, String)> {
        let calls = self
            .calls
            .iter()
            .filter(|call| Some(call.id.as_str()) == id);
        let mut entries: Vec<_> = calls.flat_map(Call::timeline).collect();
        for arrival in &self.arrivals {
            if Some(arrival.header("x-attempt-id")) == id {
                let got = format!(
                    "target  {} got it, ran={} tenant={}",
                    arrival.instance,
                    arrival.ran,
                    arrival.header("x-tenant")
                );
                entries.push((arrival.at, got));
            }
        }
        entries
    }

    /// Whether gateways must have applied by `now` what the store accepted at `taken`.
    fn is_in_force(&self, taken: Instant, now: Instant) -> bool {
        let since = now.checked_sub(IN_FORCE_MAX);
        let is_stable = |(from, to): &(Instant, Instant)| {
            // The store was healthy and no gateway frozen during the whole bound before `now`.
            since.is_some_and(|since| *to < since) || *from > now
        };
        since.is_some_and(|since| taken < since) && self.unstable.iter().all(is_stable)
    }

    fn was_disturbed(&self, call: &Call) -> bool {
        let mut spans = self.disturbed.iter();
        spans.any(|(gateway, from, to)| {
            *gateway == call.gateway && call.begun <= *to && call.ended >= *from
        })
    }

    /// LOST: each request that was read completely ends in a complete response or a refusal.
    fn answered(&self, call: &Call, runs: &[&Arrival]) -> Option<(&'static str, String)> {
        if call.was_abandoned || self.was_disturbed(call) {
            return None;
        }
        let ran = runs.first().map(|run| run.instance.as_str());
        let unread = call.progress.sent.get().map(|sent| call.ended - *sent);
        let what = match (call.progress.end, ran) {
            (End::Closed, Some(target)) => {
                format!("ran at {target}, and its connection was closed")
            }
            (End::Closed, None) if unread.is_some_and(|unread| unread > UNREAD_MAX) => {
                "closed long after it was sent".to_owned()
            }
            (End::Open, _) => "neither answered nor refused".to_owned(),
            // With faults, a target may cut off a response of which a part was passed on already.
            (End::Cut, _) if !self.has_faults => "its response was cut off".to_owned(),
            _ => return None,
        };
        Some(("LOST", what))
    }

    /// DENIED and ROUTE: a key is served while it is valid, and not afterwards.
    fn allowed(&self, call: &Call, runs: &[&Arrival]) -> Option<(&'static str, String)> {
        let revoked = self.revoked.filter(|_| call.owner == Owner::Revoked);
        let is_over = revoked.is_some_and(|at| self.is_in_force(at, call.begun));
        if is_over && !self.was_disturbed(call) && !runs.is_empty() {
            return Some(("ROUTE", "ran with a revoked key".to_owned()));
        }
        let is_valid = revoked.is_none_or(|at| call.ended < at);
        match call.progress.status() {
            Some(status @ 400..=404) if status != 402 && is_valid => {
                Some(("DENIED", format!("{status} for a valid request")))
            }
            Some(402) if call.owner != Owner::Scarce => {
                Some(("DENIED", "402 despite enough tokens".to_owned()))
            }
            _ => None,
        }
    }

    /// RETURN: while the budget lasts and the store answers, a caller that is refused for lack of tokens may come back
    /// within the time that it has left. The budget of [`Owner::Scarce`] does not last, and that of [`Owner::Local`]
    /// does until half of it is used.
    fn told_in_time(&self, call: &Call) -> Option<(&'static str, String)> {
        let told = call.told().filter(|_| call.is_refused_for_tokens())?;
        let lasts = match call.owner {
            Owner::Rich | Owner::Revoked => true,
            Owner::Scarce => false,
            Owner::Local => 2 * spent(&self.arrivals, call.owner, &HashSet::new()) <= LOCAL_PREPAID,
        };
        let mut unstable = self.unstable.iter();
        let is_unstable = unstable.any(|(from, to)| call.begun <= *to && call.ended >= *from);
        let is_late = told > call.left() + REFUSAL_DELAY_MAX;
        (lasts && !is_unstable && is_late).then(|| {
            let reason = String::from_utf8_lossy(&call.progress.body);
            let what = format!("told {told:?} with {:?} left: {reason}", call.left());
            ("RETURN", what)
        })
    }

    /// ORDER: at most [`MIXED_MAX`] streams hold events of several versions, over all calls of their callers.
    fn mixed_streams(&self) -> Option<Violation> {
        let mut versions: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
        for arrival in &self.arrivals {
            if arrival.handed_out.load(Ordering::Relaxed) > 0 {
                let first = match arrival.header("resumes") {
                    "" => arrival.header("x-attempt-id"),
                    first => first,
                };
                let of_stream = versions.entry(first).or_default();
                of_stream.insert(version_of(&arrival.instance));
            }
        }
        let mixed = versions.iter().filter(|(_, versions)| versions.len() > 1);
        let mixed: Vec<_> = mixed.collect();
        let (first, versions) = mixed.first()?;
        (mixed.len() > MIXED_MAX).then(|| Violation {
            promise: "ORDER",
            id: Some((*first).to_string()),
            what: format!(
                "{} streams of several versions, as {versions:?}",
                mixed.len()
            ),
        })
    }

    /// Number of calls that took up a stream, and of those that went on with it.
    pub fn taken_up(&self) -> (usize, usize) {
        let taken_up = self.calls.iter().filter(|call| call.after() > 0);
        let went_on = taken_up
            .clone()
            .filter(|call| call.progress.status() == Some(200));
        (taken_up.count(), went_on.count())
    }

    /// DRAIN: no request runs at a target that left longer ago than [`IN_FORCE_MAX`].
    fn departed_unused(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (instance, left) in &self.departures {
            let late = self.arrivals.iter().filter(|arrival| {
                arrival.instance == *instance && arrival.ran && self.is_in_force(*left, arrival.at)
            });
            violations.extend(late.map(|arrival| Violation {
                promise: "DRAIN",
                id: Some(arrival.header("x-attempt-id").to_owned()),
                what: format!("reached {instance} {:?} after it left", arrival.at - *left),
            }));
        }
        violations
    }
}

/// TWICE: a request that may not be repeated runs at most once.
fn once(call: &Call, runs: &[&Arrival]) -> Option<(&'static str, String)> {
    let is_twice = !call.route.may_repeat() && runs.len() > 1;
    is_twice.then(|| ("TWICE", format!("ran {} times", runs.len())))
}

/// REFUSED: a request that was refused as not executed has not run by the end of the test run.
fn refused(call: &Call, runs: &[&Arrival]) -> Option<(&'static str, String)> {
    let status = call.progress.status()?;
    let is_promise = matches!(status, 408 | 421 | 429 | 503);
    (is_promise && !runs.is_empty()).then(|| ("REFUSED", format!("{status}, but it has run")))
}

/// MIXED and ORDER: a response belongs to its request, and is complete or visibly cut off.
fn own_answer(call: &Call, runs: &[&Arrival]) -> Option<(&'static str, String)> {
    let progress = &call.progress;
    if progress.status()? != 200 {
        return None;
    }
    let seal = format!("seal-of-{}", call.id);
    if progress.header("x-server-seal") != Some(&seal)
        || progress.header("x-attempt-id") != Some(&call.id)
    {
        return Some(("MIXED", "seal or id of another request".to_owned()));
    }
    let body = String::from_utf8_lossy(&progress.body);
    if call.route.is_stream() {
        let whole: String = (call.after() + 1..=call.work.events)
            .map(|number| Work::event(&call.id, number))
            .collect();
        let fits = match progress.end {
            End::Whole => body == whole,
            _ => whole.starts_with(&*body),
        };
        let what = || format!("unexpected events: {} of {} bytes", body.len(), whole.len());
        return (!fits).then(|| ("ORDER", what()));
    }
    let fits = runs.iter().any(|run| {
        let whole = call.work.plain(&call.id, &run.instance, &call.ask.body);
        match progress.end {
            End::Whole => body == whole,
            _ => whole.starts_with(&*body),
        }
    });
    (!fits).then(|| ("MIXED", format!("unexpected body: {} bytes", body.len())))
}

/// UNASKED: a request runs as it was sent, for the customer that holds the key.
fn unchanged(call: &Call, runs: &[&Arrival]) -> Option<(&'static str, String)> {
    let differs = |run: &&&Arrival| {
        let same = |name| run.headers.get(name) == call.ask.headers.get(name);
        run.method != call.ask.method.as_str()
            || run.path != call.ask.path
            || run.body != call.ask.body
            || run.header("x-tenant") != call.owner.name()
            || CONTROL_HEADERS
                .iter()
                .any(|name| run.header(name) == FORGED_VALUE)
            || !["x-model", "x-token-count", "x-prompt-prefix"]
                .into_iter()
                .all(same)
    };
    let run = runs.iter().find(differs)?;
    Some(("UNASKED", format!("changed on its way to {}", run.instance)))
}

/// ROUTE: no request runs at a service that its route does not name.
fn own_service(runs: &[&Arrival]) -> Option<(&'static str, String)> {
    let run = runs
        .iter()
        .find(|run| run.instance.starts_with(FOREIGN_PREFIX))?;
    Some((
        "ROUTE",
        format!("ran at {}, of another service", run.instance),
    ))
}

/// Counts the calls of a run by their outcome, for its summary.
pub fn tally(calls: &[Call]) -> std::collections::BTreeMap<String, u32> {
    let mut tally = std::collections::BTreeMap::new();
    for call in calls {
        let outcome = match (
            call.was_abandoned,
            call.progress.end,
            call.progress.status(),
        ) {
            (true, ..) => "abandoned".to_owned(),
            (_, End::Whole, Some(503)) => String::from_utf8_lossy(&call.progress.body).into_owned(),
            (_, End::Whole, Some(status)) => status.to_string(),
            (_, end, _) => format!("{end:?}").to_lowercase(),
        };
        *tally.entry(outcome).or_default() += 1;
    }
    tally
}

/// Routes on which a recovered deployment must answer.
pub const RECOVERY_ROUTES: [Route; 4] = Route::ALL;
