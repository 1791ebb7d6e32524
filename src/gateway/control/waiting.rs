//! Requests that wait for a grant or a loan of prepaid tokens.

use std::collections::HashMap;

use tokio::time::Instant;

use crate::gateway::attempt::Reply;
use crate::gateway::decision::refusal::Refusal;
use crate::gateway::job::{Delivery, Ending, Job, Placement};
use crate::gateway::state::State;
use crate::units::{Millis, Tokens};

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) job: Job,
    pub(super) since: Instant,
    /// Until then.
    pub(super) until: Instant,
    pub(super) reply: Reply,
}

/// All requests that wait.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Adds a request.
    pub(super) fn push(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    /// Tokens that requests wait for, by customer.
    pub(super) fn needed(&self) -> HashMap<String, Tokens> {
        let mut needed: HashMap<String, Tokens> = HashMap::new();
        for waiting in &self.waiting {
            if let Some((customer, _)) = &waiting.job.payer {
                *needed.entry(customer.clone()).or_default() += waiting.job.max_cost();
            }
        }
        needed
    }

    /// When the first of them has waited for long enough.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.waiting.iter().map(|waiting| waiting.until).min()
    }

    /// Starts those that can be paid for now, or are refused for another reason by now.
    pub(super) fn retry(&mut self, state: &mut State, now: Millis) {
        for waiting in std::mem::take(&mut self.waiting) {
            let result = state.begin(now, waiting.job.clone());
            if matches!(result, Err(Refusal::Short)) {
                self.waiting.push(waiting);
            } else {
                tracing::info!(
                    event = "grant_waited",
                    id = %waiting.job.id,
                    ms = waiting.since.elapsed().as_millis() as u64,
                    is_paid = result.is_ok()
                );
                answer(state, now, waiting.reply, result);
            }
        }
    }

    /// Takes out those that have waited for long enough.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<Waiting> {
        self.take(|waiting| waiting.until <= now)
    }

    /// Takes out a customer's that waited at `asked` already.
    pub(super) fn take_asked(&mut self, customer: &str, asked: Instant) -> Vec<Waiting> {
        self.take(|waiting| {
            let payer = waiting.job.payer.as_ref();
            waiting.since <= asked && payer.is_some_and(|(payer, _)| payer == customer)
        })
    }

    fn take(&mut self, is_taken: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let waiting = std::mem::take(&mut self.waiting);
        let (taken, waiting) = waiting.into_iter().partition(is_taken);
        self.waiting = waiting;
        taken
    }
}

/// Answers a request. Where its caller has left meanwhile, the attempt ends at once.
pub(super) fn answer(
    state: &mut State,
    now: Millis,
    reply: Reply,
    result: Result<Placement, Refusal>,
) {
    if let Err(Ok(placement)) = reply.send(result) {
        let ending = Ending {
            outcome: None,
            delivery: Delivery::Nothing,
        };
        state.end(now, placement.job, ending);
    }
}
