//! The messages between gateways, sent over their links. They are encoded by position for other processes, so the order
//! of variants and fields must not change.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::clock::Readings;
use super::decision::origin::Answer;
use super::escrow::Loan;
use super::evacuation;
use super::members::Router;
use super::targets::{Outstanding, View};
use super::{capacities, feed, notice, operators, quarantine, rollout, slots, streams};
use crate::units::Tokens;

/// A router's heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The router's entry.
    pub router: Router,
    /// Version of the router's configuration.
    pub config: u64,
    /// Whether the store answers the router about the configuration and the targets, or its list of targets is current
    /// all the same.
    pub store_answers: bool,
    /// The router's outstanding requests, by target.
    pub outstanding: Vec<Outstanding>,
}

/// A request from one router to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Exchanges heartbeats.
    Heartbeat(Heartbeat),
    /// Asks for tokens of a customer. The receiver counts what it lends as spent.
    Lend {
        /// The customer's name.
        customer: String,
        /// The loan that is asked for.
        loan: Loan,
    },
    /// Transfers tokens of a customer to the receiver.
    Give {
        /// The customer's name.
        customer: String,
        /// Number of tokens.
        tokens: Tokens,
    },
    /// Asks for the readings of the clocks of the receiver's host.
    Clocks,
    /// Reports requests that were running on targets when these crashed.
    Suspects(Vec<quarantine::Report>),
    /// Asks which halls are evacuated.
    Evacuations,
    /// Reports what targets said about themselves, and asks for what the receiver knows. The list may be empty.
    Notices(Vec<notice::Report>),
    /// Reports to the decider of a rollout how attempts ended.
    Evidence(Box<rollout::Report>),
    /// Asks what the receiver knows of rollouts.
    Rollouts,
    /// Asks a reader of the store for the lists of targets and routers.
    Feed(feed::Query),
    /// Reports the sender's capacity, and asks for those of other routers.
    Capacities(capacities::Query),
    /// Asks whether the receiver sends requests to targets for the sender, which is partitioned from them.
    Proxy,
    /// Asks a reader of the store for the operators' records.
    Operators(operators::Query),
    /// Sends records of streams that the sender has begun, and that the receiver keeps.
    Streams(Vec<streams::Record>),
    /// Asks for the version that began a stream.
    Origin(streams::Id),
    /// Asks for the lease of a target's slot that the receiver owns.
    Slot(slots::Query),
    /// Ends the lease of a slot.
    SlotEnd(slots::End),
    /// Reports that a target, given by the hash of its instance, closes new connections.
    Closing(u64),
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Answers a heartbeat.
    Heartbeat {
        /// The answering router's own heartbeat.
        heartbeat: Box<Heartbeat>,
        /// The answering router's configuration as it was read, if it is newer than the asking router's.
        config: Option<Vec<u8>>,
        /// The answering router's list of targets, if the store answers it but not the asking router.
        targets: Option<View>,
    },
    /// The tokens that are lent; zero is a refusal.
    Lent(Tokens),
    /// The tokens that were given have been added.
    Taken,
    /// No tokens were transferred, and the answering router will not transfer any later.
    Declined,
    /// The readings of the clocks of the answering router's host.
    Clocks(Readings),
    /// The reports have been processed.
    Noted,
    /// The evacuated halls, if the answering router knows them.
    Evacuations(Option<evacuation::View>),
    /// What the answering router knows about what targets said about themselves.
    Notices(Vec<notice::Report>),
    /// The rollouts, if the answering router has read the operators' records.
    Rollouts(Option<Vec<rollout::View>>),
    /// The lists, or what has changed in them; `None` if the answering router has not read them.
    Feed(Option<Box<feed::Update>>),
    /// The capacities that the answering router knows among those asked for.
    Capacities(Vec<capacities::Entry>),
    /// The address at which the answering router takes requests of others; `None` if it does not now.
    Proxy(Option<SocketAddr>),
    /// The operators' records; `None` if the answering router has not read them.
    Operators(Option<Box<operators::Update>>),
    /// What the answering router knows of the version that began a stream.
    Origin(Answer),
    /// Whether the slot is leased.
    Slot(slots::Answer),
}
