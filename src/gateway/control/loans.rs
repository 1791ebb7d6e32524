//! Loans of prepaid tokens between routers, for what the store does not grant in time.
//!
//! A token is lent by counting it as spent at the lender, so that no sum over rows changes. A loan
//! whose answer is lost is lost: it stays spent, and nobody can spend it twice.

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
use crate::wire::Missing;

/// Routers that are asked for a loan, one after the other. Half of the holders.
const LENDERS_MAX: usize = 4;
/// Those of them that are asked since they hold most, as far as is known. The rest are drawn, since rows are old where
/// the store is lost.
const RICHEST_MAX: usize = 2;
/// How long a router that is asked for a loan waits for a grant that covers it. A write to the store takes
/// a few milliseconds, and the one who asks waits for 400 and has others to ask.
const RENEWAL_WAIT: Duration = Duration::from_millis(50);
/// Renewals that such a router waits for: one may be under way that does not know of the loan yet.
const RENEWALS_MAX: u32 = 2;
/// Interval at which borrowed tokens that are not needed are given back.
const GIVE_BACK_INTERVAL: Duration = Duration::from_millis(1_000);

/// What follows loans that are not enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fallback {
    /// The store is asked for a grant.
    Store,
    /// Nothing: the store was asked before.
    Nothing {
        /// When that began.
        store_asked: Instant,
    },
}

/// Borrows for a customer's waiting requests in a task of its own.
pub(super) fn spawn(control: &Rc<Control>, customer: String, fallback: Fallback) {
    let loan = borrow(Rc::clone(control), customer, fallback);
    tokio::task::spawn_local(loan);
}

/// Borrows for the requests that wait after a partition's grants were renewed.
pub(super) fn spawn_for_waiting(control: &Rc<Control>, partition: u32, store_asked: Instant) {
    let customers = control.waiting.borrow().needed();
    for customer in customers.into_keys() {
        if control.partition_of(&customer) == partition {
            spawn(control, customer, Fallback::Nothing { store_asked });
        }
    }
}

/// Borrows what a customer's waiting requests lack, from as many routers as it takes.
async fn borrow(control: Rc<Control>, customer: String, fallback: Fallback) {
    if !control.borrowing.borrow_mut().insert(customer.clone()) {
        return;
    }
    let begun = Instant::now();
    let lenders = lenders(&control, &customer);
    let mut had_nothing = 0;
    let asked = lenders.len();
    for lender in lenders {
        let Some(loan) = loan(&control, &customer) else {
            break;
        };
        let request = Request::Lend {
            customer: customer.clone(),
            loan,
        };
        let lent = match control.links.ask(lender.link, &request).await {
            Ok(Reply::Lent(lent)) => lent,
            // It gives back what it has, and others get that.
            Ok(_) => continue,
            Err(missing) => {
                control.set_unreachable(&lender, missing);
                continue;
            }
        };
        if control.shared.stop.gives_back() {
            // Nothing waits for it any more, and what is kept here ends with the process.
            transfer(&control, customer.clone(), lent, vec![lender.link]).await;
            break;
        }
        if lent == Tokens::ZERO {
            had_nothing += 1;
        }
        control.state.borrow_mut().borrow(&customer, lent);
        let (lacking, wanted) = (loan.lacking.0, loan.wanted.0);
        let lender = &lender.name;
        tracing::info!(event = "loan_received", %customer, %lender, lacking, wanted, lent = lent.0);
        control.retry_waiting();
    }
    control.borrowing.borrow_mut().remove(&customer);
    if loan(&control, &customer).is_none() {
        return;
    }
    let store_asked = match fallback {
        Fallback::Store if control.shared.store_answers() => {
            control.renew_now(&customer);
            return;
        }
        Fallback::Store => begun,
        Fallback::Nothing { store_asked } => store_asked,
    };
    if asked > 0 && had_nothing == asked {
        control.note_nothing(&customer);
    }
    shortage::refuse_asked(&control, &customer, store_asked);
    // Requests that came meanwhile have not been asked for.
    if loan(&control, &customer).is_some() {
        spawn(&control, customer, Fallback::Store);
    }
}

