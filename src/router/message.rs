//! The frames.

use serde::{Deserialize, Serialize};

use crate::router::budget::{Answer, Replica, Reservation, TakeoverAnswer};
use crate::router::host::Peer;
use crate::router::key::{BudgetKey, Incarnation, Stream};
use crate::router::log::Checkpoint;
use crate::router::request::Id;
use crate::units::Tokens;

/// What a holder asks of its witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// Be my witness; these are my accounts.
    Adopt(Replica),
    /// I am about to dispatch a request.
    Open {
        /// Its number.
        nonce: u64,
        /// The budget that pays.
        budget: BudgetKey,
        /// What may be billed, and where it goes.
        reservation: Reservation,
    },
    /// A request is billed, or was never dispatched.
    Settle {
        /// Its number.
        nonce: u64,
        /// The bill; `None` where it was never dispatched.
        billed: Option<Tokens>,
    },
    /// I am here, in this epoch.
    Heard {
        /// The epoch.
        epoch: u32,
    },
}

/// A question to another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A heartbeat round: the sender first, then others that it knows of.
    Heartbeat {
        /// What is told.
        peers: Vec<Peer>,
    },
    /// Asks of a holder to its witness. A call is repeated with the same `seq` until answered,
    /// and takes effect once.
    Replicate {
        /// The process meant; a new one at its address is no witness.
        to: Incarnation,
        /// The holder.
        holder: Incarnation,
        /// One more than the last; the upper half counts the holder's links.
        seq: u64,
        /// In order.
        notices: Vec<Notice>,
    },
    /// May I run this request of a lost holder of yours?
    Takeover {
        /// The process meant.
        to: Incarnation,
        /// The request.
        id: Id,
        /// The shard of the customer's budgets.
        shard: u8,
        /// Who asks.
        by: Incarnation,
        /// Whether it may be repeated.
        repeatable: bool,
    },
    /// What is your state of this stream?
    State {
        /// The stream.
        stream: Stream,
    },
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To a heartbeat: the same in return.
    Heartbeat {
        /// What is told.
        peers: Vec<Peer>,
    },
    /// To a holder's asks, one each.
    Replicate(Vec<Answer>),
    /// To a takeover.
    Takeover(TakeoverAnswer),
    /// To a question for state.
    State(Checkpoint),
    /// The process meant is not here.
    Gone,
}
