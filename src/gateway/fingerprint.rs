//! Fingerprints, which identify a request that is sent again: by its customer, method, host, path and body, regardless
//! of its id and its other headers. A block that prompts share has a fingerprint of its own, by its id alone.
//!
//! The customer is hashed separately, so callers of one customer cannot produce the fingerprint of another customer's
//! request. The hashes are seeded with the fleet key, so callers without it cannot construct collisions.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Identity of a request over all its tries, the same at all routers of a fleet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint {
    /// Hash of the customer's name; of the empty string if the request has no customer.
    pub customer: u64,
    /// Hash of the request's other parts.
    pub request: u64,
}

/// Stands in place of the customer's hash in the fingerprint of a block. A customer has this hash with a probability of
/// one in 2^64.
const BLOCK: u64 = u64::MAX;

/// What a fingerprint identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request, over all its tries.
    Request,
    /// A block that prompts share.
    Block,
}

impl Fingerprint {
    /// The fingerprint of a block that prompts share.
    pub fn of_block(id: u64) -> Self {
        Self {
            customer: BLOCK,
            request: id,
        }
    }

    /// What the fingerprint identifies.
    pub fn kind(self) -> Kind {
        if self.customer == BLOCK {
            Kind::Block
        } else {
            Kind::Request
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.kind() == Kind::Block {
            return write!(f, "block-{:x}", self.request);
        }
        write!(f, "{:016x}-{:016x}", self.customer, self.request)
    }
}

/// Computes the fingerprints of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct Hasher {
    seed: u64,
}

impl Hasher {
    /// Creates the hasher of the fleet with this key.
    pub fn new(fleet_key: &str) -> Self {
        Self {
            seed: xxh3_64(fleet_key.as_bytes()),
        }
    }

    /// Computes the fingerprint of a customer's request from its parts.
    pub fn fingerprint(&self, customer: Option<&str>, parts: &[&[u8]]) -> Fingerprint {
        let mut request = Xxh3::with_seed(self.seed);
        for part in parts {
            // The lengths distinguish requests whose parts differ but have the same concatenation.
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
