//! Turns operators' intents into plans.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::fold::Config;
use crate::router::budget::{Budget, Ledger, PREPAID_MAX};
use crate::router::intent::{Change, Class, Key, Object, Plan, PlanId, Target, Terms};
use crate::router::key::{BudgetKey, Incarnation, Stream};
use crate::units::{Offset, Tokens};
use crate::util::is_name;

/// Maximum price per token, in thousandths.
const PRICE_PERMILLE_MAX: u32 = 1_000_000;

/// A change that an operator wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// Create or replace an object of the configuration.
    Put {
        /// Kind and name.
        key: Key,
        /// The value.
        object: Object,
    },
    /// Remove an object of the configuration.
    Delete {
        /// Kind and name.
        key: Key,
    },
    /// Create or change a budget.
    Budget {
        /// Name of the budget.
        name: String,
        /// The customer that spends the budget.
        customer: String,
        /// Prepaid tokens.
        prepaid: Tokens,
    },
    /// Stop sending new requests to a target, or resume.
    Drain {
        /// The target.
        target: String,
        /// Whether the target gets no new requests.
        draining: bool,
    },
    /// Change the rank and price of a class.
    Priority {
        /// The class.
        class: String,
        /// Rank; requests of a lower rank run first.
        rank: u8,
        /// Price per token, in thousandths.
        price_permille: u32,
    },
    /// Release the grant of a holder that the operator declares gone for good.
    Release {
        /// The budget.
        budget: String,
        /// The holder's incarnation, in hexadecimal.
        holder: String,
        /// Tokens of the holder's open part (held or in doubt) that are billed.
        billed: Tokens,
    },
}

/// Why an intent does not lead to a plan.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A field is out of range.
    #[snafu(display("{field}: {wanted}"))]
    Field {
        /// The field.
        field: &'static str,
        /// The values that the field accepts.
        wanted: String,
    },
    /// A named object does not exist.
    #[snafu(display("{kind} {name:?} is not known"))]
    Missing {
        /// Kind of the object.
        kind: &'static str,
        /// Name of the object.
        name: String,
    },
}

/// A plan as shown to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The plan to confirm.
    pub plan: Plan,
    /// Consequences of the plan, one line each.
    pub notes: Vec<String>,
}

/// The state that a plan is made against.
pub struct Snapshot<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// The ledgers, in order of shard.
    pub ledgers: Vec<&'a Ledger>,
}

impl Snapshot<'_> {
    fn budget(&self, name: &str) -> Option<(BudgetKey, &Budget)> {
        let mut shards = (0..).zip(&self.ledgers);
        shards.find_map(|(shard, ledger)| {
            let index = ledger.find(name)?;
            Some((BudgetKey { shard, index }, ledger.budget(index)?))
        })
    }
}

/// Turns an intent into a plan.
///
/// # Errors
/// A field is out of range, or a named object does not exist.
pub fn plan(snapshot: &Snapshot<'_>, id: PlanId, intent: &Intent) -> Result<Proposal, Error> {
    match intent {
        Intent::Put { key, object } => put(snapshot, id, key, object.clone()),
        Intent::Delete { key } => delete(snapshot, id, key),
        Intent::Budget {
            name,
            customer,
            prepaid,
        } => budget(snapshot, id, name, customer, *prepaid),
        Intent::Drain { target, draining } => drain(snapshot, id, target, *draining),
        Intent::Priority {
            class,
            rank,
            price_permille,
        } => priority(snapshot, id, class, *rank, *price_permille),
        Intent::Release {
            budget,
            holder,
            billed,
        } => release(snapshot, id, budget, holder, *billed),
    }
}

fn put(snapshot: &Snapshot<'_>, id: PlanId, key: &Key, object: Object) -> Result<Proposal, Error> {
    check_name("key", key.name())?;
    if !key.fits(&object) {
        return field("object", "must be of the key's kind");
    }
    check_object(snapshot, &object)?;
    let old = snapshot.config.item(key);
    let expect = old.map_or(Offset::ZERO, |item| item.version);
    let note = match old {
        Some(_) => format!("{key} changes, planned against version {expect}"),
        None => format!("{key} is new"),
    };
    let key = key.clone();
    let change = Change::Put {
        key,
        object,
        expect,
    };
    Ok(proposal(id, Stream::Config, change, vec![note]))
}

fn check_object(snapshot: &Snapshot<'_>, object: &Object) -> Result<(), Error> {
    match object {
        Object::Customer(customer) => {
            let hex = customer.key_hash.bytes().all(|b| b.is_ascii_hexdigit());
            if customer.key_hash.len() != 64 || !hex {
                return field(
                    "key_hash",
                    "64 hexadecimal digits, the SHA-256 of the secret",
                );
            }
            if customer.concurrency == 0 {
                return field("concurrency", "1 or more");
            }
            let unknown = |name: &&String| snapshot.config.class(name).is_none();
            match customer.classes.iter().find(unknown) {
                Some(name) => missing("class", name),
                None => Ok(()),
            }
        }
        Object::Class(class) => check_class(class),
        Object::Target(target) => check_target(target),
        Object::Objective(objective) if objective.share_permille > 1_000 => {
            field("share_permille", "0 to 1000")
        }
        Object::Objective(_) => Ok(()),
    }
}

fn check_class(class: &Class) -> Result<(), Error> {
    if class.price_permille > PRICE_PERMILLE_MAX {
        return field("price_permille", &format!("0 to {PRICE_PERMILLE_MAX}"));
    }
    if class.patience.0 == 0 || class.patience.0 > 3_600_000 {
        return field("patience", "1 to 3600000 ms");
    }
    Ok(())
}

