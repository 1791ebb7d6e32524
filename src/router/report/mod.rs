//! The data that a router keeps for reports: latencies and burn rates by customer, class and model, and the decisions
//! on recent requests.

pub mod burn;
mod html;
mod metrics;
mod trail;
mod watch;

pub use html::page;
pub use metrics::{Key, Metrics, Minute, Sample, Series, histogram, is_good};
pub use trail::{Step, Trail};
pub use watch::FrameTimes;
