//! An open request as a witness keeps it, with enough data to bill the request if its holder never does.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::router::request::Id;
use crate::units::Tokens;

/// How a request is billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Price {
    /// By tokens used, at this price per token in thousandths.
    Permille(u32),
    /// The whole reservation, if the request ran.
    Whole,
}

/// An open request as its witness keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Maximum cost.
    pub reserved: Tokens,
    /// The request id that is sent to the target.
    pub request: Id,
    /// Address of the target.
    pub target: SocketAddr,
    /// How the request is billed.
    pub price: Price,
}

impl Reservation {
    /// The bill for the usage that the target reports, at most the reserved tokens.
    pub fn bill(&self, used: Tokens) -> Tokens {
        match self.price {
            Price::Permille(permille) => used.priced(permille).min(self.reserved),
            Price::Whole => self.reserved,
        }
    }
}
