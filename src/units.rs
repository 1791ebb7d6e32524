//! Newtypes for quantities that must not be confused: tokens of a budget, offsets of the log, milliseconds.
//!
//! Sums saturate, since entries of other processes may hold any number. A budget of which that much is allocated has
//! nothing left, and a time that late does not come.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// The difference, or zero if `other` is greater.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl Add for $name {
            type Output = Self;
            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl Sub for $name {
            type Output = Self;
            fn sub(self, other: Self) -> Self {
                Self(self.0 - other.0)
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                self.0 -= other.0;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
                iter.fold(Self::ZERO, |a, b| a + b)
            }
        }
    };
}

unit!(
    /// Tokens of a prepaid budget, with the price of the class applied.
    Tokens
);
unit!(
    /// Position of an append in a stream of the log; the first is 1, so 0 means "before the first".
    Offset
);
unit!(
    /// A time in milliseconds of a clock, or a duration.
    Millis
);

/// A ratio in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Percent(pub u32);

impl Percent {
    /// The ratio as a factor; 100 percent is 1.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl Tokens {
    /// The cost of these tokens at a price in thousandths, rounded up.
    pub fn priced(self, permille: u32) -> Self {
        let cost = (u128::from(self.0) * u128::from(permille)).div_ceil(1_000);
        Self(u64::try_from(cost).unwrap_or(u64::MAX))
    }
}
