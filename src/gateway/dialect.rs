//! What callers and targets say, in the product's own terms. An adapter translates a deployment's
//! headers, paths and records into these; it decides nothing.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Uri};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::gateway::route::Config;
use crate::units::{Millis, Tokens};

/// A shared part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Which part; equal parts have equal numbers.
    pub id: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// What a model request needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: String,
    /// Tokens of the prompt.
    pub tokens: Tokens,
    /// Most tokens of the answer.
    pub most: Tokens,
    /// The prompt's parts, in order; the last is its own.
    pub parts: Vec<Part>,
}

/// What a caller asks for, as far as its headers tell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// The request's id.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
    /// The key that it shows.
    pub key: Option<String>,
    /// Set for a model request.
    pub prompt: Option<Prompt>,
    /// The last event that it has of a stream that it takes up again.
    pub last_event: Option<String>,
}

/// A header that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{header}: wanted is {wanted}"))]
pub struct BadHeader {
    /// Which.
    pub header: &'static str,
    /// What it must be.
    pub wanted: &'static str,
}

/// What is told to a target beside the caller's own headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// How long it may work.
    pub deadline: Millis,
    /// The instance that is meant.
    pub instance: &'a str,
    /// Who pays.
    pub customer: Option<&'a str>,
    /// Rank at the target; 0 goes first.
    pub rank: Option<u8>,
    /// The last event that the caller has, where a stream is taken up again.
    pub last_event: Option<&'a str>,
}

/// How busy a target says it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What a target's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether the target has not run the request, and never will.
    pub not_run: bool,
    /// Whether the answer is signed by a target.
    pub is_signed: bool,
    /// Whether another instance has the address.
    pub wrong_instance: bool,
    /// How busy it is.
    pub load: Option<Load>,
    /// How long it keeps a resting connection.
    pub keep: Option<Millis>,
}

/// A target as it lists itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// This start of it.
    pub instance: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Requests that it takes at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub is_ready: bool,
}

/// Translates between a deployment's wire and the product.
pub trait Dialect: Send + Sync {
    /// Reads a caller's headers.
    ///
    /// # Errors
    /// The first header that makes no sense.
    fn ask(&self, headers: &HeaderMap) -> Result<Ask, BadHeader>;

    /// Changes a caller's headers into those for a target.
    fn order(&self, headers: &mut HeaderMap, order: &Order<'_>);

    /// Reads the headers of a target's answer.
    fn told(&self, status: u16, headers: &HeaderMap) -> Told;

    /// Reads a configuration.
    ///
    /// # Errors
    /// What is wrong with it.
    fn config(&self, bytes: &[u8]) -> Result<Config, String>;

    /// Reads a target's listing.
    ///
    /// # Errors
    /// What is wrong with it.
    fn listing(&self, key: &str, bytes: &[u8]) -> Result<Listing, String>;

    /// Whether a request asks for readiness.
    fn is_ready_check(&self, uri: &Uri) -> bool;

    /// The hall that a caller asks addresses for, if it asks for addresses.
    fn asks_addresses(&self, uri: &Uri) -> Option<String>;

    /// The answer to a question for addresses.
    fn addresses(&self, addresses: &[SocketAddr], keep: Millis) -> Bytes;

    /// The body of a refusal, and the name of the header for its id.
    fn refusal(&self, id: &str, reason: &str) -> (Bytes, HeaderMap);
}
