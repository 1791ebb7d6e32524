//! Request ids, bound to the incarnation that alone may run them.
//!
//! An entry answer gives a prefix, `incarnation.epoch`; the caller adds a number of its own and
//! sends the same id with every retry. The epoch counts the router's own uptime, so ids can be
//! forgotten after a while without a request being run twice: an id of a forgotten epoch is not
//! run at all.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::router::key::Incarnation;
use crate::units::Millis;

/// Uptime that an epoch spans.
pub const EPOCH_LENGTH: Millis = Millis(60_000);
/// Epochs that ids and answers are kept for.
pub const EPOCH_KEEP: u32 = 10;

/// A request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Who may run it.
    pub incarnation: Incarnation,
    /// Epoch in the upper half, the caller's number in the lower.
    pub nonce: u64,
}

impl Id {
    /// The epoch in which its prefix was given out.
    pub fn epoch(self) -> u32 {
        epoch_of(self.nonce)
    }
}

/// The epoch of a request's number.
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
        const FORM: &str = "16 hexadecimal digits, a dot, and 16 hexadecimal digits";
        let (incarnation, nonce) = text.split_once('.').ok_or(FORM)?;
        let digits = |part: &str| part.len() == 16 && part.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits(incarnation) || !digits(nonce) {
            return Err(FORM);
        }
        Ok(Self {
            incarnation: incarnation.parse().map_err(|_| FORM)?,
            nonce: u64::from_str_radix(nonce, 16).map_err(|_| FORM)?,
        })
    }
}

/// What an entry answer gives a caller to make ids of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The router that will run them.
    pub incarnation: Incarnation,
    /// Its epoch.
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
