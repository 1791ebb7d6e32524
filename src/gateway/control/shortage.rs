//! Refuses requests that cannot get tokens: the store and all lenders were asked without success, the longest wait is
//! over, or no tokens are expected within it.

use tokio::time::Instant;

use super::context::Control;
use super::waiting::WaitingRequest;
use crate::gateway::decision::forecast::{self, Grant, Inflow, Outcome, Prospect};
use crate::gateway::decision::promise::{Claim, Promise};
use crate::gateway::decision::refusal::{self, Declined, Reason, Refusal, Shortage};
use crate::gateway::job::Job;
use crate::units::{Millis, Tokens};

/// Maximum number of customers whose arrivals of tokens are recorded. A customer without a record has no forecast.
const INFLOWS_MAX: usize = 1_024;

/// Refuses the requests whose longest wait is over, unless they can be paid by now: the limit of a grant rises with time.
pub(super) fn refuse_expired(control: &Control) {
    control.retry_covered();
    let expired = control.waiting.borrow_mut().take_expired(Instant::now());
    refuse(control, expired, None);
    control.retry_covered();
}

/// Refuses a customer's requests that were queued at `asked_at` or before, when the store and the other routers were
/// first asked for tokens. None of them has more, so a longer wait seldom helps.
pub(super) fn refuse_queued_before(control: &Control, customer: &str, asked_at: Instant) {
    let refused = control
        .waiting
        .borrow_mut()
        .take_queued_before(customer, asked_at);
    refuse(control, refused, None);
    control.retry_covered();
}

/// Refuses requests, the first in order first. `outcome` is the forecast by which they are refused, if one was made.
pub(super) fn refuse(control: &Control, requests: Vec<WaitingRequest>, outcome: Option<Outcome>) {
    for waiting in requests {
        // The request has ended: its caller has disconnected, or it was given up by a stop.
        if waiting.reply.is_closed() {
            continue;
        }
        let refusal = reason(control, &waiting.job);
        let mut state = control.state.borrow_mut();
        state.record_refused(control.now(), &waiting.job, refusal);
        drop(state);
        let waited = Millis(waiting.queued_at.elapsed().as_millis() as u64);
        log(control, &waiting.job, refusal, waited, outcome);
        let promise = promise(control, &waiting, refusal);
        let left = waiting.job.deadline.saturating_sub(control.now());
        let declined = Declined {
            refusal,
            forecast: promise.and_then(|promise| refusal.forecast(&promise, left, &waiting.job.id)),
        };
        // The caller may have disconnected.
        let _ = waiting.reply.send(Err(declined));
    }
}

/// Why a request is refused if no tokens arrive for it.
pub(super) fn reason(control: &Control, job: &Job) -> Refusal {
    let left = job.payer.as_ref().map(|(customer, prepaid)| {
        let (_, spent) = control.state.borrow().balance(control.now(), customer);
        prepaid.saturating_sub(spent)
    });
    refusal::shortage(&Shortage {
        cost: job.max_cost(),
        // Every request that waits for tokens has a payer.
        left: left.unwrap_or_default(),
        store_answers: control.shared.store_answers(),
    })
}

/// Records how many tokens of a customer have arrived here by now.
pub(super) fn observe(control: &Control, customer: &str) {
    let now = control.now();
    let total = control.state.borrow().reservable(now, customer);
    let mut inflows = control.inflows.borrow_mut();
    if let Some(inflow) = inflows.get_mut(customer) {
        inflow.observe(now, total);
        return;
    }
    if inflows.len() >= INFLOWS_MAX {
        inflows.retain(|_, inflow| !inflow.is_outdated(now));
    }
    if inflows.len() < INFLOWS_MAX {
        inflows.insert(customer.to_owned(), Inflow::new(now, total));
    }
}

/// Records arrivals for all customers whose requests wait.
pub(super) fn observe_waiting(control: &Control) {
    let customers = control.waiting.borrow().customers();
    for customer in customers {
        observe(control, &customer);
    }
}

