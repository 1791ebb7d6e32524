//! The router: the product's native API, on each entry host, built on a log service and a host list.
//!
//! Decisions are pure code ([`control`], and the aggregates in [`budget`], [`request`], [`pool`], [`host`],
//! [`config`]); sockets, clocks and randomness are confined to `api`, [`http`], `client` and the process. The gateway
//! uses none of this.

mod api;
pub mod budget;
pub mod client;
pub mod config;
pub mod control;
mod core;
mod edge;
mod entry;
mod feed;
pub mod host;
pub mod http;
pub mod intent;
pub mod key;
pub mod log;
mod log_feed;
pub mod message;
pub mod pool;
mod process;
pub mod report;
pub mod request;
mod shared;

pub use process::{Options, run};
