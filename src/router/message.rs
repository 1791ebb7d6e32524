//! Messages between routers. Frames encode them by position: the order of variants and fields must not change.

use serde::{Deserialize, Serialize};

use crate::router::budget::{Answer, Replica, Reservation, TakeoverAnswer};
use crate::router::host::Peer;
use crate::router::key::{BudgetKey, Incarnation, Stream};
use crate::router::log::Checkpoint;
use crate::router::request::Id;
use crate::units::Tokens;

/// A notice of a holder to its witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// Asks the router to become the holder's witness, with a replica of the holder's accounts.
    Adopt(Replica),
    /// The holder is about to dispatch a request.
    Open {
        /// Number of the request within the holder.
        nonce: u64,
        /// The budget that pays.
        budget: BudgetKey,
        /// The maximum bill, and the target.
        reservation: Reservation,
    },
    /// A request is billed, or was never dispatched.
    Settle {
        /// Number of the request within the holder.
        nonce: u64,
        /// The bill; `None` if the request was never dispatched.
        billed: Option<Tokens>,
    },
    /// The holder is alive.
    Heard {
        /// The holder's current epoch.
        epoch: u32,
    },
}

/// A request to another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A heartbeat: the sender first, then other routers that it knows.
    Heartbeat {
        /// The routers.
        peers: Vec<Peer>,
    },
    /// Notices of a holder to its witness. A call is repeated with the same `seq` until it is answered, and takes
    /// effect once.
    Replicate {
        /// The receiver's incarnation; a later process at the same address is not the witness.
        to: Incarnation,
        /// The holder.
        holder: Incarnation,
        /// Sequence number, one more than that of the last call; the upper half counts the holder's links.
        seq: u64,
        /// The notices, in order.
        notices: Vec<Notice>,
    },
    /// Asks a lost holder's witness whether the sender may run a request of that holder.
    Takeover {
        /// The receiver's incarnation.
        to: Incarnation,
        /// The request.
        id: Id,
        /// The shard of the customer's budgets.
        shard: u8,
        /// The incarnation that wants to run the request.
        by: Incarnation,
        /// Whether the request may run more than once.
        repeatable: bool,
    },
    /// Asks for the receiver's state of a stream.
    State {
        /// The stream.
        stream: Stream,
    },
}

/// A reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to a heartbeat: the replying router first, then other routers that it knows.
    Heartbeat {
        /// The routers.
        peers: Vec<Peer>,
    },
    /// Reply to a holder's notices: one answer for each.
    Replicate(Vec<Answer>),
    /// Reply to a takeover.
    Takeover(TakeoverAnswer),
    /// Reply to a request for the state of a stream.
    State(Checkpoint),
    /// The receiver cannot answer: the addressed incarnation does not run here, is not the holder's witness, or has not
    /// read the whole stream.
    Unavailable,
}
