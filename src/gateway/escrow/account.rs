//! One router's account of one customer's budget: tokens it may spend, has reserved, has spent and has borrowed.
//!
//! After each change the account asserts that spend and reservations stay within what is granted and borrowed.

use super::cap::{Cap, Caps, StoreAnswer};
use super::guard::{self, Commitment, Ramp};
use super::holder::{Predecessor, RowOwner};
use super::row::{Ledger, Loan, Row};
use crate::boot_clock::Reading;
use crate::gateway::decision::allotment::{self, Bound, Ceiling, Claim, Claimant};
use crate::gateway::decision::grant::{
    self, CommitmentSummary, Limit, Need, Role, RowSummary, Sizing, Spending, Supply,
};
use crate::store::Era;
use crate::units::{Millis, Tokens};

/// Time constant of the exponentially decaying demand estimate, in milliseconds.
const DEMAND_TIME_CONSTANT_MS: f64 = 5_000.0;

/// Why tokens cannot be reserved for a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The remainder of the whole budget does not cover the request.
    Exhausted,
    /// This router's part of the budget does not cover the request; the router may still receive more tokens.
    LocalShortage,
}

/// This router's part of one customer's budget.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Tokens that earlier processes of this router have spent, or may have spent.
    spent_before: Tokens,
    /// What the last row states about an earlier process.
    predecessor: Option<Predecessor>,
    /// Rows that were sent to the store and may still be written.
    sent: Vec<Row>,
    /// Tokens that other routers have lent; they count as spent at the lenders.
    borrowed: Tokens,
    /// Tokens that were settled here or lent to others.
    spent: Tokens,
    /// Tokens reserved for requests in progress.
    reserved: Tokens,
    /// Tokens that were reserved but not spent.
    released: Tokens,
    /// Decaying estimate of demand, in tokens a second.
    demand: f64,
    /// The part of `demand` that other routers' loans covered, in tokens a second. The lenders report it in their rows.
    borrowed_demand: f64,
    /// When `demand` and `borrowed_demand` were last updated.
    demand_at: Millis,
    /// Cost of the last request that tokens were reserved for.
    last_cost: Tokens,
    /// The row that the store has acknowledged.
    written: Option<Row>,
    /// Limits that apply while the store may be restored from a copy; `None` if the store is never restored from one.
    caps: Option<Caps>,
    /// What bounded the grant of the row that was computed last.
    bound: Bound,
}

impl Account {
    /// Tokens that the row in the store grants this process.
    fn granted(&self) -> Tokens {
        self.written.map_or(Tokens::ZERO, |row| row.granted)
    }

    /// Whether the row in the store grants this process any tokens.
    pub fn has_grant(&self) -> bool {
        self.granted() > Tokens::ZERO
    }

    /// Tokens that the row in the store lets this process spend by `now`.
    fn acknowledged_limit(&self, now: Millis) -> Tokens {
        self.written.map_or(Tokens::ZERO, |row| row.limit(now))
    }

    /// Tokens that this process may spend of its own grant by `now`, whichever of its rows the store has now or is
    /// restored with.
    fn limit(&self, now: Millis) -> Tokens {
        self.row_limit(now).min(self.cap_limit())
    }

    /// Tokens that this process may spend of its own grant by `now`, whichever of its rows the store has.
    fn row_limit(&self, now: Millis) -> Tokens {
        let sent = self.sent.iter().map(|row| row.limit(now));
        sent.fold(self.acknowledged_limit(now), Tokens::min)
    }

    /// What limits this process's spend of its own grant.
    pub fn binding_limit(&self, now: Millis) -> Limit {
        if self.cap_limit() <= self.row_limit(now) {
            Limit::Cap
        } else {
            Limit::Grant
        }
    }

    /// Tokens that the caps let this process spend of its own grant.
    fn cap_limit(&self) -> Tokens {
        let Some(caps) = &self.caps else {
            return Tokens(u64::MAX);
        };
        let sent = self.sent.iter().filter_map(|row| row.cap);
        let lowest = sent.map(|cap| cap.limit).chain(caps.lowest()).min();
        lowest.map_or(Tokens(u64::MAX), |lowest| {
            lowest.saturating_sub(self.spent_before)
        })
    }

