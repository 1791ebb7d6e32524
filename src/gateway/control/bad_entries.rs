//! Remembers unusable entries in the store, so that each is logged once and not on every read.

use std::collections::HashMap;

/// Maximum number of entries remembered: more than the targets of any intended deployment. Further entries are counted
/// but not logged.
const ENTRIES_MAX: usize = 1_024;

/// Unusable entries by key, each with the index of its cause.
#[derive(Debug, Default)]
pub(super) struct BadEntries(HashMap<String, usize>);

impl BadEntries {
    /// Records an entry. Returns whether it is new or has another cause than before.
    pub(super) fn insert(&mut self, key: &str, cause: usize) -> bool {
        if self.0.get(key) == Some(&cause) {
            return false;
        }
        if self.0.len() >= ENTRIES_MAX && !self.0.contains_key(key) {
            return false;
        }
        self.0.insert(key.to_owned(), cause);
        true
    }

    /// Removes an entry that was deleted or is usable again.
    pub(super) fn remove(&mut self, key: &str) {
        self.0.remove(key);
    }
}
