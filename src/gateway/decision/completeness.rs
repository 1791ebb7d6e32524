//! Up to which place of the store this router's list of targets is whole, so that whoever takes the list over there
//! misses nothing, and whether targets are dropped that the store's list lacks.
//!
//! The load it answers: in an outage of the store the entries of running targets lapse, and all of them would be dropped
//! as it ends. So those that are missing are kept for a grace. Meanwhile the list has targets that the store's list lacks, and
//! the removals of their entries lie before the place up to which it was read: it is whole only up to an earlier one. A
//! router that was in the outage itself reads the whole list whatever it takes over, for a grace of its own.

use std::collections::BTreeSet;

use crate::store::{Page, Place};
use crate::units::Millis;

/// How long a target that is no longer listed stays in use after the store is back: its entry may have expired because
/// the target could not write either. Running targets are listed again within about two seconds; the next read follows
/// half a second later.
pub const LAPSED_GRACE: Millis = Millis(1_700);

/// How the list differs from the store's.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum State {
    /// It was not read yet. Other routers may have told of targets.
    #[default]
    New,
    /// Not at all, as of the place up to which it was read.
    Whole,
    /// Unknown until the whole list is read: entries may have lapsed since the last read.
    Unread {
        /// When the whole list was read before, if targets were missing from it.
        missing_since: Option<Millis>,
    },
    /// It keeps targets whose entries were missing when the whole list was read.
    Partial {
        /// Their ids, without those whose entries have changed since.
        missing: BTreeSet<String>,
        missing_since: Millis,
    },
}

/// Up to which place the list is whole.
#[derive(Clone, Debug, Default)]
pub struct Completeness {
    state: State,
    whole_as_of: Option<Place>,
}

impl Completeness {
    /// The place up to which the list is whole; `None` if it never was.
    pub fn whole_as_of(&self) -> Option<Place> {
        self.whole_as_of
    }

    /// Whether the list has no targets that the store's list lacks.
    pub fn is_whole(&self) -> bool {
        self.state == State::Whole
    }

    /// Number of targets that are kept although the store's list lacks them, as far as that is known.
    pub fn missing(&self) -> usize {
        match &self.state {
            State::Partial { missing, .. } => missing.len(),
            State::New | State::Whole | State::Unread { .. } => 0,
        }
    }

    /// Notes an outage in which entries may have lapsed, a list that was taken over though it was old, or that the store was
    /// restored from a copy: the whole list has to be read.
    pub fn lose(&mut self) {
        self.state = State::Unread {
            missing_since: None,
        };
    }

    /// Whether targets are dropped that the whole list, as read now, lacks.
    pub fn drops_missing(&self, now: Millis) -> bool {
        let since = match &self.state {
            State::Whole => return true,
            State::New => None,
            State::Unread { missing_since } => *missing_since,
            State::Partial { missing_since, .. } => Some(*missing_since),
        };
        since.is_some_and(|since| now.saturating_sub(since) >= LAPSED_GRACE)
    }

    /// Records that the whole list was read at `now` up to a place, and the ids of the targets that were kept although it
    /// lacks them.
    pub fn record_list(&mut self, now: Millis, as_of: Place, missing: BTreeSet<String>) {
        let since = match self.state {
            State::New | State::Whole => None,
            State::Unread { missing_since } => missing_since,
            State::Partial { missing_since, .. } => Some(missing_since),
        };
        let missing_since = since.unwrap_or(now);
        self.state = State::Partial {
            missing,
            missing_since,
        };
        self.complete(as_of);
    }

    /// Records that the changes of a page were read at `now`. Returns the ids of the targets to drop, whose entries have
    /// been missing for the grace.
    #[must_use]
    pub fn record_changes(&mut self, now: Millis, page: &Page) -> BTreeSet<String> {
        let is_over = self.drops_missing(now) && page.next >= page.end;
        let dropped = match &mut self.state {
            State::New | State::Whole | State::Unread { .. } => BTreeSet::new(),
            State::Partial { missing, .. } => {
                for record in &page.records {
                    missing.remove(&record.key);
                }
                if is_over {
                    std::mem::take(missing)
                } else {
                    BTreeSet::new()
                }
            }
        };
        self.complete(page.next);
        dropped
    }

    /// Whether changes after the place that the list is of keep it whole or make it so.
    pub fn continues(&self) -> bool {
        !matches!(self.state, State::Unread { .. })
    }

    /// Records that another router's list was taken over, which is whole up to a place.
    pub fn record_followed(&mut self, as_of: Place) {
        match self.state {
            State::New => self.state = State::Whole,
            State::Partial { missing_since, .. } => {
                self.state = State::Unread {
                    missing_since: Some(missing_since),
                };
            }
            State::Whole | State::Unread { .. } => {}
        }
        self.whole_as_of = Some(as_of);
    }

    /// Notes the place if nothing is missing.
    fn complete(&mut self, as_of: Place) {
        if let State::Partial { missing, .. } = &self.state
            && missing.is_empty()
        {
            self.state = State::Whole;
        }
        if self.is_whole() {
            self.whole_as_of = Some(as_of);
        }
    }
}
