//! A limit that a target announces, as known from its responses and from other routers' reports.
//!
//! Responses may arrive out of order, and reports late or more than once. A limit ends with a response that announces
//! none, if its request was sent after the limit was last seen; a response to a request that was sent before that one
//! does not restore the limit. Between routers, the higher revision wins; revisions only increase.

use crate::units::Millis;

/// How long the end of a limit is reported to other routers: longer than a router goes without hearing from another.
const ENDED_REPORTED_FOR: Millis = Millis(15_000);

/// State of a limit that a target announces; the lower of two limits is the stricter one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Announced<L> {
    limit: Option<L>,
    /// Revision of the last change, across all routers.
    revision: u32,
    /// When the target last went from no limit to a limit, or back.
    since: Millis,
    /// When the limit was last seen.
    last_seen: Millis,
    /// A limit announced in response to a request that was sent before this time is outdated and ignored.
    ended: Millis,
}

impl<L> Default for Announced<L> {
    fn default() -> Self {
        Self {
            limit: None,
            revision: 0,
            since: Millis::ZERO,
            last_seen: Millis::ZERO,
            ended: Millis::ZERO,
        }
    }
}

impl<L: Copy + PartialOrd> Announced<L> {
    /// The current limit, and since when one has been in force.
    pub(super) fn in_force(&self) -> Option<(L, Millis)> {
        self.limit.map(|limit| (limit, self.since))
    }

    /// Whether a limit was ever announced, whether or not it has ended.
    pub(super) fn was_announced(&self) -> bool {
        self.revision > 0
    }

    /// Applies the limit announced in the response to a request that was sent at `sent`. Returns whether the limit has
    /// changed.
    pub(super) fn observe(&mut self, now: Millis, sent: Millis, limit: Option<L>) -> bool {
        match (self.limit, limit) {
            (_, Some(_)) if sent < self.ended => false,
            (_, Some(_)) => {
                self.last_seen = now;
                self.change(now, limit)
            }
            (Some(_), None) if sent > self.last_seen => {
                self.ended = sent;
                self.change(now, None)
            }
            (_, None) => false,
        }
    }

    fn change(&mut self, now: Millis, limit: Option<L>) -> bool {
        if self.limit == limit {
            return false;
        }
        self.revision = self.revision.saturating_add(1);
        self.set(now, limit);
        true
    }

    fn set(&mut self, now: Millis, limit: Option<L>) {
        if self.limit.is_none() || limit.is_none() {
            self.since = now;
        }
        self.limit = limit;
    }

    /// Merges another router's report; returns whether the limit has changed. Of two changes with the same revision,
    /// all routers keep the stricter limit.
    pub(super) fn merge(&mut self, now: Millis, revision: u32, limit: Option<L>) -> bool {
        let is_stricter = match (limit, self.limit) {
            (Some(reported), Some(known)) => reported < known,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let is_tied = revision == self.revision && is_stricter;
        if revision <= self.revision && !is_tied {
            self.report_end_again(now, revision, limit);
            return false;
        }
        self.revision = revision;
        match limit {
            Some(_) => self.last_seen = now,
            None => self.ended = now,
        }
        let is_change = self.limit != limit;
        self.set(now, limit);
        is_change
    }

    /// Restarts reporting the end of the limit if another router reports a limit with a lower revision. That router may
    /// have seen the next limit without knowing of this end; once it learns of the end, it gives that limit a higher
    /// revision.
    fn report_end_again(&mut self, now: Millis, revision: u32, limit: Option<L>) {
        if revision < self.revision && limit.is_some() && self.limit.is_none() {
            self.since = now;
        }
    }

    /// The revision and limit to report to other routers, if there is a limit or one has recently ended.
    pub(super) fn report(&self, now: Millis) -> Option<(u32, Option<L>)> {
        let is_recent = self.revision > 0 && now.saturating_sub(self.since) < ENDED_REPORTED_FOR;
        (self.limit.is_some() || is_recent).then_some((self.revision, self.limit))
    }
}
