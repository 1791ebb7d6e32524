//! The control state of a router: one value, one thread, no input or output of its own.
//!
//! [`State::handle`] takes an [`Input`] and the time and gives [`Action`]s; sockets, clocks and
//! streams of answers are the shell's affair ([`crate::router::http`], [`crate::cmd`]). The same code
//! therefore runs in a router and, in one thread with a seeded order of events, in the randomised
//! runs of `tests/random_runs.rs`.

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

pub use action::{Action, Call, End, Input, Spec, Status, StatusBudget, StatusPeer, Token};
pub use state::{Settings, State};
