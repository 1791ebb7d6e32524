//! Who has written to a stream, and how far: the part of a fold that makes appends repeatable.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::router::key::Incarnation;
use crate::units::Offset;

/// Writers remembered after they have left or were closed. One that is older than this many
/// departures has no append under way any more.
const DEPARTED_MAX: usize = 4096;

/// What the fold knows of one writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The last sequence number applied.
    pub seq: u64,
    /// Its witness, if it has named one.
    pub witness: Option<Incarnation>,
    /// Where it left or was closed.
    pub gone: Option<Offset>,
}

/// The writers of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sequence {
    members: BTreeMap<Incarnation, Member>,
    departed: std::collections::VecDeque<Incarnation>,
}

impl Sequence {
    /// Takes `seq` if it is the writer's next.
    pub fn admit(&mut self, writer: Incarnation, seq: u64) -> bool {
        let member = self.members.entry(writer).or_default();
        if seq != member.seq + 1 {
            return false;
        }
        member.seq = seq;
        true
    }

    /// What is known of a writer.
    pub fn member(&self, writer: Incarnation) -> Member {
        self.members.get(&writer).copied().unwrap_or_default()
    }

    /// Whether the writer has left or was closed.
    pub fn is_gone(&self, writer: Incarnation) -> bool {
        self.member(writer).gone.is_some()
    }

    /// Names the writer's witness.
    pub fn set_witness(&mut self, writer: Incarnation, witness: Option<Incarnation>) {
        self.members.entry(writer).or_default().witness = witness;
    }

    /// The writer has left or was closed at `offset`.
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
