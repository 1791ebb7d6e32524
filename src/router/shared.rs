//! State shared by the threads of a router.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use crate::router::client::{Cursor, HttpLog};
use crate::router::config::Config;
use crate::router::control::{Action, Input, ReplyToken, Spec};
use crate::router::http::answer::{Answer, Answers};
use crate::router::http::entry::Address;
use crate::router::key::Incarnation;
use crate::router::message::{Reply, Request};
use crate::router::report::{Metrics, Trail};
use crate::router::request::{Id, Prefix, Ticket};

/// Numbers for the ids of requests that came without one: above the callers' numbers and below those of takeovers.
const GENERATED_NUMBERS: std::ops::Range<u32> = 1 << 31..3 << 30;

/// A target counts as active for this long after the last dispatch to it.
const ACTIVE_FOR: Duration = Duration::from_secs(10);

/// State shared by the control thread, the listeners and the polling tasks.
pub struct Shared {
    input: mpsc::UnboundedSender<Input>,
    /// The configuration in force.
    pub config: ArcSwap<Config>,
    /// Current prefix of generated request ids.
    pub prefix: ArcSwap<Prefix>,
    /// Answers in progress, and those kept for retries.
    pub answers: Answers,
    /// Latencies and error budget burn.
    pub metrics: Metrics,
    /// Log of decisions on recent requests.
    pub trail: Trail,
    /// Hash of the operators' secret.
    pub operator_hash: String,
    /// Key that authenticates the routers of the fleet to each other.
    pub fleet_key: String,
    pub(super) log: HttpLog,
    is_ready: AtomicBool,
    active: Mutex<HashMap<SocketAddr, Instant>>,
    pending_replies: Mutex<HashMap<ReplyToken, oneshot::Sender<Action>>>,
    /// Next reply token or ticket.
    next_token: AtomicU64,
    next_request_number: AtomicU32,
}

impl Shared {
    /// Whether the log's streams have been read to their ends once; before that, no customer is known.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    /// Sets whether the control state has read the log to its end once.
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
            pending_replies: Mutex::default(),
            next_token: AtomicU64::new(1),
            next_request_number: AtomicU32::new(GENERATED_NUMBERS.start),
        }
    }

    /// Sends an input to the control state.
    pub fn tell(&self, input: Input) {
        // The control thread ends only with the process.
        let _ = self.input.send(input);
    }

    /// Sends a question to the control state and waits for the reply; `None` if the process ends first.
    pub async fn ask(&self, question: impl FnOnce(ReplyToken) -> Input) -> Option<Action> {
        let token = self.next_token.fetch_add(1, Ordering::Relaxed);
        let (send, receive) = oneshot::channel();
        self.pending_replies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(token, send);
        self.tell(question(token));
        receive.await.ok()
    }

    /// Delivers a reply to the task that waits for it.
    pub(super) fn reply(&self, token: ReplyToken, action: Action) {
        let receiver = self
            .pending_replies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&token);
        if let Some(receiver) = receiver {
            // The asking task may have been cancelled.
            let _ = receiver.send(action);
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

    /// Where the feed reads on in each stream; `None` if the process ends first.
    pub(super) async fn cursors(&self) -> Option<Vec<Cursor>> {
        match self.ask(|token| Input::Cursors { token }).await {
            Some(Action::Cursors { cursors, .. }) => Some(cursors),
            _ => None,
        }
    }

    /// Entry addresses that a customer should use.
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

    /// A new ticket for an arriving request.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.next_token.fetch_add(1, Ordering::Relaxed))
    }

    /// A new id for a request that came without one.
    pub fn generate_id(&self) -> Id {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let span = GENERATED_NUMBERS.end - GENERATED_NUMBERS.start;
        let number = GENERATED_NUMBERS.start + number.wrapping_sub(GENERATED_NUMBERS.start) % span;
        self.prefix.load().with_number(number)
    }

    /// Submits an arriving request to the control state.
    pub fn arrive(&self, spec: Spec, answer: Arc<Answer>) {
        let text = format!(
            "arrived: {} of class {}, paid by {}, at most {} tokens before the price",
            spec.serves, spec.class, spec.budget, spec.max_tokens
        );
        self.trail.record(spec.id, text);
        self.answers.insert(spec.ticket, answer);
        self.tell(Input::Arrive(spec));
    }

    /// Records a dispatch to a target.
    pub(super) fn mark_active(&self, target: SocketAddr) {
        let mut active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.insert(target, Instant::now());
    }

    /// Targets to which this router has dispatched lately.
    pub(super) fn active_targets(&self) -> Vec<SocketAddr> {
        let mut active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.retain(|_, at| at.elapsed() < ACTIVE_FOR);
        active.keys().copied().collect()
    }

    pub(super) fn set_incarnation(&self, incarnation: Incarnation, epoch: u32) {
        let prefix = Prefix { incarnation, epoch };
        if **self.prefix.load() != prefix {
            self.prefix.store(Arc::new(prefix));
        }
    }
}