/// Forecasts whether a request that is not queued yet can be paid within its wait.
pub(super) fn forecast(control: &Control, customer: &str, waiting: &WaitingRequest) -> Outcome {
    let now = control.now();
    let cost = waiting.job.max_cost();
    let wait = waiting
        .deadline
        .saturating_duration_since(waiting.queued_at);
    let inflows = control.inflows.borrow();
    let inflow = inflows.get(customer);
    let most = inflow.and_then(|inflow| inflow.most_within(now, Millis(wait.as_millis() as u64)));
    let state = control.state.borrow();
    let (available, _) = state.balance(now, customer);
    let queue = control.waiting.borrow();
    // Larger requests ahead are passed over.
    let limit = Tokens(available.0.saturating_add(most.unwrap_or_default().0));
    let ahead = queue.ahead(customer, &waiting.turn, limit);
    let can_grant =
        control.shared.store_answers() && state.can_cover(customer, ahead.within_limit + cost);
    let outcome = forecast::decide(&Prospect {
        cost,
        available,
        waiting: queue.count(customer),
        ahead: ahead.within_limit,
        grant: if can_grant {
            Grant::Possible
        } else {
            Grant::Impossible
        },
        most,
    });
    tracing::info!(
        event = "tokens_awaited",
        id = %waiting.job.id,
        %customer,
        rank = waiting.turn.rank,
        standing = ?waiting.turn.standing,
        forecast = outcome.as_str(),
        max_cost = cost.0,
        available = available.0,
        ahead = ahead.count,
        ahead_tokens = ahead.tokens.0,
        most_within_wait = most.map(|most| most.0),
        wait_ms = wait.as_millis() as u64
    );
    outcome
}

/// Promises the tokens that a refused request lacks; `None` if it is not known when they arrive.
fn promise(control: &Control, waiting: &WaitingRequest, refusal: Refusal) -> Option<Promise> {
    if !refusal.is_promisable() {
        return None;
    }
    let (customer, _) = waiting.job.payer.as_ref()?;
    observe(control, customer);
    let now = control.now();
    let rate = control.inflows.borrow().get(customer)?.rate(now)?;
    let ahead = control
        .waiting
        .borrow()
        .ahead(customer, &waiting.turn, Tokens::ZERO);
    let claim = Claim {
        request: waiting.job.fingerprint,
        customer,
        rank: waiting.turn.rank,
        cost: waiting.job.max_cost(),
        queued: ahead.tokens,
        rate,
        left: waiting.job.deadline.saturating_sub(now),
    };
    let promise = control.promises.borrow_mut().promise(now, &claim)?;
    control.shared.token_waits.promised.add(1);
    tracing::info!(
        event = "return_forecast",
        id = %waiting.job.id,
        %customer,
        rank = claim.rank,
        kind = promise.kind.as_str(),
        max_cost = claim.cost.0,
        queued = claim.queued.0,
        promised_ms = promise.promised.0,
        rate = rate.0,
        left_ms = claim.left.0,
        after_ms = promise.after.0
    );
    Some(promise)
}

/// Logs the figures by which a request cannot be paid for.
pub(super) fn log(
    control: &Control,
    job: &Job,
    refusal: Refusal,
    waited: Millis,
    outcome: Option<Outcome>,
) {
    let Some((customer, prepaid)) = &job.payer else {
        return;
    };
    let state = control.state.borrow();
    let (available, spent) = state.balance(control.now(), customer);
    let limit = state.binding_limit(control.now(), customer);
    tracing::info!(
        event = "payment_refused",
        id = %job.id,
        %customer,
        reason = Reason::Refused(refusal).as_str(),
        max_cost = job.max_cost().0,
        available = available.0,
        limit = limit.as_str(),
        spent = spent.0,
        prepaid = prepaid.0,
        store_answers = control.shared.store_answers(),
        waited_ms = waited.0,
        forecast = outcome.map(Outcome::as_str)
    );
}
