//! How much of a budget a router is granted where the caps of its rows limit what it may spend, which routers hold
//! grants because of their demand, and when a row is written again for its demand or its cap.
//!
//! The load it answers: all callers of a customer use one router, and the store is partitioned from all routers soon
//! after the load begins. Tokens granted to a router that its caps forbid to spend them are missing at the routers that
//! could lend them. So a grant does not exceed the caps, and a router with a new demand borrows until its caps let it
//! spend a second of that demand.

use super::grant::{self, Need, Role, Sizing};
use crate::units::Tokens;

/// A row is written again once the demand in it is more than this many times the present one. Other routers add up the
/// demand in the rows, so an outdated one makes a budget count as near its end while it lasts twice as long.
const OUTDATED_DEMAND_FACTOR: u64 = 2;
/// Demand in a row of less than one part in this many of the prepaid budget a second is never outdated: at such a
/// demand a budget lasts for more than a quarter of an hour, so it does not decide whether the budget is near its end.
const OUTDATED_DEMAND_DIVISOR: u64 = 1_000;

/// What bounds a router's grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bound {
    /// What the router should hold.
    #[default]
    Need,
    /// What its caps let it spend.
    Cap,
    /// What is not granted to other routers.
    Free,
}

/// Tokens that caps let a router spend of its own grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ceiling {
    /// No cap applies.
    None,
    /// So many in all, whether or not they are spent already.
    Cap(Tokens),
}

/// A router's grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Tokens granted in all.
    pub tokens: Tokens,
    /// Why it is not more.
    pub bound: Bound,
}

/// Sizes a router's grant within its caps. Used tokens stay granted, and requests that wait are granted what they need:
/// the grant is in the store by the time a cap ends.
pub fn within_caps(sizing: &Sizing, need: &Need, ceiling: Ceiling) -> Grant {
    let wanted = grant::size(
        sizing,
        &Need {
            free: Tokens(u64::MAX),
            ..*need
        },
    );
    let spendable = match ceiling {
        Ceiling::None => wanted,
        Ceiling::Cap(cap) => Tokens(cap.max(need.used).0.saturating_add(need.waiting.0)),
    };
    let allowed = wanted.min(spendable);
    let tokens = allowed.min(need.free).max(need.used.min(need.granted));
    let bound = if tokens < allowed {
        Bound::Free
    } else if allowed < wanted {
        Bound::Cap
    } else {
        Bound::Need
    };
    Grant { tokens, bound }
}

/// Why a router holds grants of a customer, or does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It is one of the regular holders, or no holder is known.
    Regular,
    /// Enough of the demand arrives at it.
    ByDemand,
    /// Enough of the demand arrives at it, but its caps let it spend less than a second of that demand.
    Capped,
    /// Too little of the demand arrives at it.
    None,
}

impl Claim {
    /// The router's role for the customer's budget.
    pub fn role(self) -> Role {
        match self {
            Self::Regular | Self::ByDemand => Role::Holder,
            Self::Capped | Self::None => Role::Borrower,
        }
    }
}

/// What decides the claim of a router that is not a regular holder.
#[derive(Clone, Copy, Debug)]
pub struct Claimant {
    /// Its demand, in tokens a second.
    pub demand: Tokens,
    /// Demand at all other routers without what they lend to this one, in tokens a second.
    pub demand_of_others: u64,
    /// Number of regular holders.
    pub holders: usize,
    /// What its caps let it spend.
    pub ceiling: Ceiling,
    /// What it has spent or reserved of its own grants.
    pub used: Tokens,
}

/// Decides whether a router that is not a regular holder holds grants besides the regular ones.
pub fn claim(claimant: &Claimant) -> Claim {
    let Claimant {
        demand,
        demand_of_others,
        holders,
        ceiling,
        used,
    } = *claimant;
    match grant::role_by_demand(demand, demand_of_others, holders) {
        Role::Borrower => Claim::None,
        Role::Holder if lets_spend(ceiling, used, demand) => Claim::ByDemand,
        Role::Holder => Claim::Capped,
    }
}

/// Whether caps let a router spend one second of demand beyond what it has used.
fn lets_spend(ceiling: Ceiling, used: Tokens, demand: Tokens) -> bool {
    match ceiling {
        Ceiling::None => true,
        Ceiling::Cap(cap) => cap.0 >= used.0.saturating_add(demand.0),
    }
}

/// Whether a router writes a row for the sake of its cap: it would hold grants but for its caps, and its newest row, if
/// there is one, would not let it either once it is the lowest in force.
pub fn is_cap_due(claim: Claim, newest: Option<Tokens>, used: Tokens, demand: Tokens) -> bool {
    match claim {
        Claim::Capped => {
            newest.is_none_or(|newest| !lets_spend(Ceiling::Cap(newest), used, demand))
        }
        Claim::Regular | Claim::ByDemand | Claim::None => false,
    }
}

/// Whether the demand in a row, in tokens a second, is so much more than the present one that the row is written again.
pub fn is_demand_outdated(written: u64, present: u64, prepaid: Tokens) -> bool {
    written > present.saturating_mul(OUTDATED_DEMAND_FACTOR)
        && written > prepaid.0 / OUTDATED_DEMAND_DIVISOR
}
