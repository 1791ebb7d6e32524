//! Estimates demand and sizes grants by it.

use crate::units::{Millis, Tokens};

/// Time constant of the exponentially decaying demand estimate.
const TIME_CONSTANT: Millis = Millis(10_000);
/// Span of demand that a holder retains when it returns idle tokens.
const RETAINED_SPAN: Millis = Millis(2_000);

/// An exponentially decaying estimate of the tokens demanded per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    per_second: f64,
    updated_at: Millis,
}

impl Demand {
    /// Records a demand of `amount` at `now`.
    pub fn record(&mut self, now: Millis, amount: Tokens) {
        self.per_second = self.rate(now) + amount.0 as f64 * 1_000.0 / TIME_CONSTANT.0 as f64;
        self.updated_at = now;
    }

    /// Estimated tokens per second at `now`.
    pub fn rate(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.updated_at).0 as f64 / TIME_CONSTANT.0 as f64;
        self.per_second * (-age).exp()
    }

    /// Estimated demand within `horizon`.
    pub fn within(&self, now: Millis, horizon: Millis) -> Tokens {
        Tokens((self.rate(now) * horizon.0 as f64 / 1_000.0) as u64)
    }
}

/// How grants are sized: by the demand over a horizon, limited to a share of the unallotted tokens. Idle tokens are
/// returned when another holder runs short. Grants of a fixed size, or sized by demand alone, leave more of a budget
/// stranded at holders that do not use it (docs/DESIGN.md, money).
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
    /// Tokens to ask for, given the present shortage, the demand, the unallotted tokens and the number of holders that
    /// share them. The shortage is always covered.
    pub fn ask(
        self,
        now: Millis,
        shortage: Tokens,
        demand: &Demand,
        unallotted: Tokens,
        holders: usize,
    ) -> Tokens {
        let share = Tokens(unallotted.0 / (2 * holders.max(1) as u64));
        let wanted = demand.within(now, self.horizon).min(share);
        wanted.max(shortage)
    }

    /// Tokens that a holder retains when it returns idle ones: its demand over a short span.
    pub fn keep(self, now: Millis, demand: &Demand) -> Tokens {
        demand.within(now, RETAINED_SPAN)
    }
}
