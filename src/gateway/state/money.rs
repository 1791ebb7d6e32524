//! Prepaid tokens in the control state: reservations and their settlement, this router's rows in the store, and loans
//! between routers.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::{Running, State};
use crate::gateway::decision::allotment::Claim;
use crate::gateway::decision::grant::{self, Role};
use crate::gateway::decision::refusal::Refusal;
use crate::gateway::decision::reread::{self, Scarcity};
use crate::gateway::escrow::{Account, Demand, Loan, ReserveError, Row, RowOwner, StoreAnswer};
use crate::gateway::job::{Delivery, Job};
use crate::gateway::members::Router;
use crate::store::Era;
use crate::units::{Millis, Tokens};

/// Which borrowed tokens are given back to the routers that hold a customer's grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remainder {
    /// The borrowed tokens beyond one second of demand, if there are enough of them to be worth a message.
    WorthSending,
    /// All unused borrowed tokens.
    All,
}

impl State {
    /// Settles a request that has ended, at the cost of what was delivered to its customer.
    pub(super) fn settle(&mut self, running: &Running) {
        let reserved = running.reserved;
        let prompt = running.job.prompt.as_ref();
        let cost = match running.delivery {
            Delivery::Nothing => Tokens::ZERO,
            Delivery::Uncounted => reserved,
            Delivery::Counted(tokens) => prompt.map_or(tokens, |prompt| prompt.tokens + tokens),
        };
        if let Some((customer, _)) = &running.job.payer
            && let Some(account) = self.accounts.get_mut(customer)
        {
            account.settle(reserved, cost);
            tracing::info!(
                event = "settled",
                id = %running.job.id,
                %customer,
                reserved = reserved.0,
                cost = cost.0,
                delivery = running.delivery.as_str()
            );
        }
    }

    /// Reserves a request's maximum cost.
    pub(super) fn reserve(&mut self, now: Millis, job: &Job) -> Result<Tokens, Refusal> {
        let Some((customer, prepaid)) = &job.payer else {
            return Ok(Tokens::ZERO);
        };
        let cost = job.max_cost();
        let ledger = self.ledgers.entry(customer.clone()).or_default();
        let account = self.accounts.entry(customer.clone()).or_default();
        account.release_caps(&self.last_store_answer, self.settings.sizing.copy_age);
        let name = &self.settings.me.name;
        match account.reserve(now, cost, *prepaid, ledger, name) {
            Ok(()) => {
                if job.demand == Demand::New {
                    account.record_demand(now, cost);
                }
                Ok(cost)
            }
            Err(ReserveError::Exhausted) => Err(Refusal::Exhausted),
            Err(ReserveError::LocalShortage) => Err(Refusal::Short),
        }
    }

    /// Whether the tokens of a request that arrives count as demand. Only requests with a payer have any. This is called
    /// once for each try.
    pub fn arriving_demand(&mut self, now: Millis, job: &Job) -> Demand {
        match job.payer {
            Some(_) => self.refused.arrive(now, job.fingerprint),
            None => Demand::New,
        }
    }

    /// Counts the tokens of a request that was refused for lack of them as demand, once however often it is sent
    /// again. Near the budget's end nothing is granted or lent for such demand, so it does not count.
    pub fn record_refused(&mut self, now: Millis, job: &Job, refusal: Refusal) {
        let is_demand = matches!(refusal, Refusal::Short | Refusal::CutOff);
        let is_counted = job.demand != Demand::New;
        let Some((customer, _)) = &job.payer else {
            return;
        };
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        if is_demand && !is_counted {
            account.record_demand(now, job.max_cost());
        }
        if is_demand || is_counted {
            self.refused.record(now, job.fingerprint, job.demand);
        }
    }

    /// Sets a customer's total prepaid budget.
    pub fn set_prepaid(&mut self, customer: &str, prepaid: Tokens) {
        self.prepaid.insert(customer.to_owned(), prepaid);
    }

    /// Number of customers of whose budgets the store grants this router tokens.
    pub fn granted_customers(&self) -> usize {
        let accounts = self.accounts.values();
        accounts.filter(|account| account.has_grant()).count()
    }

    /// The customers that have a prepaid budget.
    pub fn payers(&self) -> Vec<String> {
        self.prepaid.keys().cloned().collect()
    }

    /// Sets a router's row to the stored one.
    pub fn set_row(&mut self, customer: &str, router: &str, row: Option<Row>) {
        let ledger = self.ledgers.entry(customer.to_owned()).or_default();
        ledger.set(router, row);
        self.loans.record_row(customer, router);
    }

    /// Records that a router's row in the store cannot be decoded.
    pub fn set_unreadable_row(&mut self, customer: &str, router: &str) {
        let ledger = self.ledgers.entry(customer.to_owned()).or_default();
        ledger.set_unreadable(router);
    }

