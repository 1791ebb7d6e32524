//! What a router remembers to report: latencies and burn by customer, class and model, and the
//! decisions on each recent request.

pub mod burn;
mod html;
mod metrics;
mod trail;
mod watch;

pub use html::page;
pub use metrics::{Key, Metrics, Minute, Sample, Series, histogram, is_good};
pub use trail::{Step, Trail};
pub use watch::FrameTimes;
