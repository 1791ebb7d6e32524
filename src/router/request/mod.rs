//! Requests: their ids, the table of known ids, the queue they may wait in, and their verdicts.

mod id;
mod queue;
mod table;
mod verdict;

pub(crate) use id::epoch_of;
pub use id::{EPOCH_KEEP, EPOCH_LENGTH, Id, Prefix};
pub use queue::{Bound, Queue, Waiting};
pub use table::{Found, Table, Ticket};
pub use verdict::{Reason, Verdict};
