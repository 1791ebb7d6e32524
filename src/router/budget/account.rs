//! One prepaid budget and the grants of its holders.
//!
//! Invariant at each offset: unallotted + held + settled + in doubt = prepaid. Tokens are held while they are granted
//! and neither billed nor returned, and settled once they are billed.
//!
//! A witness closes a holder that has been silent for too long, and then acknowledges nothing for it. A closed holder's
//! request with an unknown outcome is in doubt: its reserved tokens count as spent until its bill is known.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::router::intent::Terms;
use crate::router::key::Incarnation;
use crate::router::log::Violation;
use crate::router::request::Id;
use crate::units::{Offset, Tokens};

/// Maximum size of a budget; it keeps sums from overflowing.
pub const PREPAID_MAX: Tokens = Tokens(1 << 52);
/// Maximum number of billed requests of closed holders that a budget remembers, to detect a second bill.
const RESOLVED_MAX: usize = 4096;

/// The share of one incarnation in a budget. All fields are running totals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Tokens granted to the incarnation.
    pub granted: Tokens,
    /// Tokens that the incarnation has billed.
    pub settled: Tokens,
    /// Tokens that the incarnation has returned to the budget.
    pub returned: Tokens,
}

impl Grant {
    /// Tokens that the incarnation may still spend.
    pub fn held(&self) -> Tokens {
        self.granted
            .saturating_sub(self.settled)
            .saturating_sub(self.returned)
    }

    /// Sets the total of billed tokens; nothing comes back to the budget. `None` if the total decreases or, with the
    /// returned tokens, exceeds the grant.
    pub(super) fn settle(&mut self, total: Tokens) -> Option<Tokens> {
        let fits = total >= self.settled && total + self.returned <= self.granted;
        self.settled = fits.then_some(total)?;
        Some(Tokens::ZERO)
    }

    /// Sets the total of returned tokens and returns the increase; `None` if the total decreases or, with the settled
    /// tokens, exceeds the grant.
    pub(super) fn set_returned(&mut self, total: Tokens) -> Option<Tokens> {
        let fits = total >= self.returned && total + self.settled <= self.granted;
        let increase = fits.then(|| total - self.returned)?;
        self.returned = total;
        Some(increase)
    }
}

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Name, unique within the fleet.
    pub name: String,
    /// The terms that the operator confirmed: customer and prepaid tokens.
    pub terms: Terms,
    /// Offset of the last confirmed change.
    pub version: Offset,
    /// Tokens that may be spent in total; greater than `terms.prepaid` only while a reduction waits for holders to
    /// return tokens.
    pub prepaid: Tokens,
    /// Tokens that are not granted to any holder.
    pub unallotted: Tokens,
    /// Tokens billed by holders that have left or were closed.
    pub settled: Tokens,
    /// Grants by holder.
    pub grants: BTreeMap<Incarnation, Grant>,
    /// Reserved tokens of closed holders' requests with an unknown outcome, by holder and nonce; they count as spent.
    pub doubt: BTreeMap<(Incarnation, u64), Tokens>,
    /// Offset at which a grant was last smaller than asked for, or a reduction of the budget had to wait for returns;
    /// holders then return idle tokens.
    pub scarce: Option<Offset>,
    /// Requests of closed holders that were in doubt and are billed now: holder, nonce and bill.
    resolved: VecDeque<(Incarnation, u64, Tokens)>,
}

impl Budget {
    pub(super) fn new(name: &str, terms: &Terms, version: Offset) -> Self {
        Self {
            name: name.to_owned(),
            terms: terms.clone(),
            version,
            prepaid: terms.prepaid,
            unallotted: terms.prepaid,
            settled: Tokens::ZERO,
            grants: BTreeMap::new(),
            doubt: BTreeMap::new(),
            scarce: None,
            resolved: VecDeque::new(),
        }
    }

    /// Tokens billed by present and past holders.
    pub fn billed(&self) -> Tokens {
        self.settled + self.grants.values().map(|grant| grant.settled).sum()
    }

    /// Tokens that holders may still spend.
    pub fn held(&self) -> Tokens {
        self.grants.values().map(Grant::held).sum()
    }

    /// Tokens reserved by requests in doubt.
    pub fn in_doubt(&self) -> Tokens {
        self.doubt.values().copied().sum()
    }

    pub(super) fn take_back(&mut self, amount: Tokens) {
        self.unallotted += amount;
        self.apply_reduction();
    }

    /// Applies the outstanding part of a reduction of the budget, as far as the unallotted tokens allow.
    fn apply_reduction(&mut self) {
        let excess = self.prepaid.saturating_sub(self.terms.prepaid);
        let reduction = excess.min(self.unallotted);
        self.unallotted -= reduction;
        self.prepaid -= reduction;
    }

    pub(super) fn set_terms(&mut self, terms: &Terms, version: Offset) {
        let increase = terms.prepaid.saturating_sub(self.prepaid);
        self.prepaid += increase;
        self.unallotted += increase;
        self.terms = terms.clone();
        self.version = version;
        self.apply_reduction();
        if self.prepaid > self.terms.prepaid {
            self.scarce = Some(version);
        }
    }

    /// Bills a request that was in doubt; `None` if this budget does not know it. Repeating the same bill has no
    /// effect.
    pub(super) fn resolve(
        &mut self,
        holder: Incarnation,
        nonce: u64,
        billed: Tokens,
    ) -> Option<Result<(), Violation>> {
        let Some(reserved) = self.doubt.remove(&(holder, nonce)) else {
            let mut known = self.resolved.iter();
            let known = known.find(|known| (known.0, known.1) == (holder, nonce))?;
            return Some(if known.2 == billed {
                Ok(())
            } else {
                let incarnation = holder;
                Err(Violation::BilledTwice {
                    id: Id { incarnation, nonce },
                })
            });
        };
        let bill = billed.min(reserved);
        self.settled += bill;
        self.take_back(reserved - bill);
        self.resolved.push_back((holder, nonce, billed));
        if self.resolved.len() > RESOLVED_MAX {
            self.resolved.pop_front();
        }
        Some(Ok(()))
    }

    /// Checks the invariant: the parts add up to the prepaid tokens.
    pub(super) fn check(&self) -> Result<(), Violation> {
        let parts = self.unallotted + self.held() + self.billed() + self.in_doubt();
        if parts == self.prepaid {
            return Ok(());
        }
        Err(Violation::Conservation {
            budget: self.name.clone(),
            prepaid: self.prepaid,
            parts,
        })
    }
}
