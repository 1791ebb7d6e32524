//! Which routers to ask for a loan, in which order and for how much, and when to borrow before any request waits.
//!
//! Loans replace grants that the store cannot give in time: while it is unreachable, and where the caps of rows that a
//! copy may still have limit a router more than its grant does. A call to another router over a full link takes up to
//! 250 ms and a request waits some 120 ms, so few calls have to meet a need, and demand is covered ahead.

use std::cmp::Reverse;
use std::collections::VecDeque;

use super::grant::{Limit, Role, Supply};
use crate::gateway::escrow::Loan;
use crate::units::{Millis, Tokens};

/// How long a router that lent less than was lacking is not asked again. It has no more until it is granted more, which
/// takes a renewal of up to a second.
pub const EMPTY_PAUSE: Millis = Millis(500);
/// Maximum number of routers that are asked while no row shows tokens: half of the holders.
const UNKNOWN_LENDERS_MAX: usize = 4;

/// A router borrows ahead once what it has left covers less than this part of a second of its demand: a loan over a
/// full link takes up to 250 ms, and may need a second lender.
const AHEAD_BELOW_MS: u64 = 500;
/// Demand that is borrowed ahead. It is lost if the borrower dies.
const AHEAD_MS: u64 = 1_000;
/// After this many loan requests for a customer within [`RATE_SPAN`], nothing is borrowed ahead, and no second router is
/// asked for the same tokens.
const RATE_MAX: usize = 10;
/// The span of [`RATE_MAX`].
const RATE_SPAN: Millis = Millis(1_000);

/// What calls to a router have shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// No call has failed since its last heartbeat.
    Answering,
    /// A call to it timed out or broke off. It may still lend: over a full link, answers are late.
    Silent,
    /// It refused the connection, so its process has ended.
    Refused,
    /// It was already asked for this need.
    Asked,
}

/// A router that may lend tokens of a customer.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Tokens that it could still spend by the row last read, within its grant and its caps.
    pub unspent: Tokens,
    /// What it has lent to this router since that row was read.
    pub lent: Tokens,
    /// How long ago it had nothing left; `None` if it never had.
    pub empty_for: Option<Millis>,
    /// What calls to it have shown.
    pub contact: Contact,
    /// Its role for the customer, as far as every router knows.
    pub role: Role,
    /// A random number, which orders routers that nothing else distinguishes.
    pub draw: u64,
}

impl Candidate {
    /// Tokens that it is expected to have left.
    fn expected(&self) -> Tokens {
        self.unspent.saturating_sub(self.lent)
    }

    fn may_be_asked(&self) -> bool {
        let is_empty = self.empty_for.is_some_and(|ago| ago < EMPTY_PAUSE);
        !is_empty && matches!(self.contact, Contact::Answering | Contact::Silent)
    }
}

/// One loan to ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Index of the candidate to ask.
    pub candidate: usize,
    /// How much to ask it for.
    pub loan: Loan,
}

/// Decides whom to ask for a loan, in order, and for how much. While rows show tokens, only their routers are asked,
/// those with the most first, until what they are expected to have covers the need. Otherwise a few of the regular
/// holders are, and then any others, each for the whole need.
pub fn plan(need: Loan, candidates: &[Candidate]) -> Vec<Ask> {
    let reachable = candidates.iter().enumerate();
    let reachable = reachable.filter(|(_, candidate)| candidate.contact != Contact::Refused);
    let shows_tokens = |candidate: &Candidate| candidate.expected() > Tokens::ZERO;
    let is_known = reachable.clone().any(|(_, one)| shows_tokens(one));
    let mut open: Vec<(usize, &Candidate)> = reachable
        .filter(|(_, one)| one.may_be_asked() && (!is_known || shows_tokens(one)))
        .collect();
    open.sort_unstable_by_key(|(_, one)| {
        let is_silent = one.contact == Contact::Silent;
        let is_other = one.role != Role::Holder;
        (is_silent, Reverse(one.expected()), is_other, one.draw)
    });
    if is_known {
        divide(need, &open)
    } else {
        let asked = candidates
            .iter()
            .filter(|candidate| candidate.contact == Contact::Asked);
        open.truncate(UNKNOWN_LENDERS_MAX.saturating_sub(asked.count()));
        let asks = open.into_iter().map(|(candidate, _)| Ask {
            candidate,
            loan: need,
        });
        asks.collect()
    }
}

