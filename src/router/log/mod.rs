//! What is written to the platform's log, and how a stream of it is followed.
//!
//! The log is the only arbiter. Customers, classes and targets live in the configuration stream;
//! budgets live in shard streams, so that a router reads only the shards that it serves. Each
//! aggregate lives in exactly one stream, and its state is a pure fold over that stream.

mod follower;
mod record;
mod sequence;
mod violation;
mod writer;

pub use follower::{Fold, Follower, Progress};
pub use record::{Batch, Checkpoint, Closed, Entry, Open, Record, digest};
pub use sequence::{Member, Sequence};
pub use violation::Violation;
pub use writer::Writer;
