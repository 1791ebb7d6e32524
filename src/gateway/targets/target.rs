//! One incarnation of a target, with all that this router knows of it.

use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::attempts::Attempts;
use super::cold::Warmup;
use super::limit::Limit;
use super::outstanding::Outstanding;
use crate::ejection::Health;
use crate::gateway::decision::placement::Candidate;
use crate::gateway::dialect::{Listing, Load};
use crate::gateway::key::TargetKey;
use crate::units::Millis;

/// How long a load that a target reported is believed.
const LOAD_BELIEVED: Millis = Millis(1_000);

/// One incarnation of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its entry, as it was last read.
    pub listing: Listing,
    /// Requests of this router that it has.
    pub in_flight: u32,
    /// Prompt tokens of those that it has not answered yet.
    pub backlog: u64,
    /// The same of the other routers, added up.
    pub others: Outstanding,
    /// Cancelled when the incarnation is known to have ended.
    pub ended: CancellationToken,
    pub(super) load: Option<(Millis, Load)>,
    pub(super) health: Health,
    pub(super) attempts: Attempts,
    pub(super) warmup: Warmup,
    /// Its own rate limit.
    pub(super) limit: Limit,
    /// Until when it wants nothing from this router.
    pub(super) rests_until: Millis,
    /// Whether it has said that it leaves, which its entry may tell much later.
    pub(super) is_leaving: bool,
    pub(super) is_listed: bool,
    /// Whether the list that was last read lacks it, although it is not removed yet.
    pub(super) is_missing: bool,
    /// Since when it is neither listed nor at work.
    pub(super) unused_since: Option<Millis>,
}

impl Target {
    /// One that was just listed.
    pub(super) fn new(listing: Listing) -> Self {
        Self {
            listing,
            in_flight: 0,
            backlog: 0,
            others: Outstanding::default(),
            ended: CancellationToken::new(),
            load: None,
            health: Health::default(),
            attempts: Attempts::default(),
            warmup: Warmup::default(),
            limit: Limit::default(),
            rests_until: Millis::ZERO,
            is_leaving: false,
            is_listed: true,
            is_missing: false,
            unused_since: None,
        }
    }

    /// Hash of its instance, by which routers speak of it.
    pub fn hash(&self) -> u64 {
        hash(&self.listing.instance)
    }

    /// Whether it takes requests.
    pub fn is_open(&self) -> bool {
        self.is_listed && !self.has_said_leaving()
    }

    /// Whether it has said, in its entry or in an answer, that it leaves: it ends as planned. An entry that is gone
    /// says nothing: it also goes some time after a crash.
    pub fn has_said_leaving(&self) -> bool {
        self.is_leaving || !self.listing.is_ready
    }

    /// Whether it takes requests by its entry.
    pub(super) fn is_listed_open(&self) -> bool {
        self.is_listed && self.listing.is_ready
    }

    /// Its load by its own report, while that is believed.
    fn load(&self, now: Millis) -> Load {
        let recent = self
            .load
            .filter(|(at, _)| now.saturating_sub(*at) < LOAD_BELIEVED);
        recent.map_or(Load::default(), |(_, load)| load)
    }

    /// Whether it has a free slot, by its own report and by the routers' count.
    pub(super) fn has_room(&self, now: Millis) -> bool {
        self.busy(now) < f64::from(self.listing.slots)
    }

    /// Requests that it has, by its own report or by the routers' count, whichever is higher.
    fn busy(&self, now: Millis) -> f64 {
        let load = self.load(now);
        let counted = f64::from(self.in_flight + self.others.in_flight);
        counted.max(f64::from(load.running + load.waiting))
    }

    /// What its choice depends on.
    pub(super) fn candidate(&self, now: Millis, key: TargetKey, hall: &str) -> Candidate {
        let load = self.load(now);
        let attempts = self.attempts.at(now);
        let (failed, answered) = (self.others.failed, self.others.answered);
        Candidate {
            key,
            slots: self.listing.slots,
            busy: self.busy(now),
            waiting: load.waiting,
            backlog: self.backlog + self.others.backlog,
            failing: attempts.failing(f64::from(failed), f64::from(answered)),
            is_local: self.listing.hall == hall,
        }
    }
}

/// Hash of an instance, by which routers speak of it.
pub(super) fn hash(instance: &str) -> u64 {
    xxh3_64(instance.as_bytes())
}
