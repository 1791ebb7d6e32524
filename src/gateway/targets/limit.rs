//! The rate limit that a target announces, and this router's last request under it.

use super::announced::Announced;
use crate::gateway::decision::limit::Sent;
use crate::gateway::notice::{Announcement, Rate};
use crate::units::Millis;

/// State of a target's announced rate limit.
#[derive(Clone, Debug, Default)]
pub(super) struct Limit {
    announced: Announced<Rate>,
    /// The last request that this router sent to the target under the limit.
    last_send: Option<Sent>,
}

impl Limit {
    /// The current limit, and since when it has been in force.
    pub(super) fn in_force(&self) -> Option<(Rate, Millis)> {
        self.announced.in_force()
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
        self.update(|announced| announced.observe(now, sent, rate))
    }

    /// Merges another router's report; returns whether the limit has changed.
    pub(super) fn merge(&mut self, now: Millis, revision: u32, rate: Option<Rate>) -> bool {
        self.update(|announced| announced.merge(now, revision, rate))
    }

    /// Applies a change. One from a limit to another does not restart the spacing of requests.
    fn update(&mut self, apply: impl FnOnce(&mut Announced<Rate>) -> bool) -> bool {
        let had_limit = self.in_force().is_some();
        let is_change = apply(&mut self.announced);
        if is_change && !(had_limit && self.in_force().is_some()) {
            self.last_send = None;
        }
        is_change
    }

    /// The announcement to report to other routers, if there is a limit or one has recently ended.
    pub(super) fn announcement(&self, now: Millis) -> Option<Announcement> {
        let (revision, limit) = self.announced.report(now)?;
        Some(Announcement::RateLimit { revision, limit })
    }
}
