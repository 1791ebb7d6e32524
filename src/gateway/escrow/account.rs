//! Prepaid budgets, shared by escrow.
//!
//! Each customer's budget is a set of rows in the store, one a router. A row says what the router
//! was granted; the sum over all rows never passes what was prepaid, since a row is only written
//! if nothing else has been written since its writer last read. A router spends only what its row
//! grants. What a router had when it died stays spent: nobody can tell how much of it was.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::units::{Millis, Tokens};

/// How fast the estimate of demand follows, in milliseconds.
const DEMAND_SPAN: f64 = 5_000.0;

/// Changes of less than one part in this many of the prepaid budget are not written by themselves.
const UNTOLD_DIVISOR: u64 = 1_000;

/// A lender that has this many times what is wanted lends more than is lacking.
const PLENTY: u64 = 4;

/// What a router asks another one for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// What requests wait for.
    pub lacking: Tokens,
    /// That, and what will soon be asked for.
    pub wanted: Tokens,
}

/// A router's part of a customer's budget, as the store keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The process that holds it.
    pub incarnation: u64,
    /// What earlier processes of the router have spent, or may have.
    pub closed: Tokens,
    /// What this process may spend, in all.
    pub granted: Tokens,
    /// What it had spent when it wrote this.
    pub spent: Tokens,
    /// Tokens that are asked of it in a second.
    pub demand: u64,
}

/// All rows of a customer, as of the last read.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    rows: HashMap<String, Row>,
    /// Routers whose newest row could not be decoded.
    unreadable: HashSet<String>,
}

impl Ledger {
    /// Notes that a router's newest row cannot be decoded: it may grant any part of the budget, so
    /// nothing more is granted until a newer row replaces it.
    pub fn set_unreadable(&mut self, router: &str) {
        self.unreadable.insert(router.to_owned());
    }

    /// Takes a row in, as the store has it.
    pub fn set(&mut self, router: &str, row: Option<Row>) {
        self.unreadable.remove(router);
        match row {
            Some(row) => self.rows.insert(router.to_owned(), row),
            None => self.rows.remove(router),
        };
    }

    /// A router's row.
    pub fn row(&self, router: &str) -> Option<&Row> {
        self.rows.get(router)
    }

    /// What is granted or spent, except by this router.
    fn committed_by_others(&self, router: &str) -> Tokens {
        let others = self.rows.iter().filter(|(name, _)| *name != router);
        others.map(|(_, row)| row.closed + row.granted).sum()
    }

    /// What has been spent as far as it is told, except by this router.
    fn spent_by_others(&self, router: &str) -> Tokens {
        let others = self.rows.iter().filter(|(name, _)| *name != router);
        others.map(|(_, row)| row.closed + row.spent).sum()
    }

    /// Tokens that are asked in a second of other routers than this.
    pub fn demand_of_others(&self, router: &str) -> u64 {
        let others = self.rows.iter().filter(|(name, _)| *name != router);
        others.map(|(_, row)| row.demand).sum()
    }
}

/// Why a request cannot be paid for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Short {
    /// What is left of the whole budget does not hold it.
    Exhausted,
    /// This router's part does not hold it; more may come.
    Here,
}

/// A router's part in keeping a customer's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It has tokens granted ahead of need, and lends them to others.
    Holder,
    /// It borrows what it needs; the store grants it only what no holder lends.
    Borrower,
}

/// What grants are sized by. Tokens that are granted ahead of need carry a router through a time
/// without the store, but are lost if it dies. While a budget lasts for long the first weighs
/// more; towards its end a lost grant would refuse requests that are paid for, so nothing is
/// granted ahead any more and each request waits for its own grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sizing {
    /// Demand that grants ahead cover.
    pub horizon: Millis,
    /// Nothing is granted ahead of a budget that lasts no longer than this at the present demand.
    pub exact: Millis,
    /// Part of what is left beyond that which all routers together may have ahead, 0 to 1.
    pub share: f64,
    /// Part of what is left beyond that which is spread over all routers whatever their demand.
    pub spread: f64,
    /// Routers that hold grants of a customer.
    pub holders: usize,
    /// This router's part.
    pub role: Role,
}

