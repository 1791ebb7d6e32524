//! Loans of prepaid tokens between routers, for what the store does not grant in time.
//!
//! The lender counts lent tokens as spent, so no sum over rows changes. If the answer to a loan is lost, its tokens are
//! lost too: they stay counted as spent, so they can never be spent twice.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, timeout_at};

use super::context::Control;
use super::shortage;
use crate::gateway::escrow::Loan;
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::units::Tokens;
use crate::wire::NoReply;

/// Maximum number of routers asked for a loan, one after the other: half of the holders.
const LENDERS_MAX: usize = 4;
/// Maximum number of routers asked for a loan because they hold the most tokens by the rows last read. The other
/// routers asked are chosen at random, since the rows are outdated while the store is lost.
const LENDERS_BY_ROWS_MAX: usize = 2;
/// How long a lender waits for a grant that covers a loan. A write to the store takes a few milliseconds; the borrower
/// waits 400 ms for an answer and has other lenders to ask.
const RENEWAL_WAIT: Duration = Duration::from_millis(50);
/// Maximum number of renewals that a lender waits for: one that is already under way may not include the loan yet.
const RENEWALS_MAX: u32 = 2;
/// Interval at which excess borrowed tokens are returned.
const RETURN_INTERVAL: Duration = Duration::from_millis(1_000);

/// What to do when loans do not cover the waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fallback {
    /// Ask the store for a grant.
    Store,
    /// Refuse the requests: the store was asked before.
    Refuse {
        /// When the request to the store began.
        store_asked_at: Instant,
    },
}

/// Spawns a task that borrows tokens for a customer's waiting requests.
pub(super) fn spawn(control: &Rc<Control>, customer: String, fallback: Fallback) {
    let borrowing = borrow(Rc::clone(control), customer, fallback);
    tokio::task::spawn_local(borrowing);
}

/// Borrows tokens for the requests that still wait after a partition's grants were renewed.
pub(super) fn spawn_for_waiting(control: &Rc<Control>, partition: u32, store_asked_at: Instant) {
    let customers = control.waiting.borrow().tokens_needed();
    for customer in customers.into_keys() {
        if control.partition_of(&customer) == partition {
            spawn(control, customer, Fallback::Refuse { store_asked_at });
        }
    }
}

/// Borrows the tokens that a customer's waiting requests lack, from as many routers as it takes.
async fn borrow(control: Rc<Control>, customer: String, fallback: Fallback) {
    if !control.borrowing.borrow_mut().insert(customer.clone()) {
        return;
    }
    let begun_at = Instant::now();
    let lenders = lenders(&control, &customer);
    let mut empty_lenders = 0;
    let asked = lenders.len();
    for lender in lenders {
        let Some(loan) = required_loan(&control, &customer) else {
            break;
        };
        let request = Request::Lend {
            customer: customer.clone(),
            loan,
        };
        let lent = match control.peer_client.ask(lender.link, &request).await {
            Ok(Reply::Lent(lent)) => lent,
            // The lender is stopping: it gives its tokens back, and other routers get them.
            Ok(_) => continue,
            Err(missing) => {
                control.set_unreachable(&lender, missing);
                continue;
            }
        };
        if control.shared.stop.gives_back() {
            // No request waits for the loan any more, and tokens kept here are lost when the process ends.
            transfer(&control, customer.clone(), lent, vec![lender.link]).await;
            break;
        }
        if lent == Tokens::ZERO {
            empty_lenders += 1;
        }
        control.state.borrow_mut().borrow(&customer, lent);
        let (lacking, wanted) = (loan.lacking.0, loan.wanted.0);
        let lender = &lender.name;
        tracing::info!(event = "loan_received", %customer, %lender, lacking, wanted, lent = lent.0);
        control.retry_waiting();
    }
    control.borrowing.borrow_mut().remove(&customer);
    if required_loan(&control, &customer).is_none() {
        return;
    }
    let store_asked_at = match fallback {
        Fallback::Store if control.shared.store_answers() => {
            control.renew_now(&customer);
            return;
        }
        Fallback::Store => begun_at,
        Fallback::Refuse { store_asked_at } => store_asked_at,
    };
    if asked > 0 && empty_lenders == asked {
        control.note_loans_exhausted(&customer);
    }
    shortage::refuse_queued_before(&control, &customer, store_asked_at);
    // No tokens have been requested yet for requests that arrived meanwhile.
    if required_loan(&control, &customer).is_some() {
        spawn(&control, customer, Fallback::Store);
    }
}

/// The loan that a customer's waiting requests need; `None` where they need none.
fn required_loan(control: &Control, customer: &str) -> Option<Loan> {
    let needed = control.waiting.borrow().tokens_needed().remove(customer)?;
    let mut state = control.state.borrow_mut();
    let lacking = state.lacking(control.now(), customer, needed);
    let wanted = lacking + state.demand(control.now(), customer);
    (lacking > Tokens::ZERO).then_some(Loan { lacking, wanted })
}

