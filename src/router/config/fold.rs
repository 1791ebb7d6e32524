//! The configuration, folded from its stream.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::router::intent::{
    Change, Class, Customer, Key, Kind, Object, Objective, Outcomes, Plan, Refused, Target,
};
use crate::router::key::Incarnation;
use crate::router::log::{Fold, Record, Sequence, Violation};
use crate::units::Offset;

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Offset of the plan that set the object. For a target, also the fence that is sent with requests to it.
    pub version: Offset,
    /// The value.
    pub object: Object,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    items: BTreeMap<Key, Item>,
    sequence: Sequence,
    outcomes: Outcomes,
}

impl Config {
    /// An object with its version.
    pub fn item(&self, key: &Key) -> Option<&Item> {
        self.items.get(key)
    }

    /// All objects, in order of key.
    pub fn items(&self) -> impl Iterator<Item = (&Key, &Item)> {
        self.items.iter()
    }

    /// A customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        match &self.items.get(&Key::Customer(name.to_owned()))?.object {
            Object::Customer(customer) => Some(customer),
            _ => None,
        }
    }

    /// A class by name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        match &self.items.get(&Key::Class(name.to_owned()))?.object {
            Object::Class(class) => Some(class),
            _ => None,
        }
    }

    /// The objective of a class, or the default objective.
    pub fn objective(&self, class: &str) -> Objective {
        match self.items.get(&Key::Objective(class.to_owned())) {
            Some(Item {
                object: Object::Objective(objective),
                ..
            }) => *objective,
            _ => Objective::default(),
        }
    }

    /// Whether any target is configured for this model or service, draining ones included.
    pub fn has_target(&self, kind: Kind, serves: &str) -> bool {
        let mut targets = self.targets();
        targets.any(|(_, _, target)| target.kind == kind && target.serves == serves)
    }

    /// All targets: name, version, target.
    pub fn targets(&self) -> impl Iterator<Item = (&str, Offset, &Target)> {
        self.items
            .iter()
            .filter_map(|(key, item)| match &item.object {
                Object::Target(target) => Some((key.name(), item.version, target)),
                _ => None,
            })
    }

    /// The writers of the stream.
    pub fn sequence(&self) -> &Sequence {
        &self.sequence
    }

    /// The outcomes of confirmed plans.
    pub fn outcomes(&self) -> &Outcomes {
        &self.outcomes
    }

    /// Checks a plan against the present configuration, without applying it.
    ///
    /// # Errors
    /// The reason why the plan would be refused.
    pub fn validate(&self, plan: &Plan) -> Result<(), Refused> {
        for change in &plan.changes {
            let (key, expect) = match change {
                Change::Put { key, object, .. } if !key.fits(object) => return Err(Refused::Unfit),
                Change::Put { key, expect, .. } | Change::Delete { key, expect } => (key, expect),
                Change::Budget { .. } | Change::Release { .. } => return Err(Refused::Unfit),
            };
            let version = self.item(key).map_or(Offset::ZERO, |item| item.version);
            if version != *expect {
                return Err(Refused::Stale { version });
            }
        }
        Ok(())
    }

    fn confirm(&mut self, offset: Offset, plan: &Plan) {
        let validated = self.validate(plan);
        if !self.outcomes.record(plan.id, offset, validated) {
            return;
        }
        for change in &plan.changes {
            match change {
                Change::Put { key, object, .. } => {
                    let item = Item {
                        version: offset,
                        object: object.clone(),
                    };
                    self.items.insert(key.clone(), item);
                }
                Change::Delete { key, .. } => {
                    self.items.remove(key);
                }
                Change::Budget { .. } | Change::Release { .. } => {}
            }
        }
    }
}

impl Fold for Config {
    fn admit(&mut self, writer: Incarnation, seq: u64) -> bool {
        self.sequence.admit(writer, seq)
    }

    fn apply(
        &mut self,
        offset: Offset,
        writer: Incarnation,
        record: &Record,
    ) -> Result<(), Violation> {
        match record {
            Record::Change(plan) => self.confirm(offset, plan),
            Record::Leave => self.sequence.depart(writer, offset),
            _ => {}
        }
        Ok(())
    }
}
