//! The writers of a stream and their last sequence numbers: the part of a fold that makes appends idempotent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::router::key::Incarnation;
use crate::units::Offset;

/// Writers remembered after they have left or were closed. A writer forgotten after this many later departures has
/// no append in flight any more.
const DEPARTED_MAX: usize = 4096;

/// State of one writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterState {
    /// The last sequence number applied.
    pub seq: u64,
    /// Witness of the writer, if it has one.
    pub witness: Option<Incarnation>,
    /// Offset at which the writer left or was closed.
    pub departed_at: Option<Offset>,
}

/// The writers of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sequence {
    writers: BTreeMap<Incarnation, WriterState>,
    departed: std::collections::VecDeque<Incarnation>,
}

impl Sequence {
    /// Accepts `seq` if it is the writer's next number; returns whether it was accepted.
    pub fn admit(&mut self, writer: Incarnation, seq: u64) -> bool {
        let state = self.writers.entry(writer).or_default();
        if seq != state.seq + 1 {
            return false;
        }
        state.seq = seq;
        true
    }

    /// State of a writer; the default for one that has not written.
    pub fn writer(&self, writer: Incarnation) -> WriterState {
        self.writers.get(&writer).copied().unwrap_or_default()
    }

    /// Whether the writer has left or was closed.
    pub fn has_departed(&self, writer: Incarnation) -> bool {
        self.writer(writer).departed_at.is_some()
    }

    /// Sets the writer's witness.
    pub fn set_witness(&mut self, writer: Incarnation, witness: Option<Incarnation>) {
        self.writers.entry(writer).or_default().witness = witness;
    }

    /// Records that the writer left or was closed at `offset`, and forgets the oldest departed writer beyond the limit.
    pub fn depart(&mut self, writer: Incarnation, offset: Offset) {
        self.writers.entry(writer).or_default().departed_at = Some(offset);
        self.departed.push_back(writer);
        if self.departed.len() > DEPARTED_MAX
            && let Some(oldest) = self.departed.pop_front()
        {
            self.writers.remove(&oldest);
        }
    }
}
