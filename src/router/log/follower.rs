//! Folds one stream into a state: applies batches in offset order, or resumes from a checkpoint.

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Violation;
use super::{Batch, Checkpoint, Record, digest};
use crate::router::key::Incarnation;
use crate::units::Offset;
use crate::util::{decode, encode};

/// A state computed from a stream by a pure fold.
pub trait Fold: Serialize + DeserializeOwned + Default {
    /// Applies one record from the batch at `offset`.
    fn apply(
        &mut self,
        offset: Offset,
        writer: Incarnation,
        record: &Record,
    ) -> Result<(), Violation>;
    /// Accepts sequence number `seq` of `writer` if it is the writer's next; returns whether it was accepted.
    fn admit(&mut self, writer: Incarnation, seq: u64) -> bool;
}

/// The result of one call of [`Follower::apply_batches`].
#[derive(Debug, Default)]
pub struct Progress {
    /// Invariants found broken.
    pub violations: Vec<Violation>,
    /// The state at the last mark reached, ready to be written as a checkpoint.
    pub marked: Option<Checkpoint>,
    /// Whether a checkpoint from any writer was read.
    pub checkpointed: bool,
}

/// The folded state of a stream and the offset it has reached.
#[derive(Debug, Default)]
pub struct Follower<S> {
    state: S,
    applied: Offset,
    mark: Option<Checkpoint>,
    since_mark: u64,
}

impl<S: Fold> Follower<S> {
    /// The folded state.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// The last offset applied; it never decreases.
    pub fn applied(&self) -> Offset {
        self.applied
    }

    /// Batches applied since the last mark.
    pub fn since_mark(&self) -> u64 {
        self.since_mark
    }

    /// The next offset to read.
    pub fn next(&self) -> Offset {
        self.applied + Offset(1)
    }

    /// The state as a checkpoint at the current offset.
    pub fn snapshot(&self) -> Checkpoint {
        let state = encode(&self.state);
        Checkpoint {
            through: self.applied,
            digest: digest(&state),
            state,
        }
    }

    /// Replaces the state by a checkpoint's if the checkpoint is ahead of it, matches its digest and decodes.
    /// Returns whether it was replaced.
    pub fn restore(&mut self, checkpoint: &Checkpoint) -> bool {
        if checkpoint.through <= self.applied || digest(&checkpoint.state) != checkpoint.digest {
            return false;
        }
        let Some(state) = decode(&checkpoint.state) else {
            return false;
        };
        self.state = state;
        self.applied = checkpoint.through;
        self.mark = None;
        true
    }

    /// Applies the batches that continue from the last applied offset; `first` is the oldest offset that the log
    /// still retains.
    ///
    /// A follower behind the log's retention first restores the newest usable checkpoint among `batches` and
    /// continues from there; without one it applies nothing.
    pub fn apply_batches(&mut self, first: Offset, batches: &[(Offset, Batch)]) -> Progress {
        let mut progress = Progress::default();
        if first > self.next() {
            let Some(checkpoint) = newest_checkpoint(batches, first) else {
                return progress;
            };
            if !self.restore(checkpoint) {
                return progress;
            }
        }
        for (offset, batch) in batches {
            if *offset == self.next() {
                self.apply(*offset, batch, &mut progress);
            }
        }
        progress
    }

    fn apply(&mut self, offset: Offset, batch: &Batch, progress: &mut Progress) {
        self.applied = offset;
        self.since_mark += 1;
        let mut marked = false;
        for entry in &batch.entries {
            if !self.state.admit(batch.writer, entry.seq) {
                continue;
            }
            match &entry.record {
                Record::Mark => marked = true,
                Record::Checkpoint(theirs) => {
                    progress.checkpointed = true;
                    progress.marked = None;
                    progress.violations.extend(self.compare(theirs));
                }
                record => {
                    let result = self.state.apply(offset, batch.writer, record);
                    progress.violations.extend(result.err());
                }
            }
        }
        if marked {
            // Taken after the whole batch, because a restored follower continues with the next batch.
            let checkpoint = self.snapshot();
            self.mark = Some(checkpoint.clone());
            self.since_mark = 0;
            progress.marked = Some(checkpoint);
        }
    }

    fn compare(&self, theirs: &Checkpoint) -> Option<Violation> {
        let ours = self.mark.as_ref()?;
        (ours.through == theirs.through && ours.digest != theirs.digest).then_some(
            Violation::Digest {
                through: theirs.through,
                ours: ours.digest,
                theirs: theirs.digest,
            },
        )
    }
}

fn newest_checkpoint(batches: &[(Offset, Batch)], first: Offset) -> Option<&Checkpoint> {
    let records = batches.iter().flat_map(|(_, batch)| &batch.entries);
    records
        .filter_map(|entry| match &entry.record {
            Record::Checkpoint(checkpoint) => Some(checkpoint),
            _ => None,
        })
        .rfind(|checkpoint| checkpoint.through + Offset(1) >= first)
}
