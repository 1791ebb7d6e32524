//! What the control state is told, and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::router::config::{Config, Error, Intent, Proposal};
use crate::router::intent::{Kind, Outcome, Plan};
use crate::router::key::{BudgetKey, Incarnation, Stream};
use crate::router::log::{Batch, Violation};
use crate::router::message::{Reply, Request};
use crate::router::pool::Choice;
use crate::router::request::{Id, Prefix, Ticket, Verdict};
use crate::units::{Millis, Offset, Tokens};

/// Ties an answer to the peer or operator that waits for it.
pub type Token = u64;

/// Ties a reply to the call that it answers.
pub type Call = u64;

/// A request as the caller's side understood it.
#[derive(Clone, Debug)]
pub struct Spec {
    /// This arrival.
    pub ticket: Ticket,
    /// The caller's id, or one made for it.
    pub id: Id,
    /// Hash of all that makes it the same request.
    pub fingerprint: u64,
    /// Whose it is.
    pub customer: String,
    /// What pays.
    pub budget: String,
    /// Its class.
    pub class: String,
    /// Engine or service.
    pub kind: Kind,
    /// The model or service.
    pub serves: String,
    /// The most tokens that it can use, before the price; 0 for a service.
    pub max_tokens: Tokens,
    /// Whether it may run twice.
    pub repeatable: bool,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer is here.
    Complete {
        /// Tokens used, before the price.
        used: Tokens,
        /// Time to the last.
        whole: Millis,
    },
    /// Nothing reached the target.
    Unsent,
    /// The target says that it did not run the request.
    Refused,
    /// It broke off, or its answer cannot be trusted.
    Broken {
        /// Tokens seen, before the price.
        used: Tokens,
        /// Whether the caller has seen a part.
        shown: bool,
    },
}

/// What the control state is told.
#[derive(Debug)]
pub enum Input {
    /// A caller's request.
    Arrive(Spec),
    /// A dispatch has ended.
    Ended {
        /// The request.
        ticket: Ticket,
        /// How.
        end: End,
    },
    /// Records of a stream; `first` is the oldest offset that the log still has.
    Read {
        /// The stream.
        stream: Stream,
        /// Oldest offset there.
        first: Offset,
        /// What follows on.
        batches: Vec<(Offset, Batch)>,
    },
    /// The log has answered, or has not.
    LogUp(bool),
    /// An append was answered; what counts is what is read back.
    Appended {
        /// The stream.
        stream: Stream,
        /// Whether the log took it.
        taken: bool,
    },
    /// The host list: peer address and whether it leaves.
    Hosts(Vec<(SocketAddr, bool)>),
    /// A target's report of its load.
    Report {
        /// Its address.
        address: SocketAddr,
        /// Requests that it has.
        running: u32,
    },
    /// A peer asks.
    Asked {
        /// Where the answer goes.
        token: Token,
        /// The question.
        request: Request,
    },
    /// A call of ours was answered; `None` where it failed.
    Replied {
        /// The call.
        call: Call,
        /// The answer.
        reply: Option<Reply>,
    },
    /// An operator states an intent.
    Intent {
        /// Where the plan goes.
        token: Token,
        /// The intent.
        intent: Intent,
    },
    /// An operator confirms a plan.
    Confirm {
        /// Where the outcome goes.
        token: Token,
        /// The plan.
        plan: Plan,
    },
    /// Somebody asks how things are.
    Status {
        /// Where the status goes.
        token: Token,
    },
    /// A caller asks which addresses to use.
    Entry {
        /// Where the answer goes.
        token: Token,
        /// The customer.
        customer: String,
    },
    /// A target has told that a request in doubt is done.
    Fate {
        /// The request in its holder's accounts.
        id: Id,
        /// Tokens used, before the price.
        used: Tokens,
    },
    /// Time has passed.
    Tick,
    /// A planned stop begins.
    Stop,
}

