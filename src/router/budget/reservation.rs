//! What a witness keeps of an open request: enough to bill it if its holder never does.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::router::request::Id;
use crate::units::Tokens;

/// How a request is billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Price {
    /// By tokens used, each at so many thousandths.
    Permille(u32),
    /// All that is reserved, once it ran.
    Whole,
}

/// An open request as its witness knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The most that it can cost.
    pub reserved: Tokens,
    /// The id that its target is told.
    pub request: Id,
    /// Where it goes.
    pub target: SocketAddr,
    /// How it is billed.
    pub price: Price,
}

impl Reservation {
    /// The bill for what the target says was used.
    pub fn bill(&self, used: Tokens) -> Tokens {
        match self.price {
            Price::Permille(permille) => used.priced(permille).min(self.reserved),
            Price::Whole => self.reserved,
        }
    }
}
