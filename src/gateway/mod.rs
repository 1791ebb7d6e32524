//! A gateway: the router process for callers that use a deployment's own wire format.
//!
//! One thread owns the control state (`state`) and runs `control`; the other threads carry traffic (`listener`,
//! `serve`, `exchange`, `stream`). The rules by which a request is admitted, placed, retried and abandoned, and by
//! which grants are sized, are in [`decision`], one module each. Persistent state is kept in the deployment's
//! [`store`](crate::store). The wire format is implemented by the deployment's [`Dialect`](dialect::Dialect).

pub mod attempt;
pub mod body;
pub mod budgets;
pub mod capacities;
pub mod clock;
pub mod contact;
mod control;
pub mod deadline;
pub mod decision;
pub mod dialect;
pub mod escrow;
pub mod evacuation;
mod exchange;
pub mod feed;
pub mod fingerprint;
mod headers;
pub mod held;
pub mod incarnation;
pub mod job;
pub mod key;
pub mod lag;
pub mod link_delay;
mod listener;
pub mod members;
pub mod message;
pub mod metrics;
pub mod notice;
pub mod operators;
pub mod paths;
pub mod pauses;
pub mod placements;
mod process;
pub mod proxy;
pub mod quarantine;
mod relay;
pub mod reply;
pub mod rollout;
pub mod route;
mod serve;
mod shared;
pub mod slots;
pub mod sse;
pub mod state;
mod stop;
pub mod store_calls;
mod stream;
pub mod streams;
pub mod targets;
mod upload;

pub use process::{Listeners, Options, run};
