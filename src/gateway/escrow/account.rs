//! One router's account of one customer's budget: what it may spend, has reserved, spent, borrowed.
//!
//! The account asserts after each change that spend and reservations stay within what is granted and
//! borrowed.

use super::cap::{Cap, Caps, StoreAnswer};
use super::guard::{self, Commitment, Ramp};
use super::holder::{Holder, Predecessor};
use super::row::{Ledger, Loan, Row};
use crate::boot_clock::Reading;
use crate::gateway::decision::grant::{
    self, CommitmentSummary, Holding, Need, Role, Sizing, Spending,
};
use crate::store::Era;
use crate::units::{Millis, Tokens};

/// Time constant of the estimate of demand, in milliseconds.
const DEMAND_MEMORY: f64 = 5_000.0;

/// Why a request cannot be paid for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Short {
    /// What is left of the whole budget does not cover it.
    Exhausted,
    /// This router's part does not cover it; more may come.
    Here,
}

/// This router's part of one customer's budget.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Tokens that earlier processes of this router have spent, or may have.
    spent_before: Tokens,
    /// What the last row says of an earlier process.
    predecessor: Option<Predecessor>,
    /// Rows that may be on their way to the store.
    sent: Vec<Row>,
    /// Tokens that other routers have lent, and count as spent.
    borrowed: Tokens,
    /// Tokens that were settled here or lent to others.
    spent: Tokens,
    /// Tokens of requests under way.
    reserved: Tokens,
    /// Tokens a second that are asked for, decaying.
    demand: f64,
    /// When `demand` was last brought up to date.
    demand_at: Millis,
    /// Cost of the last request that was reserved for.
    last_cost: Tokens,
    /// The row that the store has.
    written: Option<Row>,
    /// What bounds it while the store may come back from a copy; `None` where it never does.
    caps: Option<Caps>,
}

impl Account {
    /// What the row in the store grants this process.
    fn granted(&self) -> Tokens {
        self.written.map_or(Tokens::ZERO, |row| row.granted)
    }

    /// What the row in the store lets this process spend by `now`.
    fn acknowledged(&self, now: Millis) -> Tokens {
        self.written.map_or(Tokens::ZERO, |row| row.limit(now))
    }

    /// What this process may spend of its own grant by `now`, whichever of its rows the store has, or comes back with.
    fn limit(&self, now: Millis) -> Tokens {
        let sent = self.sent.iter().map(|row| row.limit(now));
        let limit = sent.fold(self.acknowledged(now), Tokens::min);
        limit.min(self.capped())
    }

    /// What caps let this process spend of its own grant.
    fn capped(&self) -> Tokens {
        let Some(caps) = &self.caps else {
            return Tokens(u64::MAX);
        };
        let sent = self.sent.iter().filter_map(|row| row.cap);
        let least = sent.map(|cap| cap.limit).chain(caps.least()).min();
        least.map_or(Tokens(u64::MAX), |least| {
            least.saturating_sub(self.spent_before)
        })
    }

    /// Notes that the store has answered.
    pub fn confirm(&mut self, seen: &StoreAnswer, copy_age: Millis) {
        if let Some(caps) = &mut self.caps {
            caps.confirm(seen, copy_age);
        }
    }

    /// Tokens that can still be reserved.
    pub fn available(&self, now: Millis) -> Tokens {
        (self.limit(now) + self.borrowed).saturating_sub(self.spent + self.reserved)
    }

    /// Tokens that all routers together have spent, as far as their rows tell.
    pub fn spent(&self, ledger: &Ledger, router: &str) -> Tokens {
        ledger.spent_by_others(router) + self.spent_before + self.used()
    }

    /// Tokens that this router's own grant has to cover.
    fn used(&self) -> Tokens {
        (self.spent + self.reserved).saturating_sub(self.borrowed)
    }

    /// Lends tokens to another router, for which they count as spent here; how many is returned.
    pub fn lend(&mut self, now: Millis, loan: Loan) -> Tokens {
        let lent = grant::lend(self.available(now), loan.lacking, loan.wanted);
        self.spent += lent;
        self.note_demand(now, lent);
        self.check();
        lent
    }

    /// Takes out tokens that were borrowed, are neither spent nor reserved, and are more than `keep`, where these are
    /// `least` or more; they are to be given to another router.
    pub fn take_excess(&mut self, now: Millis, keep: Tokens, least: Tokens) -> Tokens {
        let unused = self.borrowed.saturating_sub(self.spent + self.reserved);
        let excess = unused.min(self.available(now)).saturating_sub(keep);
        if excess < least {
            return Tokens::ZERO;
        }
        self.borrowed = self.borrowed.saturating_sub(excess);
        self.check();
        excess
    }

