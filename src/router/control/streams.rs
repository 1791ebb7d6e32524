//! Applies what is read from the log, and writes marks, checkpoints and due appends.

use rand::RngExt;

use super::action::ReplyToken;
use super::state::PendingCheckpoint;
use super::{Action, State};
use crate::router::client::Cursor;
use crate::router::key::Stream;
use crate::router::log::{Batch, Checkpoint, Progress, Record};
use crate::units::{Millis, Offset};

/// Longest random delay, in milliseconds, before a router writes a checkpoint; another may write it first.
const CHECKPOINT_JITTER_MS: u64 = 2_000;
/// Probability that a router writes a mark, at each tick while a stream is due for a checkpoint.
const MARK_PROBABILITY: f64 = 0.05;

impl State {
    /// Applies records that were read from a stream.
    pub(super) fn apply_records(
        &mut self,
        stream: Stream,
        first: Offset,
        batches: &[(Offset, Batch)],
    ) {
        let progress = match stream {
            Stream::Config => self.config.apply_batches(first, batches),
            Stream::Shard(shard) => self.ledgers[usize::from(shard)].apply_batches(first, batches),
        };
        self.oldest_retained.insert(stream, first);
        if !self.is_behind(stream) {
            self.caught_up.insert(stream);
        }
        self.apply_progress(stream, progress, !batches.is_empty());
    }

    /// Restores a stream's state from a peer's snapshot.
    pub(super) fn restore(&mut self, stream: Stream, checkpoint: &Checkpoint) {
        let restored = match stream {
            Stream::Config => self.config.restore(checkpoint),
            Stream::Shard(shard) => self.ledgers[usize::from(shard)].restore(checkpoint),
        };
        // An empty stream has nothing to restore and counts as read to its end.
        let is_current = restored || checkpoint.through == self.applied(stream);
        if is_current && !self.is_behind(stream) {
            self.caught_up.insert(stream);
        }
        self.apply_progress(stream, Progress::default(), restored);
    }

    /// Whether the log has dropped records of a stream that were not applied here. Only a checkpoint or a peer's
    /// state can bring the stream on.
    pub(super) fn is_behind(&self, stream: Stream) -> bool {
        let oldest = self.oldest_retained.get(&stream);
        oldest.is_some_and(|oldest| self.next_offset(stream) < *oldest)
    }

    fn next_offset(&self, stream: Stream) -> Offset {
        self.applied(stream) + Offset(1)
    }

    /// Tells the feed to read on from what was applied, which may be less than what it has delivered.
    pub(super) fn answer_cursors(&mut self, token: ReplyToken) {
        let cursors = Stream::all().map(|stream| Cursor {
            stream,
            from: self.next_offset(stream),
        });
        let cursors = cursors.collect();
        self.actions.push(Action::Cursors { token, cursors });
    }

    fn apply_progress(&mut self, stream: Stream, progress: Progress, has_advanced: bool) {
        for violation in progress.violations {
            self.report_violation(violation);
        }
        if progress.checkpointed {
            self.checkpoints.remove(&stream);
        }
        if let Some(checkpoint) = progress.marked {
            let wait = Millis(self.rng.random_range(0..=CHECKPOINT_JITTER_MS));
            let due_at = self.now + wait;
            self.checkpoints
                .insert(stream, PendingCheckpoint { checkpoint, due_at });
        }
        if has_advanced {
            self.stream_advanced(stream);
        }
    }

    /// Handles new records of a stream, after they were applied.
    fn stream_advanced(&mut self, stream: Stream) {
        let me = self.incarnation();
        let member = match stream {
            Stream::Config => self.config().sequence().writer(me),
            Stream::Shard(shard) => self.ledger(shard).sequence().writer(me),
        };
        self.writer(stream).applied(member.seq);
        self.update_past_writers(stream);
        match stream {
            Stream::Config => self.config_changed(),
            Stream::Shard(_) if member.departed_at.is_some() && !self.stopping => {
                self.renew_incarnation()
            }
            Stream::Shard(shard) => {
                self.recheck_witnesses();
                self.ledger_changed(shard);
            }
        }
        self.answer_confirms();
    }

    /// Confirms to the writers of earlier incarnations the records that were read back.
    fn update_past_writers(&mut self, stream: Stream) {
        let sequence = match stream {
            Stream::Config => self.config.state().sequence(),
            Stream::Shard(shard) => self.ledgers[usize::from(shard)].state().sequence(),
        };
        for ((name, written_to), writer) in &mut self.past_writers {
            if *written_to == stream {
                writer.applied(sequence.writer(*name).seq);
            }
        }
    }

    fn config_changed(&mut self) {
        let targets = self.config.state().targets();
        self.pool.update(targets);
        self.publish();
        self.start_queued();
    }

    pub(super) fn set_log_up(&mut self, up: bool) {
        if self.log_up && !up {
            self.log_down_since = self.now;
        }
        self.log_up = up;
    }

    /// Handles the log's answer to an append.
    pub(super) fn handle_append_result(&mut self, stream: Stream, taken: bool) {
        if !taken {
            self.writer(stream).append_failed();
            let past = self.past_writers.iter_mut();
            for (_, writer) in past.filter(|((_, written_to), _)| *written_to == stream) {
                writer.append_failed();
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

    /// Writes marks for the streams that are due for a checkpoint, and the checkpoints that no other router has
    /// written first.
    pub(super) fn write_checkpoints(&mut self) {
        for stream in Stream::all() {
            let is_mark_due = self.since_mark(stream) >= self.settings.checkpoint_every;
            if is_mark_due && self.rng.random_bool(MARK_PROBABILITY) {
                let writer = self.writer(stream);
                if !writer.holds(|record| matches!(record, Record::Mark)) {
                    writer.push(Record::Mark);
                }
            }
            let is_checkpoint_due = self
                .checkpoints
                .get(&stream)
                .is_some_and(|pending| self.now >= pending.due_at);
            if is_checkpoint_due && let Some(pending) = self.checkpoints.remove(&stream) {
                self.writer(stream)
                    .push(Record::Checkpoint(pending.checkpoint));
            }
        }
    }

    /// Requests everything that is due to be sent: appends, then calls to witnesses.
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
