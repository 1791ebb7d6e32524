//! Splits a stream of server-sent events after complete events, and counts them.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Maximum size of an incomplete event; more bytes than this without an end are not accepted as an event.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Splits a stream after its last complete event and buffers the bytes after it.
#[derive(Debug, Default)]
pub struct Events {
    partial: BytesMut,
    count: u64,
    last_id: Option<String>,
}

impl Events {
    /// Appends bytes; returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut last_start = 0;
        for at in memmem::find_iter(&self.partial, b"\n\n") {
            last_start = end;
            end = at + 2;
            self.count += 1;
        }
        if end == 0 {
            return Bytes::new();
        }
        if let Some(id) = id_of(&self.partial[last_start..end]) {
            self.last_id = Some(id);
        }
        self.partial.split_to(end).freeze()
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

    /// Whether the buffered part exceeds the maximum size of an event.
    pub fn is_overlong(&self) -> bool {
        self.partial.len() > EVENT_MAX_BYTES
    }

    /// Removes and returns the buffered part of an event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards the buffered part of an event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
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
