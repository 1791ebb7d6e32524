//! State of one incarnation of a target.

use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::announced::Announced;
use super::attempts::Attempts;
use super::cold::Warmup;
use super::limit::Limit;
use super::outstanding::Outstanding;
use super::slots::Slots;
use super::speed::{Report, Speed};
use crate::ejection::Health;
use crate::gateway::decision::origin::Origin;
use crate::gateway::decision::placement::Candidate;
use crate::gateway::dialect::{Listing, Load};
use crate::gateway::key::TargetKey;
use crate::gateway::notice::Rejections;
use crate::units::Millis;

/// How long a load report is considered valid.
const LOAD_VALID_FOR: Millis = Millis(1_000);

/// One incarnation of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The target's entry in the list, as last read.
    pub listing: Listing,
    /// Version of the target's software; `None` if only another router has told of the target.
    pub version: Option<String>,
    /// Number of this router's requests in flight at the target.
    pub in_flight: u32,
    /// Prompt tokens of this router's requests in flight whose responses have not begun.
    pub backlog: u64,
    /// The sums of the other routers' reports about the target.
    pub others: Outstanding,
    /// Cancelled once the incarnation is known to have ended.
    pub ended: CancellationToken,
    /// The last load report, and when it was received.
    pub(super) load: Option<(Millis, Load)>,
    /// How fast the target works, as learned from its answers.
    pub(super) speed: Speed,
    pub(super) health: Health,
    pub(super) attempts: Attempts,
    pub(super) warmup: Warmup,
    /// The rate limit that the target announces.
    pub(super) limit: Limit,
    /// The rejection limit that the target announces.
    pub(super) rejection_limit: Announced<Rejections>,
    /// Whether this router has had an answer of the target.
    pub(super) has_answered: bool,
    pub(super) slots: Slots,
    /// Until when the target asked this router to send no requests.
    pub(super) backoff_until: Millis,
    /// Whether a response announced that the target leaves, which its entry may show much later.
    pub(super) is_leaving: bool,
    pub(super) is_listed: bool,
    /// Whether the target is missing from the list that was last read, although it is not removed yet.
    pub(super) is_missing: bool,
    /// Since when the target is neither listed nor has requests.
    pub(super) unused_since: Option<Millis>,
}

impl Target {
    /// Creates the state of a newly listed target.
    pub(super) fn new(listing: Listing) -> Self {
        Self {
            listing,
            version: None,
            in_flight: 0,
            backlog: 0,
            others: Outstanding::default(),
            ended: CancellationToken::new(),
            load: None,
            speed: Speed::default(),
            health: Health::default(),
            attempts: Attempts::default(),
            warmup: Warmup::default(),
            limit: Limit::default(),
            rejection_limit: Announced::default(),
            has_answered: false,
            slots: Slots::default(),
            backoff_until: Millis::ZERO,
            is_leaving: false,
            is_listed: true,
            is_missing: false,
            unused_since: None,
        }
    }

    /// Hash of the target's instance, which identifies the target between routers.
    pub fn hash(&self) -> u64 {
        hash(&self.listing.instance)
    }

    /// The origin of streams that the target begins; `None` if its version is not known.
    pub fn origin(&self) -> Option<Origin> {
        let version = self.version.as_ref()?;
        Some(Origin::new(&self.listing.service, version))
    }

    /// Whether the target accepts requests.
    pub fn accepts_requests(&self) -> bool {
        self.is_listed && !self.has_announced_leaving()
    }

    /// Whether the target accepts requests and is not ejected.
    pub fn is_in_use(&self, now: Millis) -> bool {
        self.accepts_requests() && !self.health.is_ejected(now)
    }

    /// Whether the target has announced, in its entry or in a response, that it leaves, so its end is planned. A
    /// missing entry is no such announcement, since entries also disappear some time after a crash.
    pub fn has_announced_leaving(&self) -> bool {
        self.is_leaving || !self.listing.is_ready
    }

    /// Whether the target accepts requests according to its entry.
    pub(super) fn is_listed_ready(&self) -> bool {
        self.is_listed && self.listing.is_ready
    }

    /// The last load report of the target, if still valid.
    fn load(&self, now: Millis) -> Load {
        let recent = self
            .load
            .filter(|(at, _)| now.saturating_sub(*at) < LOAD_VALID_FOR);
        recent.map_or(Load::default(), |(_, load)| load)
    }

    /// The target's report of its slowdown; `None` if its last load report lacks it.
    pub(super) fn slowdown(&self) -> Option<Report> {
        let (at, load) = self.load?;
        let slowdown = load.slowdown?;
        Some(Report { slowdown, at })
    }

    /// Whether the target has a free slot, according to both its own report and the routers' count.
    pub(super) fn has_free_slot(&self, now: Millis) -> bool {
        self.busy(now) < f64::from(self.listing.slots)
    }

    /// The number of requests at the target: the higher of its own report and the routers' count.
    fn busy(&self, now: Millis) -> f64 {
        let load = self.load(now);
        let counted = f64::from(self.in_flight + self.others.in_flight);
        counted.max(f64::from(load.running + load.waiting))
    }

    /// The inputs of the choice among targets.
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
            failing: attempts.failure_share(f64::from(failed), f64::from(answered)),
            is_local: self.listing.hall == hall,
        }
    }
}

/// Hash of an instance, which identifies it between routers.
pub(super) fn hash(instance: &str) -> u64 {
    xxh3_64(instance.as_bytes())
}
