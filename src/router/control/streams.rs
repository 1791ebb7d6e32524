//! The log as this router follows and writes it.

use rand::RngExt;

use super::state::Due;
use super::{Action, State};
use crate::router::key::Stream;
use crate::router::log::{Batch, Checkpoint, Progress, Record};
use crate::units::{Millis, Offset};

/// Longest wait of a checkpoint's writer for somebody else to be first.
const CHECKPOINT_JITTER: u64 = 2_000;
/// Share of ticks at which a router whose stream is due sets a mark.
const MARK_SHARE: f64 = 0.05;

impl State {
    pub(super) fn take_records(
        &mut self,
        stream: Stream,
        first: Offset,
        batches: &[(Offset, Batch)],
    ) {
        let progress = match stream {
            Stream::Config => self.config.take(first, batches),
            Stream::Shard(shard) => self.ledgers[usize::from(shard)].take(first, batches),
        };
        // A reader behind the log's retention that has found no checkpoint knows nothing yet.
        if self.applied(stream) + Offset(1) >= first {
            self.caught_up.insert(stream);
        }
        self.took(stream, progress, !batches.is_empty());
    }

    /// Takes a stream's state over from a peer.
    pub(super) fn restore(&mut self, stream: Stream, checkpoint: &Checkpoint) {
        let restored = match stream {
            Stream::Config => self.config.restore(checkpoint),
            Stream::Shard(shard) => self.ledgers[usize::from(shard)].restore(checkpoint),
        };
        // An empty stream has nothing to restore, and its reader is at its end.
        if restored || checkpoint.through == self.applied(stream) {
            self.caught_up.insert(stream);
        }
        self.took(stream, Progress::default(), restored);
    }

    fn took(&mut self, stream: Stream, progress: Progress, moved: bool) {
        for violation in progress.violations {
            self.violated(violation);
        }
        if progress.checkpointed {
            self.checkpoints.remove(&stream);
        }
        if let Some(checkpoint) = progress.marked {
            let wait = Millis(self.rng.random_range(0..=CHECKPOINT_JITTER));
            let at = self.now + wait;
            self.checkpoints.insert(stream, Due { checkpoint, at });
        }
        if moved {
            self.moved(stream);
        }
    }

    fn moved(&mut self, stream: Stream) {
        let me = self.incarnation();
        let member = match stream {
            Stream::Config => self.config().sequence().member(me),
            Stream::Shard(shard) => self.ledger(shard).sequence().member(me),
        };
        self.writer(stream).applied(member.seq);
        self.past_moved(stream);
        match stream {
            Stream::Config => self.config_moved(),
            Stream::Shard(_) if member.gone.is_some() && !self.stopping => self.reborn(),
            Stream::Shard(shard) => {
                self.recheck_witnesses();
                self.ledger_moved(shard);
            }
        }
        self.answer_confirms();
    }

    fn past_moved(&mut self, stream: Stream) {
        let sequence = match stream {
            Stream::Config => self.config.state().sequence(),
            Stream::Shard(shard) => self.ledgers[usize::from(shard)].state().sequence(),
        };
        for ((name, written), writer) in &mut self.past_writers {
            if *written == stream {
                writer.applied(sequence.member(*name).seq);
            }
        }
    }

    fn config_moved(&mut self) {
        let targets = self.config.state().targets();
        self.pool.update(targets);
        self.publish();
        self.pump();
    }

    pub(super) fn set_log_up(&mut self, up: bool) {
        if self.log_up && !up {
            self.log_down_since = self.now;
        }
        self.log_up = up;
    }

    pub(super) fn appended(&mut self, stream: Stream, taken: bool) {
        if !taken {
            self.writer(stream).refused();
            let past = self.past_writers.iter_mut();
            for (_, writer) in past.filter(|((_, written), _)| *written == stream) {
                writer.refused();
            }
        }
    }

    pub(super) fn snapshot(&self, stream: Stream) -> Checkpoint {
        match stream {
            Stream::Config => self.config.snapshot(),
            Stream::Shard(shard) => self.ledgers[usize::from(shard)].snapshot(),
        }
    }

    fn since_mark(&self, stream: Stream) -> u64 {
        match stream {
            Stream::Config => self.config.since_mark(),
            Stream::Shard(shard) => self.ledgers[usize::from(shard)].since_mark(),
        }
    }

    /// Sets marks where they are due, and writes checkpoints that nobody else has written.
    pub(super) fn write_checkpoints(&mut self) {
        for stream in Stream::all() {
            let due = self.since_mark(stream) >= self.settings.checkpoint_every;
            if due && self.rng.random_bool(MARK_SHARE) {
                let writer = self.writer(stream);
                if !writer.holds(|record| matches!(record, Record::Mark)) {
                    writer.push(Record::Mark);
                }
            }
            let ripe = self
                .checkpoints
                .get(&stream)
                .is_some_and(|due| self.now >= due.at);
            if ripe && let Some(due) = self.checkpoints.remove(&stream) {
                self.writer(stream).push(Record::Checkpoint(due.checkpoint));
            }
        }
    }

    /// Sends all that is due: appends, then calls to witnesses.
    pub(super) fn flush(&mut self) {
        let gap = self.settings.append_gap;
        let mut appends = Vec::new();
        let past = self.past_writers.iter_mut();
        let past = past.map(|((_, stream), writer)| (stream, writer));
        for (stream, writer) in self.writers.iter_mut().chain(past) {
            if let Some(batch) = writer.due(self.now, gap) {
                appends.push((*stream, batch));
            }
        }
        for (stream, batch) in appends {
            self.actions.push(Action::Append { stream, batch });
        }
        self.flush_links();
    }
}
