//! Notices that targets send about themselves, and checks that gateways respect them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::caller::Call;
use crate::deployment::runner::Arrival;
use crate::promise::{Broken, Seen};

/// Time after a notice was first received until the gateways have to respect it; generous for a loaded machine. The
/// one of a rest is twice what is usual.
const KNOWN_BY: Duration = Duration::from_secs(3);
const REST_KNOWN_BY: Duration = Duration::from_secs(1);
/// Time in which a restarted gateway learns of a notice from its peers.
const STARTED_KNOWN_BY: Duration = Duration::from_secs(1);
/// Window over which users count the requests to a target with a rate limit.
const SPAN: Duration = Duration::from_secs(4);
/// Requests that one gateway may still send within a rest that it was asked for.
const RESTED_MAX: usize = 2;

/// What a target announces in its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It is leaving; its entry stays.
    Leaving,
    /// It accepts this many requests in ten seconds.
    Limit(u32),
    /// It answers one request in this many by asking for no requests for this many milliseconds.
    Rest(u32, u64),
}

/// The time in which a target sent a notice.
#[derive(Clone, Debug)]
pub struct Spoken {
    pub instance: String,
    pub said: Said,
    pub from: Instant,
    pub until: Instant,
}

impl Spoken {
    /// Returns the first violation of the notice.
    pub fn broken(&self, seen: &Seen) -> Option<Broken> {
        let here = seen
            .arrivals
            .iter()
            .filter(|one| one.instance == self.instance);
        let mut here: Vec<&Arrival> = here.collect();
        here.sort_by_key(|one| one.at);
        let calls = seen.calls.iter().map(|call| (call.id.as_str(), call));
        let calls: HashMap<&str, &Call> = calls.collect();
        match self.said {
            Said::Leaving => self.leaving(seen, &here, &calls),
            Said::Limit(in_ten_seconds) => self.limit(&here, f64::from(in_ten_seconds) / 10.0),
            Said::Rest(_, millis) => self.rest(seen, &here, &calls, Duration::from_millis(millis)),
        }
    }

    fn show(&self, promise: &'static str, arrival: &Arrival, what: String) -> Option<Broken> {
        Some(Broken {
            promise,
            id: Some(arrival.header("x-attempt-id").to_owned()),
            what: format!("{} said {:?}: {what}", self.instance, self.said),
        })
    }

    /// DRAIN: after a response with the notice has reached its caller, no later request runs here. Excepted are requests
    /// at a gateway that has just restarted, since it learns of the notice from its peers.
    fn leaving(
        &self,
        seen: &Seen,
        here: &[&Arrival],
        calls: &HashMap<&str, &Call>,
    ) -> Option<Broken> {
        let has_just_started = |call: &Call| {
            seen.restarts.iter().any(|(gateway, at)| {
                *gateway == call.gateway && (*at..*at + STARTED_KNOWN_BY).contains(&call.begun)
            })
        };
        let call = |one: &&Arrival| calls.get(one.header("x-attempt-id")).copied();
        let told = here.iter().filter(|one| one.at >= self.from);
        let told = told.filter_map(call).map(|call| call.ended).min()?;
        let is_late_call = |call: &Call| call.begun > told + KNOWN_BY && !has_just_started(call);
        let is_late = |one: &&&Arrival| one.ran && call(one).is_some_and(is_late_call);
        let late = here.iter().find(is_late)?;
        self.show("DRAIN", late, format!("reached {:?} later", late.at - told))
    }

    /// LIMIT: in any window the target gets at most one and a half times its limit plus five requests.
    fn limit(&self, here: &[&Arrival], per_second: f64) -> Option<Broken> {
        let allowed = (per_second * SPAN.as_secs_f64() * 1.5 + 5.0) as usize;
        let counted = here.iter().filter(|one| one.at >= self.from + KNOWN_BY);
        let counted: Vec<&&Arrival> = counted.filter(|one| one.at < self.until).collect();
        for (number, first) in counted.iter().enumerate() {
            let span = counted[number..]
                .iter()
                .take_while(|one| one.at < first.at + SPAN);
            let got = span.count();
            if got > allowed {
                return self.show(
                    "LIMIT",
                    first,
                    format!("{got} in a span, {allowed} allowed"),
                );
            }
        }
        None
    }

    /// BUDGET: a gateway that was asked for a rest sends the target no requests, unless it has restarted since: the new
    /// process has not been asked.
    fn rest(
        &self,
        seen: &Seen,
        here: &[&Arrival],
        calls: &HashMap<&str, &Call>,
        rest: Duration,
    ) -> Option<Broken> {
        let gateway = |one: &Arrival| -> Option<SocketAddr> {
            Some(calls.get(one.header("x-attempt-id"))?.gateway)
        };
        let is_asked = |one: &&&Arrival| {
            let is_meant = one.header("x-expect-instance") == self.instance;
            !one.ran && is_meant && (self.from..self.until).contains(&one.at)
        };
        for asked in here.iter().filter(is_asked) {
            let Some(own) = gateway(asked) else {
                continue;
            };
            let has_forgotten = seen.restarts.iter().any(|(restarted, at)| {
                *restarted == own && (asked.at..asked.at + rest).contains(at)
            });
            if has_forgotten {
                continue;
            }
            let times = asked.at + REST_KNOWN_BY..asked.at + rest;
            let within = here.iter().filter(|one| times.contains(&one.at));
            let got = within.filter(|one| gateway(one) == Some(own)).count();
            if got > RESTED_MAX {
                return self.show("BUDGET", asked, format!("{got} within its rest"));
            }
        }
        None
    }
}