    /// Releases the caps that no longer apply, given the last answer of the store.
    pub fn release_caps(&mut self, answer: &StoreAnswer, copy_age: Millis) {
        if let Some(caps) = &mut self.caps {
            caps.release(answer, copy_age);
        }
    }

    /// Tokens that can still be reserved.
    pub fn available(&self, now: Millis) -> Tokens {
        (self.limit(now) + self.borrowed).saturating_sub(self.spent + self.reserved)
    }

    /// Tokens that this process may have reserved in total by `now`, whether or not it has. Tokens that were reserved
    /// but not spent count again.
    pub fn reservable(&self, now: Millis) -> Tokens {
        let released = self.borrowed + self.released;
        Tokens(self.limit(now).0.saturating_add(released.0))
    }

    /// Tokens that all routers together have spent, according to their rows.
    pub fn spent(&self, ledger: &Ledger, router: &str) -> Tokens {
        ledger.spent_by_others(router) + self.spent_before + self.used()
    }

    /// Tokens that this router's own grant has to cover.
    fn used(&self) -> Tokens {
        (self.spent + self.reserved).saturating_sub(self.borrowed)
    }

    /// Lends tokens to another router and counts them as spent here; returns the number lent.
    pub fn lend(&mut self, now: Millis, loan: Loan, supply: Supply) -> Tokens {
        let available = self.available(now);
        let lent = match supply {
            Supply::Lasting => grant::lend_lasting(available, loan.lacking, loan.wanted),
            Supply::NearEnd => grant::lend(available, loan.lacking, loan.wanted),
        };
        self.spent += lent;
        self.record_demand(now, lent);
        self.assert_within_limits();
        lent
    }

    /// Removes the borrowed tokens beyond `keep` that are neither spent nor reserved, if there are at least `min` of
    /// them. The caller gives them to another router.
    pub fn take_excess(&mut self, now: Millis, keep: Tokens, min: Tokens) -> Tokens {
        let unused = self.borrowed.saturating_sub(self.spent + self.reserved);
        let excess = unused.min(self.available(now)).saturating_sub(keep);
        if excess < min {
            return Tokens::ZERO;
        }
        self.borrowed = self.borrowed.saturating_sub(excess);
        self.assert_within_limits();
        excess
    }

    /// Whether the store has, or may have, a row of this process.
    pub fn is_written(&self) -> bool {
        self.written.is_some() || !self.sent.is_empty()
    }

    /// Adds tokens that another router has lent for this router's demand, which the lender reports as its own.
    pub fn borrow_lent(&mut self, now: Millis, lent: Tokens) {
        self.borrow(lent);
        self.decay(now);
        self.borrowed_demand += lent.0 as f64 * 1_000.0 / DEMAND_TIME_CONSTANT_MS;
    }

    /// Adds tokens that another router has given.
    pub fn borrow(&mut self, lent: Tokens) {
        self.borrowed += lent;
    }

    /// Demand in tokens a second.
    pub fn demand(&mut self, now: Millis) -> Tokens {
        self.decay(now);
        Tokens(self.demand as u64)
    }

