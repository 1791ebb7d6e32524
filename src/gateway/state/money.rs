//! The money of a fleet as one router sees it: what it reserves and settles, the rows that it keeps
//! in the store, and what it lends and borrows.

use std::collections::HashMap;

use super::{Fleet, Handed, Job, Refusal, Running};
use crate::gateway::escrow::{Account, Holder, Loan, Role, Row, Short, Sizing};
use crate::gateway::members::Router;
use crate::units::{Millis, Tokens};

impl Fleet {
    /// Settles a request that has ended at what its customer was handed.
    pub(super) fn settle(&mut self, running: &Running) {
        let reserved = running.reserved;
        let prompt = running.job.prompt.as_ref();
        let cost = match running.handed {
            Handed::Nothing => Tokens::ZERO,
            Handed::Most => reserved,
            Handed::Out(out) => prompt.map_or(Tokens::ZERO, |prompt| prompt.tokens) + out,
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
                basis = running.handed.word()
            );
        }
    }

    pub(super) fn reserve(&mut self, now: Millis, job: &Job) -> Result<Tokens, Refusal> {
        let Some((customer, prepaid)) = &job.payer else {
            return Ok(Tokens::ZERO);
        };
        let cost = job.cost();
        let ledger = self.ledgers.entry(customer.clone()).or_default();
        let account = self.accounts.entry(customer.clone()).or_default();
        let name = &self.settings.me.name;
        match account.reserve(cost, *prepaid, ledger, name) {
            // What is refused comes again, so only what is granted tells of the demand.
            Ok(()) => {
                account.note_demand(now, cost);
                Ok(cost)
            }
            Err(Short::Exhausted) => Err(Refusal::Exhausted),
            Err(Short::Here) => Err(Refusal::Short),
        }
    }

    /// Takes in what the configuration says a customer has prepaid.
    pub fn set_prepaid(&mut self, customer: &str, prepaid: Tokens) {
        self.prepaid.insert(customer.to_owned(), prepaid);
    }

    /// The customers whose budgets are kept.
    pub fn payers(&self) -> Vec<String> {
        self.prepaid.keys().cloned().collect()
    }

    /// Takes in a row of the store.
    pub fn set_row(&mut self, customer: &str, router: &str, row: Option<Row>) {
        let ledger = self.ledgers.entry(customer.to_owned()).or_default();
        ledger.set(router, row);
    }

    /// Notes that a router's row in the store cannot be decoded.
    pub fn set_unreadable_row(&mut self, customer: &str, router: &str) {
        let ledger = self.ledgers.entry(customer.to_owned()).or_default();
        ledger.set_unreadable(router);
    }

    /// The rows that are worth writing now, of the customers that `includes` names. `waiting` says
    /// what requests need that wait for a grant. All ledgers must be as of the offset that the rows are written at.
    pub fn rows(
        &mut self,
        now: Millis,
        waiting: &HashMap<String, Tokens>,
        includes: impl Fn(&str) -> bool,
    ) -> Vec<(String, Row)> {
        let customers: Vec<(String, Tokens)> = self
            .prepaid
            .iter()
            .filter(|(customer, _)| includes(customer))
            .map(|(customer, prepaid)| (customer.clone(), *prepaid))
            .collect();
        let holders = self.members.count().min(self.settings.sizing.holders);
        let mut rows = Vec::new();
        for (customer, prepaid) in customers {
            let sizing = Sizing {
                holders,
                role: self.role(now, &customer),
                ..self.settings.sizing
            };
            let holder = Holder {
                router: &self.settings.me.name,
                incarnation: self.settings.me.incarnation,
            };
            let ledger = self.ledgers.entry(customer.clone()).or_default();
            let account = self.accounts.entry(customer.clone()).or_default();
            let needed = waiting.get(&customer).copied().unwrap_or_default();
            let row = account.wanted(now, ledger, &holder, prepaid, &sizing, needed);
            let is_needed = needed > Tokens::ZERO && account.gains(&row);
            if is_needed || account.is_worth_writing(&row, prepaid) {
                rows.push((customer, row));
            }
        }
        rows
    }

    /// The rows that give back all that is not used.
    pub fn last_rows(&self) -> Vec<(String, Row)> {
        let incarnation = self.settings.me.incarnation;
        let accounts = self.accounts.iter();
        let accounts = accounts.filter(|(_, account)| account.is_written());
        accounts
            .map(|(customer, account)| (customer.clone(), account.last_row(incarnation)))
            .collect()
    }

    /// Notes what became of rows: they are being sent.
    pub fn rows_sent(&mut self, rows: &[(String, Row)]) {
        self.each_account(rows, |account, row| account.send(row));
    }

    /// Notes that the store has these rows.
    pub fn rows_acknowledged(&mut self, rows: &[(String, Row)]) {
        self.each_account(rows, |account, row| account.acknowledge(row));
        let name = self.settings.me.name.clone();
        for (customer, row) in rows {
            self.set_row(customer, &name, Some(*row));
        }
    }

    /// Notes that these rows are not in the store and never will be.
    pub fn rows_withdrawn(&mut self, rows: &[(String, Row)]) {
        self.each_account(rows, |account, _| account.withdraw());
    }

    fn each_account(&mut self, rows: &[(String, Row)], act: impl Fn(&mut Account, &Row)) {
        for (customer, row) in rows {
            if let Some(account) = self.accounts.get_mut(customer) {
                act(account, row);
            }
        }
    }

    /// What this router can still reserve for a customer, and what all routers together have spent
    /// as far as that is known.
    pub fn standing(&self, customer: &str) -> (Tokens, Tokens) {
        let (Some(account), Some(ledger)) =
            (self.accounts.get(customer), self.ledgers.get(customer))
        else {
            return (Tokens::ZERO, Tokens::ZERO);
        };
        let spent = account.spent(ledger, &self.settings.me.name);
        (account.available(), spent)
    }

    /// This router's part in keeping a customer's budget. One that is asked for much of what all
    /// are asked for holds grants of its own beside those that everybody knows.
    pub fn role(&mut self, now: Millis, customer: &str) -> Role {
        let me = self.settings.me.name.as_str();
        let holders = self.holders(now, customer);
        if holders.is_empty() || holders.iter().any(|router| router.name == me) {
            return Role::Holder;
        }
        let ledger = self.ledgers.get(customer);
        let others = ledger.map_or(0, |ledger| ledger.demand_of_others(me));
        let own = self.demand(now, customer).0;
        if own > 0 && own * self.settings.sizing.holders as u64 >= others + own {
            Role::Holder
        } else {
            Role::Borrower
        }
    }

    /// The routers that hold a customer's grants.
    pub fn holders(&self, now: Millis, customer: &str) -> Vec<&Router> {
        let count = self.settings.sizing.holders;
        self.members.holders(now, customer, count)
    }

    /// Lends tokens to another router; see [`Account::lend`].
    pub fn lend(&mut self, now: Millis, customer: &str, loan: Loan) -> Tokens {
        let account = self.accounts.get_mut(customer);
        account.map_or(Tokens::ZERO, |account| account.lend(now, loan))
    }

    /// Takes off what was borrowed and is not needed, of each customer that others hold.
    pub fn take_excess(&mut self, now: Millis) -> Vec<(String, Tokens)> {
        let customers: Vec<String> = self.accounts.keys().cloned().collect();
        let mut excess = Vec::new();
        for customer in customers {
            if self.role(now, &customer) == Role::Holder {
                continue;
            }
            let account = self.accounts.entry(customer.clone()).or_default();
            let keep = account.demand(now);
            excess.push((customer, account.take_excess(keep)));
        }
        excess.retain(|(_, tokens)| *tokens > Tokens::ZERO);
        excess
    }

    /// Takes off all that was borrowed and not used.
    pub fn take_unused(&mut self) -> Vec<(String, Tokens)> {
        let accounts = self.accounts.iter_mut();
        let mut unused: Vec<(String, Tokens)> = accounts
            .map(|(customer, account)| (customer.clone(), account.take_excess(Tokens::ZERO)))
            .collect();
        unused.retain(|(_, tokens)| *tokens > Tokens::ZERO);
        unused
    }

    /// Adds what another router has lent or given.
    pub fn borrow(&mut self, customer: &str, lent: Tokens) {
        let account = self.accounts.entry(customer.to_owned()).or_default();
        account.borrow(lent);
    }

    /// What this router lacks to pay for requests of this cost.
    pub fn lacking(&self, customer: &str, cost: Tokens) -> Tokens {
        let account = self.accounts.get(customer);
        cost.saturating_sub(account.map_or(Tokens::ZERO, Account::available))
    }

    /// What is asked for in a second, of a customer.
    pub fn demand(&mut self, now: Millis, customer: &str) -> Tokens {
        let account = self.accounts.get_mut(customer);
        account.map_or(Tokens::ZERO, |account| account.demand(now))
    }
}
