//! A gateway: the router process towards callers that speak a deployment's own dialect.
//!
//! One thread owns the control state (`state`) and runs `control`; the others carry bytes
//! (`listener`, `serve`, `exchange`, `stream`). The rules by which a request is admitted, placed,
//! retried and given up, and grants are sized, are in [`decision`], one module each. What lasts is
//! kept in the deployment's [`store`](crate::store); what its wire looks like is the business of its
//! [`Dialect`](dialect::Dialect).

pub mod attempt;
pub mod body;
pub mod clock;
mod control;
pub mod deadline;
pub mod decision;
pub mod dialect;
pub mod escrow;
pub mod evacuation;
mod exchange;
pub mod fingerprint;
mod headers;
pub mod incarnation;
pub mod job;
pub mod key;
pub mod lag;
mod listener;
pub mod members;
pub mod message;
pub mod metrics;
pub mod notice;
mod process;
pub mod quarantine;
mod relay;
pub mod reply;
pub mod route;
mod serve;
mod shared;
pub mod sse;
pub(crate) mod state;
mod stop;
mod stream;
pub mod targets;
mod upload;

pub use process::{Listeners, Options, run};