/// Whose row it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder<'a> {
    /// The router's name.
    pub router: &'a str,
    /// Its process.
    pub incarnation: u64,
}

/// This router's part of one customer's budget.
#[derive(Clone, Debug, Default)]
pub struct Account {
    closed: Tokens,
    /// What the store has acknowledged.
    granted: Tokens,
    /// What may be spent: less than `granted` while a lower row may be on its way.
    limit: Tokens,
    /// What other routers have counted as spent for this one.
    borrowed: Tokens,
    spent: Tokens,
    reserved: Tokens,
    demand: f64,
    demand_at: Millis,
    /// What a row that was sent would grant.
    sent: Option<Tokens>,
    written: Option<Row>,
}

impl Account {
    /// What can still be reserved.
    pub fn available(&self) -> Tokens {
        (self.limit + self.borrowed).saturating_sub(self.spent + self.reserved)
    }

    /// What all routers together have spent, as far as they told.
    pub fn spent(&self, ledger: &Ledger, router: &str) -> Tokens {
        ledger.spent_by_others(router) + self.closed + self.used()
    }

    /// What this router's own grant has to cover.
    fn used(&self) -> Tokens {
        (self.spent + self.reserved).saturating_sub(self.borrowed)
    }

    /// Counts tokens as spent for another router; how many is returned. What the other lacks is lent
    /// as far as there is any, more only where there is plenty.
    pub fn lend(&mut self, now: Millis, loan: Loan) -> Tokens {
        let available = self.available();
        let is_plenty = available.0 >= loan.wanted.0.saturating_mul(PLENTY);
        let asked = if is_plenty { loan.wanted } else { loan.lacking };
        let lent = asked.min(available);
        self.spent += lent;
        self.note_demand(now, lent);
        self.check();
        lent
    }

    /// Takes off what was borrowed, is neither spent nor reserved, and is more than `keep`, to be
    /// given to another router.
    pub fn take_excess(&mut self, keep: Tokens) -> Tokens {
        let unused = self.borrowed.saturating_sub(self.spent + self.reserved);
        let excess = unused.min(self.available()).saturating_sub(keep);
        self.borrowed = self.borrowed.saturating_sub(excess);
        self.check();
        excess
    }

    /// Whether the store has a row of this process.
    pub fn is_written(&self) -> bool {
        self.written.is_some() || self.sent.is_some()
    }

    /// Adds what another router has lent.
    pub fn borrow(&mut self, lent: Tokens) {
        self.borrowed += lent;
    }

    /// Tokens that are asked for in a second.
    pub fn demand(&mut self, now: Millis) -> Tokens {
        self.decay(now);
        Tokens(self.demand as u64)
    }

