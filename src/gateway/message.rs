//! What gateways say to each other over their links. Both types are encoded for other processes, so
//! the order of variants and fields is part of their form.

use serde::{Deserialize, Serialize};

use super::clock::Readings;
use super::escrow::Loan;
use super::evacuation;
use super::members::Router;
use super::targets::{Outstanding, View};
use super::{notice, quarantine};
use crate::units::Tokens;

/// A router's heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The router.
    pub router: Router,
    /// Version of its configuration.
    pub config: u64,
    /// Whether the store answers it.
    pub store_answers: bool,
    /// What it has at which target.
    pub outstanding: Vec<Outstanding>,
}

/// What a router asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Heartbeats are exchanged.
    Heartbeat(Heartbeat),
    /// Tokens of a customer are to be counted as spent here, for the one who asks.
    Lend {
        /// The customer.
        customer: String,
        /// How many.
        loan: Loan,
    },
    /// Tokens of a customer pass to the one who is asked.
    Give {
        /// The customer.
        customer: String,
        /// How many.
        tokens: Tokens,
    },
    /// What do its host's clocks read?
    Clocks,
    /// Requests that were beside crashes of targets.
    Suspects(Vec<quarantine::Report>),
    /// Which halls are emptied?
    Evacuations,
    /// What targets said of themselves. An empty list only asks for what the other router knows.
    Notices(Vec<notice::Report>),
}

/// What it is answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// To a heartbeat.
    Heartbeat {
        /// The answering router's own.
        heartbeat: Box<Heartbeat>,
        /// Its configuration as it was read, where that is newer.
        config: Option<Vec<u8>>,
        /// Its list of targets, where the store answers it and not the one who asks.
        targets: Option<View>,
    },
    /// Tokens that are lent; zero is a refusal.
    Lent(Tokens),
    /// The tokens that were given have been added.
    Taken,
    /// No tokens have changed hands, and none will here.
    Declined,
    /// What the clocks of the answering router's host read.
    Clocks(Readings),
    /// What was told has been taken in.
    Noted,
    /// The halls that are emptied, where the answering router knows them.
    Evacuations(Option<evacuation::View>),
    /// What the answering router knows of what targets said.
    Notices(Vec<notice::Report>),
}
