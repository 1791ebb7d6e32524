//! A target's own rate limit as this router knows it: from answers, and from what other routers tell.
//!
//! Answers may overtake each other, and routers tell late and twice. A limit ends by an answer without one to a request
//! that was sent after the limit was last heard, and is not brought back by an answer to a request that was sent before
//! that. Between routers the number of the change decides, which only rises.

use crate::gateway::decision::limit::Sent;
use crate::gateway::notice::{Rate, Word};
use crate::units::Millis;

/// How long others are told that a limit has ended: longer than a router goes without a word of another one.
const ENDED_TOLD: Millis = Millis(15_000);

/// What is known of a target's limit.
#[derive(Clone, Debug, Default)]
pub(super) struct Limit {
    rate: Option<Rate>,
    /// Number of the last change, over all routers.
    revision: u32,
    /// Since when the target has had a limit, or none.
    since: Millis,
    /// When the limit was last heard.
    heard: Millis,
    /// Answers to requests that were sent before this say nothing of a limit that began later.
    ended: Millis,
    /// The last request that this router has sent there under the limit.
    last: Option<Sent>,
}

impl Limit {
    /// The limit in force, and since when.
    pub(super) fn in_force(&self) -> Option<(Rate, Millis)> {
        self.rate.map(|rate| (rate, self.since))
    }

    /// The last request that this router has sent there under the limit.
    pub(super) fn last(&self) -> Option<Sent> {
        self.last
    }

    /// Remembers a request that is sent there.
    pub(super) fn note_send(&mut self, sent: Option<Sent>) {
        self.last = sent.or(self.last);
    }

    /// Takes in what the answer to a request says that was sent at `sent`; whether the limit has changed.
    pub(super) fn hear(&mut self, now: Millis, sent: Millis, rate: Option<Rate>) -> bool {
        match (self.rate, rate) {
            (_, Some(_)) if sent < self.ended => false,
            (_, Some(_)) => {
                self.heard = now;
                self.change(now, rate)
            }
            (Some(_), None) if sent > self.heard => {
                self.ended = sent;
                self.change(now, None)
            }
            (_, None) => false,
        }
    }

    fn change(&mut self, now: Millis, rate: Option<Rate>) -> bool {
        if self.rate == rate {
            return false;
        }
        self.revision = self.revision.saturating_add(1);
        self.set(now, rate);
        true
    }

    fn set(&mut self, now: Millis, rate: Option<Rate>) {
        // A limit that only changes leaves its requests as they are spread out.
        if self.rate.is_none() || rate.is_none() {
            self.since = now;
            self.last = None;
        }
        self.rate = rate;
    }

    /// Takes in what another router tells; whether the limit has changed. Of two changes with the same number the
    /// lower limit counts, at all routers.
    pub(super) fn merge(&mut self, now: Millis, revision: u32, rate: Option<Rate>) -> bool {
        let strictness = |rate: Option<Rate>| rate.map_or(f64::INFINITY, Rate::per_second);
        let is_tied = revision == self.revision && strictness(rate) < strictness(self.rate);
        if revision <= self.revision && !is_tied {
            self.tell_those_behind(now, revision, rate);
            return false;
        }
        self.revision = revision;
        match rate {
            Some(_) => self.heard = now,
            None => self.ended = now,
        }
        let is_change = self.rate != rate;
        self.set(now, rate);
        is_change
    }

    /// Has the end of a limit told once more where another router counts fewer changes and knows a limit: it may have
    /// heard of the next one, which it counts after this end once it has been told.
    fn tell_those_behind(&mut self, now: Millis, revision: u32, rate: Option<Rate>) {
        if revision < self.revision && rate.is_some() && self.rate.is_none() {
            self.since = now;
        }
    }

    /// What other routers are told, where that is of use to them.
    pub(super) fn word(&self, now: Millis) -> Option<Word> {
        let is_recent = self.revision > 0 && now.saturating_sub(self.since) < ENDED_TOLD;
        let is_told = self.rate.is_some() || is_recent;
        is_told.then_some(Word::RateLimit {
            revision: self.revision,
            limit: self.rate,
        })
    }
}
