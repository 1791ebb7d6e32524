//! Group commit: at most one batch in flight per stream, resent until it is read back.

use std::collections::VecDeque;

use super::{Batch, Entry, Record};
use crate::router::key::Incarnation;
use crate::units::Millis;

/// An append that has not been read back for this long is sent again.
const RESEND_AFTER: Millis = Millis(1_000);
/// Most records in one append.
const BATCH_MAX: usize = 256;

/// The outbox of one stream.
///
/// A record stays queued until the fold has applied it. An append whose response was lost is sent again: the fold
/// ignores sequence numbers that it has already applied.
#[derive(Clone, Debug)]
pub struct Writer {
    writer: Incarnation,
    next_seq: u64,
    /// The last sequence number that was sent.
    last_sent_seq: u64,
    pending: VecDeque<Entry>,
    /// When the oldest pending record was first sent.
    first_sent_at: Option<Millis>,
    in_flight_since: Option<Millis>,
    last_sent_at: Millis,
}

impl Writer {
    /// An empty outbox.
    pub fn new(writer: Incarnation) -> Self {
        Self {
            writer,
            next_seq: 1,
            last_sent_seq: 0,
            pending: VecDeque::new(),
            first_sent_at: None,
            in_flight_since: None,
            last_sent_at: Millis::ZERO,
        }
    }

    /// Queues a record and returns its sequence number.
    pub fn push(&mut self, record: Record) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.pending.push_back(Entry { seq, record });
        seq
    }

    /// Whether every queued record has been read back.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Records that have not been read back yet.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.pending.iter().map(|entry| &entry.record)
    }

    /// Whether a record that matches `predicate` has not been read back yet.
    pub fn holds(&self, predicate: impl Fn(&Record) -> bool) -> bool {
        self.records().any(predicate)
    }

    /// The next append, if one is due: none is in flight and the last was sent at least `gap` ago, or the one in
    /// flight is due to be sent again.
    pub fn due(&mut self, now: Millis, gap: Millis) -> Option<Batch> {
        if self.pending.is_empty() {
            return None;
        }
        let ready = match self.in_flight_since {
            Some(since) => now >= since + RESEND_AFTER,
            None => now >= self.last_sent_at + gap,
        };
        if !ready {
            return None;
        }
        self.in_flight_since = Some(now);
        self.first_sent_at.get_or_insert(now);
        self.last_sent_at = now;
        let entries: Vec<Entry> = self.pending.iter().take(BATCH_MAX).cloned().collect();
        self.last_sent_seq = self
            .last_sent_seq
            .max(entries.last().map_or(0, |entry| entry.seq));
        Some(Batch {
            writer: self.writer,
            entries,
        })
    }

    /// Drops the records that were never sent. Those that were sent may be in the log or still on their way, so they
    /// keep their numbers: if a number were reused for another record, the records after it could be applied
    /// without the record that first had the number.
    pub fn drop_unsent(&mut self) {
        let last_sent_seq = self.last_sent_seq;
        self.pending.retain(|entry| entry.seq <= last_sent_seq);
        self.next_seq = last_sent_seq + 1;
    }

    /// Removes the records up to `seq`, which the fold has applied.
    pub fn applied(&mut self, seq: u64) {
        let before = self.pending.len();
        while self.pending.front().is_some_and(|entry| entry.seq <= seq) {
            self.pending.pop_front();
        }
        if self.pending.len() < before {
            self.in_flight_since = None;
            self.first_sent_at = None;
        }
    }

    /// Records that the append failed; it may be sent again after the gap.
    pub fn append_failed(&mut self) {
        self.in_flight_since = None;
    }

    /// How long the oldest pending record has waited to be read back since it was first sent.
    pub fn pending_for(&self, now: Millis) -> Millis {
        self.first_sent_at
            .map_or(Millis::ZERO, |since| now.saturating_sub(since))
    }
}
