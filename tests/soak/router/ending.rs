//! The end of a run: checks the spending and the recovery of the area.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

use tokio::time::timeout;

use super::{LOOK, Run};
use crate::common::area::chat;
use crate::deployment::{Ask, LONG, try_ask};
use crate::plan::{Habit, Kind};
use crate::promise::Broken;
use crate::router::caller::{Caller, Told, bearer};
use crate::router::operator::ASK;
use crate::router::plan::{self, Change, Payer, TARGETS, Work};
use crate::router::promise::spent;

impl Run<'_> {
    /// BUDGET: a customer has not used more than it has prepaid. One check before each top-up and one at the end cover the
    /// whole run.
    pub(super) fn check_spend(&self) -> u64 {
        let ran: BTreeMap<String, u64> = self.area.ran();
        let asked = self.world.asked.lock().unwrap();
        let whole = (self.plan.kind == Kind::Faults).then(|| self.whole());
        let spent = spent(&asked, &ran, Payer::Scarce, whole.as_ref());
        let prepaid = *self.prepaid.lock().unwrap();
        self.journal
            .note(format!("{spent} of {prepaid} tokens are spent"));
        self.check_sum("worked for", spent, prepaid);
        prepaid.saturating_sub(spent)
    }

    /// Requests whose callers got the verdict that they ran.
    pub(super) fn whole(&self) -> HashSet<String> {
        let calls = self.world.calls.lock().unwrap();
        let whole = calls
            .iter()
            .filter(|call| matches!(call.told(), Told::Ran(_)));
        whole.map(|call| call.wish.id.clone()).collect()
    }

    pub(super) fn check_sum(&self, what: &str, sum: u64, prepaid: u64) {
        if sum > prepaid {
            self.broken.lock().unwrap().push(Broken {
                promise: "BUDGET",
                id: None,
                what: format!("{what} {sum} tokens of {prepaid}"),
            });
        }
    }

    /// Spends the remaining tokens of [`Payer::Scarce`] at all routers concurrently.
    pub(super) fn use_up(&self) {
        let spender = plan::Caller {
            seed: self.plan.seed,
            habit: Habit::Fresh,
            payer: Payer::Scarce,
            pause: 0,
            returns: false,
            leaves: 0.0,
        };
        let spend = |router: &SocketAddr| {
            let caller = Caller::new(spender.clone(), self.world.clone());
            caller.use_up(*router)
        };
        let spends = futures::future::join_all(self.world.routers.iter().map(spend));
        self.handle.block_on(spends);
    }

    /// RECOVER: after the last step each router serves models and services within a bound.
    pub(super) fn is_whole_again(&self) {
        for kind in ["engine", "tickets"] {
            for number in 0..TARGETS {
                let change = match kind {
                    "engine" => Change::Engine(number, Work::Any),
                    _ => Change::Service(number, Work::Any),
                };
                self.area.apply(&self.intent(change));
            }
        }
        for (number, router) in self.world.routers.iter().enumerate() {
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
                        .block_on(async { timeout(ASK, try_ask(*router, &ask)).await });
                    last = answer.ok().flatten().map(|answer| answer.status);
                    std::thread::sleep(LOOK);
                }
                if last != Some(200) {
                    self.broken.lock().unwrap().push(Broken {
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
    number.is_some_and(|number| number >= FIRST_OWN)
}

/// Lowest number in ids that routers assign, in hexadecimal digits; the numbers that callers choose are lower.
const FIRST_OWN: &str = "80000000";
