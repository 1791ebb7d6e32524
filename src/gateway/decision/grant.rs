//! Sizing rules for prepaid budgets: how many tokens a router is granted, lends and gives back.
//!
//! Tokens granted in advance of demand let a router keep serving while the store is unreachable, but are lost if the
//! router dies. While a budget lasts for long, availability weighs more. Towards its end a lost grant would refuse
//! requests that are paid for, so nothing is granted in advance any more and each request waits for its own grant.

use crate::units::{Millis, Tokens};

/// Changes of less than one part in this many of the prepaid budget do not cause a write of their own, since each write
/// is a store call, which costs money.
const CHANGE_DIVISOR: u64 = 1_000;

/// A lender with at least this many times the wanted tokens lends all that is wanted rather than only what is lacking.
const FULL_LOAN_FACTOR: u64 = 4;

/// Borrowed tokens of less than one part in this many of the prepaid budget are kept until they are needed: 80
/// borrowers then keep less than one part in a hundred.
const GIVE_BACK_DIVISOR: u64 = 10_000;

/// Requests that a router may start at once beyond its demand before its next write to the store, where the budget
/// lasts. Near the budget's end this does not apply: two requests at each of eight holders are up to a twentieth of a
/// small customer's budget, which would be lost if all of them died.
const BURST_REQUESTS: u64 = 2;
/// Seconds of demand that a router may spend at once before its next write to the store: it writes every second, and
/// demand is bursty.
const BURST_SECONDS: f64 = 0.5;
/// One part in this many of a router's headroom may always be spent or lent at once before its next write. This equals
/// a quarter of a second at the lowest rate.
const BURST_DIVISOR: u64 = 32;
/// How long the limit of a new commitment stays flat near a budget's end. A death while the store answers mostly falls
/// within this time: the row is up to one second old, and a host restarts within another. Requests beyond the limit
/// wait for a write meanwhile.
const RAMP_DELAY: Millis = Millis(2_000);
/// A budget is near its end if it lasts no longer than this at the present demand. A rising limit loses about three
/// seconds of a router's demand with the router, which is then a tenth of what is left or more. Before that point,
/// losing the connection to the store costs more, because a limit that does not rise pays for little in its first
/// seconds.
const NEAR_END: Millis = Millis(30_000);
/// Fraction of a router's headroom that it may lend within a commitment near the budget's end, whatever its demand,
/// 0 to 1. All that a commitment allows to be lent counts as spent if the router dies.
const LENDABLE_SHARE: f64 = 0.5;
/// How much faster than its demand a router may spend before its next write: demand varies from second to second.
const RATE_FACTOR: f64 = 1.25;

/// Where most of the demand arrives at one router, this many times the other routers' part of it is left to them, and
/// that router may hold the rest of the budget in advance, however soon the budget ends. With a factor of two the
/// others can double their present demand; a router with half of the demand or less holds nothing by this rule.
const LEFT_TO_OTHERS_FACTOR: f64 = 2.0;

/// How much faster than its demand a router may spend, beyond its headroom, while the store may still be restored from
/// a copy that lacks the router's newest rows. The newest row in that copy bounds the router, and demand varies.
const CAP_DEMAND_FACTOR: f64 = 2.0;
/// Fraction of what is left that each holder may spend beyond that, 0 to 1, since demand may start at any of them. If a
/// router dies while the store is being restored, all that it may spend counts as spent. A lower fraction would leave
/// a router that most of the demand arrives at with a grant that it may not spend for as long as a copy may be old.
const CAP_SHARE: f64 = 0.12;
/// Least fraction that all holders together may spend beyond that, 0 to 1: a few holders each have a larger part of the
/// demand.
const CAP_SHARE_ALL_MIN: f64 = 0.5;
/// Greatest fraction that all holders together may spend beyond that, 0 to 1.
const CAP_SHARE_ALL_MAX: f64 = 0.95;

/// Age at which a commitment is renewed even if nothing else has changed. Each renewal is a write. Without renewals the
/// commitment of an idle router would expire, and all that the router holds would be lost with it.
const RENEWAL_AGE: Millis = Millis(1_500);

/// A router's role for one customer's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Holds tokens granted in advance, and lends them to other routers.
    Holder,
    /// Borrows what it needs; the store grants it only what no holder lends.
    Borrower,
}

/// What limits how much a router may spend of its own grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Its grant, which the store can raise.
    Grant,
    /// The cap of a row that a copy of the store may have, which only time raises.
    Cap,
}

impl Limit {
    /// The name of the limit in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Grant => "grant",
            Self::Cap => "cap",
        }
    }
}

/// How long a budget lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Supply {
    /// Longer than [`NEAR_END`] at the present demand.
    Lasting,
    /// No longer than that.
    NearEnd,
}

