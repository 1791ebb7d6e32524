//! A read of the newest record of each key, in several parts.
//!
//! A part that fails is read again, and those before it are kept: where the store refuses part of all calls, a read that
//! began anew each time would hardly ever reach the end of a long list.
//!
//! The next part is asked for by a key of the part before. The store may not know that key any more, or may not be able to
//! read it, since other writers choose keys too. The read then steps back to an earlier key of the part, and reads some
//! records twice.

use std::collections::HashSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::hedge::{self, Delays};
use super::{CallError, Page, Part, Partition, Store};

/// Where the next part begins.
#[derive(Clone, Debug, Default)]
struct Continuation {
    /// Keys of the last part after which the next one may begin. The last one is tried first.
    keys: Vec<String>,
    /// Number of keys by which the next step goes back.
    step: usize,
}

impl Continuation {
    fn new(keys: Vec<String>) -> Self {
        Self { keys, step: 1 }
    }

    fn after(&self) -> Option<&str> {
        self.keys.last().map(String::as_str)
    }

    /// Goes back to an earlier key, in steps that double. Returns the key that was given up, or `None` if it is the only
    /// one that is left.
    fn step_back(&mut self) -> Option<String> {
        if self.keys.len() < 2 {
            return None;
        }
        let refused = self.keys.last().cloned();
        let left = self.keys.len().saturating_sub(self.step);
        self.keys.truncate(left.max(1));
        self.step *= 2;
        refused
    }
}

/// The read of one partition.
#[derive(Clone, Debug)]
pub struct Snapshot {
    partition: Partition,
    page: Page,
    next: Continuation,
    /// Hashes of the keys that were read.
    keys_read: HashSet<u64>,
    /// Number of parts read.
    parts: usize,
    is_complete: bool,
    delays: Delays,
}

/// What a part has added to those before.
enum Addition {
    /// Records, or the end.
    Progress,
    /// No key that was not read before, although there are more.
    NothingNew,
}

impl Snapshot {
    /// Begins the read of a partition.
    pub fn new(partition: Partition) -> Self {
        Self {
            partition,
            page: Page::default(),
            next: Continuation::default(),
            keys_read: HashSet::new(),
            parts: 0,
            is_complete: false,
            delays: Delays::new(hedge::HEDGE_AFTER),
        }
    }

    /// Sets another delay without an answer after which a part is asked for again.
    pub fn with_repeat(self, repeat: Duration) -> Self {
        let delays = self.delays.with_repeat(repeat);
        Self { delays, ..self }
    }

    /// Forgets the parts that were read.
    fn restart(&mut self) -> Self {
        let new = Self {
            delays: self.delays,
            ..Self::new(self.partition)
        };
        std::mem::replace(self, new)
    }

    /// Whether no part was read yet.
    pub fn is_new(&self) -> bool {
        self.parts == 0
    }

    /// Number of parts read.
    pub fn parts(&self) -> usize {
        self.parts
    }

    /// Number of records in them. One that was read twice counts twice.
    pub fn records_read(&self) -> usize {
        self.page.records.len()
    }

    /// Whether all parts were read.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Reads the next part; `on_silence` is called while there is no answer.
    ///
    /// # Errors
    /// The error of the call. The next call continues with the same part, or begins anew if the store was restored or
    /// does not continue after any key of the last part.
    pub async fn read_part(
        &mut self,
        store: &dyn Store,
        on_silence: impl Fn(),
    ) -> Result<(), CallError> {
        loop {
            let (partition, after) = (self.partition, self.next.after());
            let read = || store.newest(partition, after, hedge::ANSWER_MAX);
            let error = match hedge::hedged(self.delays, &on_silence, read).await {
                Ok(part) => match self.add(part)? {
                    Addition::Progress => return Ok(()),
                    Addition::NothingNew => CallError::NoProgress,
                },
                Err(error) => error,
            };
            if self.is_new() || !error.may_depend_on_key() {
                return Err(error);
            }
            let topic = partition.topic;
            let Some(key) = self.next.step_back() else {
                let parts = self.parts;
                tracing::error!(event = "store_list_unreadable", ?topic, parts, %error);
                self.restart();
                return Err(error);
            };
            tracing::warn!(event = "store_key_refused", ?topic, key, %error);
        }
    }

    /// Adds a part that was read.
    fn add(&mut self, part: Part) -> Result<Addition, CallError> {
        if self.is_new() {
            self.page.end = part.end;
            self.page.next = part.end;
        } else if self.page.next.era != part.end.era {
            let era = part.end.era;
            self.restart();
            return Err(CallError::Restored { era });
        }
        let known = self.keys_read.len();
        let hashes = part.keys.iter().map(|key| xxh3_64(key.as_bytes()));
        self.keys_read.extend(hashes);
        if part.has_more && self.keys_read.len() == known {
            return Ok(Addition::NothingNew);
        }
        self.parts += 1;
        self.page.records.extend(part.records);
        self.is_complete = !part.has_more;
        self.next = Continuation::new(part.keys);
        Ok(Addition::Progress)
    }

    /// Reads all parts that are left, and returns the records of all. Reading on from the page's `next` returns all
    /// changes made meanwhile. The next read begins anew.
    ///
    /// # Errors
    /// As [`read_part`](Self::read_part).
    pub async fn read(
        &mut self,
        store: &dyn Store,
        on_silence: impl Fn(),
    ) -> Result<Page, CallError> {
        while !self.is_complete() {
            self.read_part(store, &on_silence).await?;
        }
        Ok(self.restart().page)
    }
}
