//! Notices that targets send about themselves, and checks that gateways respect them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::caller::Call;
use crate::deployment::runner::Arrival;
use crate::promise::{Observations, Violation};

/// Time after a notice was first received until the gateways have to respect it; generous for a loaded machine.
pub const NOTICE_APPLIED_MAX: Duration = Duration::from_secs(3);
/// The same for a rest: twice the usual time, for a loaded machine.
const REST_APPLIED_MAX: Duration = Duration::from_secs(1);
/// Time in which a restarted gateway learns of a notice from its peers.
const RESTART_APPLIED_MAX: Duration = Duration::from_secs(1);
/// Window over which users count the requests to a target with a rate limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests that one gateway may still send within a rest that it was asked for.
const REST_REQUESTS_MAX: usize = 2;

/// What a target announces in its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetNotice {
    /// It is leaving; its entry stays.
    Leaving,
    /// It accepts this many requests in ten seconds.
    Limit(u32),
    /// It answers one request in this many by asking for no requests for this many milliseconds.
    Rest(u32, u64),
}

/// The time in which a target sent a notice.
#[derive(Clone, Debug)]
pub struct NoticePeriod {
    pub instance: String,
    pub notice: TargetNotice,
    pub from: Instant,
    pub until: Instant,
}

impl NoticePeriod {
    /// Returns the first violation of the notice.
    pub fn first_violation(&self, observations: &Observations) -> Option<Violation> {
        let here = observations
            .arrivals
            .iter()
            .filter(|arrival| arrival.instance == self.instance);
        let mut here: Vec<&Arrival> = here.collect();
        here.sort_by_key(|arrival| arrival.at);
        let calls = observations
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call));
        let calls: HashMap<&str, &Call> = calls.collect();
        match self.notice {
            TargetNotice::Leaving => self.leaving(observations, &here, &calls),
            TargetNotice::Limit(in_ten_seconds) => {
                self.limit(&here, f64::from(in_ten_seconds) / 10.0)
            }
            TargetNotice::Rest(_, millis) => {
                self.rest(observations, &here, &calls, Duration::from_millis(millis))
            }
        }
    }

    fn violation(
        &self,
        promise: &'static str,
        arrival: &Arrival,
        what: String,
    ) -> Option<Violation> {
        Some(Violation {
            promise,
            id: Some(arrival.header("x-attempt-id").to_owned()),
            what: format!("{} announced {:?}: {what}", self.instance, self.notice),
        })
    }

    /// DRAIN: no request that begins [`NOTICE_APPLIED_MAX`] after a response with the notice reached its caller runs
    /// here. Requests at a gateway that has just restarted are exempt, since it learns of the notice from its peers.
    fn leaving(
        &self,
        observations: &Observations,
        here: &[&Arrival],
        calls: &HashMap<&str, &Call>,
    ) -> Option<Violation> {
        let has_just_started = |call: &Call| {
            observations.restarts.iter().any(|(gateway, at)| {
                *gateway == call.gateway && (*at..*at + RESTART_APPLIED_MAX).contains(&call.begun)
            })
        };
        let call = |arrival: &&Arrival| calls.get(arrival.header("x-attempt-id")).copied();
        let informed = here.iter().filter(|arrival| arrival.at >= self.from);
        let informed = informed.filter_map(call).map(|call| call.ended).min()?;
        let is_late_call =
            |call: &Call| call.begun > informed + NOTICE_APPLIED_MAX && !has_just_started(call);
        let is_late = |arrival: &&&Arrival| arrival.ran && call(arrival).is_some_and(is_late_call);
        let late = here.iter().find(is_late)?;
        self.violation("DRAIN", late, format!("ran {:?} later", late.at - informed))
    }

    /// LIMIT: in any window the target gets at most one and a half times its limit plus five requests.
    fn limit(&self, here: &[&Arrival], per_second: f64) -> Option<Violation> {
        let allowed = (per_second * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0) as usize;
        let counted = here
            .iter()
            .filter(|arrival| arrival.at >= self.from + NOTICE_APPLIED_MAX);
        let counted: Vec<&&Arrival> = counted.filter(|arrival| arrival.at < self.until).collect();
        for (number, first) in counted.iter().enumerate() {
            let span = counted[number..]
                .iter()
                .take_while(|arrival| arrival.at < first.at + LIMIT_WINDOW);
            let got = span.count();
            if got > allowed {
                return self.violation(
                    "LIMIT",
                    first,
                    format!("{got} in a window, {allowed} allowed"),
                );
            }
        }
        None
    }

    /// BUDGET: a gateway that was asked for a rest sends the target no requests, unless it has restarted since: the new
    /// process has not been asked.
    fn rest(
        &self,
        observations: &Observations,
        here: &[&Arrival],
        calls: &HashMap<&str, &Call>,
        rest: Duration,
    ) -> Option<Violation> {
        let gateway = |arrival: &Arrival| -> Option<SocketAddr> {
            Some(calls.get(arrival.header("x-attempt-id"))?.gateway)
        };
        let is_asked = |arrival: &&&Arrival| {
            let is_meant = arrival.header("x-expect-instance") == self.instance;
            !arrival.ran && is_meant && (self.from..self.until).contains(&arrival.at)
        };
        for asked in here.iter().filter(is_asked) {
            let Some(own) = gateway(asked) else {
                continue;
            };
            let has_forgotten = observations.restarts.iter().any(|(restarted, at)| {
                *restarted == own && (asked.at..asked.at + rest).contains(at)
            });
            if has_forgotten {
                continue;
            }
            let times = asked.at + REST_APPLIED_MAX..asked.at + rest;
            let within = here.iter().filter(|arrival| times.contains(&arrival.at));
            let got = within
                .filter(|arrival| gateway(arrival) == Some(own))
                .count();
            if got > REST_REQUESTS_MAX {
                return self.violation("BUDGET", asked, format!("{got} requests within its rest"));
            }
        }
        None
    }
}
