//! The inputs of the control state and the actions that it requests.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::router::client::Cursor;
use crate::router::config::{Config, Error, Intent, Proposal};
use crate::router::intent::{Kind, Outcome, Plan};
use crate::router::key::{BudgetKey, Incarnation, Stream};
use crate::router::log::{Batch, Violation};
use crate::router::message::{Reply, Request};
use crate::router::pool::Choice;
use crate::router::request::{Id, Prefix, Ticket, Verdict};
use crate::units::{Millis, Offset, Tokens};

/// Identifies the peer, operator or caller that waits for an answer.
pub type ReplyToken = u64;

/// Identifies a call to another router, so that its reply can be matched.
pub type Call = u64;

/// A caller's request, after parsing and authentication.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Identifies this arrival of the request.
    pub ticket: Ticket,
    /// The id that the caller gave, or one generated for the request.
    pub id: Id,
    /// Hash of everything that a retry of the request must repeat.
    pub fingerprint: u64,
    /// The customer.
    pub customer: String,
    /// Name of the budget that pays.
    pub budget: String,
    /// Name of the request's priority class.
    pub class: String,
    /// Whether the request goes to an engine or a service.
    pub kind: Kind,
    /// Name of the model or service.
    pub serves: String,
    /// The most tokens that the request can use, before the class's price factor; 0 for a service.
    pub max_tokens: Tokens,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The complete answer has arrived.
    Complete {
        /// Tokens used, before the class's price factor.
        used: Tokens,
        /// Time until the answer was complete.
        whole: Millis,
    },
    /// Nothing reached the target.
    Unsent,
    /// The target reports that it did not run the request.
    Refused,
    /// The attempt broke off, or its answer cannot be trusted.
    Broken {
        /// Tokens received, before the class's price factor.
        used: Tokens,
        /// Whether the caller has received part of the answer.
        shown: bool,
    },
}

/// An event that the control state handles.
#[derive(Debug)]
pub enum Input {
    /// A request has arrived from a caller.
    Arrive(Spec),
    /// A dispatch has ended.
    Ended {
        /// The request.
        ticket: Ticket,
        /// How the dispatch ended.
        end: End,
    },
    /// Records have been read from a stream.
    Read {
        /// The stream.
        stream: Stream,
        /// The oldest offset that the log still has.
        first: Offset,
        /// The batches that follow those read before, with their offsets.
        batches: Vec<(Offset, Batch)>,
    },
    /// The feed asks where to read on.
    Cursors {
        /// The feed's question.
        token: ReplyToken,
    },
    /// Whether the log service answers.
    LogUp(bool),
    /// The log service answered an append. A record only takes effect once it is read back.
    Appended {
        /// The stream.
        stream: Stream,
        /// Whether the log service accepted the append.
        taken: bool,
    },
    /// The host list: the address of each peer and whether it is leaving.
    Hosts(Vec<(SocketAddr, bool)>),
    /// A target has reported its load.
    Report {
        /// The target's address.
        address: SocketAddr,
        /// Requests that the target has in progress.
        running: u32,
    },
    /// A peer has sent a request.
    PeerRequest {
        /// Identifies the request in the reply.
        token: ReplyToken,
        /// The request.
        request: Request,
    },
    /// A call to another router has ended.
    Replied {
        /// The call.
        call: Call,
        /// The reply; `None` if the call failed.
        reply: Option<Reply>,
    },
    /// An operator has sent an intent.
    Intent {
        /// The operator's request.
        token: ReplyToken,
        /// The intent.
        intent: Intent,
    },
    /// An operator has confirmed a plan.
    Confirm {
        /// The operator's request.
        token: ReplyToken,
        /// The plan.
        plan: Plan,
    },
    /// The status was requested.
    Status {
        /// The status request.
        token: ReplyToken,
    },
    /// A caller has asked which addresses to use.
    Entry {
        /// Identifies the caller in the answer.
        token: ReplyToken,
        /// The customer.
        customer: String,
    },
    /// A target has reported that a request in doubt is done.
    InquiryAnswered {
        /// The request's id in its holder's accounts.
        id: Id,
        /// Tokens used, before the class's price factor.
        used: Tokens,
    },
    /// A target that has not run a request in doubt refuses it from now on.
    Cancelled {
        /// The request's id in its holder's accounts.
        id: Id,
    },
    /// The periodic timer has fired.
    Tick,
    /// The process has been told to stop.
    Stop,
}

/// What follows if a target has not run a request in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IfNotRun {
    /// Nothing: its holder may still be alive.
    Wait,
    /// The target is asked to cancel the request: its holder is closed, and may have sent it before.
    Cancel,
}

