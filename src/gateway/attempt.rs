//! The traffic's side of the control state: a request's place there, given up when dropped.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::control::Message;
use super::dialect::Load;
use super::state::{Arrival, Ending, Go, Handed, Job, Refusal};
use crate::ejection::Outcome;
use crate::units::Tokens;

/// Asks the control state.
#[derive(Clone, Debug)]
pub struct Desk(mpsc::UnboundedSender<Message>);

/// A request that is under way. Dropped without an end, its caller has left.
#[derive(Debug)]
pub struct Ticket {
    desk: Desk,
    go: Go,
    handed: Handed,
    ended: bool,
}

impl Desk {
    /// The asking side of a channel.
    pub fn new(sender: mpsc::UnboundedSender<Message>) -> Self {
        Self(sender)
    }

    /// Tells the control state something. Where it has ended, the process is about to.
    pub fn tell(&self, message: Message) {
        let _ = self.0.send(message);
    }

    /// Asks whether a request may run.
    ///
    /// # Errors
    /// Why it may not.
    pub async fn begin(&self, job: Job, wait: Duration) -> Result<Ticket, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::Begin { job, wait, reply });
        let go = answer.await.unwrap_or(Err(Refusal::NoTarget))?;
        Ok(Ticket {
            desk: self.clone(),
            go,
            handed: Handed::Nothing,
            ended: false,
        })
    }
}

impl Ticket {
    /// Where the request goes.
    pub fn go(&self) -> &Go {
        &self.go
    }

    /// Notes that something of the answer is handed to the caller from now on.
    pub fn hand_out(&mut self) {
        self.handed = Handed::Most;
    }

    /// Notes that the answer was handed out to its end, with so many tokens.
    pub fn handed_out(&mut self, tokens: Tokens) {
        self.handed = Handed::Out(tokens);
    }

    /// Asks where to go after a try without an answer; `outcome` is how it judges the target.
    ///
    /// # Errors
    /// Why it goes nowhere.
    pub async fn again(
        mut self,
        outcome: Option<Outcome>,
        arrival: Arrival,
    ) -> Result<Self, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.ended = true;
        self.desk.tell(Message::Again {
            ticket: self.go.ticket,
            ending: self.ending(outcome),
            arrival,
            reply,
        });
        let go = answer.await.unwrap_or(Err(Refusal::NoTarget))?;
        Ok(Self {
            desk: self.desk.clone(),
            go,
            handed: Handed::Nothing,
            ended: false,
        })
    }

    fn ending(&self, outcome: Option<Outcome>) -> Ending {
        Ending {
            outcome,
            handed: self.handed,
        }
    }

    /// Tells that the target has begun to answer.
    pub fn answered(&self, load: Option<Load>) {
        self.desk.tell(Message::Answered {
            ticket: self.go.ticket,
            load,
        });
    }

    /// Tells that the request has ended, and how its target is judged by it.
    pub fn end(mut self, outcome: Option<Outcome>) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: Option<Outcome>) {
        self.ended = true;
        self.desk.tell(Message::End {
            ticket: self.go.ticket,
            ending: self.ending(outcome),
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(None);
        }
    }
}
