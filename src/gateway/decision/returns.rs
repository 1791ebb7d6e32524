//! Refused tries whose requests are expected back.
//!
//! Callers give each try of a request a new id, so a request that comes back is known by its fingerprint. Different
//! callers may send the same request at the same time: their tries cannot be told apart, so each refused try stands for
//! at most one later try.

use std::collections::{BTreeMap, HashMap};

use crate::gateway::fingerprint::Fingerprint;
use crate::units::Millis;

/// When the request of a refused try is expected back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// The earliest time.
    pub from: Millis,
    /// The time from which on it is not expected any more.
    pub until: Millis,
}

/// The tries of one request, by the begin of their windows and their numbers, with the end of the window and the figure.
type Tries<T> = BTreeMap<(Millis, u64), (Millis, T)>;

/// Refused tries with a figure each, by the fingerprints of their requests.
#[derive(Debug)]
pub struct Returns<T> {
    max: usize,
    next: u64,
    /// The request of each try and the begin of its window, by the number of the try: the oldest is first.
    tries: BTreeMap<u64, (Fingerprint, Millis)>,
    by_request: HashMap<Fingerprint, Tries<T>>,
}

impl<T> Returns<T> {
    /// Remembers at most `max` tries; beyond it the oldest is forgotten.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            next: 0,
            tries: BTreeMap::new(),
            by_request: HashMap::new(),
        }
    }

    /// Remembers a refused try.
    pub fn expect(&mut self, request: Fingerprint, window: Window, figure: T) {
        if self.tries.len() >= self.max
            && let Some((oldest, (request, from))) = self.tries.pop_first()
        {
            self.remove(request, (from, oldest));
        }
        let key = (window.from, self.next);
        self.next += 1;
        self.tries.insert(key.1, (request, window.from));
        let tries = self.by_request.entry(request).or_default();
        tries.insert(key, (window.until, figure));
    }

    /// Forgets the try that a request comes back from, and returns its figure; `None` if the request is not expected
    /// now.
    pub fn take(&mut self, now: Millis, request: Fingerprint) -> Option<T> {
        loop {
            let tries = self.by_request.get(&request)?;
            let (&key, &(until, _)) = tries.first_key_value()?;
            if key.0 > now {
                return None;
            }
            self.tries.remove(&key.1);
            let figure = self.remove(request, key);
            if now < until {
                return figure;
            }
        }
    }

    /// Number of tries that are remembered.
    pub fn len(&self) -> usize {
        self.tries.len()
    }

    /// Whether no try is remembered.
    pub fn is_empty(&self) -> bool {
        self.tries.is_empty()
    }

    fn remove(&mut self, request: Fingerprint, key: (Millis, u64)) -> Option<T> {
        let tries = self.by_request.get_mut(&request)?;
        let removed = tries.remove(&key);
        if tries.is_empty() {
            self.by_request.remove(&request);
        }
        removed.map(|(_, figure)| figure)
    }
}
