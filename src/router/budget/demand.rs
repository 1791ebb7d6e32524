//! How much of a budget to ask for.

use serde::{Deserialize, Serialize};

use crate::units::{Millis, Tokens};

/// Time constant of the demand estimate.
const MEMORY: Millis = Millis(10_000);

/// A decaying estimate of tokens spent a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    per_second: f64,
    at: Millis,
}

impl Demand {
    /// Notes that `amount` was reserved at `now`.
    pub fn note(&mut self, now: Millis, amount: Tokens) {
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

/// Ways to size a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sizing {
    /// Always the same.
    Fixed(Tokens),
    /// Demand over a horizon.
    Demand(Millis),
    /// Demand over a horizon, but never more than a share of what is left; idle grants are given
    /// back when somebody else runs short.
    Thin(Millis),
}

impl Default for Sizing {
    fn default() -> Self {
        Self::Thin(Millis(3_600_000))
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
        let wanted = match self {
            Self::Fixed(chunk) => chunk,
            Self::Demand(horizon) => demand.within(now, horizon),
            Self::Thin(horizon) => {
                let share = Tokens(left.0 / (2 * holders.max(1) as u64));
                demand.within(now, horizon).min(share)
            }
        };
        wanted.max(short)
    }

    /// Whether idle grants are given back when the budget runs short.
    pub fn returns_idle(self) -> bool {
        matches!(self, Self::Thin(_))
    }

    /// What a holder keeps when it gives back: its demand over a short while.
    pub fn keep(self, now: Millis, demand: &Demand) -> Tokens {
        demand.within(now, Millis(2_000))
    }
}
