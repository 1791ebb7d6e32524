//! Refuses requests whose tokens cannot come: everybody who could grant or lend them has been asked, or they
//! have waited for long enough.

use tokio::time::Instant;

use super::context::Control;
use super::waiting::Waiting;
use crate::gateway::decision::refusal::{self, Reason, Refusal, Shortage};
use crate::gateway::job::Job;

/// Refuses the requests that have waited for long enough.
pub(super) fn refuse_expired(control: &Control) {
    let expired = control.waiting.borrow_mut().take_expired(Instant::now());
    refuse(control, expired);
}

/// Refuses a customer's requests that waited at `asked` already, when the store and the other routers began to
/// be asked for it. None of them has more, so a longer wait seldom gains.
pub(super) fn refuse_asked(control: &Control, customer: &str, asked: Instant) {
    let hopeless = control.waiting.borrow_mut().take_asked(customer, asked);
    refuse(control, hopeless);
}

/// Refuses requests.
pub(super) fn refuse(control: &Control, waiting: Vec<Waiting>) {
    for waiting in waiting {
        let refusal = reason(control, &waiting.job);
        log(control, &waiting.job, refusal);
        // Its caller may have left.
        let _ = waiting.reply.send(Err(refusal));
    }
}

/// Why a request is refused if its tokens do not come.
pub(super) fn reason(control: &Control, job: &Job) -> Refusal {
    let left = job.payer.as_ref().map(|(customer, prepaid)| {
        let (_, spent) = control.state.borrow().balance(control.now(), customer);
        prepaid.saturating_sub(spent)
    });
    refusal::shortage(&Shortage {
        cost: job.max_cost(),
        // What waits for tokens has a payer.
        left: left.unwrap_or_default(),
        store_answers: control.shared.store_answers(),
    })
}

/// Logs what decided that a request cannot be paid for.
pub(super) fn log(control: &Control, job: &Job, refusal: Refusal) {
    let Some((customer, prepaid)) = &job.payer else {
        return;
    };
    let (available, spent) = control.state.borrow().balance(control.now(), customer);
    tracing::info!(
        event = "payment_refused",
        id = %job.id,
        %customer,
        reason = Reason::Refused(refusal).as_str(),
        max_cost = job.max_cost().0,
        available = available.0,
        spent = spent.0,
        prepaid = prepaid.0,
        store_answers = control.shared.store_answers()
    );
}
