//! Requests that wait for a grant or a loan of prepaid tokens.
//!
//! Each customer's requests are paid in the order of [`order`](crate::gateway::decision::order). A request whose
//! caller has gone, or that a stop has ended, no longer counts.

use std::collections::HashMap;

use tokio::time::Instant;

use crate::gateway::attempt::ReplySender;
use crate::gateway::decision::order::{Ahead, Line, Trial, Turn, WAITING_MAX};
use crate::gateway::decision::refusal::{Declined, Refusal};
use crate::gateway::job::{Delivery, Ending, Job, Placement, Timing};
use crate::gateway::slots::Occupancy;
use crate::gateway::state::State;
use crate::units::{Millis, Tokens};

/// A request waiting for tokens.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) job: Job,
    pub(super) turn: Turn,
    pub(super) queued_at: Instant,
    /// Latest time to wait until.
    pub(super) deadline: Instant,
    pub(super) reply: ReplySender,
}

/// Which waiting requests are tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// All of them: tokens, rows or targets have changed.
    All,
    /// Those that are covered by what is left: it may have grown by a little, and a trial of each costs too much.
    Covered,
}

/// All waiting requests.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// The waiting requests of each customer that has any.
    lines: HashMap<String, Line<WaitingRequest>>,
}

impl Queue {
    /// Adds a request of a customer.
    ///
    /// # Errors
    /// The request, if as many as may wait already do.
    pub(super) fn push(
        &mut self,
        customer: &str,
        waiting: WaitingRequest,
    ) -> Result<(), Box<WaitingRequest>> {
        if self.len() >= WAITING_MAX {
            self.remove_departed();
        }
        if self.len() >= WAITING_MAX {
            return Err(Box::new(waiting));
        }
        let line = self.lines.entry(customer.to_owned()).or_default();
        line.push(waiting.turn, waiting.job.max_cost(), waiting);
        Ok(())
    }

    /// Whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    fn len(&self) -> usize {
        self.lines.values().map(Line::len).sum()
    }

    fn remove_departed(&mut self) {
        self.take_where(|waiting| waiting.reply.is_closed());
    }

    /// Whether a request that arrives may be paid before those of its customer that wait ahead of it.
    pub(super) fn admits(&mut self, customer: &str, turn: &Turn) -> bool {
        let Some(line) = self.lines.get_mut(customer) else {
            return true;
        };
        if line.admits(turn) {
            return true;
        }
        line.take_where(|waiting| waiting.reply.is_closed());
        line.admits(turn)
    }

    /// Records that a request that has not waited was paid.
    pub(super) fn note_bypass(&mut self, customer: &str, turn: &Turn) {
        if let Some(line) = self.lines.get_mut(customer) {
            line.note_bypass(turn);
        }
    }

    /// What waits ahead of a request of a customer; `limit` is the highest cost counted in [`Ahead::within_limit`].
    pub(super) fn ahead(&self, customer: &str, turn: &Turn, limit: Tokens) -> Ahead {
        let line = self.lines.get(customer);
        line.map(|line| line.ahead(turn, limit)).unwrap_or_default()
    }

    /// Number of a customer's requests that wait.
    pub(super) fn count(&self, customer: &str) -> usize {
        let line = self.lines.get(customer);
        line.map_or(0, |line| {
            let waiting = line.iter();
            waiting.filter(|waiting| !waiting.reply.is_closed()).count()
        })
    }

    /// The customers whose requests wait.
    pub(super) fn customers(&self) -> Vec<String> {
        self.lines.keys().cloned().collect()
    }

    /// Tokens that the requests wait for, by customer.
    pub(super) fn tokens_needed(&self) -> HashMap<String, Tokens> {
        let lines = self.lines.iter();
        lines
            .map(|(customer, line)| (customer.clone(), line.tokens()))
            .collect()
    }

    /// The earliest deadline of any request.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        let waiting = self.lines.values().flat_map(Line::iter);
        waiting.map(|waiting| waiting.deadline).min()
    }

    /// Answers the requests that can be paid for now, or are now refused for another reason.
    pub(super) fn retry(&mut self, state: &mut State, now: Millis, scope: Scope) {
        for (customer, line) in &mut self.lines {
            line.take_where(|waiting| waiting.reply.is_closed());
            let done = line.serve(|waiting| {
                let cost = waiting.job.max_cost();
                if scope == Scope::Covered && state.lacking(now, customer, cost) > Tokens::ZERO {
                    return Trial::Lacking;
                }
                match state.begin(now, waiting.job.clone()) {
                    Ok(placement) => Trial::Paid(Ok(placement)),
                    Err(Refusal::Short) => Trial::Lacking,
                    Err(refusal) => Trial::Ended(Err(refusal)),
                }
            });
            for (waiting, result) in done {
                tracing::info!(
                    event = "grant_waited",
                    id = %waiting.job.id,
                    ms = waiting.queued_at.elapsed().as_millis() as u64,
                    is_paid = result.is_ok()
                );
                answer(state, now, waiting.reply, result);
            }
        }
        self.lines.retain(|_, line| !line.is_empty());
    }

    /// Removes and returns the requests whose deadline has passed, in order.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<WaitingRequest> {
        self.take_where(|waiting| waiting.deadline <= now)
    }

    /// Removes and returns a customer's requests that were queued at `time` or before, in order.
    pub(super) fn take_queued_before(
        &mut self,
        customer: &str,
        time: Instant,
    ) -> Vec<WaitingRequest> {
        let Some(line) = self.lines.get_mut(customer) else {
            return Vec::new();
        };
        let taken = line.take_where(|waiting| waiting.queued_at <= time);
        self.lines.retain(|_, line| !line.is_empty());
        taken
    }

    fn take_where(&mut self, is_taken: impl Fn(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        let lines = self.lines.values_mut();
        let mut taken: Vec<WaitingRequest> =
            lines.flat_map(|line| line.take_where(&is_taken)).collect();
        self.lines.retain(|_, line| !line.is_empty());
        taken.sort_by_key(|waiting| waiting.turn);
        taken
    }
}

/// Answers a request. If its caller has disconnected meanwhile, ends the attempt at once.
pub(super) fn answer(
    state: &mut State,
    now: Millis,
    reply: ReplySender,
    result: Result<Placement, Refusal>,
) {
    if let Err(Ok(placement)) = reply.send(result.map_err(Declined::from)) {
        let ending = Ending {
            outcome: None,
            occupancy: Occupancy::Ended,
            delivery: Delivery::Nothing,
            timing: Timing::Unknown,
        };
        state.end(now, placement.job, ending);
    }
}