/// Decides how long a budget lasts by what is `left` of it, at a demand of `total_demand` tokens a second.
pub fn supply(left: Tokens, total_demand: f64) -> Supply {
    if (left.0 as f64) < total_demand * seconds(NEAR_END) {
        Supply::NearEnd
    } else {
        Supply::Lasting
    }
}

/// Parameters of grant sizing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizing {
    /// Time span of demand that a grant in advance covers.
    pub horizon: Millis,
    /// Remaining time of the budget, at the present demand, up to which nothing is granted in advance.
    pub exact: Millis,
    /// Fraction of what is left beyond `exact` that all routers together may hold in advance, 0 to 1.
    pub share: f64,
    /// Fraction of what is left beyond `exact` that is spread over the holders whatever their demand, 0 to 1.
    pub spread: f64,
    /// Number of routers that hold grants of one customer in advance.
    pub holders: usize,
    /// Maximum age of a copy that the store may be restored from; zero if it is never restored from a copy.
    pub copy_age: Millis,
}

/// Input for sizing one router's grant of one customer's budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Whether the router holds grants in advance.
    pub role: Role,
    /// Demand at this router, in tokens a second.
    pub demand: f64,
    /// Demand at all routers, in tokens a second.
    pub total_demand: f64,
    /// Tokens that the router has spent or reserved out of its grant.
    pub used: Tokens,
    /// Tokens that requests wait for.
    pub waiting: Tokens,
    /// Tokens of the prepaid budget that are not known to be spent.
    pub left: Tokens,
    /// Tokens that are not granted to any other router.
    pub free: Tokens,
    /// Tokens that are currently granted to the router.
    pub granted: Tokens,
}

/// Computes a router's total grant.
pub fn size(sizing: &Sizing, need: &Need) -> Tokens {
    let unspent = headroom(sizing, need).max(need.waiting);
    // Used tokens stay granted, even if the budget was lowered below them.
    let kept = need.used.min(need.granted);
    (need.used + unspent).min(need.free).max(kept)
}

/// Tokens that a router should hold in advance, beyond those it uses.
fn headroom(sizing: &Sizing, need: &Need) -> Tokens {
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
    let allowed = share.max(concentrated_headroom(need.left, part));
    let covered = (need.demand * seconds(sizing.horizon)).min(allowed);
    Tokens(covered.max(spread) as u64)
}

/// Headroom allowed to a router at which the fraction `part` of the demand arrives, 0 to 1. Near a budget's end the
/// other routers hold nothing in advance, since those tokens would be missing where the demand is; this rule applies
/// where the demand is.
fn concentrated_headroom(left: Tokens, part: f64) -> f64 {
    let of_others = (1.0 - part) * LEFT_TO_OTHERS_FACTOR;
    left.0 as f64 * (1.0 - of_others).max(0.0)
}

/// Input for limiting how fast a router may spend before its next write to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spending<'a> {
    /// The need by which the grant was sized.
    pub need: &'a Need,
    /// Cost of the last request that the router paid for.
    pub last_cost: Tokens,
    /// Tokens granted to the router beyond those that it uses.
    pub headroom: Tokens,
    /// Duration of the commitment.
    pub span: Millis,
}

/// Limits on how fast a router may spend before its next write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Tokens that may be spent at once.
    pub burst: Tokens,
    /// How long spending is limited to the burst.
    pub ramp_delay: Millis,
    /// Tokens a second that may be spent on top of the burst after that.
    pub rate: u64,
}

/// Computes how fast a router may spend before its next write to the store.
///
/// The rate is near the router's demand, and high enough to use up the headroom within the commitment whatever the
/// demand, since the router also lends to others whose demand it does not know yet. What the router could have spent
/// by the time of its death is lost with it, and what is granted beyond that is not. Near the budget's end the limits
/// are therefore lower: at first nothing beyond a burst of demand, then half of the headroom.
pub fn pace(spending: &Spending<'_>) -> Pace {
    let need = spending.need;
    let is_near_end = supply(need.left, need.total_demand) == Supply::NearEnd;
    let demand_burst = Tokens((need.demand * BURST_SECONDS) as u64).max(need.waiting);
    let (burst, ramp_delay, lendable) = if is_near_end {
        (demand_burst, RAMP_DELAY, LENDABLE_SHARE)
    } else {
        let requests = Tokens(spending.last_cost.0.saturating_mul(BURST_REQUESTS));
        let ready = Tokens(spending.headroom.0 / BURST_DIVISOR);
        ((requests + demand_burst).max(ready), Millis::ZERO, 1.0)
    };
    let rising = seconds(spending.span.saturating_sub(ramp_delay));
    let lending = spending.headroom.0 as f64 * lendable / rising;
    Pace {
        burst,
        ramp_delay,
        rate: (need.demand * RATE_FACTOR).max(lending) as u64,
    }
}

