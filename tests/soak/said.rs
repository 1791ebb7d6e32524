//! What targets say of themselves, and whether gateways keep to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::caller::Call;
use crate::deployment::runner::Arrival;
use crate::promise::{Broken, Seen};

/// By then after it was first told, the gateways keep to it; for a loaded machine, a rest by twice the usual.
const KNOWN_BY: Duration = Duration::from_secs(3);
const REST_KNOWN_BY: Duration = Duration::from_secs(1);
/// By then a gateway that was started again has heard it from the others.
const STARTED_KNOWN_BY: Duration = Duration::from_secs(1);
/// The span in which users count what a target with a limit gets.
const SPAN: Duration = Duration::from_secs(4);
/// Requests of a gateway that may come within a rest that it was asked for.
const RESTED_MAX: usize = 2;

/// What a target says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// That it leaves; its entry stays.
    Leaving,
    /// That it takes so many requests in ten seconds.
    Limit(u32),
    /// To one request in so many, that it wants nothing for so many milliseconds.
    Rest(u32, u64),
}

/// A target that said something for a while.
#[derive(Clone, Debug)]
pub struct Spoken {
    pub instance: String,
    pub said: Said,
    pub from: Instant,
    pub until: Instant,
}

impl Spoken {
    /// What came against its word.
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

    /// DRAIN: once one answer that says so has come to its caller, no later call comes here, but for those at a gateway
    /// that has just been started again: it hears it from the others.
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

    /// LIMIT: half as many again as it takes in any span, and five.
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

    /// BUDGET: a gateway that was asked for rest leaves the target alone, unless it was started again meanwhile: a new
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