    /// Whether the store has a row of this process.
    pub fn is_written(&self) -> bool {
        self.written.is_some() || !self.sent.is_empty()
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
        self.demand += tokens.0 as f64 * 1_000.0 / DEMAND_MEMORY;
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.demand_at).0 as f64;
        self.demand *= (-elapsed / DEMAND_MEMORY).exp();
        self.demand_at = now;
    }

    /// Sets tokens aside for a request.
    ///
    /// # Errors
    /// Why it cannot be paid for.
    pub fn reserve(
        &mut self,
        now: Millis,
        tokens: Tokens,
        prepaid: Tokens,
        ledger: &Ledger,
        router: &str,
    ) -> Result<(), Short> {
        if tokens <= self.available(now) {
            self.reserved += tokens;
            self.last_cost = tokens;
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
            self.spent + self.reserved <= self.granted() + self.borrowed,
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
            role,
            started,
            clock,
            era,
        } = *holder;
        self.decay(now);
        self.adopt(now, ledger.row(router), holder);
        self.begin_caps(era, sizing);
        let used = self.used();
        let spent = ledger.spent_by_others(router) + self.spent_before + used;
        let need = Need {
            role,
            demand: self.demand,
            total_demand: self.demand + ledger.demand_of_others(router) as f64,
            used,
            waiting,
            left: prepaid.saturating_sub(spent),
            free: self.free(ledger, router, prepaid, era),
            granted: self.granted(),
        };
        let granted = grant::size(sizing, &need).max(self.held_over(era));
        let spending = Spending {
            need: &need,
            last_cost: self.last_cost,
            ahead: granted.saturating_sub(used),
            span: guard::SPAN,
        };
        let pace = grant::pace(&spending);
        let made = self.promise_made(now);
        let begin = made + pace.hold;
        let ramp = Ramp {
            begin,
            wall: clock.offset(now).map(|offset| offset.wall(begin)),
            rate: pace.rate,
        };
        let commitment = started.map(|started| Commitment {
            initial_limit: (used + pace.burst)
                .saturating_sub(ramp.risen(now))
                .min(granted),
            until: Reading {
                boot: started.boot,
                at: made + guard::SPAN,
            },
            ramp: Some(ramp),
        });
        Row {
            incarnation,
            spent_before: self.spent_before,
            granted,
            spent: used,
            demand: match role {
                Role::Holder => self.demand as u64,
                // It is counted where it borrows.
                Role::Borrower => 0,
            },
            commitment,
            cap: self.caps.as_ref().map(|_| {
                let reach = grant::reach(sizing, &spending);
                self.cap(era, reach, prepaid)
            }),
        }
    }

    /// Begins to keep caps, where the store may come back from a copy: anew until a row has been written, since the
    /// rows of an earlier process may not have been read before.
    fn begin_caps(&mut self, era: Era, sizing: &Sizing) {
        let has_begun = self.caps.as_ref().is_some_and(|caps| !caps.is_new());
        if sizing.copy_age == Millis::ZERO || has_begun || !self.sent.is_empty() {
            return;
        }
        let base = self.predecessor.map(|before| before.base(era));
        self.caps = Some(Caps::new(base.unwrap_or_default()));
    }

    /// The cap of a row that is written now, for a router that may spend `reach` more. It is never lower than what
    /// bounds the router anyway, which an earlier process may have needed, whose demand is not known here.
    fn cap(&self, era: Era, reach: Tokens, prepaid: Tokens) -> Cap {
        let total = self.spent_before + self.used();
        let lowest = Tokens(self.capped().0.saturating_add(self.spent_before.0));
        let limit = (total + reach).min(prepaid).max(total).max(lowest);
        Cap { era, limit, lowest }
    }

    /// What was granted in an earlier era, which the first row of this one keeps: others count that and more for it.
    fn held_over(&self, era: Era) -> Tokens {
        if !self.is_of_former_era(era) {
            return Tokens::ZERO;
        }
        let sent = self.sent.iter().map(|row| row.granted);
        sent.fold(self.granted(), Tokens::min).min(self.capped())
    }

    /// Whether the store's last row of this process is of an earlier era, so that another is due.
    pub fn is_of_former_era(&self, era: Era) -> bool {
        let written = self.written.as_ref();
        written.is_some_and(|row| row.former_cap(era).is_some())
    }

    /// When the promise of a row was made that is written now. While an earlier row may be on its way it is not
    /// prolonged: writes are not answered, so what is granted may soon be needed.
    fn promise_made(&self, now: Millis) -> Millis {
        let sent = self.sent.first().and_then(|row| row.commitment);
        sent.map_or(now, |commitment| commitment.made())
    }

    /// Tokens of the budget that are granted to no other router.
    fn free(&self, ledger: &Ledger, router: &str, prepaid: Tokens, era: Era) -> Tokens {
        if ledger.has_unreadable() {
            return self.granted();
        }
        prepaid.saturating_sub(ledger.committed_by_others(router, era) + self.spent_before)
    }

    /// Whether a row differs enough from what was last written to be worth a call.
    pub fn is_worth_writing(&self, row: &Row, prepaid: Tokens) -> bool {
        grant::is_worth_writing(self.written.as_ref().map(holding), holding(row), prepaid)
    }

    /// Whether a row that is written now can grant so many tokens more than are used, as far as the rows that were
    /// last read tell.
    pub fn can_cover(
        &self,
        tokens: Tokens,
        ledger: &Ledger,
        router: &str,
        prepaid: Tokens,
        era: Era,
    ) -> bool {
        let free = self.free(ledger, router, prepaid, era);
        self.used() + tokens <= free.min(self.capped())
    }

    /// Whether a row lets more be spent now than there is.
    pub fn gains(&self, now: Millis, row: &Row) -> bool {
        let is_more = row.granted > self.granted() || row.limit(now) > self.acknowledged(now);
        is_more && self.limit(now) < self.capped()
    }

    /// Takes over what the store has of an earlier process of this router, which is gone. It is judged anew until
    /// the fleet's time of day is known, and not after that: no later look knows more.
    fn adopt(&mut self, now: Millis, row: Option<&Row>, holder: &Holder<'_>) {
        // Once this process has written, another row of its router is one that a copy has brought back.
        let is_first = !self.is_written();
        if let Some(row) = row
            && row.incarnation != holder.incarnation
            && (is_first || row.former_cap(holder.era).is_none())
            && self.predecessor.is_none_or(|before| before.row != *row)
        {
            self.predecessor = Some(Predecessor {
                row: *row,
                counted: Tokens::ZERO,
                is_settled: false,
            });
        }
        if let Some(predecessor) = &mut self.predecessor
            && !predecessor.is_settled
        {
            predecessor.judge(holder, &holder.start(now));
            self.spent_before = predecessor.counted;
        }
    }

    /// Notes that a row is on its way to the store: from now on the lower limit holds. An earlier row may still be
    /// on its way too, so the least of all does.
    pub fn send(&mut self, row: &Row) {
        self.sent.push(*row);
    }

    /// Notes that the store has this row.
    pub fn acknowledge(&mut self, now: Millis, row: &Row) {
        self.withdraw(now);
        self.note_cap(now, row);
        self.written = Some(*row);
        self.check();
    }

    /// Notes that the rows that were sent are not in the store and never will be. Copies may have them all the same,
    /// where the store has come back since.
    pub fn withdraw(&mut self, now: Millis) {
        for row in std::mem::take(&mut self.sent) {
            self.note_cap(now, &row);
        }
    }

    /// Notes the cap of a row that the store has, or may have.
    fn note_cap(&mut self, now: Millis, row: &Row) {
        if let (Some(caps), Some(cap)) = (&mut self.caps, &row.cap) {
            caps.note(now, cap);
        }
    }

    /// The row that gives everything back, once nothing runs any more. Its cap leaves the next process what the last
    /// one left to this: it binds both.
    pub fn last_row(&self, incarnation: u64, era: Era, prepaid: Tokens) -> Row {
        let used = self.used();
        let cap = self.written.and_then(|row| row.cap);
        let total = self.spent_before + used;
        let reach = cap.map_or(Tokens::ZERO, |cap| cap.limit.saturating_sub(total));
        Row {
            incarnation,
            spent_before: self.spent_before,
            granted: used,
            spent: used,
            demand: 0,
            commitment: None,
            cap: self.caps.as_ref().map(|_| self.cap(era, reach, prepaid)),
        }
    }
}

fn holding(row: &Row) -> Holding {
    Holding {
        granted: row.granted,
        spent: row.spent,
        spent_before: row.spent_before,
        commitment: row.commitment.map(|commitment| CommitmentSummary {
            made: commitment.made(),
            initial_limit: commitment.initial_limit,
        }),
    }
}
