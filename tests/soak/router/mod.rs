//! The soak test of `lanedeck router`. Routers, their log, the host list and targets run as processes.

mod caller;
mod operator;
mod plan;
mod promise;
mod run;

pub use plan::Plan;
pub use run::{addresses, run};
