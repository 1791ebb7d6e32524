//! How the traffic thread uses the control state: the messages to the control thread, and the handle of an attempt.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::decision::refusal::{Declined, Refusal};
use super::decision::retry::Charge;
use super::dialect::Load;
use super::job::{Delivery, Ending, Job, Placement, Timing};
use super::key::JobKey;
use super::notice::Notice;
use super::proxy::Located;
use super::slots::Occupancy;
use crate::ejection::Outcome;
use crate::units::{Millis, Tokens};

/// Sends the control thread's reply to the request that waits for it.
pub type ReplySender = oneshot::Sender<Result<Placement, Declined>>;

/// Sends the control thread's answer to an attempt that asks for a slot of its target: that it has one, or the time until
/// one can be free.
pub type SlotSender = oneshot::Sender<Result<(), Millis>>;

/// A message from the traffic thread to the control thread.
#[derive(Debug)]
pub enum Message {
    /// Asks for the placement of a new request.
    Begin {
        /// The request.
        job: Job,
        /// Maximum wait for a grant.
        wait: Duration,
        /// Receives the placement, or why there is none.
        reply: ReplySender,
    },
    /// Asks for the placement of another attempt after one has failed.
    Retry {
        /// The request.
        job: JobKey,
        /// The end of the failed attempt.
        ending: Ending,
        /// Whether the retry is charged to the retry budget.
        charge: Charge,
        /// Receives the placement, or why there is none.
        reply: ReplySender,
    },
    /// Asks for the slot that an attempt needs.
    Slot {
        /// The request.
        job: JobKey,
        /// Receives the answer.
        reply: SlotSender,
    },
    /// The head of a target's response has arrived, with any status; it may carry notices of the target about itself.
    Notice {
        /// The request.
        job: JobKey,
        /// The target's notices.
        notice: Notice,
    },
    /// A target has begun to respond.
    ResponseStarted {
        /// The request.
        job: JobKey,
        /// The load that the target reported.
        load: Option<Load>,
    },
    /// The first event of a target's stream has arrived.
    FirstEvent {
        /// The request.
        job: JobKey,
        /// Time since the request was sent to the target.
        elapsed: Duration,
    },
    /// A connection to a target could not be opened.
    Unreachable,
    /// Asks where a target is, for a request of another router.
    Locate {
        /// The target's incarnation.
        target: String,
        /// Receives its place; `None` if it is not known or has ended.
        reply: oneshot::Sender<Option<Located>>,
    },
    /// An attempt was interrupted: its connection was lost, or its response broke off or was unusable.
    Interrupted {
        /// The request.
        job: JobKey,
    },
    /// A request has ended.
    End {
        /// The request.
        job: JobKey,
        /// How the request ended.
        ending: Ending,
    },
    /// The process is stopping: callers must connect to other routers.
    Drain,
    /// No request runs any more: the control thread gives grants back, sends its last replies to other routers and
    /// closes the link to them.
    Close {
        /// Signalled when the control thread has done so.
        done: oneshot::Sender<()>,
    },
}

/// Sends messages to the control thread.
#[derive(Clone, Debug)]
pub struct Controller(mpsc::UnboundedSender<Message>);

/// An attempt in progress. If it is dropped without being ended, its caller has disconnected.
#[derive(Debug)]
pub struct Attempt {
    controller: Controller,
    placement: Placement,
    delivery: Delivery,
    /// When the request was sent to the target.
    sent_at: Option<Instant>,
    timing: Timing,
    occupancy: Occupancy,
    has_ended: bool,
}

impl Controller {
    /// Wraps the sending half of the control thread's channel.
    pub fn new(sender: mpsc::UnboundedSender<Message>) -> Self {
        Self(sender)
    }

    /// Sends a message to the control thread.
    pub fn send(&self, message: Message) {
        // The control thread ends only with the process, which then responds to no caller any more.
        let _ = self.0.send(message);
    }

    /// Starts a request.
    ///
    /// # Errors
    /// Why the request cannot run.
    pub async fn begin(&self, job: Job, wait: Duration) -> Result<Attempt, Declined> {
        let (reply, receiver) = oneshot::channel();
        self.send(Message::Begin { job, wait, reply });
        self.receive_attempt(receiver).await
    }

    /// Returns where a target is; `None` if it is not known or has ended.
    pub async fn locate(&self, target: String) -> Option<Located> {
        let (reply, receiver) = oneshot::channel();
        self.send(Message::Locate { target, reply });
        // If the sender was dropped, the process is ending.
        receiver.await.ok().flatten()
    }

    async fn receive_attempt(
        &self,
        receiver: oneshot::Receiver<Result<Placement, Declined>>,
    ) -> Result<Attempt, Declined> {
        let mut pending = PendingReply {
            controller: self,
            receiver,
        };
        // If the sender was dropped, the process is ending.
        let placement = (&mut pending.receiver).await;
        Ok(self.new_attempt(placement.unwrap_or(Err(Refusal::NoTarget.into()))?))
    }

