//! The body of the answer to `GET /v1/entry`: the router addresses that a caller should use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One router address in an entry answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The prefix of request ids sent to this address. The caller appends eight hexadecimal digits of its own
    /// choice, below 80000000.
    pub prefix: String,
}

/// The addresses that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Sorted by preference, best first.
    #[serde(rename = "use")]
    pub addresses: Vec<Address>,
    /// How long the caller may cache this answer, in milliseconds.
    pub keep_ms: u64,
}