/// Divides a need among lenders by what they are expected to have.
fn divide(need: Loan, lenders: &[(usize, &Candidate)]) -> Vec<Ask> {
    let mut rest = need;
    let mut asks = Vec::new();
    for (candidate, lender) in lenders {
        if is_met(&need, &rest) {
            break;
        }
        let expected = lender.expected();
        let loan = Loan {
            lacking: rest.lacking.min(expected),
            wanted: rest.wanted.min(expected),
        };
        rest = without(rest, loan);
        asks.push(Ask {
            candidate: *candidate,
            loan,
        });
    }
    asks
}

/// What is left of a need once a loan has covered a part of it.
pub fn without(need: Loan, covered: Loan) -> Loan {
    Loan {
        lacking: need.lacking.saturating_sub(covered.lacking),
        wanted: need.wanted.saturating_sub(covered.wanted),
    }
}

/// Whether the rest of a need does not have to be asked for: waiting requests are covered, or all that was to be
/// borrowed ahead.
pub fn is_met(need: &Loan, rest: &Loan) -> bool {
    if need.lacking > Tokens::ZERO {
        rest.lacking == Tokens::ZERO
    } else {
        rest.wanted == Tokens::ZERO
    }
}

/// Whether the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreContact {
    /// It answers.
    Answering,
    /// It does not answer.
    Lost,
}

/// What a router holds of a customer's tokens, and what could raise it.
#[derive(Clone, Copy, Debug)]
pub struct Holdings {
    /// Tokens that it can still reserve.
    pub available: Tokens,
    /// Its demand, in tokens a second.
    pub demand: Tokens,
    /// What limits its spend of its own grant.
    pub limit: Limit,
    /// Whether the store answers.
    pub store: StoreContact,
}

impl Holdings {
    /// Whether they will soon not cover the demand, and the store cannot raise them before: it does not answer, or the
    /// cap limits. Otherwise it grants ahead of demand itself.
    pub fn are_low(&self) -> bool {
        let is_granted_ahead = self.limit == Limit::Grant && self.store == StoreContact::Answering;
        !is_granted_ahead && self.available < self.demand_over(AHEAD_BELOW_MS)
    }

    fn demand_over(&self, ms: u64) -> Tokens {
        Tokens(self.demand.0.saturating_mul(ms) / 1_000)
    }
}

/// Decides whether to borrow before a request waits, and how much. Nothing is borrowed ahead near a budget's end, where
/// those tokens may be needed elsewhere.
pub fn ahead(holdings: &Holdings, role: Role, supply: Supply) -> Option<Loan> {
    if supply == Supply::NearEnd || !holdings.are_low() {
        return None;
    }
    let demand = holdings.demand_over(AHEAD_MS);
    let wanted = match role {
        Role::Holder => demand,
        // A borrower gives back what it holds beyond a second of demand.
        Role::Borrower => demand.saturating_sub(holdings.available),
    };
    Some(Loan {
        lacking: Tokens::ZERO,
        wanted,
    })
}

/// The loan requests of the last second for one customer.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    asked_at: VecDeque<Millis>,
}

impl Rate {
    /// Records a loan request.
    pub fn record(&mut self, now: Millis) {
        if self.asked_at.len() == RATE_MAX {
            self.asked_at.pop_front();
        }
        self.asked_at.push_back(now);
    }

    /// Whether there were few enough for one that no waiting request needs.
    pub fn has_room(&self, now: Millis) -> bool {
        let recent = self.asked_at.iter();
        let recent = recent.filter(|at| now.saturating_sub(**at) < RATE_SPAN);
        recent.count() < RATE_MAX
    }
}
