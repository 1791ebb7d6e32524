//! Checks each promise of routers against what callers and targets have seen.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lanedeck::standin::engine::word;
use lanedeck::standin::service::{Receipt, receipt};
use serde_json::Value;

use super::caller::{Call, Request, Verdict, Work};
use super::plan::Payer;
use crate::line::End;
use crate::promise::{UNREAD_MAX, Violation};

/// If a request was sent on a new connection within this time, the router must read it before it closes the
/// connection: half of the time that a router keeps a connection open for its first request.
const FRESH_MAX: Duration = Duration::from_millis(50);

/// What callers, targets and steps of a run have recorded.
#[derive(Default)]
pub struct Observations {
    pub calls: Vec<Call>,
    /// All requests, by id.
    pub requests: HashMap<String, Arc<Request>>,
    /// How often each id ran, over all targets.
    pub ran: BTreeMap<String, u64>,
    /// Periods in which a router was killed, frozen, or recovering from either.
    pub disturbed: Vec<(SocketAddr, Instant, Instant)>,
    pub has_faults: bool,
}

/// Tokens that a payer used for requests that ran, each counted once. With faults, targets may cut streams off, and
/// such a request is billed only what it delivered: if `delivered` is given, model calls that are not in it are left
/// out.
pub fn spent(
    requests: &HashMap<String, Arc<Request>>,
    ran: &BTreeMap<String, u64>,
    payer: Payer,
    delivered: Option<&HashSet<String>>,
) -> u64 {
    let requests = ran.keys().filter_map(|id| requests.get(id));
    let own = requests.filter(|request| {
        let came = request.work == Work::Call
            || delivered.is_none_or(|delivered| delivered.contains(&request.id));
        request.payer == payer && came
    });
    own.map(|request| request.cost()).sum()
}

impl Observations {
    /// Returns all violations.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut by_id: HashMap<&str, Vec<&Call>> = HashMap::new();
        for call in &self.calls {
            by_id.entry(&call.request.id).or_default().push(call);
        }
        for (id, attempts) in &by_id {
            let runs = self.ran.get(*id).copied().unwrap_or(0);
            let mut checks = vec![once(attempts, runs), self.refused(attempts, runs)];
            for call in attempts {
                checks.extend([
                    self.answered(call, runs),
                    own_answer(call),
                    self.denied(call),
                    served(call, runs),
                    billed(call),
                ]);
            }
            violations.extend(
                checks
                    .into_iter()
                    .flatten()
                    .map(|(promise, what)| Violation {
                        promise,
                        id: Some((*id).to_owned()),
                        what,
                    }),
            );
        }
        for id in self
            .ran
            .keys()
            .filter(|id| !self.requests.contains_key(*id))
        {
            violations.push(Violation {
                promise: "UNASKED",
                id: Some(id.clone()),
                what: "ran, but no caller has sent it".to_owned(),
            });
        }
        violations
    }

    /// Sum of the bills that a payer's callers were told, each request counted once.
    pub fn billed_total(&self, payer: Payer) -> u64 {
        let mut bills: HashMap<&str, u64> = HashMap::new();
        for call in self.calls.iter().filter(|call| call.request.payer == payer) {
            if let Verdict::Ran(billed) = call.verdict() {
                let bill = bills.entry(&call.request.id).or_default();
                *bill = billed.max(*bill);
            }
        }
        bills.values().sum()
    }

    /// What callers and targets saw of a request, for the timeline.
    pub fn timeline(&self, id: Option<&str>) -> Vec<(Instant, String)> {
        let own = self
            .calls
            .iter()
            .filter(|call| Some(call.request.id.as_str()) == id);
        let mut lines: Vec<_> = own.flat_map(Call::timeline).collect();
        let runs = id.and_then(|id| self.ran.get(id)).copied().unwrap_or(0);
        if let Some((at, _)) = lines.last().cloned() {
            lines.push((at, format!("target  it ran {runs} times in all")));
        }
        lines
    }

    fn was_disturbed(&self, call: &Call) -> bool {
        let mut spans = self.disturbed.iter();
        spans.any(|(router, from, to)| {
            *router == call.router && call.begun <= *to && call.ended >= *from
        })
    }

    /// LOST: each request that was read completely ends in a complete response or a refusal.
    fn answered(&self, call: &Call, runs: u64) -> Option<(&'static str, String)> {
        if call.was_abandoned || self.was_disturbed(call) {
            return None;
        }
        let progress = &call.progress;
        let sent = progress.sent.get();
        let unread = sent.map(|sent| call.ended - *sent);
        let first = call
            .connection_age
            .and_then(|age| Some(age + (*sent? - call.begun)));
        let what = match progress.end {
            End::Open => "neither answered nor refused",
            End::Cut if !self.has_faults => "its response was cut off",
            // With faults, an earlier attempt of the request may be the one that ran.
            End::Closed if runs > 0 && !self.has_faults => "ran, and its connection was closed",
            End::Closed
                if progress.was_closed_cleanly && first.is_some_and(|age| age < FRESH_MAX) =>
            {
                "read on a new connection, which ended without a response"
            }
            End::Closed if unread.is_some_and(|unread| unread > UNREAD_MAX) => {
                "closed long after it was sent"
            }
            End::Whole if call.verdict() == Verdict::Missing => "its response has no verdict",
            End::Whole if was_cut_off(call) && !self.has_faults => {
                "told that its response was cut off"
            }
            _ => return None,
        };
        Some(("LOST", what.to_owned()))
    }
}

