//! Tries that brought no answer, and what that says of the request and of the target.

use super::attempt::Ticket;
use super::dialect::Told;
use super::reply::Reason;
use super::state::Arrival;
use crate::ejection::Outcome;

/// Whether a try may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    NotRun,
    MayHaveRun,
}

/// A try that brought no answer.
pub(super) struct Failure {
    pub(super) ticket: Ticket,
    pub(super) reason: Reason,
    pub(super) verdict: Verdict,
    pub(super) outcome: Option<Outcome>,
    pub(super) arrival: Arrival,
}

impl Failure {
    /// No connection came up; nothing was sent.
    pub(super) fn unreached(ticket: Ticket) -> Self {
        Self {
            ticket,
            reason: Reason::Unreachable,
            verdict: Verdict::NotRun,
            outcome: Some(Outcome::Failed),
            arrival: Arrival::No,
        }
    }

    /// A resting connection had gone; nothing was sent.
    pub(super) fn gone_before_use(ticket: Ticket) -> Self {
        Self {
            outcome: None,
            ..Self::unreached(ticket)
        }
    }

    /// Time was over; nothing was sent.
    pub(super) fn late(ticket: Ticket) -> Self {
        Self {
            reason: Reason::Late,
            ..Self::gone_before_use(ticket)
        }
    }

    /// The target refused, and has not run it.
    pub(super) fn refused(ticket: Ticket, told: &Told) -> Self {
        let outcome = (!told.wrong_instance).then_some(Outcome::Failed);
        if let Some(load) = told.load {
            ticket.answered(Some(load));
        }
        Self {
            ticket,
            reason: Reason::TargetRefused,
            verdict: Verdict::NotRun,
            outcome,
            arrival: Arrival::Yes,
        }
    }

    /// It was sent, and nobody can tell whether it ran.
    pub(super) fn broken(ticket: Ticket, reason: Reason) -> Self {
        Self {
            ticket,
            reason,
            verdict: Verdict::MayHaveRun,
            outcome: Some(Outcome::Failed),
            arrival: Arrival::Yes,
        }
    }

    /// Ends the request with it.
    pub(super) fn end(self) {
        self.ticket.end(self.outcome);
    }
}
