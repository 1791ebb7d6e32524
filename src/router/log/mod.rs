//! What is written to the platform's log, and how a stream of it is followed.
//!
//! The log is the only arbiter. Customers, classes and targets live in the configuration stream;
//! budgets live in shard streams, so that a router reads only the shards that it serves. Each
//! aggregate lives in exactly one stream, and its state is a pure fold over that stream.

mod follower;
mod record;
mod writer;

pub use follower::{Fold, Follower, Progress};
pub use record::{Batch, Checkpoint, Closed, Entry, Incarnation, Open, Record, Stream, digest};
pub use writer::Writer;

/// Number of shard streams; all routers of a fleet must agree on it.
pub const SHARDS: u8 = 16;