    /// Notes that so many tokens were reserved or lent.
    pub fn note_demand(&mut self, now: Millis, tokens: Tokens) {
        self.decay(now);
        self.demand += tokens.0 as f64 * 1_000.0 / DEMAND_SPAN;
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.demand_at).0 as f64;
        self.demand *= (-elapsed / DEMAND_SPAN).exp();
        self.demand_at = now;
    }

    /// Sets tokens aside for a request.
    ///
    /// # Errors
    /// Why it cannot be paid for.
    pub fn reserve(
        &mut self,
        tokens: Tokens,
        prepaid: Tokens,
        ledger: &Ledger,
        router: &str,
    ) -> Result<(), Short> {
        if tokens <= self.available() {
            self.reserved += tokens;
            self.check();
            return Ok(());
        }
        if self.spent(ledger, router) + tokens > prepaid {
            return Err(Short::Exhausted);
        }
        Err(Short::Here)
    }

    /// Settles a reservation at what it has cost, at most what was reserved.
    pub fn settle(&mut self, reserved: Tokens, cost: Tokens) {
        assert!(reserved <= self.reserved, "what is settled was reserved");
        self.reserved -= reserved;
        self.spent += cost.min(reserved);
        self.check();
    }

    fn check(&self) {
        assert!(
            self.spent + self.reserved <= self.granted + self.borrowed,
            "spend stays within what is granted and lent"
        );
    }

    /// The row that this router should have, from what the store was read to have. Requests that
    /// wait need `waiting` tokens.
    pub fn wanted(
        &mut self,
        now: Millis,
        ledger: &Ledger,
        holder: &Holder<'_>,
        prepaid: Tokens,
        sizing: &Sizing,
        waiting: Tokens,
    ) -> Row {
        let Holder {
            router,
            incarnation,
        } = *holder;
        self.decay(now);
        self.adopt(ledger.row(router), incarnation);
        let used = self.used();
        let committed = ledger.committed_by_others(router) + self.closed;
        let free = if ledger.unreadable.is_empty() {
            prepaid.saturating_sub(committed)
        } else {
            self.granted
        };
        let left = prepaid.saturating_sub(ledger.spent_by_others(router) + self.closed + used);
        let ahead = self.ahead(ledger, router, left, sizing);
        let unspent = ahead.max(waiting);
        // What is already used stays granted, also where a budget was lowered below it.
        let granted = (used + unspent).min(free).max(used.min(self.granted));
        Row {
            incarnation,
            closed: self.closed,
            granted,
            spent: used,
            demand: match sizing.role {
                Role::Holder => self.demand as u64,
                // It is counted where it borrows.
                Role::Borrower => 0,
            },
        }
    }

    /// What this router should hold beyond what it uses, with so much left of the budget.
    fn ahead(&self, ledger: &Ledger, router: &str, left: Tokens, sizing: &Sizing) -> Tokens {
        if sizing.role == Role::Borrower {
            return Tokens::ZERO;
        }
        let all = self.demand + ledger.demand_of_others(router) as f64;
        let exact = all * sizing.exact.0 as f64 / 1_000.0;
        let above = (left.0 as f64 - exact).max(0.0);
        let horizon = sizing.horizon.0 as f64 / 1_000.0;
        let spread = above * sizing.spread / sizing.holders.max(1) as f64;
        let share = if all > 0.0 {
            above * sizing.share * self.demand / all
        } else {
            0.0
        };
        let covered = (self.demand * horizon).min(share);
        Tokens(covered.max(spread) as u64)
    }

    /// Whether a row differs enough from what was last written to be worth a call.
    pub fn is_worth_writing(&self, row: &Row, prepaid: Tokens) -> bool {
        let Some(written) = self.written else {
            return row.granted > Tokens::ZERO;
        };
        let near = |a: Tokens, b: Tokens| a.0.abs_diff(b.0) <= prepaid.0 / UNTOLD_DIVISOR;
        !near(written.granted, row.granted)
            || !near(written.spent, row.spent)
            || written.closed != row.closed
    }

    /// Whether a row grants more than there is.
    pub fn gains(&self, row: &Row) -> bool {
        row.granted > self.granted
    }

    /// Takes over what the store has of an earlier process of this router, which is gone.
    fn adopt(&mut self, row: Option<&Row>, incarnation: u64) {
        let Some(row) = row else {
            return;
        };
        if row.incarnation != incarnation {
            let closed = row.closed + row.granted;
            self.closed = self.closed.max(closed);
        }
    }

    /// Notes that a row is on its way to the store: from now on the lower grant holds.
    pub fn send(&mut self, row: &Row) {
        // An earlier row may still be on its way too, so the least of all holds.
        let before = if self.sent.is_some() {
            self.limit
        } else {
            self.granted
        };
        self.limit = before.min(row.granted);
        self.sent = Some(row.granted);
    }

    /// Notes that the store has this row.
    pub fn acknowledge(&mut self, row: &Row) {
        self.granted = row.granted;
        self.limit = row.granted;
        self.sent = None;
        self.written = Some(*row);
        self.check();
    }

    /// Notes that a row that was sent is not in the store and never will be.
    pub fn withdraw(&mut self) {
        self.sent = None;
        self.limit = self.granted;
    }

    /// The row that gives everything back, once nothing runs any more.
    pub fn last_row(&self, incarnation: u64) -> Row {
        let used = self.used();
        Row {
            incarnation,
            closed: self.closed,
            granted: used,
            spent: used,
            demand: 0,
        }
    }
}