    /// The rows that are worth writing now, for the customers that `includes` selects, and how free tokens limit their
    /// grants. `waiting` has the tokens that requests wait for. The ledgers must be up to date with the place that the
    /// rows are written at, which is in `era`.
    pub fn rows(
        &mut self,
        now: Millis,
        era: Era,
        waiting: &HashMap<String, Tokens>,
        includes: impl Fn(&str) -> bool,
    ) -> (Vec<(String, Row)>, Scarcity) {
        let customers: Vec<(String, Tokens)> = self
            .prepaid
            .iter()
            .filter(|(customer, _)| includes(customer))
            .map(|(customer, prepaid)| (customer.clone(), *prepaid))
            .collect();
        let mut sizing = self.settings.sizing;
        sizing.holders = sizing.holders.min(self.members.count());
        let mut rows = Vec::new();
        let mut scarcity = Scarcity::None;
        for (customer, prepaid) in customers {
            let claim = self.claim(now, &customer);
            let role = claim.role();
            let owner = RowOwner {
                router: &self.settings.me.name,
                incarnation: self.settings.me.incarnation,
                role,
                started: self.settings.started,
                clock: &self.clock,
                era,
            };
            let ledger = self.ledgers.entry(customer.clone()).or_default();
            let account = self.accounts.entry(customer.clone()).or_default();
            account.release_caps(&self.last_store_answer, sizing.copy_age);
            let needed = waiting.get(&customer).copied().unwrap_or(Tokens::ZERO);
            let bound = account.bound();
            let row = account.desired_row(now, ledger, &owner, prepaid, &sizing, needed);
            let is_needed = needed > Tokens::ZERO && account.raises_limit(now, &row);
            let is_due = account.is_from_earlier_era(era) || account.is_cap_due(now, claim);
            let is_written = is_needed || is_due || account.is_worth_writing(&row, prepaid);
            if role == Role::Holder && sizing.copy_age > Millis::ZERO {
                let is_raised = is_written && account.raises_grant(&row);
                scarcity = scarcity.max(reread::scarcity(bound, account.bound(), is_raised));
            }
            if is_written {
                rows.push((customer, row));
            }
        }
        (rows, scarcity)
    }

    /// The rows of a process that stops: they give back all unused tokens.
    pub fn final_rows(&self, era: Era) -> Vec<(String, Row)> {
        let incarnation = self.settings.me.incarnation;
        let accounts = self.accounts.iter();
        let accounts = accounts.filter(|(_, account)| account.is_written());
        accounts
            .map(|(customer, account)| {
                let prepaid = self.prepaid.get(customer).copied().unwrap_or_default();
                let row = account.final_row(incarnation, era, prepaid);
                (customer.clone(), row)
            })
            .collect()
    }

    /// Records that the store has answered a call.
    pub fn record_store_answer(&mut self, seen: StoreAnswer) {
        let last = &mut self.last_store_answer;
        if (seen.era, seen.at) > (last.era, last.at) {
            *last = seen;
        }
    }

    /// Records that these rows were sent to the store.
    pub fn rows_sent(&mut self, rows: &[(String, Row)]) {
        self.for_each_account(rows, |account, row| account.mark_sent(row));
    }

    /// Records that the store has these rows.
    pub fn rows_acknowledged(&mut self, now: Millis, rows: &[(String, Row)]) {
        self.for_each_account(rows, |account, row| account.acknowledge(now, row));
        let name = self.settings.me.name.clone();
        for (customer, row) in rows {
            self.set_row(customer, &name, Some(*row));
        }
    }

    /// Records that these rows are not in the store and never will be.
    pub fn rows_withdrawn(&mut self, now: Millis, rows: &[(String, Row)]) {
        self.for_each_account(rows, |account, _| account.withdraw(now));
    }

    fn for_each_account(&mut self, rows: &[(String, Row)], act: impl Fn(&mut Account, &Row)) {
        for (customer, row) in rows {
            if let Some(account) = self.accounts.get_mut(customer) {
                act(account, row);
            }
        }
    }

    /// Tokens that this router can still reserve for a customer, and tokens that all routers together are known to have
    /// spent.
    pub fn balance(&self, now: Millis, customer: &str) -> (Tokens, Tokens) {
        let (Some(account), Some(ledger)) =
            (self.accounts.get(customer), self.ledgers.get(customer))
        else {
            return (Tokens::ZERO, Tokens::ZERO);
        };
        let spent = account.spent(ledger, &self.settings.me.name);
        (account.available(now), spent)
    }

    /// Tokens of a customer that the rows of the other routers hold, as of the last read.
    pub fn held_by_others(&self, era: Era, customer: &str) -> Tokens {
        let ledger = self.ledgers.get(customer);
        ledger.map_or(Tokens::ZERO, |ledger| {
            ledger.allocated_to_others(&self.settings.me.name, era)
        })
    }

    /// Tokens of a customer that this router may have reserved in total by `now`, whether or not it has.
    pub fn reservable(&self, now: Millis, customer: &str) -> Tokens {
        let account = self.accounts.get(customer);
        account.map_or(Tokens::ZERO, |account| account.reservable(now))
    }

    /// This router's role for a customer's budget.
    pub fn role(&mut self, now: Millis, customer: &str) -> Role {
        self.claim(now, customer).role()
    }