/// What a customer's waiting requests lack, if they lack anything.
fn loan(control: &Control, customer: &str) -> Option<Loan> {
    let needed = control.waiting.borrow().needed().remove(customer)?;
    let mut state = control.state.borrow_mut();
    let lacking = state.lacking(control.now(), customer, needed);
    let wanted = lacking + state.demand(control.now(), customer);
    (lacking > Tokens::ZERO).then_some(Loan { lacking, wanted })
}

/// The routers that are asked for a loan, in turn: those that hold most by the rows that were last read, then some of
/// those that hold the customer's grants, in random order.
fn lenders(control: &Control, customer: &str) -> Vec<Router> {
    let state = control.state.borrow();
    let (now, name) = (control.now(), &state.members.me.name);
    let mut lenders = state.routers_with_most_unspent(now, customer, RICHEST_MAX);
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

/// Lends to another router that asks. Where this one may not spend as much before it writes to the store, or has no
/// more and the budget has, it writes first: a borrower that the store gives no grants asks again before that write
/// is done otherwise.
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
            // Others may have given something back since the rows were read.
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

/// Has a customer's grant renewed with what another router lacks, and waits for the end of that, not beyond `until`.
async fn await_renewal(control: &Control, customer: &str, lacking: Tokens, until: Instant) {
    let Some(renewal) = control.renewal_of(customer) else {
        return;
    };
    note_asked(control, customer, |asked| asked + lacking);
    let done = renewal.done.notified();
    renewal.now.notify_one();
    // What is there then is lent, whether or not that was in time.
    let _ = timeout_at(until, done).await;
    note_asked(control, customer, |asked| asked.saturating_sub(lacking));
}

/// Changes what other routers wait for of a customer's tokens.
fn note_asked(control: &Control, customer: &str, change: impl Fn(Tokens) -> Tokens) {
    let mut all = control.asked.borrow_mut();
    let asked = all.remove(customer).unwrap_or_default();
    let asked = change(asked);
    if asked > Tokens::ZERO {
        all.insert(customer.to_owned(), asked);
    }
}

/// Takes tokens that another router gives.
pub(super) fn take(control: &Control, customer: &str, tokens: Tokens) {
    control.nothing.borrow_mut().remove(customer);
    control.state.borrow_mut().borrow(customer, tokens);
    tracing::info!(event = "tokens_taken", %customer, tokens = tokens.0);
    control.retry_waiting();
}

/// Gives borrowed tokens that are not needed to routers that hold the customers' grants, until the
/// process ends.
pub(super) async fn give_back_excess(control: Rc<Control>) {
    loop {
        sleep(GIVE_BACK_INTERVAL).await;
        let excess = control.state.borrow_mut().take_excess(control.now());
        transfer_all(&control, excess).await;
    }
}

/// Gives tokens to routers that hold the customers' grants.
pub(super) async fn transfer_all(control: &Control, tokens: Vec<(String, Tokens)>) {
    let transfers = tokens.into_iter().map(|(customer, tokens)| {
        let takers = lenders(control, &customer);
        let takers = takers.into_iter().map(|taker| taker.link).collect();
        transfer(control, customer, tokens, takers)
    });
    futures::future::join_all(transfers).await;
}

/// Gives tokens to the first of some routers that takes them; where none does, they stay here. Without an
/// answer the asked one may have them, so they are lost here.
async fn transfer(control: &Control, customer: String, tokens: Tokens, takers: Vec<SocketAddr>) {
    for to in takers {
        let request = Request::Give {
            customer: customer.clone(),
            tokens,
        };
        let answer: Result<Reply, Missing> = control.links.ask(to, &request).await;
        let taken = matches!(answer, Ok(Reply::Taken));
        tracing::info!(event = "tokens_given", %customer, %to, tokens = tokens.0, taken);
        if !matches!(answer, Ok(Reply::Declined) | Err(Missing::Refused)) {
            return;
        }
    }
    control.state.borrow_mut().borrow(&customer, tokens);
}
