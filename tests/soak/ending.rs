//! The end of a run: what was spent, whether the deployment is whole again, and what was broken.

use std::collections::HashSet;
use std::time::Instant;

use tokio::time::sleep;

use super::{LOOK, Outcome, QUIET, Run};
use crate::caller::{Call, Route};
use crate::deployment::runner::{Arrival, Work};
use crate::deployment::{Ask, LONG, try_ask};
use crate::place::Place;
use crate::plan::{Kind, Owner};
use crate::promise::{Broken, WHOLE, spent, tally};

impl Run {
    /// Requests that have ended and of which nothing came to their callers: a customer has not got what was
    /// lost on the way, or came after it left.
    pub(super) fn unseen(&self) -> HashSet<String> {
        let calls = self.world.calls.lock().unwrap();
        // A refusal has a body of its own, of which no token is a target's.
        let has_got =
            |call: &&Call| call.progress.status() == Some(200) && !call.progress.body.is_empty();
        let unseen = calls.iter().filter(|call| !has_got(call));
        unseen.map(|call| call.id.clone()).collect()
    }

    /// BUDGET: a customer has not got more than is prepaid. What it gets only grows, so a look before
    /// each time that more is prepaid, and one at the end, see each moment.
    pub(super) fn check_spend(&self) -> u64 {
        let spent = spent(&self.arrivals(), Owner::Scarce, &self.unseen());
        let prepaid = self.config.prepaid;
        self.journal
            .note(format!("{spent} of {prepaid} tokens are spent"));
        if spent > prepaid {
            self.broken.lock().unwrap().push(Broken {
                promise: "BUDGET",
                id: None,
                what: format!("{spent} tokens of {prepaid}"),
            });
        }
        prepaid.saturating_sub(spent)
    }

    /// Spends what is left of the customer whose tokens run out, at all gateways at once, until each says
    /// that nothing is left: what was granted twice shows only then.
    /// Returned are the gateways that neither served nor said so within the bound, with their last status:
    /// no rule bounds that, so it is told and breaks no promise.
    pub(super) async fn use_up(&self) -> Vec<(String, Option<u16>)> {
        let spend = |place: &Place| {
            let (front, name) = (place.front, place.name.clone());
            async move {
                let end = Instant::now() + LONG;
                for number in 0.. {
                    let id = format!("{PROBE}{name}spend{number}");
                    let ask = Ask::talk(&id, Route::Talk.path(), BITE, BITE_OUT)
                        .with("authorization", &format!("Bearer {}", Owner::Scarce.key()))
                        .with(Work::HEADER, &BITE_WORK.text());
                    let status = try_ask(front, &ask).await.map(|answer| answer.status);
                    if status == Some(402) {
                        return None;
                    }
                    if Instant::now() >= end {
                        return Some((name, status));
                    }
                    sleep(LOOK).await;
                }
                None
            }
        };
        let ended = futures::future::join_all(self.places.iter().map(spend)).await;
        ended.into_iter().flatten().collect()
    }

    pub(super) async fn end(mut self, logs: &std::path::Path) -> Outcome {
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        sleep(QUIET).await;
        let whole = self.is_whole_again().await;
        let unsettled = self.use_up().await;
        let left = self.check_spend();
        let mut seen = std::mem::take(&mut *self.seen.lock().unwrap());
        seen.has_faults = self.plan.kind == Kind::Faults;
        seen.calls = std::mem::take(&mut *self.world.calls.lock().unwrap());
        let arrivals = self.arrivals();
        let is_ours = |arrival: &Arrival| !arrival.header("x-attempt-id").starts_with(PROBE);
        seen.arrivals = arrivals.into_iter().filter(is_ours).collect();
        let mut broken = std::mem::take(&mut *self.broken.lock().unwrap());
        broken.extend(whole);
        broken.extend(seen.broken());
        let timeline = self.journal.around_first(logs, &broken, |id| seen.told(id));
        Outcome {
            seed: self.plan.seed,
            broken,
            timeline,
            summary: format!(
                "{} gateways, {} calls {:?}, {} departures, {left} of {} tokens left, unsettled {unsettled:?}",
                self.plan.gateways,
                seen.calls.len(),
                tally(&seen.calls),
                seen.departures.len(),
                self.config.prepaid
            ),
        }
    }

    /// RECOVER: once nothing happens any more, each gateway serves each route within a bound, and none
    /// has ended by itself.
    pub(super) async fn is_whole_again(&self) -> Vec<Broken> {
        let mut broken = Vec::new();
        for place in &self.places {
            for route in WHOLE {
                let end = Instant::now() + LONG;
                let mut last = None;
                let mut number = 0;
                while Instant::now() < end && last != Some(200) {
                    number += 1;
                    let id = format!("{PROBE}{}{:?}{number}", place.name, route);
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
                    last = try_ask(place.front, &ask).await.map(|answer| answer.status);
                    sleep(LOOK).await;
                }
                if last != Some(200) {
                    broken.push(Broken {
                        promise: "RECOVER",
                        id: None,
                        what: format!("{} answers {last:?} on {route:?}", place.name),
                    });
                }
            }
        }
        broken
    }
}

/// Tokens of a prompt that uses up what is left: few requests to the end of a budget.
const BITE: u64 = 120;
/// Most tokens of its answer.
const BITE_OUT: u64 = 20;
const BITE_WORK: Work = Work {
    wait: 0,
    filler: 0,
    events: 10,
    gap: 2,
};

/// How the ids of requests begin that ask whether the service is whole.
const PROBE: &str = "whole-";
