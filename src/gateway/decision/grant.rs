//! How many tokens of a prepaid budget a router holds, lends and gives back.
//!
//! Tokens that are granted ahead of need carry a router through a time without the store, but are
//! lost if it dies. While a budget lasts for long the first weighs more; towards its end a lost grant
//! would refuse requests that are paid for, so nothing is granted ahead any more and each request
//! waits for a grant of its own.

use crate::units::{Millis, Tokens};

/// Changes of less than one part in this many of the prepaid budget are not written on their own:
/// each write is a call to the store, which costs money.
const CHANGE_DIVISOR: u64 = 1_000;

/// A lender that has this many times what is wanted lends more than is lacking.
const PLENTY: u64 = 4;

/// Borrowed tokens of less than one part in this many of the prepaid budget are kept until they are needed: 80
/// borrowers then keep less than one part in a hundred.
const GIVE_BACK_DIVISOR: u64 = 10_000;

/// Requests that a router may begin at once beyond its demand before it writes to the store again, where the budget
/// lasts: near its end, two requests at each of eight holders are up to a twentieth of a small customer's budget,
/// which a death of all would lose.
const BURST_REQUESTS: u64 = 2;
/// Seconds of demand that a router may spend at once before it writes to the store again: it writes each second, and
/// demand comes in clumps.
const BURST_SECONDS: f64 = 0.5;
/// One part in this many of what a router holds ahead may always be spent or lent at once before it writes again. A
/// quarter of a second at the least rate.
const BURST_DIVISOR: u64 = 32;
/// How long the mark of a new promise does not rise where a budget ends soon. A death while the store answers is mostly
/// judged within it: the row is up to a second old, and a host starts again within another. What is asked for meanwhile
/// beyond the mark waits for a write.
const HOLD: Millis = Millis(2_000);
/// A budget ends soon where it lasts no longer than this at the present demand: what a rising mark loses with a router
/// is some three seconds of its demand, which is then a tenth of what is left or more. Before that a cut from the store
/// costs more, in whose first seconds a mark that does not rise pays for little.
const ENDS_SOON: Millis = Millis(30_000);
/// Part of what a router holds ahead that it may lend within a promise, whatever its demand, where the budget ends
/// soon, 0 to 1; all that a promise lets be lent counts as spent where its router dies.
const LENT_SHARE: f64 = 0.5;
/// How much faster than its demand a router may spend before it writes again: demand varies from second to second.
const RATE_FACTOR: f64 = 1.25;

/// Where most of the demand comes in at one router, this many times what the others' part of it makes up is left to
/// them, and the rest of the budget may be held ahead there however soon it ends. Twice, so that the others can ask for
/// double of what they do now; a router with half of the demand or less holds nothing ahead by it.
const LEFT_TO_OTHERS: f64 = 2.0;

/// How much faster than its demand a router may spend, beyond what it holds ahead, while the store may still come back
/// from a copy that lacks its newest rows: the last row that a copy has bounds it, and demand varies.
const REACH_FACTOR: f64 = 2.0;
/// Part of what is left that all holders together may spend beyond that, 0 to 1, since demand may begin at any of them.
/// Where a router dies as the store comes back, all that it may spend counts as spent.
const REACH_SHARE: f64 = 0.5;

/// Age at which a promise is renewed although nothing else has changed. Each renewal is a write; without any, a router
/// that nobody asks is held to nothing, and all that it holds is lost with it.
const RENEWAL_AGE: Millis = Millis(1_500);

/// A router's part in keeping a customer's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It has tokens granted ahead of need, and lends them to others.
    Holder,
    /// It borrows what it needs; the store grants it only what no holder lends.
    Borrower,
}

/// How grants are sized.
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
    /// Longest age of a copy that the store may come back from; zero where it never does.
    pub copy_age: Millis,
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
    let part = if need.total_demand > 0.0 {
        need.demand / need.total_demand
    } else {
        0.0
    };
    let share = above * sizing.share * part;
    let allowed = share.max(concentrated(need.left, part));
    let covered = (need.demand * seconds(sizing.horizon)).min(allowed);
    Tokens(covered.max(spread) as u64)
}

