//! Group commit: one batch in flight a stream, repeated until it is read back.

use std::collections::VecDeque;

use super::{Batch, Entry, Record};
use crate::router::key::Incarnation;
use crate::units::Millis;

/// An append unanswered for this long is sent again.
const RESEND_AFTER: Millis = Millis(1_000);
/// Records in one append.
const BATCH_MAX: usize = 256;

/// The outbox of one stream.
///
/// A record stays here until the fold has applied it. An append whose answer was lost is simply
/// appended again: the fold ignores what it has seen.
#[derive(Clone, Debug)]
pub struct Writer {
    writer: Incarnation,
    next: u64,
    /// The last number that was sent.
    sent: u64,
    waiting: VecDeque<Entry>,
    /// When the oldest waiting record was first sent.
    first_sent: Option<Millis>,
    in_flight: Option<Millis>,
    last_sent: Millis,
}

impl Writer {
    /// An empty outbox.
    pub fn new(writer: Incarnation) -> Self {
        Self {
            writer,
            next: 1,
            sent: 0,
            waiting: VecDeque::new(),
            first_sent: None,
            in_flight: None,
            last_sent: Millis::ZERO,
        }
    }

    /// Queues a record; its sequence number is returned.
    pub fn push(&mut self, record: Record) -> u64 {
        let seq = self.next;
        self.next += 1;
        self.waiting.push_back(Entry { seq, record });
        seq
    }

    /// Whether nothing waits to be read back.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that have not been read back.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.waiting.iter().map(|entry| &entry.record)
    }

    /// Whether a record waits that `same` holds for.
    pub fn holds(&self, same: impl Fn(&Record) -> bool) -> bool {
        self.records().any(same)
    }

    /// The next append, if one is due: none is in flight, and the last is `gap` old.
    pub fn due(&mut self, now: Millis, gap: Millis) -> Option<Batch> {
        if self.waiting.is_empty() {
            return None;
        }
        let ready = match self.in_flight {
            Some(since) => now >= since + RESEND_AFTER,
            None => now >= self.last_sent + gap,
        };
        if !ready {
            return None;
        }
        self.in_flight = Some(now);
        self.first_sent.get_or_insert(now);
        self.last_sent = now;
        let entries: Vec<Entry> = self.waiting.iter().take(BATCH_MAX).cloned().collect();
        self.sent = self.sent.max(entries.last().map_or(0, |entry| entry.seq));
        Some(Batch {
            writer: self.writer,
            entries,
        })
    }

    /// Drops what was never sent. What was sent may be in the log already or still on its way, so it
    /// keeps its numbers: a number that was given to another record would let those after it count
    /// without it.
    pub fn drop_unsent(&mut self) {
        let sent = self.sent;
        self.waiting.retain(|entry| entry.seq <= sent);
        self.next = sent + 1;
    }

    /// The fold has applied all of ours through `seq`.
    pub fn applied(&mut self, seq: u64) {
        let before = self.waiting.len();
        while self.waiting.front().is_some_and(|entry| entry.seq <= seq) {
            self.waiting.pop_front();
        }
        if self.waiting.len() < before {
            self.in_flight = None;
            self.first_sent = None;
        }
    }

    /// The log refused the append outright; it may be sent again after the gap.
    pub fn refused(&mut self) {
        self.in_flight = None;
    }

    /// How long the oldest record has waited to be read back since it was first sent.
    pub fn waited(&self, now: Millis) -> Millis {
        self.first_sent
            .map_or(Millis::ZERO, |since| now.saturating_sub(since))
    }
}