/// The routers to ask for a loan, in order: those that hold the most tokens by the rows last read, then a random sample
/// of the other holders of the customer's grants.
fn lenders(control: &Control, customer: &str) -> Vec<Router> {
    let state = control.state.borrow();
    let (now, name) = (control.now(), &state.members.me.name);
    let mut lenders = state.routers_with_most_unspent(now, customer, LENDERS_BY_ROWS_MAX);
    let is_known = |router: &Router| lenders.iter().any(|lender| lender.name == router.name);
    let others: Vec<&Router> = state
        .holders(now, customer)
        .into_iter()
        .filter(|router| router.name != *name && !is_known(router))
        .collect();
    let rest = LENDERS_MAX.saturating_sub(lenders.len());
    lenders.extend(others.sample(&mut rand::rng(), rest));
    lenders.into_iter().cloned().collect()
}

/// Lends to another router. Where this router may not spend as much before it writes to the store, or has no more while
/// the budget has, it writes first. Otherwise a borrower that gets no grants from the store would ask again before that
/// write is done.
pub(super) async fn lend(control: &Control, customer: &str, loan: Loan) -> Tokens {
    let mut lent = lend_now(control, customer, loan);
    let until = Instant::now() + RENEWAL_WAIT;
    for _ in 0..RENEWALS_MAX {
        if lent >= loan.lacking || !control.shared.store_answers() {
            break;
        }
        let rest = Loan {
            lacking: loan.lacking.saturating_sub(lent),
            wanted: loan.wanted.saturating_sub(lent),
        };
        if !control.state.borrow().can_cover(customer, rest.lacking) {
            // Other routers may have given tokens back since the rows were read.
            control.renew_now(customer);
            break;
        }
        await_renewal(control, customer, rest.lacking, until).await;
        lent += lend_now(control, customer, rest);
    }
    let (lacking, wanted) = (loan.lacking.0, loan.wanted.0);
    tracing::info!(event = "loan_made", %customer, lacking, wanted, lent = lent.0);
    lent
}

fn lend_now(control: &Control, customer: &str, loan: Loan) -> Tokens {
    let mut state = control.state.borrow_mut();
    state.lend(control.now(), customer, loan)
}

/// Requests a renewal of a customer's grant that covers the tokens another router lacks, and waits for its end, at most
/// until `until`.
async fn await_renewal(control: &Control, customer: &str, lacking: Tokens, until: Instant) {
    let Some(renewal) = control.renewal_of(customer) else {
        return;
    };
    update_requested(control, customer, |requested| requested + lacking);
    let done = renewal.done.notified();
    renewal.wake.notify_one();
    // On a timeout as well, the caller lends what is available by then.
    let _ = timeout_at(until, done).await;
    update_requested(control, customer, |requested| {
        requested.saturating_sub(lacking)
    });
}

/// Changes the number of a customer's tokens that other routers wait for.
fn update_requested(control: &Control, customer: &str, change: impl Fn(Tokens) -> Tokens) {
    let mut all = control.requested_by_peers.borrow_mut();
    let requested = all.remove(customer).unwrap_or_default();
    let requested = change(requested);
    if requested > Tokens::ZERO {
        all.insert(customer.to_owned(), requested);
    }
}

/// Adds tokens that another router has transferred here.
pub(super) fn receive(control: &Control, customer: &str, tokens: Tokens) {
    control.loans_exhausted_at.borrow_mut().remove(customer);
    control.state.borrow_mut().borrow(customer, tokens);
    tracing::info!(event = "tokens_taken", %customer, tokens = tokens.0);
    control.retry_waiting();
}

/// Transfers excess borrowed tokens to routers that hold the customers' grants, until the process ends.
pub(super) async fn return_excess(control: Rc<Control>) {
    loop {
        sleep(RETURN_INTERVAL).await;
        let excess = control.state.borrow_mut().take_excess(control.now());
        transfer_all(&control, excess).await;
    }
}

/// Transfers tokens to routers that hold the customers' grants.
pub(super) async fn transfer_all(control: &Control, tokens: Vec<(String, Tokens)>) {
    let transfers = tokens.into_iter().map(|(customer, tokens)| {
        let recipients = lenders(control, &customer);
        let recipients = recipients.into_iter().map(|router| router.link).collect();
        transfer(control, customer, tokens, recipients)
    });
    futures::future::join_all(transfers).await;
}

/// Transfers tokens to the first of the routers that accepts them; if none does, they stay here. A router that does not
/// answer may have added them, so they are given up here.
async fn transfer(
    control: &Control,
    customer: String,
    tokens: Tokens,
    recipients: Vec<SocketAddr>,
) {
    for to in recipients {
        let request = Request::Give {
            customer: customer.clone(),
            tokens,
        };
        let answer: Result<Reply, NoReply> = control.peer_client.ask(to, &request).await;
        let taken = matches!(answer, Ok(Reply::Taken));
        tracing::info!(event = "tokens_given", %customer, %to, tokens = tokens.0, taken);
        if !matches!(answer, Ok(Reply::Declined) | Err(NoReply::Refused)) {
            return;
        }
    }
    control.state.borrow_mut().borrow(&customer, tokens);
}
