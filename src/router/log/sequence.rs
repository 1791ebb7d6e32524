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
pub struct Member {
    /// The last sequence number applied.
    pub seq: u64,
    /// Its witness, if it has one.
    pub witness: Option<Incarnation>,
    /// Offset at which it left or was closed.
    pub gone: Option<Offset>,
}

/// The writers of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sequence {
    members: BTreeMap<Incarnation, Member>,
    departed: std::collections::VecDeque<Incarnation>,
}

impl Sequence {
    /// Accepts `seq` if it is the writer's next number; returns whether it was accepted.
    pub fn admit(&mut self, writer: Incarnation, seq: u64) -> bool {
        let member = self.members.entry(writer).or_default();
        if seq != member.seq + 1 {
            return false;
        }
        member.seq = seq;
        true
    }

    /// State of a writer; the default for one that has not written.
    pub fn member(&self, writer: Incarnation) -> Member {
        self.members.get(&writer).copied().unwrap_or_default()
    }

    /// Whether the writer has left or was closed.
    pub fn is_gone(&self, writer: Incarnation) -> bool {
        self.member(writer).gone.is_some()
    }

    /// Sets the writer's witness.
    pub fn set_witness(&mut self, writer: Incarnation, witness: Option<Incarnation>) {
        self.members.entry(writer).or_default().witness = witness;
    }

    /// Records that the writer left or was closed at `offset`, and forgets the oldest departed writer beyond the limit.
    pub fn depart(&mut self, writer: Incarnation, offset: Offset) {
        self.members.entry(writer).or_default().gone = Some(offset);
        self.departed.push_back(writer);
        if self.departed.len() > DEPARTED_MAX
            && let Some(oldest) = self.departed.pop_front()
        {
            self.members.remove(&oldest);
        }
    }
}
