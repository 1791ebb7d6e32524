//! Plans and their outcomes.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Key, Object, Terms};
use crate::router::key::{BudgetKey, Incarnation, Stream};
use crate::units::{Offset, Tokens};

/// Number of plans whose outcomes a stream remembers. A plan that is confirmed again after its outcome is dropped is
/// validated anew, and is stale.
const OUTCOMES_MAX: usize = 1024;

/// Identifies a plan, so that confirming it twice has the effect of confirming it once.
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
        /// Version of the object when the plan was made; 0 if it did not exist.
        expect: Offset,
    },
    /// Removes an object of the configuration.
    Delete {
        /// Kind and name.
        key: Key,
        /// Version of the object when the plan was made.
        expect: Offset,
    },
    /// Sets a budget.
    Budget {
        /// Name of the budget.
        name: String,
        /// Terms of the budget.
        terms: Terms,
        /// Version of the budget when the plan was made; 0 if it did not exist.
        expect: Offset,
    },
    /// Releases the grant of a holder that the operator declares gone for good.
    Release {
        /// The budget.
        budget: BudgetKey,
        /// The holder.
        holder: Incarnation,
        /// Tokens of the holder's open part (held or in doubt) that are billed; the rest comes back to the budget.
        billed: Tokens,
    },
}

/// A plan for an operator to confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Id of the plan.
    pub id: PlanId,
    /// The stream that the plan changes.
    pub stream: Stream,
    /// Changes of the plan; all take effect, or none.
    pub changes: Vec<Change>,
}

/// Why the fold did not accept a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Refused {
    /// An object has changed since the plan was made.
    Stale {
        /// The object's current version.
        version: Offset,
    },
    /// A change does not fit the stream or its contents.
    Unfit,
}

/// The outcome of a confirmed plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// In force from this offset on.
    InForce(Offset),
    /// Not accepted, for this reason.
    Refused(Refused),
}

/// The plan outcomes that a stream remembers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    by_plan: BTreeMap<PlanId, Outcome>,
    order: VecDeque<PlanId>,
}

impl Outcomes {
    /// The outcome of a plan, if it is remembered.
    pub fn get(&self, id: PlanId) -> Option<Outcome> {
        self.by_plan.get(&id).copied()
    }

    /// Records the outcome of a plan confirmed at `offset`; returns whether its changes must be applied. A plan that is
    /// already recorded is not applied again.
    pub fn record(&mut self, id: PlanId, offset: Offset, validated: Result<(), Refused>) -> bool {
        if self.by_plan.contains_key(&id) {
            return false;
        }
        let outcome = match validated {
            Ok(()) => Outcome::InForce(offset),
            Err(refused) => Outcome::Refused(refused),
        };
        self.insert(id, outcome);
        validated.is_ok()
    }

    /// Inserts an outcome and drops the oldest one if there are too many.
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
