//! A request as the control state sees it, and the data that the traffic and the control thread exchange about it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::decision::origin::Constraint;
use super::decision::placement::Estimate;
use super::dialect::Prompt;
use super::escrow::Demand;
use super::fingerprint::Fingerprint;
use super::key::{JobKey, TargetKey};
use super::slots::Occupancy;
use super::streams::Stream;
use crate::ejection::Outcome;
use crate::units::{Millis, Tokens};

/// The requirements of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request id, for logs.
    pub id: String,
    /// The name of the request's route.
    pub route: String,
    /// The services that may run the request, with their weights.
    pub services: Vec<(String, f64)>,
    /// The prompt; set for a model request only.
    pub prompt: Option<Prompt>,
    /// The stream that the request begins or takes up, if callers may take it up again.
    pub stream: Option<Stream>,
    /// The versions of targets that the request may be sent to.
    pub origin: Constraint,
    /// Identity of the request, the same whenever it is sent again.
    pub fingerprint: Fingerprint,
    /// The customer that pays, and its total of prepaid tokens.
    pub payer: Option<(String, Tokens)>,
    /// Whether the request's tokens count as demand; the control state sets it when the request arrives.
    pub demand: Demand,
    /// Rank of the request; 0 goes first.
    pub rank: u8,
    /// When the caller stops waiting, by the host's steady clock.
    pub deadline: Millis,
}

impl Job {
    /// Maximum cost in tokens.
    pub fn max_cost(&self) -> Tokens {
        self.prompt.as_ref().map_or(Tokens::ZERO, Prompt::max_cost)
    }
}

/// The target of an attempt.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The request.
    pub job: JobKey,
    /// The target.
    pub target: TargetKey,
    /// The target's instance; another instance at the same address must refuse the request.
    pub instance: String,
    /// Version of the target's software, if it is known.
    pub version: Option<String>,
    /// The target's address.
    pub address: SocketAddr,
    /// Cancelled when the target's incarnation is known to have ended.
    pub ended: CancellationToken,
    /// Whether the attempt needs a slot of the target before it is sent.
    pub needs_slot: bool,
    /// What was expected of the target, if it was chosen by expected time.
    pub estimate: Option<Estimate>,
}

/// How much of a response was delivered to the customer. A customer gets responses only through a router, so what no
/// router has delivered is not charged, whether or not a target has run the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// No part of the response was delivered; nothing is charged.
    #[default]
    Nothing,
    /// The complete response was delivered, with its number of tokens; the tokens of the prompt are charged as well.
    Counted(Tokens),
    /// A part of unknown length was delivered; the maximum cost of the request is charged.
    Uncounted,
}

impl Delivery {
    /// The name of the delivery in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Counted(_) => "counted",
            Self::Uncounted => "uncounted",
        }
    }

    /// Combines this with the delivery of a later attempt of the same request.
    pub fn then(self, later: Self) -> Self {
        match later {
            Self::Nothing => self,
            Self::Counted(_) | Self::Uncounted => later,
        }
    }
}

/// How long a part of an answer took that shows the target's speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Timing {
    /// Nothing was measured.
    #[default]
    Unknown,
    /// The time from the send to the end of an answer that is not a stream.
    Answer(Duration),
    /// The time from the first to the last event of a stream, and the number of events after the first.
    Events {
        /// Time from the first to the last event.
        elapsed: Duration,
        /// Number of events after the first.
        count: u64,
    },
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ending {
    /// How the target is judged by the attempt; `None` if the attempt says nothing about the target.
    pub outcome: Option<Outcome>,
    /// Whether the target may still work on the request.
    pub occupancy: Occupancy,
    /// How much of the response was delivered, over all attempts.
    pub delivery: Delivery,
    /// How long the answer took.
    pub timing: Timing,
}
