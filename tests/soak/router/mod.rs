//! The soak of `lanedeck router`: routers, their log, host list and targets as processes.

mod caller;
mod operator;
mod plan;
mod promise;
mod run;

pub use plan::Plan;
pub use run::{addresses, run};
