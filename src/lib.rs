//! lanedeck: a router fleet for prepaid token budgets.
//!
//! A router decides for each request whether it may run, at what priority and on which target,
//! and never lets spend pass what was prepaid. Decisions are pure code ([`control`], and the
//! aggregates in [`budget`], [`request`], [`target`], [`host`], [`intent`]); sockets, clocks and
//! randomness stay at the edge ([`http`], [`wire`], [`store`]).

#![warn(clippy::unwrap_used)]

pub mod budget;
pub mod cmd;
pub mod control;
pub mod gateway;
pub mod host;
pub mod http;
pub mod intent;
pub mod log;
pub mod net;
pub mod report;
pub mod request;
pub mod route;
pub mod router;
pub mod standin;
pub mod store;
pub mod target;
pub mod units;
pub mod util;
pub mod wire;
