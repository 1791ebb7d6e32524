//! Answers as they come in, kept for whoever asks for them: the caller, and its retries.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use tokio::sync::watch;

use super::chat::{Call, Frame};
use crate::router::report::Watch;
use crate::router::request::{Id, Ticket, Verdict};

/// What is sent to the target.
#[derive(Clone, Debug)]
pub enum Work {
    /// A model call.
    Chat(Call),
    /// The body of a service call.
    Service(Bytes),
}

/// What a request is about, for logs and reports.
#[derive(Clone, Debug)]
pub struct About {
    /// Its id.
    pub id: Id,
    /// Whose it is.
    pub customer: String,
    /// Its class.
    pub class: String,
    /// The model or service.
    pub serves: String,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// When it came.
    pub arrived: Instant,
}

/// The answer of a service.
#[derive(Clone, Debug)]
pub struct Body {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// What a reader of an answer sees next.
#[derive(Clone, Debug)]
pub enum Step {
    /// A frame.
    Frame(Arc<Frame>),
    /// There is nothing more.
    End(Verdict),
}

#[derive(Debug, Default)]
struct Inner {
    frames: Vec<Arc<Frame>>,
    whole: Option<Body>,
    verdict: Option<Verdict>,
    joined: Option<Arc<Answer>>,
    shown: bool,
}

/// One request's answer.
#[derive(Debug)]
pub struct Answer {
    /// What is sent to the target.
    pub work: Work,
    /// What it is about.
    pub about: About,
    /// What it measures on its way.
    pub watch: Watch,
    inner: Mutex<Inner>,
    moved: watch::Sender<()>,
}

impl Answer {
    /// An answer that has not begun.
    pub fn new(work: Work, about: About) -> Self {
        Self {
            work,
            about,
            watch: Watch::default(),
            inner: Mutex::default(),
            moved: watch::Sender::new(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.lock());
        self.moved.send_replace(());
    }

    /// Adds a frame.
    pub fn push(&self, frame: Frame) {
        self.change(|inner| inner.frames.push(Arc::new(frame)));
    }

    /// Sets a service's answer.
    pub fn set_whole(&self, body: Body) {
        self.change(|inner| inner.whole = Some(body));
    }

    /// Ends the answer.
    pub fn end(&self, verdict: Verdict) {
        self.change(|inner| {
            inner.verdict.get_or_insert(verdict);
        });
    }

    /// A retry's answer is that of the first arrival.
    pub fn join(&self, first: Arc<Answer>) {
        self.change(|inner| inner.joined = Some(first));
    }

    /// Takes back what has come, unless somebody has seen a part; whether somebody has.
    pub fn take_back(&self) -> bool {
        let mut inner = self.lock();
        if !inner.shown {
            inner.frames.clear();
            inner.whole = None;
        }
        inner.shown
    }

    /// The verdict, once there is one.
    pub fn verdict(&self) -> Option<Verdict> {
        self.lock().verdict
    }

    /// A service's answer.
    pub fn whole(&self) -> Option<Body> {
        self.lock().whole.clone()
    }

    /// The answer that a retry has joined.
    pub fn joined(&self) -> Option<Arc<Answer>> {
        self.lock().joined.clone()
    }

    fn peek(&self, place: usize) -> Option<Step> {
        let mut inner = self.lock();
        if let Some(frame) = inner.frames.get(place).cloned() {
            // The last frame waits for the verdict, since the bill goes with it.
            let last = frame.usage.is_some();
            if !last || inner.verdict.is_some() {
                inner.shown = true;
                return Some(Step::Frame(frame));
            }
        }
        inner.verdict.map(Step::End)
    }

    /// The frame at a place, or the end; waits for it.
    pub async fn step(&self, place: usize) -> Step {
        let mut moved = self.moved.subscribe();
        loop {
            moved.borrow_and_update();
            if let Some(step) = self.peek(place) {
                return step;
            }
            // The sender lives as long as this answer, so this only returns on a change.
            let _ = moved.changed().await;
        }
    }

    /// Waits until there is something to say: a first frame, a verdict, or another to join.
    pub async fn begun(&self) -> Option<Arc<Answer>> {
        let mut moved = self.moved.subscribe();
        loop {
            moved.borrow_and_update();
            let joined = self.joined();
            if joined.is_some() || self.peek(0).is_some() {
                return joined;
            }
            let _ = moved.changed().await;
        }
    }

    /// Waits for the verdict.
    pub async fn ended(&self) -> Verdict {
        let mut moved = self.moved.subscribe();
        loop {
            moved.borrow_and_update();
            if let Some(verdict) = self.verdict() {
                return verdict;
            }
            let _ = moved.changed().await;
        }
    }
}

/// All answers that are kept.
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

    /// Keeps an answer.
    pub fn insert(&self, ticket: Ticket, answer: Arc<Answer>) {
        self.lock().insert(ticket, answer);
    }

    /// The answer of a ticket.
    pub fn get(&self, ticket: Ticket) -> Option<Arc<Answer>> {
        self.lock().get(&ticket).cloned()
    }

    /// Keeps an answer no longer.
    pub fn remove(&self, ticket: Ticket) -> Option<Arc<Answer>> {
        self.lock().remove(&ticket)
    }
}
