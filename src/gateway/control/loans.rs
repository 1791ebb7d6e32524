//! Loans of prepaid tokens between routers, for what the store does not grant in time.
//!
//! The lender counts lent tokens as spent, so no sum over rows changes. If the answer to a loan is lost, its tokens are
//! lost too: they stay counted as spent, so they can never be spent twice.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use super::context::Control;
use super::link::ANSWER_TIMEOUT;
use super::shortage;
use crate::gateway::budgets::LoanResult;
use crate::gateway::decision::lenders::{self, StoreContact};
use crate::gateway::escrow::Loan;
use crate::gateway::members::Router;
use crate::gateway::message::{Reply, Request};
use crate::units::Tokens;
use crate::wire::NoReply;

/// How many routers are asked for a customer's tokens at the same time, without those whose answers are overdue.
const CALLS_AT_ONCE: usize = 2;
/// Age at which a call is overdue, and another router is asked for the tokens that requests wait for: half of the
/// shortest time that a request of a model waits, and longer than a lender waits for a grant of its own.
const OVERDUE_AFTER: Duration = Duration::from_millis(60);
/// Maximum number of routers to which tokens are transferred, one after the other: half of the holders.
const RECIPIENTS_MAX: usize = 4;
/// Maximum number of them chosen because they hold the most tokens by the rows last read. The others are chosen at
/// random, since the rows are outdated while the store is lost.
const RECIPIENTS_BY_ROWS_MAX: usize = 2;
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
    /// Wait for the renewal that was requested at the same time, and refuse the requests if it has already ended.
    Renewal {
        /// When the renewal was requested.
        store_asked_at: Instant,
    },
    /// Refuse the requests: the store was asked before.
    Refuse {
        /// When the request to the store began.
        store_asked_at: Instant,
    },
}

/// What tokens are borrowed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Requests that wait.
    Waiting(Fallback),
    /// Demand to come.
    Ahead(Loan),
}

impl Purpose {
    fn as_str(self) -> &'static str {
        match self {
            Self::Waiting(_) => "waiting",
            Self::Ahead(_) => "ahead",
        }
    }
}

/// The requests for loans to meet one need.
struct Round {
    customer: String,
    purpose: Purpose,
    begun_at: Instant,
    /// Names of the routers that were asked.
    asked: RefCell<HashSet<String>>,
    /// Calls in progress: when each began, and its loan.
    in_progress: RefCell<Vec<(Instant, Loan)>>,
    /// Notified at the end of each call for the customer, and when more requests wait.
    changed: Rc<Notify>,
    /// Number of routers that lent nothing.
    empty: Cell<usize>,
    /// Tokens that were lent.
    lent: Cell<Tokens>,
}

/// What a round does next.
enum Step {
    /// Ask a router for a loan.
    Ask(Router, Loan),
    /// Wait for the calls in progress, at most until this time.
    Wait(Instant),
    /// Nothing is left to ask for, or nobody to ask.
    End,
}

/// Spawns a task that borrows tokens for a customer's waiting requests.
pub(super) fn spawn(control: &Rc<Control>, customer: String, fallback: Fallback) {
    let borrowing = borrow(Rc::clone(control), customer, Purpose::Waiting(fallback));
    tokio::task::spawn_local(borrowing);
}

