//! What tells that a request is the same one again: its customer, method, host, path and body, whatever its id
//! and its other headers say.
//!
//! Callers of one customer cannot have another customer's requests taken for theirs, since the customer is kept
//! apart; nor can a caller make one that looks like another's, without the fleet's key.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Identity of a request over all its tries, the same at all routers of a fleet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint {
    /// Hash of the customer's name; that of an empty one where nobody pays.
    pub customer: u64,
    /// Hash of what is asked.
    pub request: u64,
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.customer, self.request)
    }
}

/// Makes the fingerprints of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct Hasher {
    seed: u64,
}

impl Hasher {
    /// For the fleet with this key.
    pub fn new(fleet_key: &str) -> Self {
        Self {
            seed: xxh3_64(fleet_key.as_bytes()),
        }
    }

    /// The fingerprint of a customer's request, of which `parts` says what is asked.
    pub fn fingerprint(&self, customer: Option<&str>, parts: &[&[u8]]) -> Fingerprint {
        let mut request = Xxh3::with_seed(self.seed);
        for part in parts {
            // Lengths keep parts apart that would read alike one after the other.
            request.update(&part.len().to_le_bytes());
            request.update(part);
        }
        let customer = customer.unwrap_or_default();
        Fingerprint {
            customer: xxh3_64_with_seed(customer.as_bytes(), self.seed),
            request: request.digest(),
        }
    }
}
