//! What a deployment's callers, targets and operators say, as types of ours.
//!
//! A deployment's adapter implements [`Dialect`]: it decodes headers, paths and records into the
//! types here and encodes ours. It owns no state, decides nothing and retries nothing.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Uri};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::notice::Notice;
use super::route::Config;
use crate::units::{Millis, Tokens};

/// A block of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// Equal blocks have equal ids.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: Tokens,
}

/// The prompt of a model request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: String,
    /// Length of the prompt in tokens.
    pub tokens: Tokens,
    /// Longest answer, in tokens.
    pub max_tokens: Tokens,
    /// The prompt's blocks in order; the last belongs to this request alone.
    pub blocks: Vec<Block>,
}

impl Prompt {
    /// The blocks that other prompts may have in common with this one.
    pub fn shared_blocks(&self) -> &[Block] {
        match self.blocks.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }

    /// The most tokens that a request with this prompt can use.
    pub fn max_cost(&self) -> Tokens {
        self.tokens + self.max_tokens
    }
}

/// A caller's request, as far as its headers describe it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The id that the caller gave it.
    pub id: String,
    /// How long the caller waits for the answer.
    pub time_limit: Option<Millis>,
    /// The customer's secret key.
    pub key: Option<String>,
    /// Set for a model request.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller has of a stream that it resumes.
    pub last_event: Option<String>,
    /// Whether its caller has set headers by which only routers order something of a target; they are not
    /// passed on.
    pub has_orders: bool,
}

/// A header that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{header}: wanted is {wanted}"))]
pub struct BadHeader {
    /// Its name.
    pub header: &'static str,
    /// What it has to hold.
    pub wanted: &'static str,
}

/// What a target is told beside the caller's own headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward<'a> {
    /// Time that is left for the answer.
    pub time_limit: Millis,
    /// The instance that is meant; another one at the same address has to refuse.
    pub instance: &'a str,
    /// The customer that pays.
    pub customer: Option<&'a str>,
    /// Rank in the target's queue; 0 goes first.
    pub rank: Option<u8>,
    /// Id of the last event that the caller has, where a stream is resumed.
    pub last_event: Option<&'a str>,
}

/// A request that cannot be written for a target.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{header}: {value:?} is no header value"))]
pub struct BadForward {
    /// The header's name.
    pub header: &'static str,
    /// The value that it should have.
    pub value: String,
}

/// A target's load by its own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether the target says that it has not run the request and never will.
    pub not_run: bool,
    /// Whether a target has signed it, so that it is not some other server's answer.
    pub is_signed: bool,
    /// Whether another instance than the one meant has the address.
    pub wrong_instance: bool,
    /// The target's load.
    pub load: Option<Load>,
    /// How long the target keeps an idle connection.
    pub idle_timeout: Option<Millis>,
    /// What else the target says of itself.
    pub notice: Notice,
}

/// A target's entry in the list of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// One run of the target's process, as [`incarnation`](super::incarnation) names it; a restart has another.
    pub instance: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub is_ready: bool,
}

/// What a target's entry says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// What the target is.
    pub listing: Listing,
    /// How much longer it is cold, from when it wrote the entry.
    pub cold_left: Millis,
}

/// What an operator's record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject<'a> {
    /// The configuration, whole.
    Config,
    /// A hall that is emptied while the record is there, whatever it holds.
    Evacuation {
        /// The hall.
        hall: &'a str,
    },
}

/// A record of the deployment that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BadRecord {
    /// It is not JSON of the wanted shape.
    #[snafu(display("{source}"))]
    Json {
        /// Where and why.
        source: serde_json::Error,
    },
    /// A route's kind is not one that is known.
    #[snafu(display("route {route}: unknown kind {kind:?}"))]
    Kind {
        /// The route's name.
        route: String,
        /// The kind that it has.
        kind: String,
    },
    /// A route names no service.
    #[snafu(display("route {route}: no service"))]
    NoService {
        /// The route's name.
        route: String,
    },
}

/// Why an entry in the list of targets names no target to use.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BadEntry {
    /// It is no JSON object.
    #[snafu(display("unreadable: {source}"))]
    Unreadable {
        /// Where and why.
        source: serde_json::Error,
    },
    /// A field is missing.
    #[snafu(display("{field} is missing"))]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field is of another type, or out of its range.
    #[snafu(display("{field} is no {wanted}"))]
    Type {
        /// The field.
        field: &'static str,
        /// What it has to hold.
        wanted: &'static str,
    },
    /// Its state is not one that is known.
    #[snafu(display("unknown state {state:?}"))]
    State {
        /// The state that it has.
        state: String,
    },
    /// It belongs to a service without a name.
    #[snafu(display("no service is named"))]
    Service,
    /// The id that it stands under cannot be one of a target.
    #[snafu(display("no id of a target"))]
    Id,
}

impl BadEntry {
    /// Words for each cause, in the order of [`cause`](Self::cause).
    pub const CAUSES: [&'static str; 6] =
        ["unreadable", "missing", "type", "state", "service", "id"];

    /// The cause's place among [`CAUSES`](Self::CAUSES).
    pub fn cause(&self) -> usize {
        match self {
            Self::Unreadable { .. } => 0,
            Self::Missing { .. } => 1,
            Self::Type { .. } => 2,
            Self::State { .. } => 3,
            Self::Service => 4,
            Self::Id => 5,
        }
    }
}

/// Translates between a deployment's wire and the types of this module.
pub trait Dialect: Send + Sync {
    /// Decodes a caller's headers.
    ///
    /// # Errors
    /// The first header that cannot be read.
    fn read_request(&self, headers: &HeaderMap) -> Result<Request, BadHeader>;

    /// Turns a caller's headers into those for a target.
    ///
    /// # Errors
    /// A value that does not fit in a header; the request must not be sent without it.
    fn write_forward(
        &self,
        headers: &mut HeaderMap,
        forward: &Forward<'_>,
    ) -> Result<(), BadForward>;

    /// Decodes the head of a target's answer.
    fn read_reply(&self, status: u16, headers: &HeaderMap) -> Reply;

    /// What an operator's record under this key is about; `None` where it is of no use here.
    fn subject<'a>(&self, key: &'a str) -> Option<Subject<'a>>;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// What is wrong with it.
    fn read_config(&self, bytes: &[u8]) -> Result<Config, BadRecord>;

    /// Decodes a target's entry, which stands under `key`.
    ///
    /// # Errors
    /// What is wrong with it.
    fn read_listing(&self, key: &str, bytes: &[u8]) -> Result<Entry, BadEntry>;

    /// Whether a request asks if this router is ready.
    fn is_ready_check(&self, uri: &Uri) -> bool;

    /// The caller's hall, if a request asks which addresses callers should use.
    fn address_query(&self, uri: &Uri) -> Option<String>;

    /// Encodes the answer to such a question, which callers may use for `time_to_live`.
    fn write_addresses(&self, addresses: &[SocketAddr], time_to_live: Millis) -> Bytes;

    /// Encodes the body and the headers of a refusal.
    fn write_refusal(&self, id: &str, reason: &str) -> (Bytes, HeaderMap);
}
