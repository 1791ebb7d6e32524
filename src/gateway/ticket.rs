//! The traffic's side of the control state: a request's place there, given up when dropped.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::control::Message;
use super::dialect::Load;
use super::fleet::{Arrival, Cost, Ending, Go, Job, Refusal};

/// Asks the control state.
#[derive(Clone, Debug)]
pub struct Desk(mpsc::UnboundedSender<Message>);

/// A request that is under way. Dropped without an end, it counts as broken off.
#[derive(Debug)]
pub struct Ticket {
    desk: Desk,
    go: Go,
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
            ended: false,
        })
    }
}

impl Ticket {
    /// Where the request goes.
    pub fn go(&self) -> &Go {
        &self.go
    }

    /// Asks where to go after a try without an answer.
    ///
    /// # Errors
    /// Why it goes nowhere.
    pub async fn again(mut self, ending: Ending, arrival: Arrival) -> Result<Self, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.ended = true;
        self.desk.tell(Message::Again {
            ticket: self.go.ticket,
            ending,
            arrival,
            reply,
        });
        let go = answer.await.unwrap_or(Err(Refusal::NoTarget))?;
        Ok(Self {
            desk: self.desk.clone(),
            go,
            ended: false,
        })
    }

    /// Tells that the target has begun to answer.
    pub fn answered(&self, load: Option<Load>) {
        self.desk.tell(Message::Answered {
            ticket: self.go.ticket,
            load,
        });
    }

    /// Tells how the request has ended.
    pub fn end(mut self, ending: Ending) {
        self.ended = true;
        self.desk.tell(Message::End {
            ticket: self.go.ticket,
            ending,
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.ended {
            self.desk.tell(Message::End {
                ticket: self.go.ticket,
                ending: Ending {
                    outcome: None,
                    cost: Cost::Most,
                },
            });
        }
    }
}
