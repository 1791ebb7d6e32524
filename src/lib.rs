//! lanedeck: a router fleet for prepaid token budgets.
//!
//! A router decides for each request whether it may run, at what priority and on which target,
//! and never lets spend exceed the prepaid budget. There are two frontends, which share only the
//! modules below them: [`gateway`] serves callers of a deployment in the deployment's dialect and
//! keeps durable state in its store; [`router`] serves lanedeck's own interface and keeps durable state
//! in a log service. Both use [`net`], [`wire`], [`signals`], [`ejection`], [`units`] and [`util`].

#![warn(clippy::unwrap_used)]

pub mod boot_clock;
pub mod cmd;
pub mod ejection;
pub mod gateway;
pub mod net;
pub mod panics;
pub mod router;
pub mod signals;
pub mod standin;
pub mod store;
pub mod units;
pub mod util;
pub mod wall_clock;
pub mod wire;
