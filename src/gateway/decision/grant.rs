//! How many tokens of a prepaid budget a router holds, lends and gives back.
//!
//! Tokens that are granted ahead of need carry a router through a time without the store, but are
//! lost if it dies. While a budget lasts for long the first weighs more; towards its end a lost grant
//! would refuse requests that are paid for, so nothing is granted ahead any more and each request
//! waits for a grant of its own.

use crate::units::{Millis, Tokens};

/// Changes of less than one part in this many of the prepaid budget are not written on their own:
/// each write is a call to the store, which costs money. Not measured.
const CHANGE_DIVISOR: u64 = 1_000;

/// A lender that has this many times what is wanted lends more than is lacking. Not measured.
const PLENTY: u64 = 4;

/// Borrowed tokens of less than one part in this many of the prepaid budget are kept until they are needed: 80
/// borrowers then keep less than one part in a hundred. Not measured beyond that.
const GIVE_BACK_DIVISOR: u64 = 10_000;

/// One part in this many of what a router holds ahead may always be spent or lent before it writes again. Without it
/// a router that had just begun to serve a customer lent a part of what another one lacked that got no grants
/// (tests/gateway_loans.rs no_grants, 40 of 40 runs). A quarter is not measured beyond that.
const MARK_AHEAD_DIVISOR: u64 = 4;

/// Requests that a router may begin beyond its demand before it writes to the store again. Not measured.
const MARK_REQUESTS: u64 = 2;

/// A router's part in keeping a customer's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It has tokens granted ahead of need, and lends them to others.
    Holder,
    /// It borrows what it needs; the store grants it only what no holder lends.
    Borrower,
}

/// How grants are sized. The settings' defaults are the best of 18 days a row over seven trials
/// (docs/BENCHMARKS.md, trials), none of which was better by more than noise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizing {
    /// Span of demand that a grant ahead covers.
    pub horizon: Millis,
    /// Nothing is granted ahead of a budget that lasts no longer than this at the present demand.
    pub exact: Millis,
    /// Part of what is left beyond that which all routers together may hold ahead, 0 to 1.
    pub share: f64,
    /// Part of what is left beyond that which is spread over the holders whatever their demand, 0 to 1.
    pub spread: f64,
    /// Routers that hold grants of one customer ahead of need.
    pub holders: usize,
}

/// A router's need of one customer's tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Whether it holds grants ahead of need.
    pub role: Role,
    /// Tokens a second that are asked of it.
    pub demand: f64,
    /// Tokens a second that are asked of all routers.
    pub total_demand: f64,
    /// Tokens that it has spent or reserved out of its grant.
    pub used: Tokens,
    /// Tokens that requests wait for.
    pub waiting: Tokens,
    /// Tokens of the prepaid budget that nobody is known to have spent.
    pub left: Tokens,
    /// Tokens that are granted to nobody else.
    pub free: Tokens,
    /// Tokens that are granted to it now.
    pub granted: Tokens,
}

/// Decides what a router's grant should be, in all.
pub fn size(sizing: &Sizing, need: &Need) -> Tokens {
    let unspent = ahead(sizing, need).max(need.waiting);
    // What is already used stays granted, even where the budget was lowered below it.
    let kept = need.used.min(need.granted);
    (need.used + unspent).min(need.free).max(kept)
}

/// Tokens that a router should hold beyond what it uses.
fn ahead(sizing: &Sizing, need: &Need) -> Tokens {
    if need.role == Role::Borrower {
        return Tokens::ZERO;
    }
    let exact = need.total_demand * seconds(sizing.exact);
    let above = (need.left.0 as f64 - exact).max(0.0);
    let spread = above * sizing.spread / sizing.holders.max(1) as f64;
    let share = if need.total_demand > 0.0 {
        above * sizing.share * need.demand / need.total_demand
    } else {
        0.0
    };
    let covered = (need.demand * seconds(sizing.horizon)).min(share);
    Tokens(covered.max(spread) as u64)
}

/// Decides how many tokens beyond those it uses a router may spend while the store answers it: the demand of a
/// span in which it may be cut off and still has to keep to that, a few requests, since demand comes in whole ones,
/// and a part of what it holds ahead, so that it can lend to routers whose demand it does not know yet. What is
/// granted above it is for a longer time without the store.
pub fn below_mark(
    demand: f64,
    last_cost: Tokens,
    waiting: Tokens,
    ahead: Tokens,
    span: Millis,
) -> Tokens {
    let covered = demand * seconds(span);
    let some = last_cost.0 * MARK_REQUESTS;
    let lent = Tokens(ahead.0 / MARK_AHEAD_DIVISOR);
    Tokens(covered as u64 + some).max(waiting).max(lent)
}

fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}

/// What a row in the store says of its router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Tokens that the router may spend, in all.
    pub granted: Tokens,
    /// Tokens that it has spent of them.
    pub spent: Tokens,
    /// Tokens that its earlier processes have spent, or may have.
    pub spent_before: Tokens,
}

/// Whether a row differs enough from the one that was last written to be worth a call to the store.
pub fn is_worth_writing(written: Option<Holding>, row: Holding, prepaid: Tokens) -> bool {
    let Some(written) = written else {
        return row.granted > Tokens::ZERO;
    };
    let is_near = |a: Tokens, b: Tokens| a.0.abs_diff(b.0) <= prepaid.0 / CHANGE_DIVISOR;
    !is_near(written.granted, row.granted)
        || !is_near(written.spent, row.spent)
        || written.spent_before != row.spent_before
}

/// Decides a router's role for a customer that it is not among the first holders of: one of which much
/// is asked holds grants of its own beside those that everybody knows.
pub fn role_by_demand(demand: Tokens, demand_of_others: u64, holders: usize) -> Role {
    let total = demand_of_others + demand.0;
    if demand.0 > 0 && demand.0 * holders as u64 >= total {
        Role::Holder
    } else {
        Role::Borrower
    }
}

/// Decides the least number of borrowed tokens that is worth giving back, of a budget of `prepaid`. Without it each
/// borrower gave a few tokens back each second as its demand fell, a message for each customer: 17,315 messages on a
/// day of 86 routers, half of them of 27 tokens or fewer and 83 in 100 of under 200.
pub fn least_given_back(prepaid: Tokens) -> Tokens {
    Tokens(prepaid.0 / GIVE_BACK_DIVISOR)
}

/// Decides how much of what is available a router lends: what the other lacks, and what it wants
/// beyond that only where there is plenty.
pub fn lend(available: Tokens, lacking: Tokens, wanted: Tokens) -> Tokens {
    let is_plenty = available.0 >= wanted.0.saturating_mul(PLENTY);
    let asked = if is_plenty { wanted } else { lacking };
    asked.min(available)
}