    fn new_attempt(&self, placement: Placement) -> Attempt {
        Attempt {
            controller: self.clone(),
            placement,
            delivery: Delivery::Nothing,
            sent_at: None,
            timing: Timing::Unknown,
            occupancy: Occupancy::Ended,
            has_ended: false,
        }
    }
}

/// A request to the control thread whose reply is not received yet. If it is dropped, its caller has disconnected. Drop
/// ends an attempt that the control thread has already placed; otherwise its tokens would stay reserved for as long as
/// the process runs.
struct PendingReply<'a> {
    controller: &'a Controller,
    receiver: oneshot::Receiver<Result<Placement, Declined>>,
}

impl Drop for PendingReply<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(Ok(placement)) = self.receiver.try_recv() {
            drop(self.controller.new_attempt(placement));
        }
    }
}

impl Attempt {
    /// Where the attempt is sent.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Waits for the slot that the attempt needs, if any.
    ///
    /// # Errors
    /// The time until a slot can be free: there is none in time.
    pub async fn acquire_slot(&self) -> Result<(), Millis> {
        if !self.placement.needs_slot {
            return Ok(());
        }
        let (reply, receiver) = oneshot::channel();
        let job = self.placement.job;
        self.controller.send(Message::Slot { job, reply });
        // If the sender was dropped, the process is ending.
        receiver.await.unwrap_or(Err(Millis::ZERO))
    }

    /// Waits for an operation on the target's connection; `None` once the target's incarnation is known to have ended,
    /// which a connection to a host that has lost power does not show.
    pub async fn until_ended<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.placement.ended.cancelled() => None,
        }
    }

    /// Records that a part of the response, of unknown length, is delivered from now on.
    pub fn note_delivery_started(&mut self) {
        self.delivery = Delivery::Uncounted;
    }

    /// Records that the complete response was delivered, and its length in tokens.
    pub fn note_delivered(&mut self, tokens: Tokens) {
        self.delivery = Delivery::Counted(tokens);
    }

    /// Ends this attempt and starts another; `outcome` is how its target is judged.
    ///
    /// # Errors
    /// Why there is no other attempt; the request has then ended.
    pub async fn retry(
        mut self,
        outcome: Option<Outcome>,
        charge: Charge,
    ) -> Result<Self, Declined> {
        let (reply, receiver) = oneshot::channel();
        self.has_ended = true;
        self.controller.send(Message::Retry {
            job: self.placement.job,
            ending: self.ending(outcome),
            charge,
            reply,
        });
        self.controller.receive_attempt(receiver).await
    }

    fn ending(&self, outcome: Option<Outcome>) -> Ending {
        let occupancy = match outcome {
            Some(Outcome::Answered { .. }) => Occupancy::Ended,
            Some(Outcome::Failed) | None => self.occupancy,
        };
        Ending {
            outcome,
            occupancy,
            delivery: self.delivery,
            timing: self.timing,
        }
    }

    /// Records that the request is being sent to the target.
    pub fn note_sent(&mut self) {
        self.sent_at = Some(Instant::now());
        self.occupancy = Occupancy::Unknown;
    }

    /// Records whether the target still works on the request.
    pub fn note_occupancy(&mut self, occupancy: Occupancy) {
        self.occupancy = occupancy;
    }

    /// Records that an answer which is not a stream has been read to its end.
    pub fn note_answer_read(&mut self) {
        if let Some(sent_at) = self.sent_at {
            self.timing = Timing::Answer(sent_at.elapsed());
        }
    }

    /// Records the time from the first to the last event of a stream, and the number of events after the first.
    pub fn note_events(&mut self, elapsed: Duration, count: u64) {
        self.timing = Timing::Events { elapsed, count };
    }

    /// Reports that the first event of the target's stream has arrived.
    pub fn report_first_event(&self) {
        if let Some(sent_at) = self.sent_at {
            self.controller.send(Message::FirstEvent {
                job: self.placement.job,
                elapsed: sent_at.elapsed(),
            });
        }
    }

    /// Reports the target's notices from the head of its response.
    pub fn report_notice(&self, notice: Notice) {
        self.controller.send(Message::Notice {
            job: self.placement.job,
            notice,
        });
    }

    /// Reports that the target has begun to respond.
    pub fn report_response_started(&self, load: Option<Load>) {
        self.controller.send(Message::ResponseStarted {
            job: self.placement.job,
            load,
        });
    }

    /// Reports that the attempt was interrupted. Must be called before the attempt ends.
    pub fn report_interrupted(&self) {
        self.controller.send(Message::Interrupted {
            job: self.placement.job,
        });
    }

    /// Ends the request; `outcome` is how its last target is judged.
    pub fn end(mut self, outcome: Option<Outcome>) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: Option<Outcome>) {
        self.has_ended = true;
        self.controller.send(Message::End {
            job: self.placement.job,
            ending: self.ending(outcome),
        });
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.has_ended {
            self.finish(None);
        }
    }
}
