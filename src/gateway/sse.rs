//! Server-sent events as they pass: cut after complete ones, and counted.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Longest event that has not ended, in bytes; more than this is no event.
const EVENT_MAX: usize = 1 << 20;

/// Cuts a stream after its last complete event.
#[derive(Debug, Default)]
pub struct Events {
    rest: BytesMut,
    count: u64,
    last_id: Option<String>,
}

impl Events {
    /// Takes bytes in; returns the complete events that they end.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let mut end = 0;
        let mut last = 0;
        for at in memmem::find_iter(&self.rest, b"\n\n") {
            last = end;
            end = at + 2;
            self.count += 1;
        }
        if end == 0 {
            return Bytes::new();
        }
        if let Some(id) = id_of(&self.rest[last..end]) {
            self.last_id = Some(id);
        }
        self.rest.split_to(end).freeze()
    }

    /// Events so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether part of an event is held back.
    pub fn has_rest(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Whether what is held back is too long for an event.
    pub fn is_overlong(&self) -> bool {
        self.rest.len() > EVENT_MAX
    }

    /// Takes what is held back.
    pub fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Forgets the part of an event that will not be finished.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
    }
}

fn id_of(event: &[u8]) -> Option<String> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    // An id that is no text fits in no header; the last one that is stands.
    std::str::from_utf8(line)
        .ok()
        .map(|id| id.trim().to_owned())
}
