//! The targets as a gateway knows them: which there are, how busy each is, and how attempts there
//! ended. Which of them a request may be sent to is in `choice`; which of those it is sent to is
//! [`placement`](super::decision::placement)'s decision.

mod attempts;
mod cache;
mod choice;
mod cold;
mod limit;
mod notices;
mod outstanding;
mod registry;
mod target;

pub use notices::Barred;
pub use outstanding::{Outstanding, View};
pub use registry::{Change, Freshness, Targets};
pub use target::Target;
