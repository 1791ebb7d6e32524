//! When tokens for a request can be there, forecast from how they arrived in the last seconds.
//!
//! A forecast that is too late refuses a request that would have been paid, so a request is refused at once only if all
//! of this holds: another request already waits, so that tokens keep being asked for; the store cannot grant what is
//! lacking; and what is queued ahead of it exceeds the most that arrived in any equally long time of the window. A
//! request is then refused wrongly only if more arrives during its wait than in any such time of [`WINDOW`].

use crate::units::{Millis, Tokens};

/// Resolution of the record of arrivals, in milliseconds: less than half of a usual wait, since arrivals within a wait
/// are rounded up to whole slots.
const SLOT_MS: u64 = 50;
/// Number of slots in the record.
const SLOTS: usize = 80;
/// Time span of arrivals that a forecast uses: four intervals of renewals, each of which may bring a grant.
pub const WINDOW: Millis = Millis(SLOT_MS * SLOTS as u64);
/// Shortest record that a forecast is made from. Grants arrive each second, so a shorter one may have missed them.
const RECORD_MIN: Millis = Millis(2_000);
/// A record without observations for longer than this starts anew: what arrived meanwhile is not known by time.
const GAP_MAX: Millis = Millis(1_000);

/// The record of the tokens of one customer that arrived at this router.
#[derive(Clone, Debug)]
pub struct Inflow {
    /// When the record started.
    began: Millis,
    /// When tokens were last observed.
    observed: Millis,
    /// What could be reserved in total when last observed.
    total: Tokens,
    /// The most that could be reserved in total at any time of the record.
    peak: Tokens,
    /// Every increase of the total, by slot. It counts tokens twice that were withheld in between, as while a row is
    /// being written, so it is an upper bound.
    gross: [Tokens; SLOTS],
    /// Increases beyond the peak, by slot.
    net: [Tokens; SLOTS],
}

impl Inflow {
    /// Starts a record. `total` is what this router may have reserved in total by now, whether or not it has.
    pub fn new(now: Millis, total: Tokens) -> Self {
        Self {
            began: now,
            observed: now,
            total,
            peak: total,
            gross: [Tokens::ZERO; SLOTS],
            net: [Tokens::ZERO; SLOTS],
        }
    }

    /// Records what this router may have reserved in total by `now`.
    pub fn observe(&mut self, now: Millis, total: Tokens) {
        if now.saturating_sub(self.observed) > GAP_MAX {
            *self = Self::new(now, total);
            return;
        }
        let (last, current) = (slot(self.observed), slot(now));
        let passed = current.saturating_sub(last).min(SLOTS as u64);
        for number in 0..passed {
            let index = index(current - number);
            self.gross[index] = Tokens::ZERO;
            self.net[index] = Tokens::ZERO;
        }
        let index = index(current.max(last));
        self.gross[index] += total.saturating_sub(self.total);
        self.net[index] += total.saturating_sub(self.peak);
        self.total = total;
        self.peak = self.peak.max(total);
        self.observed = self.observed.max(now);
    }

    /// Whether the record is too old to be used.
    pub fn is_outdated(&self, now: Millis) -> bool {
        now.saturating_sub(self.observed) > GAP_MAX
    }

    /// Tokens a second that arrived on average; `None` if the record is too short or too old.
    pub fn rate(&self, now: Millis) -> Option<Tokens> {
        let span = self.span(now)?;
        let arrived: Tokens = self.net.iter().copied().sum();
        Some(Tokens(arrived.0.saturating_mul(1_000) / span.0))
    }

    /// The most tokens that arrived in any time as long as `span`, rounded up to slots; `None` if the record is too
    /// short or too old.
    pub fn most_within(&self, now: Millis, span: Millis) -> Option<Tokens> {
        self.span(now)?;
        let slots = usize::try_from(span.0.div_ceil(SLOT_MS) + 1).unwrap_or(SLOTS);
        let slots = slots.min(SLOTS);
        let newest = slot(self.observed);
        let ordered: Vec<Tokens> = (0..SLOTS as u64)
            .filter_map(|age| Some(self.gross[index(newest.checked_sub(age)?)]))
            .collect();
        let sums = ordered.windows(slots.min(ordered.len()).max(1));
        sums.map(|sum| sum.iter().copied().sum()).max()
    }

    /// The time that the record covers.
    fn span(&self, now: Millis) -> Option<Millis> {
        let span = self.observed.saturating_sub(self.began);
        let is_usable = span >= RECORD_MIN && !self.is_outdated(now);
        is_usable.then_some(span.min(WINDOW))
    }
}

fn slot(at: Millis) -> u64 {
    at.0 / SLOT_MS
}

fn index(slot: u64) -> usize {
    usize::try_from(slot % SLOTS as u64).expect("a remainder of a small divisor fits")
}

/// Whether a write to the store could grant what is lacking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// By the rows last read, it could.
    Possible,
    /// The store does not answer, or has not as many left for this router.
    Impossible,
}

/// What is known about the tokens that a request lacks.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// Maximum cost of the request.
    pub cost: Tokens,
    /// Tokens that can be spent now.
    pub available: Tokens,
    /// Number of requests that already wait for tokens of the customer.
    pub waiting: usize,
    /// Maximum cost of those ahead of the request that could be paid before it.
    pub ahead: Tokens,
    /// Whether the store could grant what is lacking.
    pub grant: Grant,
    /// The most that arrived in any time as long as the request may wait; `None` if unknown.
    pub most: Option<Tokens>,
}

/// Whether a request waits for tokens, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It waits: no other request does, and tokens have to be asked for.
    First,
    /// It waits: too little is known about arrivals.
    Unknown,
    /// It waits: the store can grant what is lacking.
    Grantable,
    /// It waits: as much has arrived within such a time before.
    InReach,
    /// It is refused: it cannot be paid within its wait.
    OutOfReach,
}

impl Outcome {
    /// The name of the outcome in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Unknown => "unknown",
            Self::Grantable => "grantable",
            Self::InReach => "in_reach",
            Self::OutOfReach => "out_of_reach",
        }
    }
}

/// Decides whether a request that lacks tokens waits for them.
pub fn decide(prospect: &Prospect) -> Outcome {
    if prospect.waiting == 0 {
        return Outcome::First;
    }
    if prospect.grant == Grant::Possible {
        return Outcome::Grantable;
    }
    let Some(most) = prospect.most else {
        return Outcome::Unknown;
    };
    let reach = prospect.available.0.saturating_add(most.0);
    if prospect.ahead.0.saturating_add(prospect.cost.0) <= reach {
        Outcome::InReach
    } else {
        Outcome::OutOfReach
    }
}
