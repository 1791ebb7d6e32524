//! The end of a run: checks the spending and the recovery of the area.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

use tokio::time::timeout;

use super::{POLL_INTERVAL, Run};
use crate::common::area::chat;
use crate::deployment::{Ask, LONG, try_ask};
use crate::plan::{Habit, Kind};
use crate::promise::Violation;
use crate::router::caller::{Caller, Verdict, bearer};
use crate::router::operator::REQUEST_TIMEOUT;
use crate::router::plan::{self, Change, Payer, TARGETS, Work};
use crate::router::promise::spent;

impl Run<'_> {
    /// BUDGET: a customer has not used more than it has prepaid. One check before each top-up and one at the end cover
    /// the whole run.
    pub(super) fn check_spend(&self) -> u64 {
        let ran: BTreeMap<String, u64> = self.area.ran();
        let requests = self.shared.requests.lock().unwrap();
        let delivered = (self.plan.kind == Kind::Faults).then(|| self.delivered());
        let spent = spent(&requests, &ran, Payer::Scarce, delivered.as_ref());
        let prepaid = *self.prepaid.lock().unwrap();
        self.journal
            .record(format!("{spent} of {prepaid} tokens are spent"));
        self.check_sum("used", spent, prepaid);
        prepaid.saturating_sub(spent)
    }

    /// Requests whose callers got the verdict that they ran.
    pub(super) fn delivered(&self) -> HashSet<String> {
        let calls = self.shared.calls.lock().unwrap();
        let delivered = calls
            .iter()
            .filter(|call| matches!(call.verdict(), Verdict::Ran(_)));
        delivered.map(|call| call.request.id.clone()).collect()
    }

    pub(super) fn check_sum(&self, what: &str, sum: u64, prepaid: u64) {
        if sum > prepaid {
            self.violations.lock().unwrap().push(Violation {
                promise: "BUDGET",
                id: None,
                what: format!("{what} {sum} tokens of {prepaid}"),
            });
        }
    }

    /// Spends the remaining tokens of [`Payer::Scarce`] at all routers concurrently.
    pub(super) fn spend_remaining(&self) {
        let spender = plan::Caller {
            seed: self.plan.seed,
            habit: Habit::Fresh,
            payer: Payer::Scarce,
            pause_max_ms: 0,
            retries: false,
            abandon_share: 0.0,
        };
        let spend = |router: &SocketAddr| {
            let caller = Caller::new(spender.clone(), self.shared.clone());
            caller.spend_remaining(*router)
        };
        let spends = futures::future::join_all(self.shared.routers.iter().map(spend));
        self.handle.block_on(spends);
    }

    /// RECOVER: after the last step each router serves models and services within a bound.
    pub(super) fn check_recovery(&self) {
        for kind in ["engine", "tickets"] {
            for number in 0..TARGETS {
                let change = match kind {
                    "engine" => Change::Engine(number, Work::Any),
                    _ => Change::Service(number, Work::Any),
                };
                self.area.apply(&self.intent(change));
            }
        }
        for (number, router) in self.shared.routers.iter().enumerate() {
            let asks = [
                ("/v1/chat/completions", chat("whole", 3)),
                ("/v1/services/tickets", "x".into()),
            ];
            for (path, body) in asks {
                let ask = Ask::get(path)
                    .post(&body)
                    .with("authorization", &bearer(Payer::Rich))
                    .with("lanedeck-budget", Payer::Rich.budget());
                let end = Instant::now() + LONG;
                let mut last = None;
                while Instant::now() < end && last != Some(200) {
                    let answer = self
                        .handle
                        .block_on(async { timeout(REQUEST_TIMEOUT, try_ask(*router, &ask)).await });
                    last = answer.ok().flatten().map(|answer| answer.status);
                    std::thread::sleep(POLL_INTERVAL);
                }
                if last != Some(200) {
                    self.violations.lock().unwrap().push(Violation {
                        promise: "RECOVER",
                        id: None,
                        what: format!("r{number} answers {last:?} on {path}"),
                    });
                }
            }
        }
    }
}

/// Whether a router assigned this id. Only the requests that check the recovery are sent without one.
pub(super) fn is_probe(id: &str) -> bool {
    let number = id.get(id.len().saturating_sub(8)..);
    number.is_some_and(|number| number >= FIRST_ROUTER_NUMBER)
}

/// Lowest number in ids that routers assign, in hexadecimal digits; the numbers that callers choose are lower.
const FIRST_ROUTER_NUMBER: &str = "80000000";
