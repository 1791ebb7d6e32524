//! Records of the platform's log, appending them, and following a stream.
//!
//! The log's order alone decides between concurrent writers. Customers, classes and targets are in the
//! configuration stream; budgets are in shard streams, so that a router reads only the shards that it serves.
//! Each aggregate is in exactly one stream, and its state is a pure fold over that stream.

mod follower;
mod record;
mod sequence;
mod violation;
mod writer;

pub use follower::{Fold, Follower, Progress};
pub use record::{Batch, Checkpoint, Closed, Entry, Open, Record, digest};
pub use sequence::{Sequence, WriterState};
pub use violation::Violation;
pub use writer::Writer;
