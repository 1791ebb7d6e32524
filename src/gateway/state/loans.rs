//! What is known of lenders, and the choice of whom to ask for a loan.

use std::collections::{HashMap, HashSet};

use super::State;
use crate::gateway::decision::grant::{self, Limit, Role, Supply};
use crate::gateway::decision::lenders::{
    self, Candidate, Contact, EMPTY_PAUSE, Holdings, Rate, StoreContact,
};
use crate::gateway::escrow::{Loan, Row};
use crate::gateway::members::Router;
use crate::units::{Millis, Tokens};

/// What is known of one lender of a customer's tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Lender {
    /// What it has lent to this router since its row was last read.
    lent: Tokens,
    /// When it last lent less than was lacking.
    empty_at: Option<Millis>,
    /// When it last lent nothing ahead of need, which it may do although it has tokens.
    nothing_ahead_at: Option<Millis>,
    /// Number of calls to it in progress.
    calls: u32,
}

impl Lender {
    /// How long ago it had nothing for such a need.
    fn empty_for(&self, now: Millis, need: Loan) -> Option<Millis> {
        let nothing_ahead_at = self
            .nothing_ahead_at
            .filter(|_| need.lacking == Tokens::ZERO);
        let at = self.empty_at.max(nothing_ahead_at)?;
        Some(now.saturating_sub(at))
    }

    fn is_known(&self, now: Millis) -> bool {
        let is_recent = |at: Millis| now.saturating_sub(at) < EMPTY_PAUSE;
        let times = [self.empty_at, self.nothing_ahead_at];
        self.calls > 0 || self.lent > Tokens::ZERO || times.into_iter().flatten().any(is_recent)
    }
}

/// The loans of one customer's tokens.
#[derive(Debug, Default)]
struct Loans {
    lenders: HashMap<String, Lender>,
    rate: Rate,
    /// When nothing was lent ahead of need.
    nothing_ahead_at: Option<Millis>,
}

/// The loans of all customers' tokens to this router.
#[derive(Debug, Default)]
pub(super) struct Book {
    customers: HashMap<String, Loans>,
    /// Routers that refused a connection, with the incarnation and the heartbeat that were known of them then.
    refused: HashMap<String, (u64, u64)>,
}

impl Book {
    /// Records that a router's row was read, which includes what it has lent.
    pub(super) fn record_row(&mut self, customer: &str, router: &str) {
        if let Some(loans) = self.customers.get_mut(customer)
            && let Some(lender) = loans.lenders.get_mut(router)
        {
            lender.lent = Tokens::ZERO;
        }
    }

    fn has_refused(&self, router: &Router) -> bool {
        self.refused.get(&router.name) == Some(&(router.incarnation, router.heartbeat))
    }

    /// Whether tokens of a customer may be requested ahead of need: few loans were requested in the last second, and not
    /// in vain.
    fn allow_ahead(&self, now: Millis, customer: &str) -> bool {
        self.customers.get(customer).is_none_or(|loans| {
            let at = loans.nothing_ahead_at;
            let is_paused = at.is_some_and(|at| now.saturating_sub(at) < EMPTY_PAUSE);
            !is_paused && loans.rate.has_room(now)
        })
    }

    fn lender(&self, customer: &str, router: &str) -> Lender {
        let loans = self.customers.get(customer);
        let lender = loans.and_then(|loans| loans.lenders.get(router));
        lender.copied().unwrap_or_default()
    }
}

impl State {
    /// The next router to ask for a customer's tokens, and how much to ask for. Those in `asked` are not asked again.
    pub fn next_lender(
        &self,
        now: Millis,
        customer: &str,
        need: Loan,
        asked: &HashSet<String>,
        store: StoreContact,
    ) -> Option<(Router, Loan)> {
        // While the store is lost, a call that timed out says more of this router's link than of the other router.
        let routers: Vec<&Router> = match store {
            StoreContact::Answering => self.members.live(now).collect(),
            StoreContact::Lost => self.members.known().collect(),
        };
        let holders: HashSet<&str> = self
            .holders(now, customer)
            .into_iter()
            .map(|router| router.name.as_str())
            .collect();
        let ledger = self.ledgers.get(customer);
        let candidate = |router: &&Router| {
            let name = router.name.as_str();
            let row = ledger.and_then(|ledger| ledger.row(name));
            let lender = self.loans.lender(customer, name);
            Candidate {
                unspent: row.map_or(Tokens::ZERO, Row::spendable),
                lent: lender.lent,
                empty_for: lender.empty_for(now, need),
                contact: if asked.contains(name) || lender.calls > 0 {
                    Contact::Asked
                } else if self.loans.has_refused(router) {
                    Contact::Refused
                } else if self.members.is_unreachable(name) {
                    Contact::Silent
                } else {
                    Contact::Answering
                },
                role: if holders.contains(name) {
                    Role::Holder
                } else {
                    Role::Borrower
                },
                draw: rand::random(),
            }
        };
        let candidates: Vec<Candidate> = routers.iter().map(candidate).collect();
        let first = *lenders::plan(need, &candidates).first()?;
        Some((routers[first.candidate].clone(), first.loan))
    }

