//! The rate limit that a target announces, as known from its responses and from other routers' reports.
//!
//! Responses may arrive out of order, and reports late or more than once. A limit ends with a response that announces
//! none, if its request was sent after the limit was last seen; a response to a request that was sent before that one
//! does not restore the limit. Between routers, the higher revision wins; revisions only increase.

use crate::gateway::decision::limit::Sent;
use crate::gateway::notice::{Announcement, Rate};
use crate::units::Millis;

/// How long the end of a limit is reported to other routers: longer than a router goes without hearing from another.
const ENDED_REPORTED_FOR: Millis = Millis(15_000);

/// State of a target's announced rate limit.
#[derive(Clone, Debug, Default)]
pub(super) struct Limit {
    rate: Option<Rate>,
    /// Revision of the last change, across all routers.
    revision: u32,
    /// When the target last went from no limit to a limit, or back.
    since: Millis,
    /// When the limit was last seen.
    last_seen: Millis,
    /// A limit announced in response to a request that was sent before this time is outdated and ignored.
    ended: Millis,
    /// The last request that this router sent to the target under the limit.
    last_send: Option<Sent>,
}

impl Limit {
    /// The current limit, and since when it has been in force.
    pub(super) fn in_force(&self) -> Option<(Rate, Millis)> {
        self.rate.map(|rate| (rate, self.since))
    }

    /// The last request that this router sent to the target under the limit.
    pub(super) fn last_send(&self) -> Option<Sent> {
        self.last_send
    }

    /// Records a request sent to the target.
    pub(super) fn record_send(&mut self, sent: Option<Sent>) {
        self.last_send = sent.or(self.last_send);
    }

    /// Applies the limit announced in the response to a request that was sent at `sent`. Returns whether the limit has
    /// changed.
    pub(super) fn observe(&mut self, now: Millis, sent: Millis, rate: Option<Rate>) -> bool {
        match (self.rate, rate) {
            (_, Some(_)) if sent < self.ended => false,
            (_, Some(_)) => {
                self.last_seen = now;
                self.change(now, rate)
            }
            (Some(_), None) if sent > self.last_seen => {
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
        // A change from one limit to another does not restart the spacing of requests.
        if self.rate.is_none() || rate.is_none() {
            self.since = now;
            self.last_send = None;
        }
        self.rate = rate;
    }

    /// Merges another router's report; returns whether the limit has changed. Of two changes with the same revision,
    /// all routers keep the lower limit.
    pub(super) fn merge(&mut self, now: Millis, revision: u32, rate: Option<Rate>) -> bool {
        let strictness = |rate: Option<Rate>| rate.map_or(f64::INFINITY, Rate::per_second);
        let is_tied = revision == self.revision && strictness(rate) < strictness(self.rate);
        if revision <= self.revision && !is_tied {
            self.report_end_again(now, revision, rate);
            return false;
        }
        self.revision = revision;
        match rate {
            Some(_) => self.last_seen = now,
            None => self.ended = now,
        }
        let is_change = self.rate != rate;
        self.set(now, rate);
        is_change
    }

    /// Restarts reporting the end of the limit if another router reports a limit with a lower revision. That router may
    /// have seen the next limit without knowing of this end; once it learns of the end, it gives that limit a higher
    /// revision.
    fn report_end_again(&mut self, now: Millis, revision: u32, rate: Option<Rate>) {
        if revision < self.revision && rate.is_some() && self.rate.is_none() {
            self.since = now;
        }
    }

    /// The announcement to report to other routers, if there is a limit or one has recently ended.
    pub(super) fn announcement(&self, now: Millis) -> Option<Announcement> {
        let is_recent = self.revision > 0 && now.saturating_sub(self.since) < ENDED_REPORTED_FOR;
        let is_reported = self.rate.is_some() || is_recent;
        is_reported.then_some(Announcement::RateLimit {
            revision: self.revision,
            limit: self.rate,
        })
    }
}
