//! Decides whether a request that lacks tokens waits for a grant or is refused.

use crate::router::request::Reason;
use crate::units::{Millis, Tokens};

/// Longest time that a request waits for other routers to return tokens that they hold unused.
const RECALL_WAIT: Millis = Millis(1_500);

/// The tokens that a request lacks, and the state of its budget in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Tokens that the request needs beyond what this router holds.
    pub short: Tokens,
    /// Tokens of the budget that no router holds.
    pub unallotted: Tokens,
    /// Tokens that routers hold in their grants.
    pub held: Tokens,
    /// Whether the budget was reduced and routers have yet to return the excess, so that returned tokens
    /// are not granted again.
    pub is_reduction_pending: bool,
    /// Whether the log service is unavailable.
    pub is_log_out: bool,
    /// How long the request has lacked tokens.
    pub waited: Millis,
}

/// What to do about a shortage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Request a grant from the ledger; the request waits for it.
    RequestGrant,
    /// Refuse the request now.
    Refuse(Reason),
}

/// Decides whether a request that lacks tokens waits for a grant.
pub fn decide(shortage: &Shortage) -> Decision {
    let Shortage {
        short,
        unallotted,
        held,
        ..
    } = *shortage;
    let is_all_reclaimed =
        shortage.is_reduction_pending && unallotted == Tokens::ZERO && held <= short;
    if unallotted + held < short || is_all_reclaimed {
        Decision::Refuse(Reason::BudgetExhausted)
    } else if shortage.is_log_out {
        Decision::Refuse(Reason::LogUnavailable)
    } else if shortage.waited > RECALL_WAIT {
        Decision::Refuse(Reason::BudgetElsewhere)
    } else {
        Decision::RequestGrant
    }
}
