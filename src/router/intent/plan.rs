//! Plans, and what became of them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Key, Object, Terms};
use crate::router::key::{BudgetKey, Incarnation, Stream};
use crate::units::{Offset, Tokens};

/// Plans whose outcome a stream remembers; a confirm repeated later is judged anew, and is stale.
const OUTCOMES_MAX: usize = 1024;

/// Identifies a plan, so that confirming it twice is confirming it once.
pub type PlanId = u64;

/// One change of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Sets an object of the configuration.
    Put {
        /// Kind and name.
        key: Key,
        /// The value.
        object: Object,
        /// Its version when planned; 0 where it did not exist.
        expect: Offset,
    },
    /// Removes an object of the configuration.
    Delete {
        /// Kind and name.
        key: Key,
        /// Its version when planned.
        expect: Offset,
    },
    /// Sets a budget.
    Budget {
        /// Its name.
        name: String,
        /// Its terms.
        terms: Terms,
        /// Its version when planned; 0 where it did not exist.
        expect: Offset,
    },
    /// Vouches that a holder is gone for good.
    Release {
        /// The budget.
        budget: BudgetKey,
        /// The holder.
        holder: Incarnation,
        /// What of its open part is billed; the rest comes back.
        billed: Tokens,
    },
}

/// What an operator confirms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Its id.
    pub id: PlanId,
    /// The stream that it touches.
    pub stream: Stream,
    /// All take effect, or none.
    pub changes: Vec<Change>,
}

/// Why the fold did not accept a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Refused {
    /// An object has changed since; `version` is what it has now.
    Stale {
        /// Its version now.
        version: Offset,
    },
    /// A change does not fit the stream or what is in it.
    Unfit,
}

/// What became of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// In force from this offset on.
    InForce(Offset),
    /// Not accepted.
    Refused(Refused),
}

/// The outcomes that a stream remembers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    by_plan: BTreeMap<PlanId, Outcome>,
    order: VecDeque<PlanId>,
}

impl Outcomes {
    /// The outcome of a plan that the stream has taken.
    pub fn get(&self, id: PlanId) -> Option<Outcome> {
        self.by_plan.get(&id).copied()
    }

    /// Takes a confirmed plan at an offset, as it was judged; whether its changes are to be made. A
    /// plan that is known counts once.
    pub fn record(&mut self, id: PlanId, offset: Offset, judged: Result<(), Refused>) -> bool {
        if self.by_plan.contains_key(&id) {
            return false;
        }
        let outcome = match judged {
            Ok(()) => Outcome::InForce(offset),
            Err(refused) => Outcome::Refused(refused),
        };
        self.insert(id, outcome);
        judged.is_ok()
    }

    /// Notes an outcome; the oldest is forgotten.
    fn insert(&mut self, id: PlanId, outcome: Outcome) {
        self.by_plan.insert(id, outcome);
        self.order.push_back(id);
        if self.order.len() > OUTCOMES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_plan.remove(&oldest);
        }
    }
}
