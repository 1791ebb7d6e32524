//! The interface between a gateway and the wire format of a deployment.
//!
//! A deployment's adapter implements [`Dialect`]: it decodes the headers, paths and records of callers, targets and
//! operators into the types of this module, and encodes these types. It holds no state, makes no decisions and retries
//! nothing.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Uri};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::notice::Notice;
use super::rollout;
use super::route::Config;
use crate::store::Record;
use crate::units::{Millis, Percent, Tokens};

/// A block of a prompt that other prompts may contain as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// Identifies the content: equal blocks have equal ids.
    pub id: u64,
    /// Length in tokens.
    pub tokens: Tokens,
}

/// The prompt of a model request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Length of the prompt in tokens.
    pub tokens: Tokens,
    /// Maximum length of the answer in tokens.
    pub max_tokens: Tokens,
    /// The prompt's blocks in order. The last one is unique to this request.
    pub blocks: Vec<Block>,
}

impl Prompt {
    /// The blocks that other prompts may share with this one.
    pub fn shared_blocks(&self) -> &[Block] {
        match self.blocks.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }

    /// The ids of the shared blocks, for logs.
    pub fn shared_ids(&self) -> String {
        let ids = self.shared_blocks().iter();
        let ids: Vec<String> = ids.map(|block| format!("{:x}", block.id)).collect();
        ids.join(",")
    }

    /// Maximum number of tokens that a request with this prompt can use.
    pub fn max_cost(&self) -> Tokens {
        self.tokens + self.max_tokens
    }
}

/// What the headers of a caller's request contain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The id that the caller assigned.
    pub id: String,
    /// How long the caller waits for the answer.
    pub time_limit: Option<Millis>,
    /// The customer's API key.
    pub key: Option<String>,
    /// The prompt of a model request; `None` for other requests.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received of the stream that it resumes.
    pub last_event: Option<String>,
    /// Id of the caller's request that brought the first event of the stream that it resumes.
    pub resumes: Option<String>,
    /// Whether the caller set headers by which only routers may instruct a target. These are not forwarded.
    pub has_orders: bool,
}

impl Request {
    /// Whether the request takes up a stream of which its caller has got events.
    pub fn takes_up_stream(&self) -> bool {
        self.resumes.is_some() || self.last_event.is_some()
    }
}

/// A header that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{header}: wanted is {wanted}"))]
pub struct BadHeader {
    /// The header's name.
    pub header: &'static str,
    /// The kind of value that is expected.
    pub wanted: &'static str,
}

/// What a gateway adds to the caller's own headers when it forwards a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward<'a> {
    /// Time that remains for the answer.
    pub time_limit: Millis,
    /// The instance that the request is meant for. Another instance at the same address must refuse it.
    pub instance: &'a str,
    /// The customer that is charged.
    pub customer: Option<&'a str>,
    /// Rank in the target's queue; the lowest rank, 0, is served first.
    pub rank: Option<u8>,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event: Option<&'a str>,
}

/// A value that cannot be encoded as a header for a target.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{header}: {value:?} is no header value"))]
pub struct BadForward {
    /// The header's name.
    pub header: &'static str,
    /// The value.
    pub value: String,
}

/// A target's load, as the target reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// How long work takes at the target at this moment, compared with its usual time. `None` if the target does not
    /// report it.
    pub slowdown: Option<Percent>,
}

/// What the head of a target's answer contains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// Id of the request that is answered.
    pub id: Option<String>,
    /// Whether the target states that it has not run the request and never will.
    pub not_run: bool,
    /// Whether the answer bears a target's signature, so that it is not from some other server.
    pub is_signed: bool,
    /// Whether the address belongs to another instance than the request was meant for.
    pub wrong_instance: bool,
    /// The target's load.
    pub load: Option<Load>,
    /// How long the target keeps an idle connection open.
    pub idle_timeout: Option<Millis>,
    /// What else the target reports about itself.
    pub notice: Notice,
}

/// A target in the list of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// One run of the target's process, named as in [`incarnation`](super::incarnation). It changes at a restart.
    pub instance: String,
    /// The service that the target belongs to.
    pub service: String,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// The target's data hall.
    pub hall: String,
    /// Maximum number of requests that the target runs at the same time.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub is_ready: bool,
}

/// A decoded entry of the list of targets. It is encoded by position for other processes, so the order of its fields
/// must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The target.
    pub listing: Listing,
    /// How much longer the target is cold, counted from when it wrote the entry.
    pub cold_left: Millis,
    /// Version of the target's software; `None` in the entry of a leaving target that lacks it.
    pub version: Option<String>,
}

/// The subject of an operator's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject<'a> {
    /// The complete configuration.
    Config,
    /// A hall that is evacuated as long as the record exists, whatever its value is.
    Evacuation {
        /// The hall.
        hall: &'a str,
    },
    /// An order to roll out a version of a service.
    Rollout {
        /// The service.
        service: &'a str,
    },
}