/// Spawns a task that borrows tokens for a customer's demand to come, if that is due.
pub(super) fn spawn_ahead(control: &Rc<Control>, customer: &str) {
    if control.borrowing.borrow().contains_key(customer) || control.shared.stop.gives_back() {
        return;
    }
    let mut state = control.state.borrow_mut();
    if let Some(loan) = state.loan_ahead(control.now(), customer, control.store_contact()) {
        let customer = customer.to_owned();
        let borrowing = borrow(Rc::clone(control), customer, Purpose::Ahead(loan));
        tokio::task::spawn_local(borrowing);
    }
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

/// Borrows the tokens that a customer lacks, from as many routers as it takes.
async fn borrow(control: Rc<Control>, customer: String, purpose: Purpose) {
    let changed = match control.borrowing.borrow_mut().entry(customer.clone()) {
        Entry::Occupied(other) => {
            other.get().notify_one();
            return;
        }
        Entry::Vacant(vacant) => Rc::clone(vacant.insert(Rc::default())),
    };
    let begun_at = Instant::now();
    let round = Rc::new(Round {
        customer: customer.clone(),
        purpose,
        begun_at,
        asked: RefCell::default(),
        in_progress: RefCell::default(),
        changed,
        empty: Cell::new(0),
        lent: Cell::default(),
    });
    loop {
        match next_step(&control, &round) {
            // Calls outlast the round, so that a late answer holds up no other need.
            Step::Ask(lender, loan) => begin_call(&control, &round, lender, loan),
            Step::Wait(until) => {
                // At a change and after the time, the need is looked at again.
                let _ = timeout_at(until, round.changed.notified()).await;
            }
            Step::End => break,
        }
    }
    control.borrowing.borrow_mut().remove(&customer);
    let is_short = required_loan(&control, &customer).is_some();
    if !is_short {
        // What may be spent has risen to what requests wait for, without a loan.
        control.retry_covered();
    }
    log_round(&round);
    let fallback = match purpose {
        Purpose::Waiting(fallback) => fallback,
        Purpose::Ahead(_) => {
            if round.lent.get() == Tokens::ZERO {
                let mut state = control.state.borrow_mut();
                state.record_nothing_ahead(control.now(), &customer);
            }
            // Requests that arrived meanwhile have not requested tokens of their own.
            if is_short {
                spawn(&control, customer, Fallback::Store);
            }
            return;
        }
    };
    if !is_short {
        return;
    }
    let store_asked_at = match fallback {
        Fallback::Store if control.shared.store_answers() => {
            control.renew_now(&customer);
            return;
        }
        Fallback::Store => begun_at,
        // After the renewal, tokens are borrowed for the requests that still wait.
        Fallback::Renewal { store_asked_at } if !control.has_renewed(&customer, store_asked_at) => {
            return;
        }
        Fallback::Renewal { store_asked_at } | Fallback::Refuse { store_asked_at } => {
            store_asked_at
        }
    };
    let asked = round.asked.borrow().len();
    if asked > 0 && round.empty.get() == asked {
        control.note_loans_exhausted(&customer);
    }
    shortage::refuse_queued_before(&control, &customer, store_asked_at);
    // No tokens have been requested yet for requests that arrived meanwhile.
    if required_loan(&control, &customer).is_some() {
        spawn(&control, customer, Fallback::Store);
    }
}

fn log_round(round: &Round) {
    let asked = round.asked.borrow().len();
    tracing::info!(
        event = "loans_requested",
        customer = %round.customer,
        purpose = round.purpose.as_str(),
        asked,
        empty = round.empty.get(),
        lent = round.lent.get().0,
        ms = round.begun_at.elapsed().as_millis() as u64
    );
}

/// Spawns a call that asks a router for a loan.
fn begin_call(control: &Rc<Control>, round: &Rc<Round>, lender: Router, loan: Loan) {
    let call = (Instant::now(), loan);
    round.asked.borrow_mut().insert(lender.name.clone());
    round.in_progress.borrow_mut().push(call);
    let mut state = control.state.borrow_mut();
    state.begin_loan_call(control.now(), &round.customer, &lender.name);
    drop(state);
    let (control, round) = (Rc::clone(control), Rc::clone(round));
    tokio::task::spawn_local(async move {
        ask(&control, &round, &lender, loan).await;
        let mut state = control.state.borrow_mut();
        state.end_loan_call(&round.customer, &lender.name);
        drop(state);
        let mut in_progress = round.in_progress.borrow_mut();
        if let Some(index) = in_progress.iter().position(|one| *one == call) {
            in_progress.swap_remove(index);
        }
        drop(in_progress);
        // The customer's present round may be a later one, which waits for this call.
        if let Some(changed) = control.borrowing.borrow().get(&round.customer) {
            changed.notify_one();
        }
    });
}

fn next_step(control: &Control, round: &Round) -> Step {
    if control.shared.stop.gives_back() {
        return Step::End;
    }
    let Some(need) = need(control, round) else {
        return Step::End;
    };
    let in_progress = round.in_progress.borrow();
    let now = Instant::now();
    let state = control.state.borrow();
    // Where no request waits, or many routers were asked, no second one is asked for the same tokens.
    let is_rare = state.has_few_loan_calls(control.now(), &round.customer);
    let patience = if need.lacking > Tokens::ZERO && is_rare {
        OVERDUE_AFTER
    } else {
        ANSWER_TIMEOUT
    };
    let counted: Vec<(Instant, Loan)> = in_progress
        .iter()
        .copied()
        .filter(|(begun_at, _)| now < *begun_at + patience)
        .collect();
    let covered = counted.iter().map(|(_, loan)| *loan);
    let rest = covered.fold(need, lenders::without);
    if counted.len() >= CALLS_AT_ONCE || lenders::is_met(&need, &rest) {
        let first = counted.iter().map(|(begun_at, _)| *begun_at).min();
        return Step::Wait(first.unwrap_or(now) + patience);
    }
    let (asked, store) = (round.asked.borrow(), control.store_contact());
    match state.next_lender(control.now(), &round.customer, rest, &asked, store) {
        Some((lender, loan)) => Step::Ask(lender, loan),
        // A late answer may still meet the need.
        None if !in_progress.is_empty() => Step::Wait(now + ANSWER_TIMEOUT),
        None if need.lacking > Tokens::ZERO && state.has_loan_calls(&round.customer) => {
            wait_for_earlier_calls(control, round, now)
        }
        None => Step::End,
    }
}

/// What a round for waiting requests does while nobody is left to ask, but calls that an earlier round began are in
/// progress. Their lenders are not asked twice at a time, so a round that ended would refuse requests that these calls
/// are about to cover.
fn wait_for_earlier_calls(control: &Control, round: &Round, now: Instant) -> Step {
    match (control.store_contact(), round.purpose) {
        (StoreContact::Lost, _) => Step::Wait(now + ANSWER_TIMEOUT),
        // The store is asked first.
        (StoreContact::Answering, Purpose::Waiting(Fallback::Store) | Purpose::Ahead(_)) => {
            Step::End
        }
        // Requests that arrive meanwhile have not asked the store, so a lender that does not answer holds them up only
        // until its call counts as overdue.
        (
            StoreContact::Answering,
            Purpose::Waiting(Fallback::Renewal { .. } | Fallback::Refuse { .. }),
        ) => {
            let until = round.begun_at + OVERDUE_AFTER;
            if now < until {
                Step::Wait(until)
            } else {
                Step::End
            }
        }
    }
}

/// What a round still has to borrow: what requests wait for, or what is left of a loan ahead of need.
fn need(control: &Control, round: &Round) -> Option<Loan> {
    if let Some(waiting) = required_loan(control, &round.customer) {
        return Some(waiting);
    }
    let Purpose::Ahead(loan) = round.purpose else {
        return None;
    };
    let state = control.state.borrow();
    let wanted = loan.wanted.saturating_sub(round.lent.get());
    let is_due = wanted > Tokens::ZERO && state.allows_loan_ahead(control.now(), &round.customer);
    is_due.then_some(Loan {
        lacking: Tokens::ZERO,
        wanted,
    })
}

/// Asks a router for a loan, and adds what it lends.
async fn ask(control: &Control, round: &Round, lender: &Router, loan: Loan) {
    let customer = &round.customer;
    let request = Request::Lend {
        customer: customer.clone(),
        loan,
    };
    let (lacking, wanted, name) = (loan.lacking.0, loan.wanted.0, &lender.name);
    let counts = &control.shared.budgets;
    let lent = match control.peer_client.ask(lender.link, &request).await {
        Ok(Reply::Lent(lent)) => lent,
        Ok(_) => {
            // The lender is stopping: it gives its tokens back, and other routers get them.
            counts.add_loan(LoanResult::Declined);
            tracing::info!(event = "loan_missing", %customer, lender = %name, lacking, wanted, reason = "declined");
            return;
        }
        Err(missing) => {
            counts.add_loan(missing.into());
            tracing::info!(event = "loan_missing", %customer, lender = %name, lacking, wanted, reason = %missing);
            note_missing(control, lender, missing);
            return;
        }
    };
    counts.add_loan(LoanResult::of(lent, loan.lacking.max(loan.wanted)));
    counts.borrowed.add(lent.0);
    if control.shared.stop.gives_back() {
        // No request waits for the loan any more, and tokens kept here are lost when the process ends.
        transfer(control, customer.clone(), lent, vec![lender.link]).await;
        return;
    }
    if lent == Tokens::ZERO {
        round.empty.set(round.empty.get() + 1);
    }
    round.lent.set(round.lent.get() + lent);
    let mut state = control.state.borrow_mut();
    state.record_loan(control.now(), customer, name, loan, lent);
    drop(state);
    tracing::info!(event = "loan_received", %customer, lender = %name, lacking, wanted, lent = lent.0);
    control.retry_waiting();
}

/// Records that a router did not answer. While the store does not answer either, a time-out may be due to this router's
/// own link, so it does not count against the other router.
fn note_missing(control: &Control, lender: &Router, missing: NoReply) {
    if missing == NoReply::Refused {
        let mut state = control.state.borrow_mut();
        state.record_refused_connection(lender);
    }
    let is_own_link = missing == NoReply::TimedOut && !control.shared.store_answers();
    if !is_own_link {
        control.set_unreachable(lender, missing);
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

/// The routers to transfer tokens to, in order: those that hold the most tokens by the rows last read, then a random sample
/// of the other holders of the customer's grants.
fn recipients(control: &Control, customer: &str) -> Vec<Router> {
    let state = control.state.borrow();
    let (now, name) = (control.now(), &state.members.me.name);
    let mut recipients = state.routers_with_most_unspent(now, customer, RECIPIENTS_BY_ROWS_MAX);
    let is_known = |router: &Router| recipients.iter().any(|one| one.name == router.name);
    let others: Vec<&Router> = state
        .holders(now, customer)
        .into_iter()
        .filter(|router| router.name != *name && !is_known(router))
        .collect();
    let rest = RECIPIENTS_MAX.saturating_sub(recipients.len());
    recipients.extend(others.sample(&mut rand::rng(), rest));
    recipients.into_iter().cloned().collect()
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
    control.shared.budgets.lent.add(lent.0);
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
        let recipients = recipients(control, &customer);
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
