//! How much of a budget to ask for.

use crate::units::{Millis, Tokens};

/// Time constant of the demand estimate.
const MEMORY: Millis = Millis(10_000);
/// Span of demand that a holder keeps when it gives back.
const KEPT: Millis = Millis(2_000);

/// A decaying estimate of tokens spent a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    per_second: f64,
    at: Millis,
}

impl Demand {
    /// Notes that `amount` was reserved at `now`.
    pub fn record(&mut self, now: Millis, amount: Tokens) {
        self.per_second = self.rate(now) + amount.0 as f64 * 1_000.0 / MEMORY.0 as f64;
        self.at = now;
    }

    /// Tokens a second at `now`.
    pub fn rate(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at).0 as f64 / MEMORY.0 as f64;
        self.per_second * (-age).exp()
    }

    /// Tokens that will be wanted within `horizon`.
    pub fn within(&self, now: Millis, horizon: Millis) -> Tokens {
        Tokens((self.rate(now) * horizon.0 as f64 / 1_000.0) as u64)
    }
}

/// How grants are sized: by the demand over a horizon, but never more than a share of what is left.
/// What lies idle is given back when somebody else runs short. Grants of one size, and by demand
/// alone, left more of a budget stranded (docs/DESIGN.md, money).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizing {
    /// Span of demand that a grant covers.
    pub horizon: Millis,
}

impl Default for Sizing {
    fn default() -> Self {
        Self {
            horizon: Millis(3_600_000),
        }
    }
}

impl Sizing {
    /// What to ask for, given what is `short` now, the demand, what is left unallotted, and how
    /// many holders share it.
    pub fn ask(
        self,
        now: Millis,
        short: Tokens,
        demand: &Demand,
        left: Tokens,
        holders: usize,
    ) -> Tokens {
        let share = Tokens(left.0 / (2 * holders.max(1) as u64));
        let wanted = demand.within(now, self.horizon).min(share);
        wanted.max(short)
    }

    /// What a holder keeps when it gives back: its demand over a short while.
    pub fn keep(self, now: Millis, demand: &Demand) -> Tokens {
        demand.within(now, KEPT)
    }
}
