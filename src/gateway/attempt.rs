//! The traffic's side of the control state: the questions that it asks, and its hold on an attempt.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::decision::refusal::Refusal;
use super::decision::retry::Charge;
use super::dialect::Load;
use super::job::{Delivery, Ending, Job, Placement};
use super::key::JobKey;
use super::notice::Notice;
use crate::ejection::Outcome;
use crate::units::Tokens;

/// Sends the control thread's reply to the request that waits for it.
pub type ReplySender = oneshot::Sender<Result<Placement, Refusal>>;

/// What the traffic asks of the control thread, and tells it.
#[derive(Debug)]
pub enum Message {
    /// May this request run, and where?
    Begin {
        /// The request.
        job: Job,
        /// Longest wait for a grant.
        wait: Duration,
        /// Receives the placement, or why there is none.
        reply: ReplySender,
    },
    /// An attempt has failed: may there be another, and where?
    Retry {
        /// The request.
        job: JobKey,
        /// The end of the attempt.
        ending: Ending,
        /// Whether the retry is charged to the retry budget.
        charge: Charge,
        /// Receives the placement, or why there is none.
        reply: ReplySender,
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
    /// An attempt was interrupted: its connection was lost, or its response broke off or was unusable.
    Interrupted {
        /// The request.
        job: JobKey,
    },
    /// A request has ended.
    End {
        /// The request.
        job: JobKey,
        /// How.
        ending: Ending,
    },
    /// The process is stopping: callers must connect to other routers.
    Drain,
    /// Nothing runs any more: give grants back, and answer other routers for the last time.
    Close {
        /// Told when that is done.
        done: oneshot::Sender<()>,
    },
}

/// Asks the control thread.
#[derive(Clone, Debug)]
pub struct Controller(mpsc::UnboundedSender<Message>);

/// An attempt under way. Dropped without an end, its caller has left.
#[derive(Debug)]
pub struct Attempt {
    controller: Controller,
    placement: Placement,
    delivery: Delivery,
    has_ended: bool,
}

impl Controller {
    /// The asking side of a channel.
    pub fn new(sender: mpsc::UnboundedSender<Message>) -> Self {
        Self(sender)
    }

    /// Sends a message to the control thread.
    pub fn send(&self, message: Message) {
        // The thread only ends with the process, which then answers nobody any more.
        let _ = self.0.send(message);
    }

    /// Starts a request.
    ///
    /// # Errors
    /// Why it does not run.
    pub async fn begin(&self, job: Job, wait: Duration) -> Result<Attempt, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Begin { job, wait, reply });
        self.attempt(answer).await
    }

    async fn attempt(
        &self,
        answer: oneshot::Receiver<Result<Placement, Refusal>>,
    ) -> Result<Attempt, Refusal> {
        let mut pending = Pending {
            controller: self,
            answer,
        };
        // Without an answer the process is ending.
        let placement = (&mut pending.answer).await;
        Ok(self.hold(placement.unwrap_or(Err(Refusal::NoTarget))?))
    }

    fn hold(&self, placement: Placement) -> Attempt {
        Attempt {
            controller: self.clone(),
            placement,
            delivery: Delivery::Nothing,
            has_ended: false,
        }
    }
}

/// A question without its answer. Dropped, its caller has left: an attempt that was answered and not taken
/// is ended, or its tokens would be reserved for as long as the process runs.
struct Pending<'a> {
    controller: &'a Controller,
    answer: oneshot::Receiver<Result<Placement, Refusal>>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.answer.close();
        if let Ok(Ok(placement)) = self.answer.try_recv() {
            drop(self.controller.hold(placement));
        }
    }
}

impl Attempt {
    /// Where it goes.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Waits for something that its target does; `None` once the target's incarnation is known to have ended, which
    /// a connection to a host that has lost power does not show.
    pub async fn until_ended<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.placement.ended.cancelled() => None,
        }
    }

    /// Notes that some of the answer is delivered from now on.
    pub fn deliver_some(&mut self) {
        self.delivery = Delivery::Uncounted;
    }

    /// Notes that the answer was delivered to its end, with so many tokens.
    pub fn deliver_all(&mut self, tokens: Tokens) {
        self.delivery = Delivery::Counted(tokens);
    }

    /// Ends this attempt and starts another; `outcome` is how its target is judged.
    ///
    /// # Errors
    /// Why there is none; the request has then ended.
    pub async fn retry(
        mut self,
        outcome: Option<Outcome>,
        charge: Charge,
    ) -> Result<Self, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.has_ended = true;
        self.controller.send(Message::Retry {
            job: self.placement.job,
            ending: self.ending(outcome),
            charge,
            reply,
        });
        self.controller.attempt(answer).await
    }

    fn ending(&self, outcome: Option<Outcome>) -> Ending {
        Ending {
            outcome,
            delivery: self.delivery,
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
