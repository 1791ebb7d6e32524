//! What becomes of a request whose router lacks the tokens to pay for it.

use crate::router::request::Reason;
use crate::units::{Millis, Tokens};

/// Longest wait for others to give back what lies idle with them.
const RECALL_WAIT: Millis = Millis(1_500);

/// What is lacking, and what the ledger says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Tokens that the request lacks here.
    pub short: Tokens,
    /// Tokens of the budget that nobody holds.
    pub left: Tokens,
    /// Tokens that routers hold.
    pub held: Tokens,
    /// Whether a smaller budget still waits for returns, so that what comes back is not granted.
    pub is_owed: bool,
    /// Whether the log does not answer.
    pub is_log_out: bool,
    /// How long the request has lacked them.
    pub waited: Millis,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The ledger is asked for a grant, and the request waits.
    Ask,
    /// The request is refused now.
    Refuse(Reason),
}

/// Decides on a shortage.
pub fn decide(shortage: &Shortage) -> Decision {
    let Shortage {
        short, left, held, ..
    } = *shortage;
    let is_all_owed = shortage.is_owed && left == Tokens::ZERO && held <= short;
    if left + held < short || is_all_owed {
        Decision::Refuse(Reason::BudgetExhausted)
    } else if shortage.is_log_out {
        Decision::Refuse(Reason::LogUnavailable)
    } else if shortage.waited > RECALL_WAIT {
        Decision::Refuse(Reason::BudgetElsewhere)
    } else {
        Decision::Ask
    }
}