fn check_target(target: &Target) -> Result<(), Error> {
    check_name("serves", &target.serves)?;
    check_name("hall", &target.hall)?;
    if target.slots == 0 || target.slots > 65_536 {
        return field("slots", "1 to 65536");
    }
    if target.call_price > PREPAID_MAX {
        return field("call_price", &format!("0 to {PREPAID_MAX}"));
    }
    Ok(())
}

fn delete(snapshot: &Snapshot<'_>, id: PlanId, key: &Key) -> Result<Proposal, Error> {
    let Some(item) = snapshot.config.item(key) else {
        return missing("object", &key.to_string());
    };
    let expect = item.version;
    let note = format!("{key} is removed, planned against version {expect}");
    let key = key.clone();
    let change = Change::Delete { key, expect };
    Ok(proposal(id, Stream::Config, change, vec![note]))
}

fn budget(
    snapshot: &Snapshot<'_>,
    id: PlanId,
    name: &str,
    customer: &str,
    prepaid: Tokens,
) -> Result<Proposal, Error> {
    check_name("name", name)?;
    if prepaid > PREPAID_MAX {
        return field("prepaid", &format!("0 to {PREPAID_MAX} tokens"));
    }
    if snapshot.config.customer(customer).is_none() {
        return missing("customer", customer);
    }
    let old = snapshot.budget(name);
    if old.is_some_and(|(_, budget)| budget.terms.customer != customer) {
        return field("name", "a budget of another customer has this name");
    }
    let mut notes = vec![format!(
        "budget {name} of {customer}: {prepaid} tokens prepaid"
    )];
    if let Some((_, old)) = old {
        notes.push(resize_note(old, prepaid));
    }
    let change = Change::Budget {
        name: name.to_owned(),
        terms: Terms {
            customer: customer.to_owned(),
            prepaid,
        },
        expect: old.map_or(Offset::ZERO, |(_, budget)| budget.version),
    };
    Ok(proposal(id, Stream::of_customer(customer), change, notes))
}

fn resize_note(old: &Budget, prepaid: Tokens) -> String {
    let before = old.terms.prepaid;
    if prepaid >= before {
        return format!("{} tokens more than before, at once", prepaid - before);
    }
    let cut = before - prepaid;
    let now = cut.min(old.unallotted);
    format!(
        "{cut} tokens less: {now} at once, {} when routers return them; {} are billed, {} held",
        cut - now,
        old.billed(),
        old.held()
    )
}

fn drain(
    snapshot: &Snapshot<'_>,
    id: PlanId,
    name: &str,
    draining: bool,
) -> Result<Proposal, Error> {
    let key = Key::Target(name.to_owned());
    let Some(Object::Target(target)) = snapshot.config.item(&key).map(|item| &item.object) else {
        return missing("target", name);
    };
    let target = Target {
        draining,
        ..target.clone()
    };
    put(snapshot, id, &key, Object::Target(target))
}

fn priority(
    snapshot: &Snapshot<'_>,
    id: PlanId,
    name: &str,
    rank: u8,
    price_permille: u32,
) -> Result<Proposal, Error> {
    let Some(class) = snapshot.config.class(name) else {
        return missing("class", name);
    };
    let class = Class {
        rank,
        price_permille,
        ..class.clone()
    };
    put(
        snapshot,
        id,
        &Key::Class(name.to_owned()),
        Object::Class(class),
    )
}

fn release(
    snapshot: &Snapshot<'_>,
    id: PlanId,
    name: &str,
    holder: &str,
    billed: Tokens,
) -> Result<Proposal, Error> {
    let Some((key, budget)) = snapshot.budget(name) else {
        return missing("budget", name);
    };
    let Ok(holder) = holder.parse::<Incarnation>() else {
        return field("holder", "16 hexadecimal digits");
    };
    let held = budget.grants.get(&holder).map(|grant| grant.held());
    let doubted = budget
        .doubt
        .iter()
        .filter(|((owner, _), _)| *owner == holder);
    let open = held.unwrap_or(Tokens::ZERO) + doubted.map(|(_, amount)| *amount).sum();
    let notes = vec![
        format!(
            "{holder} holds {open} tokens of {name}: {} are billed",
            billed.min(open)
        ),
        "confirm only if its process is gone: what it still spends is not counted".to_owned(),
    ];
    let change = Change::Release {
        budget: key,
        holder,
        billed,
    };
    Ok(proposal(id, key.shard_stream(), change, notes))
}

fn proposal(id: PlanId, stream: Stream, change: Change, mut notes: Vec<String>) -> Proposal {
    notes.push(format!(
        "in force everywhere within seconds of the confirm; stream {stream}"
    ));
    let plan = Plan {
        id,
        stream,
        changes: vec![change],
    };
    Proposal { plan, notes }
}

fn check_name(field_name: &'static str, name: &str) -> Result<(), Error> {
    if is_name(name) {
        return Ok(());
    }
    field(
        field_name,
        "1 to 64 letters, digits, dots, dashes or underscores",
    )
}

fn field<T>(field: &'static str, wanted: &str) -> Result<T, Error> {
    Err(Error::Field {
        field,
        wanted: wanted.to_owned(),
    })
}

fn missing<T>(kind: &'static str, name: &str) -> Result<T, Error> {
    Err(Error::Missing {
        kind,
        name: name.to_owned(),
    })
}
