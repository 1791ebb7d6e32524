//! The answer to a caller that asks which addresses to use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One address of an entry answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Where to connect.
    pub address: SocketAddr,
    /// What to make request ids of there: this, then eight hexadecimal digits of the caller's
    /// own, below 80000000.
    pub prefix: String,
}

/// Which addresses to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Best first.
    #[serde(rename = "use")]
    pub addresses: Vec<Address>,
    /// How long this may be kept, in milliseconds.
    pub keep_ms: u64,
}
