//! Requests that were refused for lack of tokens. Their tokens count as demand once, although their callers send them
//! again.
//!
//! A request that comes back has a new id, and is known by its fingerprint. Where several callers send the same request,
//! each refused try stands for at most one later try, and at least one try in [`TRIES_MAX`] counts.

use crate::gateway::decision::promise::RETURN_MIN;
use crate::gateway::decision::returns::{Returns, Window};
use crate::gateway::fingerprint::Fingerprint;
use crate::units::Millis;

/// How long a refused request is remembered: longer than callers wait before they send it again.
const REMEMBERED_FOR: Millis = Millis(10_000);
/// Maximum number of requests remembered: 400 a second. Beyond it the oldest is forgotten, and counts again.
const REMEMBERED_MAX: usize = 4_096;
/// How many tries of the same request count once. Callers try again once or twice; a longer sequence is of several
/// callers, whose demand would otherwise not count while all of them are refused.
pub const TRIES_MAX: u8 = 8;

/// Whether the tokens of a try count as demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Demand {
    /// They do: the request has not been refused before.
    #[default]
    New,
    /// They have been counted when the request was refused.
    Counted {
        /// Number of earlier tries.
        tries: u8,
    },
}

/// The requests whose tokens were counted when they were refused, with the number of their tries.
#[derive(Debug)]
pub struct Refused(Returns<u8>);

impl Default for Refused {
    fn default() -> Self {
        Self(Returns::new(REMEMBERED_MAX))
    }
}

impl Refused {
    /// Whether the tokens of a request that arrives count. A refused try that it may be the return of is forgotten, so
    /// this is called once for each try.
    pub fn arrive(&mut self, now: Millis, request: Fingerprint) -> Demand {
        match self.0.take(now, request) {
            Some(tries) => Demand::Counted { tries },
            None => Demand::New,
        }
    }

    /// Records that a try was refused. Nobody is told to come back sooner than [`RETURN_MIN`], so until then the same
    /// request is of another caller.
    pub fn record(&mut self, now: Millis, request: Fingerprint, demand: Demand) {
        let tries = match demand {
            Demand::New => 1,
            Demand::Counted { tries } => tries + 1,
        };
        if tries < TRIES_MAX {
            let window = Window {
                from: now + RETURN_MIN,
                until: now + REMEMBERED_FOR,
            };
            self.0.expect(request, window, tries);
        }
    }
}