/// What a router may hold ahead at which so large a part of the demand comes in, 0 to 1. Near a budget's end nothing is
/// held ahead elsewhere, since it would be missed where it is asked for; here it is asked for.
fn concentrated(left: Tokens, part: f64) -> f64 {
    let of_others = (1.0 - part) * LEFT_TO_OTHERS;
    left.0 as f64 * (1.0 - of_others).max(0.0)
}

/// What bears on how fast a router may spend before it writes to the store again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spending<'a> {
    /// Its need, by which the grant was sized.
    pub need: &'a Need,
    /// Cost of the last request that it paid for.
    pub last_cost: Tokens,
    /// Tokens that are granted to it beyond those that it uses.
    pub ahead: Tokens,
    /// How long the promise lasts.
    pub span: Millis,
}

/// How fast a router may spend before it writes to the store again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Tokens at once.
    pub burst: Tokens,
    /// How long it may spend no more than that.
    pub hold: Millis,
    /// Tokens a second beyond those after it.
    pub rate: u64,
}

/// Decides how fast a router may spend before it writes to the store again: near its demand, which is what it asks
/// for anyway, and fast enough to use up in the span what it holds ahead, whatever its demand, since it lends to
/// others whose demand it does not know yet. What it could have spent by then is lost with it, and what is granted
/// beyond is not, so where the budget ends soon it is less: nothing beyond a clump at first, and then half of what it
/// holds ahead.
pub fn pace(spending: &Spending<'_>) -> Pace {
    let need = spending.need;
    let ends_soon = (need.left.0 as f64) < need.total_demand * seconds(ENDS_SOON);
    let clump = Tokens((need.demand * BURST_SECONDS) as u64).max(need.waiting);
    let (burst, hold, lent) = if ends_soon {
        (clump, HOLD, LENT_SHARE)
    } else {
        let requests = Tokens(spending.last_cost.0 * BURST_REQUESTS);
        let ready = Tokens(spending.ahead.0 / BURST_DIVISOR);
        ((requests + clump).max(ready), Millis::ZERO, 1.0)
    };
    let rising = seconds(spending.span.saturating_sub(hold));
    let lending = spending.ahead.0 as f64 * lent / rising;
    Pace {
        burst,
        hold,
        rate: (need.demand * RATE_FACTOR).max(lending) as u64,
    }
}

/// Decides how much more than it has a router may spend, at most, until every copy of the store has a later row of it:
/// what it holds ahead in any case, what its demand may ask for meanwhile, and a part of what is left.
pub fn reach(sizing: &Sizing, spending: &Spending<'_>) -> Tokens {
    let need = spending.need;
    let demanded = need.demand * REACH_FACTOR * seconds(sizing.copy_age);
    let share = need.left.0 as f64 * REACH_SHARE / sizing.holders.max(1) as f64;
    spending.ahead + need.waiting + Tokens((demanded + share) as u64)
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
    /// What the router promises of its spending, where it does.
    pub commitment: Option<CommitmentSummary>,
}

/// What a row promises, as far as its renewal depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitmentSummary {
    /// When it was made.
    pub made: Millis,
    /// Tokens that the router may spend then.
    pub initial_limit: Tokens,
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
        || is_renewal_due(&written, &row, prepaid)
}

/// Whether the promise of a row is old, and keeps tokens from being lost that are worth a write.
fn is_renewal_due(written: &Holding, row: &Holding, prepaid: Tokens) -> bool {
    let Some((old, new)) = written.commitment.zip(row.commitment) else {
        return false;
    };
    let kept = row.granted.saturating_sub(new.initial_limit);
    kept.0 > prepaid.0 / CHANGE_DIVISOR && new.made.saturating_sub(old.made) >= RENEWAL_AGE
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
/// borrower would give a few tokens back each second as its demand falls, a message for each customer.
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
