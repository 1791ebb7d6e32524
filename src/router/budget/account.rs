//! One prepaid budget, and what each holder has of it.
//!
//! At each offset: unallotted + held + settled + in doubt = prepaid.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::router::intent::Terms;
use crate::router::key::Incarnation;
use crate::router::log::Violation;
use crate::router::request::Id;
use crate::units::{Offset, Tokens};

/// Most tokens that a budget may be given, so that sums cannot overflow.
pub const PREPAID_MAX: Tokens = Tokens(1 << 52);
/// Most requests of closed holders that a budget remembers as billed.
const RESOLVED_MAX: usize = 4096;

/// What one incarnation holds of a budget. All three are running totals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Tokens handed to it.
    pub granted: Tokens,
    /// Tokens that it has billed.
    pub settled: Tokens,
    /// Tokens that it has given back.
    pub returned: Tokens,
}

impl Grant {
    /// What it still may spend.
    pub fn held(&self) -> Tokens {
        self.granted
            .saturating_sub(self.settled)
            .saturating_sub(self.returned)
    }

    /// Takes a new total of what is billed; `None` where it does not fit.
    pub(super) fn settle(&mut self, total: Tokens) -> Option<Tokens> {
        let fits = total >= self.settled && total + self.returned <= self.granted;
        self.settled = fits.then_some(total)?;
        Some(Tokens::ZERO)
    }

    /// Takes a new total of what is given back; the difference, or `None` where it does not fit.
    pub(super) fn give_back(&mut self, total: Tokens) -> Option<Tokens> {
        let fits = total >= self.returned && total + self.settled <= self.granted;
        let more = fits.then(|| total - self.returned)?;
        self.returned = total;
        Some(more)
    }
}

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Its name, unique within the fleet.
    pub name: String,
    /// Customer, class and the like, as the operator confirmed them.
    pub terms: Terms,
    /// Offset of the last confirmed change.
    pub version: Offset,
    /// What may be spent in all; above `terms.prepaid` only while a cut waits for returns.
    pub prepaid: Tokens,
    /// Not handed to anybody.
    pub unallotted: Tokens,
    /// Billed by holders that are gone.
    pub settled: Tokens,
    /// Holders.
    pub grants: BTreeMap<Incarnation, Grant>,
    /// Requests of closed holders whose outcome nobody has told; counted as spent.
    pub doubt: BTreeMap<(Incarnation, u64), Tokens>,
    /// Where somebody last got less than it asked for; holders then return what lies idle.
    pub scarce: Option<Offset>,
    /// Requests of closed holders that were billed, with their bills.
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

    /// All that was billed, by present and past holders.
    pub fn billed(&self) -> Tokens {
        self.settled + self.grants.values().map(|grant| grant.settled).sum()
    }

    /// All that holders may still spend.
    pub fn held(&self) -> Tokens {
        self.grants.values().map(Grant::held).sum()
    }

    /// All that is in doubt.
    pub fn in_doubt(&self) -> Tokens {
        self.doubt.values().copied().sum()
    }

    pub(super) fn take_back(&mut self, amount: Tokens) {
        self.unallotted += amount;
        self.cut();
    }

    /// Takes what a smaller budget still has to lose out of the unallotted part.
    fn cut(&mut self) {
        let over = self.prepaid.saturating_sub(self.terms.prepaid);
        let now = over.min(self.unallotted);
        self.unallotted -= now;
        self.prepaid -= now;
    }

    pub(super) fn set_terms(&mut self, terms: &Terms, version: Offset) {
        let more = terms.prepaid.saturating_sub(self.prepaid);
        self.prepaid += more;
        self.unallotted += more;
        self.terms = terms.clone();
        self.version = version;
        self.cut();
        if self.prepaid > self.terms.prepaid {
            self.scarce = Some(version);
        }
    }

    /// Bills a request that was in doubt; `None` where it is not this budget's. The same bill again
    /// changes nothing.
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

    /// Whether the parts add up to what was prepaid.
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
