//! What the threads of a router share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use crate::router::client::HttpLog;
use crate::router::config::Config;
use crate::router::control::{Action, Input, ReplyToken, Spec};
use crate::router::http::answer::{Answer, Answers};
use crate::router::http::entry::Address;
use crate::router::key::Incarnation;
use crate::router::message::{Reply, Request};
use crate::router::report::{Metrics, Trail};
use crate::router::request::{Id, Prefix, Ticket};

/// Numbers of requests that came without an id: between callers' and those of takeovers.
const NUMBERS: std::ops::Range<u32> = 1 << 31..3 << 30;

/// A target counts as active for this long after work of ours.
const ACTIVE: Duration = Duration::from_secs(10);

/// The shared state.
pub struct Shared {
    input: mpsc::UnboundedSender<Input>,
    /// The configuration in force.
    pub config: ArcSwap<Config>,
    /// What ids are made of now.
    pub prefix: ArcSwap<Prefix>,
    /// Answers in progress, and those kept for retries.
    pub answers: Answers,
    /// Latencies and burn.
    pub metrics: Metrics,
    /// Decisions on recent requests.
    pub trail: Trail,
    /// Hash of the operators' secret.
    pub operator_hash: String,
    /// The fleet's key.
    pub fleet_key: String,
    pub(super) log: HttpLog,
    is_ready: AtomicBool,
    active: Mutex<HashMap<SocketAddr, Instant>>,
    waiting: Mutex<HashMap<ReplyToken, oneshot::Sender<Action>>>,
    next: AtomicU64,
    number: AtomicU32,
}

impl Shared {
    /// Whether the log has been read to its end once: before, nobody is known.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    /// Notes whether the control state has read the log to its end once.
    pub(super) fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Release);
    }

    pub(super) fn new(
        input: mpsc::UnboundedSender<Input>,
        incarnation: Incarnation,
        operator_hash: String,
        fleet_key: String,
        log: HttpLog,
    ) -> Self {
        let prefix = Prefix {
            incarnation,
            epoch: 1,
        };
        Self {
            input,
            config: ArcSwap::from_pointee(Config::default()),
            is_ready: AtomicBool::new(false),
            prefix: ArcSwap::from_pointee(prefix),
            answers: Answers::default(),
            metrics: Metrics::default(),
            trail: Trail::default(),
            operator_hash,
            fleet_key,
            log,
            active: Mutex::default(),
            waiting: Mutex::default(),
            next: AtomicU64::new(1),
            number: AtomicU32::new(NUMBERS.start),
        }
    }

    /// Tells the control state something.
    pub fn tell(&self, input: Input) {
        // The control thread ends only with the process.
        let _ = self.input.send(input);
    }

    /// Asks the control state something; `None` where the process ends first.
    pub async fn ask(&self, question: impl FnOnce(ReplyToken) -> Input) -> Option<Action> {
        let token = self.next.fetch_add(1, Ordering::Relaxed);
        let (send, receive) = oneshot::channel();
        self.waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(token, send);
        self.tell(question(token));
        receive.await.ok()
    }

    /// Gives an answer to whoever waits for it.
    pub(super) fn reply(&self, token: ReplyToken, action: Action) {
        let waiting = self
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&token);
        if let Some(waiting) = waiting {
            // Whoever asked has left.
            let _ = waiting.send(action);
        }
    }

    pub(super) async fn answer_peer(&self, request: Request) -> Option<Reply> {
        match self
            .ask(|token| Input::PeerRequest { token, request })
            .await
        {
            Some(Action::Answer { reply, .. }) => Some(reply),
            _ => None,
        }
    }

    /// Addresses that a customer should use.
    pub async fn entries(&self, customer: String) -> Option<Vec<Address>> {
        match self.ask(|token| Input::Entry { token, customer }).await {
            Some(Action::Entries { entries, .. }) => {
                let addresses = entries.into_iter().map(|(address, prefix)| Address {
                    address,
                    prefix: prefix.to_string(),
                });
                Some(addresses.collect())
            }
            _ => None,
        }
    }

    /// A ticket for an arrival.
    pub fn ticket(&self) -> Ticket {
        Ticket(self.next.fetch_add(1, Ordering::Relaxed))
    }

    /// An id for a request that came without one.
    pub fn own_id(&self) -> Id {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let span = NUMBERS.end - NUMBERS.start;
        let number = NUMBERS.start + number.wrapping_sub(NUMBERS.start) % span;
        self.prefix.load().with_number(number)
    }

    /// Hands an arrival over.
    pub fn arrive(&self, spec: Spec, answer: Arc<Answer>) {
        let what = format!(
            "arrived: {} of class {}, paid by {}, at most {} tokens before the price",
            spec.serves, spec.class, spec.budget, spec.max_tokens
        );
        self.trail.record(spec.id, what);
        self.answers.insert(spec.ticket, answer);
        self.tell(Input::Arrive(spec));
    }

    /// A target has work of ours.
    pub(super) fn note_active(&self, target: SocketAddr) {
        let mut active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.insert(target, Instant::now());
    }

    /// Targets that have had work of ours lately.
    pub(super) fn active_targets(&self) -> Vec<SocketAddr> {
        let mut active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.retain(|_, at| at.elapsed() < ACTIVE);
        active.keys().copied().collect()
    }

    pub(super) fn set_incarnation(&self, incarnation: Incarnation, epoch: u32) {
        let prefix = Prefix { incarnation, epoch };
        if **self.prefix.load() != prefix {
            self.prefix.store(Arc::new(prefix));
        }
    }
}