/// What the control state wants done.
#[derive(Debug)]
pub enum Action {
    /// Send a request to a target.
    Dispatch {
        /// The request.
        ticket: Ticket,
        /// Its id, which the target is told.
        id: Id,
        /// Counts the dispatches of this request.
        attempt: u32,
        /// Where to.
        choice: Choice,
        /// Rank of its class.
        rank: u8,
    },
    /// The verdict on a request.
    Finish {
        /// The request.
        ticket: Ticket,
        /// The verdict.
        verdict: Verdict,
    },
    /// A retry: answer it with what its first arrival gets.
    Join {
        /// The retry.
        ticket: Ticket,
        /// The first arrival.
        to: Ticket,
    },
    /// Answers that need not be kept any more.
    Forget(Vec<Ticket>),
    /// Notice a target what became of a request in doubt.
    Inquire {
        /// The request in its holder's accounts.
        id: Id,
        /// Its id as the target knows it.
        request: Id,
        /// The target.
        target: SocketAddr,
    },
    /// Append to the log.
    Append {
        /// The stream.
        stream: Stream,
        /// The batch.
        batch: Batch,
    },
    /// Notice a peer.
    Call {
        /// The call.
        call: Call,
        /// Where to.
        to: SocketAddr,
        /// The question.
        request: Request,
    },
    /// Answer a peer.
    Answer {
        /// Whom.
        token: Token,
        /// The answer.
        reply: Reply,
    },
    /// Answer an operator's intent.
    Planned {
        /// Whom.
        token: Token,
        /// The plan, or why there is none.
        result: Result<Proposal, Error>,
    },
    /// Answer an operator's confirm; `None` where the log has not been read back in time.
    Confirmed {
        /// Whom.
        token: Token,
        /// What became of the plan.
        outcome: Option<Outcome>,
    },
    /// Answer a status question.
    Status {
        /// Whom.
        token: Token,
        /// The status.
        status: Box<Status>,
    },
    /// Answer a caller's question: addresses with the prefix of ids there, best first.
    Entries {
        /// Whom.
        token: Token,
        /// The addresses.
        entries: Vec<(SocketAddr, Prefix)>,
    },
    /// The configuration in force has changed.
    Publish {
        /// The configuration.
        config: Arc<Config>,
    },
    /// The process has a new incarnation.
    Reborn {
        /// It.
        incarnation: Incarnation,
    },
    /// An invariant does not hold.
    Violated(Violation),
    /// The planned stop is done.
    Exit,
}

/// A peer in a status.
#[derive(Clone, Debug, Serialize)]
pub struct StatusPeer {
    /// Where callers connect.
    pub entry: SocketAddr,
    /// The process.
    pub incarnation: String,
    /// Its hall.
    pub hall: String,
    /// `Well`, `Leaving` or `Ill`.
    pub standing: String,
    /// How far it has read the configuration.
    pub applied: Offset,
}

/// A budget in a status.
#[derive(Clone, Debug, Serialize)]
pub struct StatusBudget {
    /// Its name.
    pub name: String,
    /// Its customer.
    pub customer: String,
    /// Its place, for records of the log.
    pub key: BudgetKey,
    /// Tokens paid for.
    pub prepaid: Tokens,
    /// Tokens not handed to a router.
    pub unallotted: Tokens,
    /// Tokens that routers may still spend.
    pub held: Tokens,
    /// Tokens billed.
    pub billed: Tokens,
    /// Tokens of requests whose outcome nobody has told; counted as spent.
    pub in_doubt: Tokens,
    /// Holders in hexadecimal, with what each holds.
    pub holders: Vec<(String, Tokens)>,
}

/// How a router sees things.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The process.
    pub incarnation: String,
    /// Where callers connect.
    pub entry: SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Whether it has read every stream to its end at least once.
    pub ready: bool,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// Whether the log answers.
    pub log_up: bool,
    /// Its witness in hexadecimal.
    pub witness: Option<String>,
    /// Holders that it is the witness of.
    pub wards: usize,
    /// How far it has read each stream.
    pub applied: Vec<(String, Offset)>,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests in progress in all.
    pub jobs: usize,
    /// Invariants that did not hold since the start.
    pub violations: u64,
    /// The other routers.
    pub peers: Vec<StatusPeer>,
    /// Budgets.
    pub budgets: Vec<StatusBudget>,
}