/// A record of the deployment that cannot be decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BadRecord {
    /// The record is not JSON, or does not have the expected fields.
    #[snafu(display("{source}"))]
    Json {
        /// The parser's error, with its position.
        source: serde_json::Error,
    },
    /// A route has an unknown kind.
    #[snafu(display("route {route}: unknown kind {kind:?}"))]
    Kind {
        /// The route's name.
        route: String,
        /// The unknown kind.
        kind: String,
    },
    /// A route names no service.
    #[snafu(display("route {route}: no service"))]
    NoService {
        /// The route's name.
        route: String,
    },
}

/// Why an entry of the list of targets cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BadEntry {
    /// The entry is not a JSON object.
    #[snafu(display("unreadable: {source}"))]
    Unreadable {
        /// The parser's error, with its position.
        source: serde_json::Error,
    },
    /// A field is missing.
    #[snafu(display("{field} is missing"))]
    Missing {
        /// The field's name.
        field: &'static str,
    },
    /// A field has the wrong type or is out of range.
    #[snafu(display("{field} is no {wanted}"))]
    Type {
        /// The field's name.
        field: &'static str,
        /// The kind of value that is expected.
        wanted: &'static str,
    },
    /// The target's state is unknown.
    #[snafu(display("unknown state {state:?}"))]
    State {
        /// The unknown state.
        state: String,
    },
    /// The name of the service is empty.
    #[snafu(display("the service name is empty"))]
    Service,
    /// The entry's key is not a valid target id.
    #[snafu(display("the key is not a valid target id"))]
    Id,
    /// The entry has no start time, and that target's own entry had one.
    #[snafu(display("the start time is missing, which the target has told before"))]
    Start,
}

impl BadEntry {
    /// Metric labels of the causes, indexed by [`cause`](Self::cause).
    pub const CAUSES: [&'static str; 7] = [
        "unreadable",
        "missing",
        "type",
        "state",
        "service",
        "id",
        "start",
    ];

    /// Index of the cause in [`CAUSES`](Self::CAUSES).
    pub fn cause(&self) -> usize {
        match self {
            Self::Unreadable { .. } => 0,
            Self::Missing { .. } => 1,
            Self::Type { .. } => 2,
            Self::State { .. } => 3,
            Self::Service => 4,
            Self::Id => 5,
            Self::Start => 6,
        }
    }
}

/// Translates between a deployment's wire format and the types of this module.
pub trait Dialect: Send + Sync {
    /// Decodes a caller's headers.
    ///
    /// # Errors
    /// The first header that cannot be parsed.
    fn read_request(&self, headers: &HeaderMap) -> Result<Request, BadHeader>;

    /// Turns a caller's headers into those of the request to a target.
    ///
    /// # Errors
    /// A value that is not a valid header value. The request must not be sent without it.
    fn write_forward(
        &self,
        headers: &mut HeaderMap,
        forward: &Forward<'_>,
    ) -> Result<(), BadForward>;

    /// Decodes the head of a target's answer.
    fn read_reply(&self, status: u16, headers: &HeaderMap) -> Reply;

    /// The subject of the operator's record with this key; `None` if the gateway does not use it.
    fn subject<'a>(&self, key: &'a str) -> Option<Subject<'a>>;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// Why the record is invalid.
    fn read_config(&self, bytes: &[u8]) -> Result<Config, BadRecord>;

    /// Decodes the entry of a target, stored under `key`.
    ///
    /// # Errors
    /// Why the entry cannot be used.
    fn read_listing(&self, key: &str, bytes: &[u8]) -> Result<Entry, BadEntry>;

    /// Decodes an order to roll out a version of a service.
    ///
    /// # Errors
    /// Why the record is invalid.
    fn read_rollout(&self, bytes: &[u8]) -> Result<rollout::Order, BadRecord>;

    /// Encodes the progress of a service's rollout as the record that operators read.
    fn write_progress(&self, service: &str, progress: &rollout::Progress) -> Record;

    /// Decodes a record of a rollout's progress; returns the service too. `None` for records of other kinds, and for
    /// those whose key is deleted.
    ///
    /// # Errors
    /// Why the record is invalid.
    fn read_progress(
        &self,
        record: &Record,
    ) -> Result<Option<(String, rollout::Progress)>, BadRecord>;

    /// Whether a request is a readiness check.
    fn is_ready_check(&self, uri: &Uri) -> bool;

    /// The caller's hall, if a request is an address query: it asks which addresses callers should use.
    fn address_query(&self, uri: &Uri) -> Option<String>;

    /// Encodes the answer to an address query, which callers may cache for `time_to_live`.
    fn write_addresses(&self, addresses: &[SocketAddr], time_to_live: Millis) -> Bytes;

    /// Encodes a refusal as a body and headers.
    fn write_refusal(&self, id: &str, reason: &str) -> (Bytes, HeaderMap);
}
