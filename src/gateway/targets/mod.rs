//! A gateway's state about targets: which ones exist, how busy each is, and the outcomes of recent attempts. `choice`
//! filters those that a request may be sent to; [`placement`](super::decision::placement) picks one of them.

mod announced;
mod attempts;
mod cache;
mod choice;
mod cold;
mod limit;
mod notices;
mod outstanding;
mod registry;
mod slots;
pub mod speed;
mod target;

pub use notices::Barred;
pub use outstanding::{Outstanding, View};
pub use registry::{Change, Freshness, Targets};
pub use slots::Owned;
pub use target::Target;