    /// Records that a call that asks a router for a loan begins.
    pub fn begin_loan_call(&mut self, now: Millis, customer: &str, lender: &str) {
        let loans = self.loans.customers.entry(customer.to_owned()).or_default();
        loans.rate.record(now);
        loans.lenders.retain(|_, one| one.is_known(now));
        loans.lenders.entry(lender.to_owned()).or_default().calls += 1;
    }

    /// Records that such a call has ended.
    pub fn end_loan_call(&mut self, customer: &str, lender: &str) {
        let loans = self.loans.customers.get_mut(customer);
        if let Some(lender) = loans.and_then(|loans| loans.lenders.get_mut(lender)) {
            lender.calls = lender.calls.saturating_sub(1);
        }
    }

    /// Whether a call that asks a router for a loan of a customer's tokens is in progress.
    pub fn has_loan_calls(&self, customer: &str) -> bool {
        let loans = self.loans.customers.get(customer);
        loans.is_some_and(|loans| loans.lenders.values().any(|lender| lender.calls > 0))
    }

    /// Whether few loans of a customer's tokens were requested in the last second.
    pub fn has_few_loan_calls(&self, now: Millis, customer: &str) -> bool {
        let loans = self.loans.customers.get(customer);
        loans.is_none_or(|loans| loans.rate.has_room(now))
    }

    /// Whether tokens of a customer may be requested ahead of need.
    pub fn allows_loan_ahead(&self, now: Millis, customer: &str) -> bool {
        self.loans.allow_ahead(now, customer)
    }

    /// Records what a router has lent, and adds it to the account.
    pub fn record_loan(
        &mut self,
        now: Millis,
        customer: &str,
        lender: &str,
        loan: Loan,
        lent: Tokens,
    ) {
        let account = self.accounts.entry(customer.to_owned()).or_default();
        account.borrow_lent(now, lent);
        let loans = self.loans.customers.entry(customer.to_owned()).or_default();
        let lender = loans.lenders.entry(lender.to_owned()).or_default();
        lender.lent += lent;
        if lent < loan.lacking {
            lender.empty_at = Some(now);
        }
        if loan.lacking == Tokens::ZERO && lent == Tokens::ZERO {
            lender.nothing_ahead_at = Some(now);
        }
    }

    /// Records that a router refused the connection. It is not asked again before another heartbeat of it arrives.
    pub fn record_refused_connection(&mut self, router: &Router) {
        let known = (router.incarnation, router.heartbeat);
        self.loans.refused.insert(router.name.clone(), known);
    }

    /// Records that nobody lent ahead of need.
    pub fn record_nothing_ahead(&mut self, now: Millis, customer: &str) {
        let loans = self.loans.customers.entry(customer.to_owned()).or_default();
        loans.nothing_ahead_at = Some(now);
    }

    /// What limits how much this router may spend of its own grant.
    pub fn binding_limit(&self, now: Millis, customer: &str) -> Limit {
        let account = self.accounts.get(customer);
        account.map_or(Limit::Grant, |account| account.binding_limit(now))
    }

    /// How long a customer's budget lasts.
    pub(super) fn supply(&mut self, now: Millis, customer: &str) -> Supply {
        let prepaid = self.prepaid.get(customer).copied().unwrap_or_default();
        let (_, spent) = self.balance(now, customer);
        let ledger = self.ledgers.get(customer);
        let name = &self.settings.me.name;
        let account = self.accounts.get_mut(customer);
        let total_demand = ledger.zip(account).map_or(0.0, |(ledger, account)| {
            account.total_demand(now, ledger, name)
        });
        grant::supply(prepaid.saturating_sub(spent), total_demand)
    }

    /// The loan to ask for before any request waits, if one is due.
    pub fn loan_ahead(&mut self, now: Millis, customer: &str, store: StoreContact) -> Option<Loan> {
        let account = self.accounts.get_mut(customer)?;
        let holdings = Holdings {
            available: account.available(now),
            demand: account.demand(now),
            limit: account.binding_limit(now),
            store,
        };
        // Checked first for each request; the role and the supply take a look at every router.
        if !holdings.are_low() || !self.loans.allow_ahead(now, customer) {
            return None;
        }
        let (role, supply) = (self.role(now, customer), self.supply(now, customer));
        lenders::ahead(&holdings, role, supply)
    }
}
