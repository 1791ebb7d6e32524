//! Answers of targets as they arrive, kept for the caller and for retries with the same request id.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use tokio::sync::watch;

use super::chat::{Call, Frame};
use crate::router::report::FrameTimes;
use crate::router::request::{Id, Ticket, Verdict};

/// The payload that is sent to the target.
#[derive(Clone, Debug)]
pub enum Work {
    /// A model call.
    Chat(Call),
    /// The body of a service call.
    Service(Bytes),
}

/// The properties of a request that logs and reports show.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// The request id.
    pub id: Id,
    /// The customer that sent the request.
    pub customer: String,
    /// The service class.
    pub class: String,
    /// The requested model or service.
    pub serves: String,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// When the request arrived.
    pub arrived: Instant,
}

/// The complete answer of a service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// The next item that a reader of an answer receives.
#[derive(Clone, Debug)]
pub enum Step {
    /// A frame.
    Frame(Arc<Frame>),
    /// The end of the answer.
    End(Verdict),
}

#[derive(Debug, Default)]
struct Inner {
    frames: Vec<Arc<Frame>>,
    /// The answer of a service.
    service_answer: Option<ServiceAnswer>,
    verdict: Option<Verdict>,
    /// The answer of the first arrival, in the answer of a retry.
    joined: Option<Arc<Answer>>,
    /// Whether a reader has received a part of the content.
    delivered: bool,
}

/// The answer to one request, which may still be arriving.
#[derive(Debug)]
pub struct Answer {
    /// The payload that is sent to the target.
    pub work: Work,
    /// The properties of the request.
    pub request: RequestInfo,
    /// The arrival times of its frames.
    pub frame_times: FrameTimes,
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
}

impl Answer {
    /// Creates an answer without any content.
    pub fn new(work: Work, request: RequestInfo) -> Self {
        Self {
            work,
            request,
            frame_times: FrameTimes::default(),
            inner: Mutex::default(),
            changed: watch::Sender::new(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the content and wakes all waiting readers.
    fn change(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.lock());
        self.changed.send_replace(());
    }

    /// Appends a frame.
    pub fn push(&self, frame: Frame) {
        self.change(|inner| inner.frames.push(Arc::new(frame)));
    }

    /// Stores the answer of a service.
    pub fn set_service_answer(&self, answer: ServiceAnswer) {
        self.change(|inner| inner.service_answer = Some(answer));
    }

    /// Ends the answer with a verdict; the first verdict stays.
    pub fn end(&self, verdict: Verdict) {
        self.change(|inner| {
            inner.verdict.get_or_insert(verdict);
        });
    }

    /// Makes this answer, which belongs to a retry, refer to the answer of the first arrival.
    pub fn join(&self, first: Arc<Answer>) {
        self.change(|inner| inner.joined = Some(first));
    }

    /// Discards the content, unless a reader has already received a part of it; returns whether one has.
    pub fn discard_undelivered(&self) -> bool {
        let mut inner = self.lock();
        if !inner.delivered {
            inner.frames.clear();
            inner.service_answer = None;
        }
        inner.delivered
    }

    /// The verdict, if the answer has ended.
    pub fn verdict(&self) -> Option<Verdict> {
        self.lock().verdict
    }

    /// The answer of a service, if it has arrived.
    pub fn service_answer(&self) -> Option<ServiceAnswer> {
        self.lock().service_answer.clone()
    }

    /// The answer of the first arrival, if this one belongs to a retry.
    pub fn joined(&self) -> Option<Arc<Answer>> {
        self.lock().joined.clone()
    }

    /// The frame at an index, or the end, if it has arrived. Marks the content as delivered when it returns a frame.
    fn peek(&self, index: usize) -> Option<Step> {
        let mut inner = self.lock();
        if let Some(frame) = inner.frames.get(index).cloned() {
            // The last frame is held back until the verdict is known, since it is sent along with the bill.
            let last = frame.usage.is_some();
            if !last || inner.verdict.is_some() {
                inner.delivered = true;
                return Some(Step::Frame(frame));
            }
        }
        inner.verdict.map(Step::End)
    }

    /// Waits for the frame at an index, or for the end of the answer.
    pub async fn step(&self, index: usize) -> Step {
        let mut changes = self.changed.subscribe();
        loop {
            changes.borrow_and_update();
            if let Some(step) = self.peek(index) {
                return step;
            }
            // The sender lives as long as this answer, so this returns only after a change.
            let _ = changes.changed().await;
        }
    }

    /// Waits for a first frame, a verdict, or an answer to join; returns the joined answer, if any.
    pub async fn wait_started(&self) -> Option<Arc<Answer>> {
        let mut changes = self.changed.subscribe();
        loop {
            changes.borrow_and_update();
            let joined = self.joined();
            if joined.is_some() || self.peek(0).is_some() {
                return joined;
            }
            let _ = changes.changed().await;
        }
    }

    /// Waits for the verdict.
    pub async fn wait_verdict(&self) -> Verdict {
        let mut changes = self.changed.subscribe();
        loop {
            changes.borrow_and_update();
            if let Some(verdict) = self.verdict() {
                return verdict;
            }
            let _ = changes.changed().await;
        }
    }
}

/// The answers that are kept, by ticket.
#[derive(Debug, Default)]
pub struct Answers {
    by_ticket: Mutex<HashMap<Ticket, Arc<Answer>>>,
}

impl Answers {
    fn lock(&self) -> MutexGuard<'_, HashMap<Ticket, Arc<Answer>>> {
        self.by_ticket
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an answer.
    pub fn insert(&self, ticket: Ticket, answer: Arc<Answer>) {
        self.lock().insert(ticket, answer);
    }

    /// The answer of a ticket.
    pub fn get(&self, ticket: Ticket) -> Option<Arc<Answer>> {
        self.lock().get(&ticket).cloned()
    }

    /// Removes an answer.
    pub fn remove(&self, ticket: Ticket) -> Option<Arc<Answer>> {
        self.lock().remove(&ticket)
    }
}
