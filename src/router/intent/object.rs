//! The objects of a configuration.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::units::{Millis, Tokens};

/// An organisation or department that sends requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Hexadecimal SHA-256 of the secret part of its key.
    pub key_hash: String,
    /// Maximum number of requests in progress at one router.
    pub concurrency: u32,
    /// Names of the classes that its requests may use.
    pub classes: Vec<String>,
}

/// A priority class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Rank; requests of a lower rank run first.
    pub rank: u8,
    /// Price per token, in thousandths.
    pub price_permille: u32,
    /// A request that cannot start within this time is refused at once, in milliseconds.
    pub patience: Millis,
}

/// Kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An engine that runs a model.
    Engine,
    /// A runner of a plain service.
    Service,
}

/// A back end that runs requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Engine or service.
    pub kind: Kind,
    /// The model or service that the target serves.
    pub serves: String,
    /// Data hall of the target.
    pub hall: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the target checks the fence of requests, to reject one with an older fence than it has seen.
    pub checks_fence: bool,
    /// Whether the target gets no new requests.
    pub draining: bool,
    /// Price per call of a service, in tokens; 0 for an engine, which is billed by token.
    pub call_price: Tokens,
}

/// A service-level objective of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Maximum time to the first token, in milliseconds.
    pub first_token: Millis,
    /// Maximum time between two tokens, in milliseconds.
    pub between_tokens: Millis,
    /// Share of requests that must meet both, in thousandths.
    pub share_permille: u32,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            first_token: Millis(590),
            between_tokens: Millis(34),
            share_permille: 950,
        }
    }
}

/// The terms of a prepaid budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// The customer that spends the budget.
    pub customer: String,
    /// Tokens paid for in advance.
    pub prepaid: Tokens,
}

/// An object in the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Object {
    /// A customer's key, request limit and classes.
    Customer(Customer),
    /// The rank, price and patience of a class.
    Class(Class),
    /// The address, kind and limits of a target.
    Target(Target),
    /// The latency objective of a class.
    Objective(Objective),
}

/// Kind and name of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Key {
    /// A customer by name.
    Customer(String),
    /// A class by name.
    Class(String),
    /// A target by name.
    Target(String),
    /// The objective of the class of this name.
    Objective(String),
}

impl Key {
    /// The object's name.
    pub fn name(&self) -> &str {
        match self {
            Self::Customer(name)
            | Self::Class(name)
            | Self::Target(name)
            | Self::Objective(name) => name,
        }
    }

    /// Whether the object is of this key's kind.
    pub fn fits(&self, object: &Object) -> bool {
        matches!(
            (self, object),
            (Self::Customer(_), Object::Customer(_))
                | (Self::Class(_), Object::Class(_))
                | (Self::Target(_), Object::Target(_))
                | (Self::Objective(_), Object::Objective(_))
        )
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self {
            Self::Customer(_) => "customer",
            Self::Class(_) => "class",
            Self::Target(_) => "target",
            Self::Objective(_) => "objective",
        };
        write!(f, "{kind}/{}", self.name())
    }
}