/// Computes how many tokens beyond its used ones a router may spend until every copy of the store has a later row of
/// it: its headroom in any case, what its demand may need meanwhile, and a fraction of what is left.
pub fn cap_headroom(sizing: &Sizing, spending: &Spending<'_>) -> Tokens {
    let need = spending.need;
    let demanded = need.demand * CAP_DEMAND_FACTOR * seconds(sizing.copy_age);
    let share = need.left.0 as f64 * cap_share(sizing.holders);
    spending.headroom + need.waiting + Tokens((demanded + share) as u64)
}

/// Fraction of what is left that each of so many holders may spend beyond its headroom and demand.
fn cap_share(holders: usize) -> f64 {
    let holders = holders.max(1) as f64;
    (CAP_SHARE * holders).clamp(CAP_SHARE_ALL_MIN, CAP_SHARE_ALL_MAX) / holders
}

fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}

/// The fields of a router's row in the store that decide whether it is written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowSummary {
    /// Tokens that the router may spend, in all.
    pub granted: Tokens,
    /// Tokens of the grant that the router has spent.
    pub spent: Tokens,
    /// Tokens that earlier processes of the router have spent, or may have spent.
    pub spent_before: Tokens,
    /// The router's spending commitment, if the row has one.
    pub commitment: Option<CommitmentSummary>,
}

/// The fields of a spending commitment that decide when it is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitmentSummary {
    /// When the commitment was made.
    pub made_at: Millis,
    /// Tokens that the router may spend at that time.
    pub initial_limit: Tokens,
}

/// Whether a row differs enough from the last written one to be worth a store call.
pub fn is_worth_writing(written: Option<RowSummary>, row: RowSummary, prepaid: Tokens) -> bool {
    let Some(written) = written else {
        return row.granted > Tokens::ZERO;
    };
    let is_near = |a: Tokens, b: Tokens| a.0.abs_diff(b.0) <= prepaid.0 / CHANGE_DIVISOR;
    !is_near(written.granted, row.granted)
        || !is_near(written.spent, row.spent)
        || written.spent_before != row.spent_before
        || is_renewal_due(&written, &row, prepaid)
}

/// Whether the commitment of a row is old enough to renew, and protects enough tokens from loss to be worth a write.
fn is_renewal_due(written: &RowSummary, row: &RowSummary, prepaid: Tokens) -> bool {
    let Some((old, new)) = written.commitment.zip(row.commitment) else {
        return false;
    };
    let protected = row.granted.saturating_sub(new.initial_limit);
    protected.0 > prepaid.0 / CHANGE_DIVISOR
        && new.made_at.saturating_sub(old.made_at) >= RENEWAL_AGE
}

/// Decides a router's role for a customer if it is not among the customer's regular holders: a router with enough of
/// the demand holds grants of its own, besides the holders that every router knows.
pub fn role_by_demand(demand: Tokens, demand_of_others: u64, holders: usize) -> Role {
    let total = demand_of_others.saturating_add(demand.0);
    if demand.0 > 0 && demand.0.saturating_mul(holders as u64) >= total {
        Role::Holder
    } else {
        Role::Borrower
    }
}

/// Minimum number of borrowed tokens that is worth giving back, for a budget of `prepaid`. Without it every borrower
/// would give back a few tokens each second as its demand falls, one message for each customer.
pub fn min_give_back(prepaid: Tokens) -> Tokens {
    Tokens(prepaid.0 / GIVE_BACK_DIVISOR)
}

/// Fraction of what a lender has left after covering the requests that wait that it lends for demand to come, unless it
/// has several times what is wanted, as a divisor: the next borrower finds the other half.
const PARTIAL_LOAN_DIVISOR: u64 = 2;

/// Decides how many of the available tokens a router lends while the budget lasts: all that is wanted if it has several
/// times as much, and otherwise what the borrower lacks and a part of what remains then.
pub fn lend_lasting(available: Tokens, lacking: Tokens, wanted: Tokens) -> Tokens {
    let lent = lend(available, lacking, wanted);
    let remaining = available.saturating_sub(lent);
    let part = Tokens(remaining.0 / PARTIAL_LOAN_DIVISOR);
    lent + wanted.saturating_sub(lent).min(part)
}

/// Decides how many of the available tokens a router lends near a budget's end: all that is wanted if it has several times as much, and
/// otherwise only what the borrower lacks.
pub fn lend(available: Tokens, lacking: Tokens, wanted: Tokens) -> Tokens {
    let has_plenty = available.0 >= wanted.0.saturating_mul(FULL_LOAN_FACTOR);
    let asked = if has_plenty { wanted } else { lacking };
    asked.min(available)
}
