//! Splits a stream of server-sent events after complete events, and counts them. Comments are passed on with the events and
//! are none.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

use crate::net;

/// Maximum size of an incomplete event, with the comments since the event before it; more bytes than this without an event
/// are not accepted.
pub const EVENT_MAX_BYTES: usize = 1 << 20;

/// Splits a stream after its last complete event and buffers the bytes after it.
#[derive(Debug, Default)]
pub struct Events {
    partial: BytesMut,
    /// Bytes of it in which no end of an event was found.
    scanned: usize,
    /// Bytes of comments since the last event.
    comments: usize,
    /// Number of pushes since the last event.
    pushes: usize,
    count: u64,
    last_id: Option<String>,
}

impl Events {
    /// Appends bytes; returns the events and comments that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        self.pushes += 1;
        // The end of an event may have begun with the last byte of the push before.
        let from = self.scanned.saturating_sub(1);
        let mut end = 0;
        for at in memmem::find_iter(&self.partial[from..], b"\n\n") {
            let block_start = end;
            end = from + at + 2;
            let block = &self.partial[block_start..end];
            if is_comment(block) {
                self.comments += end - block_start;
                continue;
            }
            self.count += 1;
            (self.comments, self.pushes) = (0, 0);
            if let Some(id) = id_of(block) {
                self.last_id = Some(id);
            }
        }
        let complete = self.partial.split_to(end).freeze();
        self.scanned = self.partial.len();
        complete
    }

    /// Number of complete events so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether a part of an event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Number of bytes of the buffered part.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Whether the bytes since the last event are too many, or come in too small parts, to become one.
    pub fn is_endless(&self) -> bool {
        let bytes = self.partial.len() + self.comments;
        bytes > EVENT_MAX_BYTES || net::is_fragmented(self.pushes, bytes)
    }

    /// Removes and returns the buffered part of an event.
    pub fn take_partial(&mut self) -> Bytes {
        self.scanned = 0;
        self.partial.split().freeze()
    }

    /// Discards the buffered part of an event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanned = 0;
    }
}

/// Whether a block has lines of comments alone.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line.starts_with(b":"))
}

fn id_of(event: &[u8]) -> Option<String> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    // An id that is not UTF-8 cannot be sent in a header; the last valid id stays in use.
    std::str::from_utf8(line)
        .ok()
        .map(|id| id.trim().to_owned())
}