    /// Adds tokens that were reserved or lent to the demand estimate.
    pub fn record_demand(&mut self, now: Millis, tokens: Tokens) {
        self.decay(now);
        self.demand += tokens.0 as f64 * 1_000.0 / DEMAND_TIME_CONSTANT_MS;
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.demand_at).0 as f64;
        let factor = (-elapsed / DEMAND_TIME_CONSTANT_MS).exp();
        self.demand *= factor;
        self.borrowed_demand *= factor;
        self.demand_at = now;
    }

    /// Demand in tokens a second that no other router's row includes. Where the store is never restored from a copy,
    /// no cap makes a holder borrow while the store answers, and all of the demand counts.
    fn reported_demand(&self) -> f64 {
        match self.caps {
            Some(_) => (self.demand - self.borrowed_demand).max(0.0),
            None => self.demand,
        }
    }

    /// Demand at all routers in tokens a second, according to the other routers' rows.
    pub fn total_demand(&mut self, now: Millis, ledger: &Ledger, router: &str) -> f64 {
        self.decay(now);
        self.reported_demand() + ledger.demand_of_others(router) as f64
    }

    /// Decides whether this router, which is not a regular holder, holds grants because of its demand.
    pub fn claim(&mut self, now: Millis, ledger: &Ledger, router: &str, sizing: &Sizing) -> Claim {
        self.decay(now);
        let lent = self.demand - self.reported_demand();
        allotment::claim(&Claimant {
            demand: Tokens(self.demand as u64),
            demand_of_others: ledger.demand_of_others(router).saturating_sub(lent as u64),
            holders: sizing.holders,
            ceiling: match (sizing.copy_age, &self.caps) {
                (Millis::ZERO, _) => Ceiling::None,
                (_, None) => Ceiling::Cap(Tokens::ZERO),
                (_, Some(_)) => Ceiling::Cap(self.cap_limit()),
            },
            used: self.used(),
        })
    }

    /// Whether a row is due for the sake of its cap.
    pub fn is_cap_due(&mut self, now: Millis, claim: Claim) -> bool {
        self.decay(now);
        let newest = self.sent.last().or(self.written.as_ref());
        let newest = newest.and_then(|row| row.cap);
        let newest = newest.map(|cap| cap.limit.saturating_sub(self.spent_before));
        allotment::is_cap_due(claim, newest, self.used(), Tokens(self.demand as u64))
    }

    /// What bounded the grant of the row that was computed last.
    pub fn bound(&self) -> Bound {
        self.bound
    }

    /// What the caps let this process spend of its own grants. The first row is sized without them: no cap in force is
    /// one of this process's own demand yet.
    fn ceiling(&self) -> Ceiling {
        match &self.caps {
            Some(caps) if !caps.is_new() => Ceiling::Cap(self.cap_limit()),
            Some(_) | None => Ceiling::None,
        }
    }

    /// Reserves tokens for a request.
    ///
    /// # Errors
    /// Why the tokens cannot be reserved.
    pub fn reserve(
        &mut self,
        now: Millis,
        tokens: Tokens,
        prepaid: Tokens,
        ledger: &Ledger,
        router: &str,
    ) -> Result<(), ReserveError> {
        if tokens <= self.available(now) {
            self.reserved += tokens;
            self.last_cost = tokens;
            self.assert_within_limits();
            return Ok(());
        }
        if self.spent(ledger, router) + tokens > prepaid {
            return Err(ReserveError::Exhausted);
        }
        Err(ReserveError::LocalShortage)
    }

    /// Settles a reservation at its actual cost, at most the reserved amount.
    pub fn settle(&mut self, reserved: Tokens, cost: Tokens) {
        assert!(reserved <= self.reserved, "settled more than was reserved");
        self.reserved -= reserved;
        self.spent += cost.min(reserved);
        self.released += reserved.saturating_sub(cost);
        self.assert_within_limits();
    }

    /// Asserts that a row neither revokes used tokens nor grants, beyond its caps, more than is carried over and waited
    /// for.
    fn assert_grantable(&self, granted: Tokens, waiting: Tokens, era: Era) {
        let used = self.used();
        assert!(
            granted >= used.min(self.granted()),
            "a row revokes used tokens"
        );
        if let Ceiling::Cap(cap) = self.ceiling() {
            let most = Tokens(cap.max(used).0.saturating_add(waiting.0));
            assert!(
                granted <= most.max(self.carried_over_grant(era)),
                "a row grants more than its caps let its router spend"
            );
        }
    }

    fn assert_within_limits(&self) {
        assert!(
            self.spent + self.reserved <= self.granted() + self.borrowed,
            "spend and reservations exceed what is granted and borrowed"
        );
    }

    /// Computes the row that this router should have, given the rows that were read from the store. Waiting requests
    /// need `waiting` tokens.
    pub fn desired_row(
        &mut self,
        now: Millis,
        ledger: &Ledger,
        owner: &RowOwner<'_>,
        prepaid: Tokens,
        sizing: &Sizing,
        waiting: Tokens,
    ) -> Row {
        let RowOwner {
            router,
            incarnation,
            role,
            started,
            clock,
            era,
        } = *owner;
        self.decay(now);
        self.adopt_predecessor(now, ledger.row(router), owner);
        self.init_caps(era, sizing);
        let used = self.used();
        let spent = ledger.spent_by_others(router) + self.spent_before + used;
        let need = Need {
            role,
            demand: self.demand,
            total_demand: self.total_demand(now, ledger, router),
            used,
            waiting,
            left: prepaid.saturating_sub(spent),
            free: self.free(ledger, router, prepaid, era),
            granted: self.granted(),
        };
        let grant = allotment::within_caps(sizing, &need, self.ceiling());
        self.bound = grant.bound;
        let granted = grant.tokens.max(self.carried_over_grant(era));
        self.assert_grantable(granted, waiting, era);
        let spending = Spending {
            need: &need,
            last_cost: self.last_cost,
            headroom: granted.saturating_sub(used),
            span: guard::SPAN,
        };
        let pace = grant::pace(&spending);
        let made_at = self.commitment_made_at(now);
        let begin = made_at + pace.ramp_delay;
        let ramp = Ramp {
            begin,
            wall: clock.offset(now).map(|offset| offset.wall(begin)),
            rate: pace.rate,
        };
        let commitment = started.map(|started| Commitment {
            initial_limit: (used + pace.burst)
                .saturating_sub(ramp.increase(now))
                .min(granted),
            until: Reading {
                boot: started.boot,
                at: made_at + guard::SPAN,
            },
            ramp: Some(ramp),
        });
        Row {
            incarnation,
            spent_before: self.spent_before,
            granted,
            spent: used,
            demand: match role {
                Role::Holder => self.reported_demand() as u64,
                // The demand of a borrower is counted at the routers that it borrows from.
                Role::Borrower => 0,
            },
            commitment,
            cap: self.caps.as_ref().map(|_| {
                let headroom = grant::cap_headroom(sizing, &spending);
                self.cap(era, headroom, prepaid)
            }),
        }
    }

    /// Creates the caps if the store may be restored from a copy. Until a row has been written they are created anew,
    /// since the rows of an earlier process may not have been read before.
    fn init_caps(&mut self, era: Era, sizing: &Sizing) {
        let is_initialised = self.caps.as_ref().is_some_and(|caps| !caps.is_new());
        if sizing.copy_age == Millis::ZERO || is_initialised || !self.sent.is_empty() {
            return;
        }
        let initial = self.predecessor.map(|before| before.initial_cap(era));
        self.caps = Some(Caps::new(initial.unwrap_or_default()));
    }

    /// The cap of a row that is written now, for a router that may spend `headroom` more. It is never lower than the
    /// limit already in force, which an earlier process may have needed whose demand is not known here.
    fn cap(&self, era: Era, headroom: Tokens, prepaid: Tokens) -> Cap {
        let total = self.spent_before + self.used();
        let lowest = Tokens(self.cap_limit().0.saturating_add(self.spent_before.0));
        let limit = (total + headroom).min(prepaid).max(total).max(lowest);
        Cap { era, limit, lowest }
    }

    /// The grant of an earlier era, which the first row of this era keeps: other routers count at least that much as
    /// granted to this one.
    fn carried_over_grant(&self, era: Era) -> Tokens {
        if !self.is_from_earlier_era(era) {
            return Tokens::ZERO;
        }
        let sent = self.sent.iter().map(|row| row.granted);
        sent.fold(self.granted(), Tokens::min).min(self.cap_limit())
    }

    /// Whether the last acknowledged row of this process is from an earlier era of the store, so that a new row is due.
    pub fn is_from_earlier_era(&self, era: Era) -> bool {
        let written = self.written.as_ref();
        written.is_some_and(|row| row.earlier_era_cap(era).is_some())
    }

    /// When the commitment of a row that is written now counts as made. While an earlier row may still be written, the
    /// commitment is not extended: writes are not answered then, so the whole grant may soon be needed.
    fn commitment_made_at(&self, now: Millis) -> Millis {
        let sent = self.sent.first().and_then(|row| row.commitment);
        sent.map_or(now, |commitment| commitment.made_at())
    }

    /// Tokens of the budget that are not granted to any other router.
    fn free(&self, ledger: &Ledger, router: &str, prepaid: Tokens, era: Era) -> Tokens {
        if ledger.has_unreadable() {
            return self.granted();
        }
        prepaid.saturating_sub(ledger.allocated_to_others(router, era) + self.spent_before)
    }

    /// Whether a row differs enough from the last written one to be worth a store call.
    pub fn is_worth_writing(&self, row: &Row, prepaid: Tokens) -> bool {
        let written = self.written.as_ref();
        // Without caps nothing is added to the calls to the store.
        let is_outdated = self.caps.is_some()
            && written.is_some_and(|written| {
                allotment::is_demand_outdated(written.demand, row.demand, prepaid)
            });
        is_outdated || grant::is_worth_writing(written.map(summary), summary(row), prepaid)
    }

    /// Whether a row that is written now could grant `tokens` more than are used, according to the rows that were
    /// last read.
    pub fn can_cover(
        &self,
        tokens: Tokens,
        ledger: &Ledger,
        router: &str,
        prepaid: Tokens,
        era: Era,
    ) -> bool {
        let free = self.free(ledger, router, prepaid, era);
        self.used() + tokens <= free.min(self.cap_limit())
    }

    /// Whether the row grants more than the row in the store.
    pub fn raises_grant(&self, row: &Row) -> bool {
        row.granted > self.granted()
    }

    /// Whether writing the row would raise what can be spent now.
    pub fn raises_limit(&self, now: Millis, row: &Row) -> bool {
        let is_more = row.granted > self.granted() || row.limit(now) > self.acknowledged_limit(now);
        is_more && self.limit(now) < self.cap_limit()
    }

    /// Takes over the stored row of an earlier, ended process of this router. Its spend is estimated anew until the
    /// fleet's time of day is known. After that the estimate is final, since no later one has more information.
    fn adopt_predecessor(&mut self, now: Millis, row: Option<&Row>, owner: &RowOwner<'_>) {
        // Once this process has written, a differing row of its router can only come from a restored copy.
        let is_first = !self.is_written();
        if let Some(row) = row
            && row.incarnation != owner.incarnation
            && (is_first || row.earlier_era_cap(owner.era).is_none())
            && self.predecessor.is_none_or(|before| before.row != *row)
        {
            self.predecessor = Some(Predecessor {
                row: *row,
                counted: Tokens::ZERO,
                is_final: false,
            });
        }
        if let Some(predecessor) = &mut self.predecessor
            && !predecessor.is_final
        {
            predecessor.estimate_spent(owner, &owner.process_start(now));
            self.spent_before = predecessor.counted;
        }
    }

    /// Records that a row was sent to the store. From now on the lower limit applies. Earlier rows may still be
    /// written too, so the lowest limit of all of them applies.
    pub fn mark_sent(&mut self, row: &Row) {
        self.sent.push(*row);
    }

    /// Records that the store has this row.
    pub fn acknowledge(&mut self, now: Millis, row: &Row) {
        self.withdraw(now);
        self.record_cap(now, row);
        self.written = Some(*row);
        self.assert_within_limits();
    }

    /// Records that the sent rows are not in the store and never will be. Copies may still have them if the store was
    /// restored in between.
    pub fn withdraw(&mut self, now: Millis) {
        for row in std::mem::take(&mut self.sent) {
            self.record_cap(now, &row);
        }
    }

    /// Records the cap of a row that the store has, or may have.
    fn record_cap(&mut self, now: Millis, row: &Row) {
        if let (Some(caps), Some(cap)) = (&mut self.caps, &row.cap) {
            caps.record(now, cap);
        }
    }

    /// The row that gives back all unused tokens, written once no request runs any more. It keeps the cap of the
    /// previous row, which leaves the next process the same room: the cap applies to both processes.
    pub fn final_row(&self, incarnation: u64, era: Era, prepaid: Tokens) -> Row {
        let used = self.used();
        let cap = self.written.and_then(|row| row.cap);
        let total = self.spent_before + used;
        let headroom = cap.map_or(Tokens::ZERO, |cap| cap.limit.saturating_sub(total));
        Row {
            incarnation,
            spent_before: self.spent_before,
            granted: used,
            spent: used,
            demand: 0,
            commitment: None,
            cap: self.caps.as_ref().map(|_| self.cap(era, headroom, prepaid)),
        }
    }
}

fn summary(row: &Row) -> RowSummary {
    RowSummary {
        granted: row.granted,
        spent: row.spent,
        spent_before: row.spent_before,
        commitment: row.commitment.map(|commitment| CommitmentSummary {
            made_at: commitment.made_at(),
            initial_limit: commitment.initial_limit,
        }),
    }
}
