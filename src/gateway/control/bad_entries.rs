//! Entries in the store that cannot be used, so that each is logged once and not each time that it is read.

use std::collections::HashMap;

/// Entries that are remembered: above the targets of any deployment that is aimed at. More are counted, not logged.
const REMEMBERED: usize = 1_024;

/// Entries that cannot be used, each with the place of its cause.
#[derive(Debug, Default)]
pub(super) struct BadEntries(HashMap<String, usize>);

impl BadEntries {
    /// Notes an entry; whether that is news.
    pub(super) fn note(&mut self, key: &str, cause: usize) -> bool {
        if self.0.get(key) == Some(&cause) {
            return false;
        }
        if self.0.len() >= REMEMBERED && !self.0.contains_key(key) {
            return false;
        }
        self.0.insert(key.to_owned(), cause);
        true
    }

    /// Forgets an entry that is gone, or good again.
    pub(super) fn remove(&mut self, key: &str) {
        self.0.remove(key);
    }
}