    /// Why this router holds grants of a customer's budget, or does not.
    pub fn claim(&mut self, now: Millis, customer: &str) -> Claim {
        let me = self.settings.me.name.as_str();
        let holders = self.holders(now, customer);
        if holders.is_empty() || holders.iter().any(|router| router.name == me) {
            return Claim::Regular;
        }
        let ledger = self.ledgers.entry(customer.to_owned()).or_default();
        let account = self.accounts.get_mut(customer);
        account.map_or(Claim::None, |account| {
            account.release_caps(&self.last_store_answer, self.settings.sizing.copy_age);
            account.claim(now, ledger, me, &self.settings.sizing)
        })
    }

    /// The routers that regularly hold a customer's grants.
    pub fn holders(&self, now: Millis, customer: &str) -> Vec<&Router> {
        let count = self.settings.sizing.holders;
        self.members.holders(now, customer, count)
    }

    /// The other live routers with the most unspent tokens of a customer according to their rows, in descending order;
    /// at most `count` of those that have any.
    pub fn routers_with_most_unspent(
        &self,
        now: Millis,
        customer: &str,
        count: usize,
    ) -> Vec<&Router> {
        let Some(ledger) = self.ledgers.get(customer) else {
            return Vec::new();
        };
        let live = self.members.live(now);
        let unspent = live.filter_map(|router| Some((ledger.row(&router.name)?.unspent(), router)));
        let mut routers: Vec<(Tokens, &Router)> = unspent
            .filter(|(tokens, _)| *tokens > Tokens::ZERO)
            .collect();
        routers.sort_unstable_by_key(|(tokens, router)| (Reverse(*tokens), &router.name));
        routers.truncate(count);
        routers.into_iter().map(|(_, router)| router).collect()
    }

    /// Lends tokens to another router; returns the number lent.
    pub fn lend(&mut self, now: Millis, customer: &str, loan: Loan) -> Tokens {
        let supply = self.supply(now, customer);
        let account = self.accounts.get_mut(customer);
        account.map_or(Tokens::ZERO, |account| {
            account.release_caps(&self.last_store_answer, self.settings.sizing.copy_age);
            account.lend(now, loan, supply)
        })
    }

    /// Whether a write to the store could let this router lend `tokens` more.
    pub fn can_cover(&self, customer: &str, tokens: Tokens) -> bool {
        let (Some(account), Some(ledger), Some(prepaid)) = (
            self.accounts.get(customer),
            self.ledgers.get(customer),
            self.prepaid.get(customer),
        ) else {
            return false;
        };
        let name = &self.settings.me.name;
        account.can_cover(tokens, ledger, name, *prepaid, self.last_store_answer.era)
    }

    /// Removes the borrowed tokens beyond one second of demand, for each customer whose grants other routers hold. The
    /// caller gives them to those routers.
    pub fn take_excess(&mut self, now: Millis) -> Vec<(String, Tokens)> {
        let customers: Vec<String> = self.accounts.keys().cloned().collect();
        let borrowed = customers
            .into_iter()
            .filter(|customer| self.role(now, customer) == Role::Borrower);
        let borrowed: Vec<String> = borrowed.collect();
        self.take_borrowed(now, borrowed, Remainder::WorthSending)
    }

    /// Removes all borrowed tokens that are not used.
    pub fn take_unused(&mut self, now: Millis) -> Vec<(String, Tokens)> {
        let customers = self.accounts.keys().cloned().collect();
        self.take_borrowed(now, customers, Remainder::All)
    }

    fn take_borrowed(
        &mut self,
        now: Millis,
        customers: Vec<String>,
        remainder: Remainder,
    ) -> Vec<(String, Tokens)> {
        let mut taken = Vec::new();
        for customer in customers {
            let account = self.accounts.entry(customer.clone()).or_default();
            let (keep, min) = match remainder {
                Remainder::All => (Tokens::ZERO, Tokens::ZERO),
                Remainder::WorthSending => {
                    let prepaid = self.prepaid.get(&customer).copied();
                    let min = grant::min_give_back(prepaid.unwrap_or_default());
                    (account.demand(now), min)
                }
            };
            let tokens = account.take_excess(now, keep, min);
            if tokens > Tokens::ZERO {
                taken.push((customer, tokens));
            }
        }
        taken
    }

    /// Adds tokens that another router has lent or given back.
    pub fn borrow(&mut self, customer: &str, tokens: Tokens) {
        let account = self.accounts.entry(customer.to_owned()).or_default();
        account.borrow(tokens);
    }

    /// Tokens that this router lacks to cover `cost`.
    pub fn lacking(&self, now: Millis, customer: &str, cost: Tokens) -> Tokens {
        let account = self.accounts.get(customer);
        let available = account.map(|account| account.available(now));
        cost.saturating_sub(available.unwrap_or(Tokens::ZERO))
    }

    /// A customer's demand at this router, in tokens a second.
    pub fn demand(&mut self, now: Millis, customer: &str) -> Tokens {
        let account = self.accounts.get_mut(customer);
        account.map_or(Tokens::ZERO, |account| account.demand(now))
    }
}