/// An action that the control state requests from the code around it.
#[derive(Debug)]
pub enum Action {
    /// Send a request to a target.
    Dispatch {
        /// The request.
        ticket: Ticket,
        /// Id of the request, which is sent to the target.
        id: Id,
        /// The incarnation of this process whose accounts pay for it.
        holder: Incarnation,
        /// Number of this dispatch among those of the request, from 1.
        attempt: u32,
        /// The chosen target.
        choice: Choice,
        /// Rank of the request's class.
        rank: u8,
    },
    /// Give the verdict on a request.
    Finish {
        /// The request.
        ticket: Ticket,
        /// The verdict.
        verdict: Verdict,
    },
    /// Answer a retried request with what its first arrival gets.
    Join {
        /// The retry.
        ticket: Ticket,
        /// The first arrival.
        to: Ticket,
    },
    /// Drop the kept answers of these requests.
    Forget(Vec<Ticket>),
    /// Ask a target for the outcome of a request in doubt.
    Inquire {
        /// The request's id in its holder's accounts.
        id: Id,
        /// The id under which the target knows the request.
        request: Id,
        /// The target.
        target: SocketAddr,
        /// What to do if the target has not run the request.
        if_not_run: IfNotRun,
    },
    /// Append to the log.
    Append {
        /// The stream.
        stream: Stream,
        /// The batch.
        batch: Batch,
    },
    /// Call a peer.
    Call {
        /// The call.
        call: Call,
        /// The peer's address.
        to: SocketAddr,
        /// The request.
        request: Request,
    },
    /// Reply to a peer.
    Answer {
        /// The peer's request.
        token: ReplyToken,
        /// The reply.
        reply: Reply,
    },
    /// Answer an operator's intent.
    Planned {
        /// The operator's request.
        token: ReplyToken,
        /// The plan, or the reason why there is none.
        result: Result<Proposal, Error>,
    },
    /// Answer an operator's confirm.
    Confirmed {
        /// The operator's request.
        token: ReplyToken,
        /// The plan's outcome; `None` if it was not read back from the log in time.
        outcome: Option<Outcome>,
    },
    /// Answer a status request.
    Status {
        /// The status request.
        token: ReplyToken,
        /// The status.
        status: Box<Status>,
    },
    /// Answer a caller that asked which addresses to use.
    Entries {
        /// The caller's request.
        token: ReplyToken,
        /// The addresses, best first, each with the prefix for ids of requests sent there.
        entries: Vec<(SocketAddr, Prefix)>,
    },
    /// Tell the feed where to read on.
    Cursors {
        /// The feed's question.
        token: ReplyToken,
        /// The offset after the last one applied, of each stream.
        cursors: Vec<Cursor>,
    },
    /// Publish the configuration, which has changed.
    Publish {
        /// The configuration.
        config: Arc<Config>,
    },
    /// The process goes on under a new incarnation.
    IncarnationRenewed {
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// Report an invariant that does not hold.
    Violated(Violation),
    /// End the process: the planned stop is complete.
    Exit,
}

/// A peer in a [`Status`].
#[derive(Clone, Debug, Serialize)]
pub struct StatusPeer {
    /// Address that callers connect to.
    pub entry: SocketAddr,
    /// Incarnation of the peer, in hexadecimal.
    pub incarnation: String,
    /// Data hall of the peer.
    pub hall: String,
    /// `Well`, `Leaving` or `Ill`.
    pub standing: String,
    /// Offset up to which the peer has applied the configuration stream.
    pub applied: Offset,
}

/// A budget in a [`Status`].
#[derive(Clone, Debug, Serialize)]
pub struct StatusBudget {
    /// Name of the budget.
    pub name: String,
    /// The customer that spends the budget.
    pub customer: String,
    /// Shard and index of the budget, by which the log's records refer to it.
    pub key: BudgetKey,
    /// Tokens paid for.
    pub prepaid: Tokens,
    /// Tokens not granted to a router.
    pub unallotted: Tokens,
    /// Tokens granted to routers and not yet spent.
    pub held: Tokens,
    /// Tokens billed.
    pub billed: Tokens,
    /// Tokens of requests whose outcome is unknown; counted as spent.
    pub in_doubt: Tokens,
    /// Holders in hexadecimal, with the tokens that each holds.
    pub holders: Vec<(String, Tokens)>,
}

/// The state of a router, as its status request reports it.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Incarnation of this router, in hexadecimal.
    pub incarnation: String,
    /// Address that callers connect to.
    pub entry: SocketAddr,
    /// Data hall of this router.
    pub hall: String,
    /// Whether this router has read every stream to its end at least once.
    pub ready: bool,
    /// Whether a planned stop is in progress.
    pub stopping: bool,
    /// Whether the log service is available.
    pub log_up: bool,
    /// Incarnation of this router's witness, in hexadecimal.
    pub witness: Option<String>,
    /// Number of holders that this router is the witness of.
    pub wards: usize,
    /// Offset up to which this router has applied each stream.
    pub applied: Vec<(String, Offset)>,
    /// Requests in a queue.
    pub waiting: usize,
    /// All requests in progress.
    pub jobs: usize,
    /// Invariant violations since the start.
    pub violations: u64,
    /// The other routers.
    pub peers: Vec<StatusPeer>,
    /// The budgets.
    pub budgets: Vec<StatusBudget>,
}
