//! The end of a run: checks the spending and the recovery of the deployment, and collects the violations.

use std::collections::HashSet;
use std::time::Instant;

use tokio::time::sleep;

use super::{Outcome, POLL_INTERVAL, REMAINING_WORK_MAX, Run};
use crate::caller::{Call, Route};
use crate::deployment::runner::{Arrival, Work};
use crate::deployment::{Ask, LONG, try_ask};
use crate::place::GatewaySlot;
use crate::plan::{Kind, Owner};
use crate::promise::{RECOVERY_ROUTES, Violation, spent, tally};

impl Run {
    /// Requests that have ended without any part of a target's response at their callers: tokens that were lost on the
    /// way, or that arrived after the caller left, do not count as used.
    pub(super) fn unseen(&self) -> HashSet<String> {
        let calls = self.shared.calls.lock().unwrap();
        // The body of a refusal holds no tokens of a target.
        let has_got =
            |call: &&Call| call.progress.status() == Some(200) && !call.progress.body.is_empty();
        let unseen = calls.iter().filter(|call| !has_got(call));
        unseen.map(|call| call.id.clone()).collect()
    }

    /// BUDGET: a customer has not used more than it has prepaid. Usage only grows, so one check before each top-up and
    /// one at the end cover the whole run.
    pub(super) fn check_spend(&self) -> u64 {
        let spent = spent(&self.arrivals(), Owner::Scarce, &self.unseen());
        let prepaid = self.config.prepaid;
        self.journal
            .record(format!("{spent} of {prepaid} tokens are spent"));
        if spent > prepaid {
            self.violations.lock().unwrap().push(Violation {
                promise: "BUDGET",
                id: None,
                what: format!("{spent} tokens of {prepaid}"),
            });
        }
        prepaid.saturating_sub(spent)
    }

    /// Spends the remaining tokens of [`Owner::Scarce`] at all gateways concurrently until each answers that none are
    /// left: tokens that were granted twice show only then. Returns the gateways that gave no such answer within the
    /// bound, with their last status. No rule sets this bound, so this is reported and is no violation.
    pub(super) async fn spend_remaining(&self) -> Vec<(String, Option<u16>)> {
        let spend = |slot: &GatewaySlot| {
            let (front, name) = (slot.front, slot.name.clone());
            async move {
                let end = Instant::now() + LONG;
                for number in 0.. {
                    let id = format!("{PROBE}{name}spend{number}");
                    let ask = Ask::talk(
                        &id,
                        Route::Talk.path(),
                        SPEND_PROMPT_TOKENS,
                        SPEND_OUTPUT_TOKENS,
                    )
                    .with("authorization", &format!("Bearer {}", Owner::Scarce.key()))
                    .with(Work::HEADER, &SPEND_WORK.text());
                    let status = try_ask(front, &ask).await.map(|answer| answer.status);
                    if status == Some(402) {
                        return None;
                    }
                    if Instant::now() >= end {
                        return Some((name, status));
                    }
                    sleep(POLL_INTERVAL).await;
                }
                None
            }
        };
        let ended = futures::future::join_all(self.slots.iter().map(spend)).await;
        ended.into_iter().flatten().collect()
    }

    pub(super) async fn finish(mut self, logs: &std::path::Path) -> Outcome {
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        sleep(REMAINING_WORK_MAX).await;
        let unrecovered = self.check_recovery().await;
        let unsettled = self.spend_remaining().await;
        let left = self.check_spend();
        let mut observations = std::mem::take(&mut *self.observations.lock().unwrap());
        observations.has_faults = self.plan.kind == Kind::Faults;
        observations.calls = std::mem::take(&mut *self.shared.calls.lock().unwrap());
        let arrivals = self.arrivals();
        let is_ours = |arrival: &Arrival| !arrival.header("x-attempt-id").starts_with(PROBE);
        observations.arrivals = arrivals.into_iter().filter(is_ours).collect();
        let mut violations = std::mem::take(&mut *self.violations.lock().unwrap());
        violations.extend(unrecovered);
        violations.extend(observations.violations());
        let timeline = self
            .journal
            .around_first(logs, &violations, |id| observations.timeline(id));
        let calls = observations.calls.iter();
        let short =
            calls.filter(|call| call.owner != Owner::Scarce && call.is_refused_for_tokens());
        let (taken_up, went_on) = observations.taken_up();
        Outcome {
            seed: self.plan.seed,
            violations,
            timeline,
            summary: format!(
                "{} gateways, {} calls {:?}, {went_on} of {taken_up} went on, {} short of tokens, {} departures, {left} of {} tokens left, unsettled {unsettled:?}",
                self.plan.gateways,
                observations.calls.len(),
                tally(&observations.calls),
                short.count(),
                observations.departures.len(),
                self.config.prepaid
            ),
        }
    }

    /// RECOVER: after the last step each gateway serves each route within a bound, and none has exited on its own.
    pub(super) async fn check_recovery(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for slot in &self.slots {
            for route in RECOVERY_ROUTES {
                let end = Instant::now() + LONG;
                let mut last = None;
                let mut number = 0;
                while Instant::now() < end && last != Some(200) {
                    number += 1;
                    let id = format!("{PROBE}{}{:?}{number}", slot.name, route);
                    let ask = if route.is_stream() {
                        Ask::talk(&id, route.path(), 20, 30)
                    } else {
                        Ask::new(&id, route.path())
                    };
                    let work = Work {
                        events: 3,
                        ..Work::default()
                    };
                    let ask = ask.with(Work::HEADER, &work.text());
                    last = try_ask(slot.front, &ask).await.map(|answer| answer.status);
                    sleep(POLL_INTERVAL).await;
                }
                if last != Some(200) {
                    violations.push(Violation {
                        promise: "RECOVER",
                        id: None,
                        what: format!("{} answers {last:?} on {route:?}", slot.name),
                    });
                }
            }
        }
        violations
    }
}

/// Prompt tokens of a request that spends the remaining budget: large enough that few requests use it up.
const SPEND_PROMPT_TOKENS: u64 = 120;
/// Maximum number of tokens of its response.
const SPEND_OUTPUT_TOKENS: u64 = 20;
const SPEND_WORK: Work = Work {
    wait: 0,
    filler: 0,
    events: 10,
    gap: 2,
};

/// Id prefix of requests that check the recovery and spend the remaining tokens.
const PROBE: &str = "whole-";
