//! Return times of requests that were refused for lack of tokens, and the book of what was promised.
//!
//! The book lays the promised tokens one after the other on the time at which they arrive: a promise begins where the
//! last one of the same rank or a more urgent one ends, so that none of them counts on the tokens of another. A more
//! urgent promise takes precedence over less urgent ones, and moves the later promises of their ranks back by its own
//! length.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use xxhash_rust::xxh3::xxh3_64;

use super::order::Standing;
use super::returns::{Returns, Window};
use crate::gateway::fingerprint::Fingerprint;
use crate::units::{Millis, Tokens};

/// Shortest return time: a caller that comes back sooner meets the same shortage.
pub const RETURN_MIN: Millis = Millis(50);
/// Longest return time, and how far ahead tokens are promised: later than that a shortage has another cause.
pub const RETURN_MAX: Millis = Millis(60_000);
/// A caller honours a return time of at most one part in this many of the time that it has left.
pub const HONOURED_DIVISOR: u64 = 3;
/// Callers are spread by up to one part in this many of their return time.
pub const SPREAD_DIVISOR: u64 = 5;
/// How much later than its return time and its spread a request may come back and still go before new ones: a caller
/// needs some time to connect and to send the body.
const RETURN_GRACE: Millis = Millis(1_000);
/// Maximum number of entries, one for each customer and rank.
pub const ENTRIES_MAX: usize = 4_096;
/// Maximum number of refused requests that are remembered.
pub const RETURNS_MAX: usize = 4_096;

/// A request that is refused for lack of tokens.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// The request, the same whenever it is sent again.
    pub request: Fingerprint,
    /// The customer that pays.
    pub customer: &'a str,
    /// Rank of the request; 0 goes first.
    pub rank: u8,
    /// Maximum cost of the request.
    pub cost: Tokens,
    /// Maximum cost of the requests that wait ahead of it.
    pub queued: Tokens,
    /// Tokens a second that arrive.
    pub rate: Tokens,
    /// The time that the caller has left.
    pub left: Millis,
}

/// A return time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Time until the request can be paid.
    pub after: Millis,
    /// Time until the tokens promised before to the same rank and more urgent ones have arrived.
    pub promised: Millis,
    /// Whether tokens are promised to the request.
    pub kind: Kind,
}

/// Whether tokens are promised to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// They are.
    Booked,
    /// They are not, since the caller does not wait that long: they remain for others.
    Beyond,
}

impl Kind {
    /// The name of the kind in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Booked => "booked",
            Self::Beyond => "beyond",
        }
    }
}

/// A time in microseconds of the same clock as [`Millis`]: many requests are paid within one millisecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Micros(u64);

impl Micros {
    fn from_millis(at: Millis) -> Self {
        Self(at.0.saturating_mul(1_000))
    }