impl Observations {
    /// DENIED: a valid request is not refused with an error that blames its caller.
    fn denied(&self, call: &Call) -> Option<(&'static str, String)> {
        match call.progress.status()? {
            status @ 400..=404 if status != 402 => {
                Some(("DENIED", format!("{status} for a valid request")))
            }
            402 if call.request.payer == Payer::Rich => {
                Some(("DENIED", "402 despite enough tokens".to_owned()))
            }
            _ => None,
        }
    }

    /// REFUSED: if the last verdict on a request is that it has not run, it has not run by the end of the test run.
    fn refused(&self, attempts: &[&Call], runs: u64) -> Option<(&'static str, String)> {
        let last = attempts.iter().max_by_key(|call| call.begun)?;
        let is_promise = last.verdict() == Verdict::NotRun;
        (is_promise && runs > 0)
            .then(|| ("REFUSED", "told that it has not run, but it has".to_owned()))
    }
}

/// Whether a stream's last event says that the stream was cut off.
fn was_cut_off(call: &Call) -> bool {
    let is_stream = matches!(call.request.work, Work::Stream(_));
    let is_whole = call.progress.status() != Some(200) || matches!(call.verdict(), Verdict::Ran(_));
    is_stream && !is_whole
}

/// TWICE: a request that may not be repeated runs at most once.
fn once(attempts: &[&Call], runs: u64) -> Option<(&'static str, String)> {
    let is_twice = !attempts.first()?.request.repeatable && runs > 1;
    is_twice.then(|| {
        (
            "TWICE",
            format!("ran {runs} times in {} attempts", attempts.len()),
        )
    })
}

/// UNSERVED: a request whose verdict is that it ran has run.
fn served(call: &Call, runs: u64) -> Option<(&'static str, String)> {
    let is_promise = matches!(call.verdict(), Verdict::Ran(_));
    (is_promise && runs == 0).then(|| ("UNSERVED", "told that it ran, but it has not".to_owned()))
}

/// BILLED: no caller is told a bill above the cost of its request.
fn billed(call: &Call) -> Option<(&'static str, String)> {
    let (verdict, cost) = (call.verdict(), call.request.cost());
    let is_over = matches!(verdict, Verdict::Ran(billed) if billed > cost);
    is_over.then(|| ("BILLED", format!("{verdict:?} for {cost}")))
}

/// MIXED and ORDER: a response belongs to its request, and is complete or visibly cut off.
fn own_answer(call: &Call) -> Option<(&'static str, String)> {
    if call.progress.status()? != 200 {
        return None;
    }
    let (request, prompt) = (&call.request, call.request.prompt());
    let words = |tokens: u64| -> String {
        (0..tokens)
            .map(|position| word(&prompt, position))
            .collect()
    };
    let is_whole = call.progress.end == End::Whole;
    let fits = match request.work {
        Work::Stream(tokens) => return stream_fits(call, &prompt, tokens),
        _ if !is_whole => true,
        Work::Whole(tokens) => {
            let body: Value = serde_json::from_slice(&call.progress.body).unwrap_or_default();
            let content = body["choices"][0]["message"]["content"].as_str();
            content == Some(&words(tokens)) && body["id"] == request.id
        }
        Work::Call => {
            let got: Option<Receipt> = serde_json::from_slice(&call.progress.body).ok();
            let receipt = receipt(request.text.as_bytes());
            let request_id = request.id.clone();
            got == Some(Receipt {
                request_id,
                receipt,
            })
        }
    };
    (!fits).then(|| {
        (
            "MIXED",
            "response of another request, or incomplete".to_owned(),
        )
    })
}

fn stream_fits(call: &Call, prompt: &str, tokens: u64) -> Option<(&'static str, String)> {
    let mut next = 0;
    for frame in call.frames() {
        if frame["error"].is_object() {
            return None;
        }
        if frame["id"] != call.request.id {
            return Some(("MIXED", format!("an event of {}", frame["id"])));
        }
        if frame["usage"].is_object() {
            let what = || format!("ended after {next} of {tokens} words");
            return (next != tokens).then(|| ("ORDER", what()));
        }
        let text = frame["choices"][0]["delta"]["content"].as_str();
        if frame["index"] != next || text != Some(&word(prompt, next)) {
            return Some(("ORDER", format!("event {next} is {frame}")));
        }
        next += 1;
    }
    // A stream without its last event is visibly incomplete only if its connection was cut off.
    let is_ended = call.progress.end == End::Whole;
    is_ended.then(|| {
        (
            "ORDER",
            format!("ended as complete after {next} of {tokens} words"),
        )
    })
}

/// Counts attempts by their outcome, for a run's summary.
pub fn tally(calls: &[Call]) -> BTreeMap<String, u32> {
    let mut tally = BTreeMap::new();
    for call in calls {
        let progress = &call.progress;
        let outcome = match (call.was_abandoned, progress.end, progress.status()) {
            (true, ..) => "abandoned".to_owned(),
            (_, End::Whole, Some(200)) if was_cut_off(call) => "cut_off".to_owned(),
            (_, End::Whole, Some(status)) => {
                let reason = progress.header("lanedeck-reason").unwrap_or("");
                format!("{status} {reason}").trim().to_owned()
            }
            (_, end, _) => format!("{end:?}").to_lowercase(),
        };
        *tally.entry(outcome).or_default() += 1;
    }
    tally
}
