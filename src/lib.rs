//! lanedeck: a router fleet for prepaid token budgets.
//!
//! A router decides for each request whether it may run, at what priority and on which target,
//! and never lets spend pass what was prepaid. There are two front doors, which share the modules
//! below them and nothing else: [`gateway`] serves callers of a deployment in its own dialect and
//! keeps what lasts in the deployment's store; [`router`] serves the product's own interface over a
//! log service. Both use [`net`], [`wire`], [`signals`], [`ejection`],
//! [`units`] and [`util`].

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
