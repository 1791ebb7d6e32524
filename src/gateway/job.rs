//! A request as the control state handles it, and what traffic and control tell each other of it.

use std::net::SocketAddr;

use tokio_util::sync::CancellationToken;

use super::dialect::Prompt;
use super::fingerprint::Fingerprint;
use super::key::{JobKey, TargetKey};
use crate::ejection::Outcome;
use crate::units::Tokens;

/// What a request needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its id, for logs.
    pub id: String,
    /// The services that may run it, with their weights.
    pub services: Vec<(String, f64)>,
    /// Set for a model request.
    pub prompt: Option<Prompt>,
    /// The same for each try of the request.
    pub fingerprint: Fingerprint,
    /// Who pays, and all that it has prepaid.
    pub payer: Option<(String, Tokens)>,
}

impl Job {
    /// The most tokens that it may cost.
    pub fn max_cost(&self) -> Tokens {
        self.prompt.as_ref().map_or(Tokens::ZERO, Prompt::max_cost)
    }
}

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The request.
    pub job: JobKey,
    /// The target.
    pub target: TargetKey,
    /// The target's instance; another one at the address has to refuse.
    pub instance: String,
    /// The target's address.
    pub address: SocketAddr,
    /// Cancelled when the target's incarnation is known to have ended.
    pub ended: CancellationToken,
}

/// How much of an answer was delivered to its customer. A customer gets nothing but by its router, so
/// what no router has delivered is not charged, whether or not a target has run the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// Nothing.
    #[default]
    Nothing,
    /// The whole answer, of so many tokens; the prompt's are charged as well.
    Counted(Tokens),
    /// Some of it, of unknown length; the most that the request may cost is charged.
    Uncounted,
}

impl Delivery {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Counted(_) => "counted",
            Self::Uncounted => "uncounted",
        }
    }

    /// What is known after a later attempt of the same request has ended too.
    pub fn then(self, later: Self) -> Self {
        match later {
            Self::Nothing => self,
            Self::Counted(_) | Self::Uncounted => later,
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ending {
    /// How the target is judged by it; `None` where it says nothing about the target.
    pub outcome: Option<Outcome>,
    /// What was delivered of the answer, over all attempts.
    pub delivery: Delivery,
}
