//! The control state of a router: a single value, owned by one thread, that does no I/O.
//!
//! [`State::handle`] takes an [`Input`] and the time and returns [`Action`]s; sockets, clocks and
//! response streams are left to the code around it ([`crate::router::http`], [`crate::cmd`]). The same
//! code therefore runs in a router and, in one thread with a seeded order of events, in the randomised
//! tests of `tests/random_runs.rs`.

mod action;
mod arrive;
mod decision;
mod dispatch;
mod job;
mod link;
mod money;
mod operator;
mod peers;
mod state;
mod streams;
mod witnesses;

pub use action::{
    Action, Call, End, IfNotRun, Input, ReplyToken, Spec, Status, StatusBudget, StatusPeer,
};
pub use state::{Settings, State};
