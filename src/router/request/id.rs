//! Request ids. An id is bound to the one incarnation that may run the request.
//!
//! An entry answer contains a prefix, `incarnation.epoch`; the caller appends a number of its own and sends the same id
//! with every retry. Epochs count the uptime of the router. Ids can therefore be dropped after some epochs without a
//! request being run twice: a request with an id of a dropped epoch is not run.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::router::key::Incarnation;
use crate::units::Millis;

/// Uptime per epoch.
pub const EPOCH_LENGTH: Millis = Millis(60_000);
/// Number of epochs for which ids and answers are kept.
pub const EPOCH_KEEP: u32 = 10;

/// A request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The incarnation that may run the request.
    pub incarnation: Incarnation,
    /// The epoch in the upper half, the caller's number in the lower.
    pub nonce: u64,
}

impl Id {
    /// The epoch in which the id's prefix was issued.
    pub fn epoch(self) -> u32 {
        epoch_of(self.nonce)
    }
}

/// The epoch of a nonce.
pub(crate) fn epoch_of(nonce: u64) -> u32 {
    u32::try_from(nonce >> 32).expect("32 bits")
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:016x}", self.incarnation, self.nonce)
    }
}

impl FromStr for Id {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const FORMAT: &str = "16 hexadecimal digits, a dot, and 16 hexadecimal digits";
        let (incarnation, nonce) = text.split_once('.').ok_or(FORMAT)?;
        let digits = |part: &str| part.len() == 16 && part.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits(incarnation) || !digits(nonce) {
            return Err(FORMAT);
        }
        Ok(Self {
            incarnation: incarnation.parse().map_err(|_| FORMAT)?,
            nonce: u64::from_str_radix(nonce, 16).map_err(|_| FORMAT)?,
        })
    }
}

/// The prefix in an entry answer, from which a caller creates ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The incarnation that will run the requests.
    pub incarnation: Incarnation,
    /// Epoch of that incarnation.
    pub epoch: u32,
}

impl Prefix {
    /// The id with a caller's own number.
    pub fn with_number(self, number: u32) -> Id {
        Id {
            incarnation: self.incarnation,
            nonce: u64::from(self.epoch) << 32 | u64::from(number),
        }
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:08x}", self.incarnation, self.epoch)
    }
}