    /// The time in which so many tokens arrive, rounded up.
    fn of_tokens(tokens: Tokens, rate: Tokens) -> Self {
        let micros = (u128::from(tokens.0) * 1_000_000).div_ceil(u128::from(rate.0.max(1)));
        Self(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The time from `now` to this one, rounded up.
    fn after(self, now: Millis) -> Millis {
        Millis(self.0.div_ceil(1_000).saturating_sub(now.0))
    }
}

/// What was promised to refused requests.
#[derive(Debug)]
pub struct Book {
    /// When the promised tokens of a customer have arrived, by rank.
    promised: HashMap<String, BTreeMap<u8, Micros>>,
    /// When refused requests are expected back.
    returns: Returns<()>,
}

impl Default for Book {
    fn default() -> Self {
        Self {
            promised: HashMap::new(),
            returns: Returns::new(RETURNS_MAX),
        }
    }
}

impl Book {
    /// Computes when a refused request can be paid, and promises it the tokens if its caller waits for that long.
    /// Returns `None` if no tokens arrive or the book is full.
    pub fn promise(&mut self, now: Millis, claim: &Claim<'_>) -> Option<Promise> {
        if claim.rate == Tokens::ZERO {
            return None;
        }
        let promised = self.promised_until(now, claim);
        let queue_end = Micros::from_millis(now).plus(Micros::of_tokens(claim.queued, claim.rate));
        let length = Micros::of_tokens(claim.cost, claim.rate);
        let end = promised.max(queue_end).plus(length);
        let after = end.after(now).max(RETURN_MIN);
        let promised = promised.after(now);
        if after > honoured(claim.left) || after > RETURN_MAX {
            return Some(Promise {
                after: after.min(RETURN_MAX),
                promised,
                kind: Kind::Beyond,
            });
        }
        if !self.has_room(now, claim) {
            return None;
        }
        let ranks = self.promised.entry(claim.customer.to_owned()).or_default();
        ranks.insert(claim.rank, end);
        let less_urgent = (Bound::Excluded(claim.rank), Bound::Unbounded);
        for (_, until) in ranks.range_mut(less_urgent) {
            *until = until.plus(length);
        }
        let from = now + after;
        let window = Window {
            from,
            until: from + Millis(after.0 / SPREAD_DIVISOR) + RETURN_GRACE,
        };
        self.returns.expect(claim.request, window, ());
        Some(Promise {
            after,
            promised,
            kind: Kind::Booked,
        })
    }

    /// Whether a request comes back at the time that it was told. Each promise is answered with `Returned` only once, so
    /// callers that send the same request share no promise.
    pub fn standing(&mut self, now: Millis, request: Fingerprint) -> Standing {
        match self.returns.take(now, request) {
            Some(()) => Standing::Returned,
            None => Standing::New,
        }
    }

    /// Number of entries, one for each customer and rank.
    pub fn len(&self) -> usize {
        self.promised.values().map(BTreeMap::len).sum()
    }

    /// Whether nothing is promised.
    pub fn is_empty(&self) -> bool {
        self.promised.is_empty()
    }

    /// When the tokens promised to the claim's rank and more urgent ones have arrived.
    fn promised_until(&self, now: Millis, claim: &Claim<'_>) -> Micros {
        let ranks = self.promised.get(claim.customer);
        let ahead = ranks.and_then(|ranks| ranks.range(..=claim.rank).map(|(_, end)| *end).max());
        ahead.map_or(Micros::from_millis(now), |end| {
            end.max(Micros::from_millis(now))
        })
    }

    /// Whether the book has an entry for a claim or room for one. Entries whose time has passed are dropped first.
    fn has_room(&mut self, now: Millis, claim: &Claim<'_>) -> bool {
        let ranks = self.promised.get(claim.customer);
        if ranks.is_some_and(|ranks| ranks.contains_key(&claim.rank)) || self.len() < ENTRIES_MAX {
            return true;
        }
        let now = Micros::from_millis(now);
        self.promised.retain(|_, ranks| {
            ranks.retain(|_, until| *until > now);
            !ranks.is_empty()
        });
        self.len() < ENTRIES_MAX
    }
}

/// The longest return time that a caller honours.
pub fn honoured(left: Millis) -> Millis {
    Millis(left.0 / HONOURED_DIVISOR)
}

/// The return time that a caller is told for a promise: spread by its id, but not beyond what the caller honours, its
/// deadline, or the longest return time, where the promise itself is not.
pub fn told(after: Millis, left: Option<Millis>, id: &str) -> Millis {
    let spread = xxh3_64(id.as_bytes()) % (after.0 / SPREAD_DIVISOR + 1);
    let longest = match left {
        Some(left) if after <= honoured(left) => honoured(left),
        Some(left) if after <= left => left,
        _ => RETURN_MAX,
    };
    (after + Millis(spread))
        .min(longest)
        .clamp(RETURN_MIN, RETURN_MAX)
}

/// The return time for a forecast that a caller does not honour but that comes before its deadline: as late as the
/// caller honours, less a spread by its id.
pub fn within_reach(left: Millis, id: &str) -> Millis {
    let longest = honoured(left);
    let spread = xxh3_64(id.as_bytes()) % (longest.0 / SPREAD_DIVISOR + 1);
    longest
        .saturating_sub(Millis(spread))
        .clamp(RETURN_MIN, RETURN_MAX)
}
