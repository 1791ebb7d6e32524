//! The product's own interface: a router on each entry host, over a log service and a host list.
//!
//! Decisions are pure code ([`control`], and the aggregates in [`budget`], [`request`], [`target`],
//! [`host`], [`intent`]); sockets, clocks and randomness stay at the edge ([`http`], [`client`] and
//! the process). A gateway uses none of this.

pub mod budget;
pub mod client;
pub mod control;
mod core;
mod edge;
mod feed;
pub mod host;
pub mod http;
pub mod intent;
pub mod log;
pub mod message;
mod process;
pub mod report;
pub mod request;
mod shared;
pub mod target;

pub use process::{Options, run};
pub use shared::Shared;
