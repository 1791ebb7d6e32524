//! A caller of routers: sends requests, retries them with the same id, and records the answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::plan::{self, Payer};
use crate::common::area::key;
use crate::deployment::{Ask, try_ask};
use crate::line::{Connection, End, Pieces, Progress, Reading};
use crate::plan::{Habit, Kind};

/// How long a caller waits for a response: over twice the longest wait of a class and the longest stream, since a
/// request without a response by then breaks a promise.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a request for the entry list.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that a caller keeps.
const CONNECTIONS_MAX: usize = 3;
/// Maximum number of retries with an id. With faults a caller retries until a lost router is closed, which takes its
/// witness a second or more.
const RETRIES_MAX: u32 = 12;
/// Longest wait before a retry, in milliseconds: shorter than a refusal asks for, so that a run of a few seconds has
/// many retries.
const RETRY_WAIT_MAX_MS: u64 = 400;
/// Share of refusals after which a caller with [`Habit::Stale`] resolves addresses again, 0 to 1.
const RESOLVE_AGAIN_SHARE: f64 = 0.1;
/// Longest time to spend the remaining tokens, and the pause between two calls.
const SPEND_MAX: Duration = Duration::from_secs(5);
const SPEND_PAUSE: Duration = Duration::from_millis(10);
/// Price of a call of the service, in tokens.
pub const CALL_PRICE: u64 = 50;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A streamed model call with this many tokens.
    Stream(u64),
    /// A model call with this many tokens in one response.
    Whole(u64),
    /// A service call.
    Call,
}

/// A request, the same in each attempt.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub payer: Payer,
    pub work: Work,
    pub repeatable: bool,
    pub text: String,
}

impl Request {
    /// Its cost in tokens at a price of one per token.
    pub fn cost(&self) -> u64 {
        match self.work {
            Work::Call => CALL_PRICE,
            Work::Stream(tokens) | Work::Whole(tokens) => {
                (self.prompt().len() as u64).div_ceil(4) + tokens
            }
        }
    }

    /// The prompt as an engine receives it.
    pub fn prompt(&self) -> String {
        format!("user: {}\n", self.text)
    }

    pub fn body(&self) -> String {
        let call = |tokens: u64, stream: bool| {
            let messages = json!([{ "role": "user", "content": self.text }]);
            json!({ "model": "assistant", "messages": messages, "max_tokens": tokens, "stream": stream })
                .to_string()
        };
        match self.work {
            Work::Stream(tokens) => call(tokens, true),
            Work::Whole(tokens) => call(tokens, false),
            Work::Call => self.text.clone(),
        }
    }

    fn ask(&self) -> Ask {
        let path = match self.work {
            Work::Call => "/v1/services/tickets",
            Work::Stream(_) | Work::Whole(_) => "/v1/chat/completions",
        };
        let repeatable = if self.repeatable { "yes" } else { "no" };
        Ask::get(path)
            .post(&self.body())
            .with("host", "router")
            .with("authorization", &bearer(self.payer))
            .with("lanedeck-request-id", &self.id)
            .with("lanedeck-budget", self.payer.budget())
            .with("lanedeck-repeatable", repeatable)
    }
}

pub fn bearer(payer: Payer) -> String {
    format!("Bearer {}", key(payer.customer()))
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Call {
    pub request: Arc<Request>,
    pub router: SocketAddr,
    pub begun: Instant,
    pub ended: Instant,
    pub progress: Progress,
    /// Whether its caller abandoned it, as planned.
    pub was_abandoned: bool,
    /// Age of the connection at its start, if it is the first request on it.
    pub connection_age: Option<Duration>,
}

/// What the response of an attempt says about whether the request ran; `Ran` has the billed tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Ran(u64),
    NotRun,
    MayHaveRun,
    Missing,
}

impl Call {
    /// The verdict of the response, from its headers or from the last event of a stream.
    pub fn verdict(&self) -> Verdict {
        let progress = &self.progress;
        if progress.end != End::Whole {
            return Verdict::Missing;
        }
        let last = self.frames().pop().unwrap_or_default();
        let verdict = progress.header("lanedeck-verdict");
        let verdict = verdict.or_else(|| last["lanedeck"]["verdict"].as_str());
        let billed = progress.header("lanedeck-billed");
        let billed = billed.and_then(|text| text.parse().ok());
        match verdict {
            Some("ran") => Verdict::Ran(
                billed
                    .or_else(|| last["lanedeck"]["billed"].as_u64())
                    .unwrap_or(0),
            ),
            Some("not_run") => Verdict::NotRun,
            Some("may_have_run") => Verdict::MayHaveRun,
            _ => Verdict::Missing,
        }
    }

    /// The complete events of a stream.
    pub fn frames(&self) -> Vec<Value> {
        let body = String::from_utf8_lossy(&self.progress.body);
        let whole = body.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
        let data = whole.lines().filter_map(|line| line.strip_prefix("data:"));
        data.filter_map(|text| serde_json::from_str(text.trim()).ok())
            .collect()
    }

    /// The timeline entries of what its caller saw.
    pub fn timeline(&self) -> Vec<(Instant, String)> {
        let (id, work, router) = (&self.request.id, self.request.work, self.router);
        let begins = format!(
            "caller  {id} begins {work:?} repeatable={} fresh={} at {router}",
            self.request.repeatable,
            self.connection_age.is_some()
        );
        let mut connections =
            self.progress
                .timeline(id, self.begun, begins, self.ended, self.was_abandoned);
        connections.push((
            self.ended,
            format!("caller  {id} got the verdict {:?}", self.verdict()),
        ));
        connections
    }
}

/// What all callers share: the routers, and the requests and calls that they record.
#[derive(Clone)]
pub struct Shared {
    pub routers: Arc<Vec<SocketAddr>>,
    pub kind: Kind,
    /// All requests by id, each recorded before its first byte is sent.
    pub requests: Arc<Mutex<HashMap<String, Arc<Request>>>>,
    pub calls: Arc<Mutex<Vec<Call>>>,
    number: Arc<AtomicU32>,
}

impl Shared {
    pub fn new(routers: Vec<SocketAddr>, kind: Kind) -> Self {
        Self {
            routers: Arc::new(routers),
            kind,
            requests: Arc::default(),
            calls: Arc::default(),
            number: Arc::default(),
        }
    }
}

pub struct Caller {
    plan: plan::Caller,
    rng: StdRng,
    shared: Shared,
    connections: Vec<Connection>,
    /// Addresses of routers, each with the prefix of its request ids.
    entries: Vec<(SocketAddr, String)>,
    /// Whether its last call was refused because the budget is used up.
    is_exhausted: bool,
}

impl Caller {
    pub fn new(plan: plan::Caller, shared: Shared) -> Self {
        Self {
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
            shared,
            connections: Vec::new(),
            entries: Vec::new(),
            is_exhausted: false,
        }
    }

    /// Sends requests until the end of the load.
    pub async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            let pause = self.rng.random_range(0..self.plan.pause_max_ms);
            sleep(Duration::from_millis(pause)).await;
            if self.entries.is_empty() || self.plan.habit == Habit::Fresh {
                self.resolve().await;
            }
            let Some(mut connection) = self.connection(None).await else {
                self.resolve().await;
                continue;
            };
            let Some(request) = self.next_request(connection.address) else {
                continue;
            };
            let mut retries = 0;
            while self.call(&request, connection).await {
                retries += 1;
                if retries > RETRIES_MAX || Instant::now() >= end {
                    break;
                }
                let wait = self.rng.random_range(0..RETRY_WAIT_MAX_MS);
                sleep(Duration::from_millis(wait)).await;
                if self.entries.is_empty() {
                    self.resolve().await;
                }
                match self.connection(Some(&request)).await {
                    Some(next) => connection = next,
                    None => break,
                }
            }
        }
    }

    /// Spends the remaining tokens at a router until it answers that none are left, or until [`SPEND_MAX`] has passed:
    /// tokens that were granted twice show only then.
    pub async fn spend_remaining(mut self, router: SocketAddr) {
        let end = Instant::now() + SPEND_MAX;
        self.resolve().await;
        while Instant::now() < end {
            let request = self.request_with_id(router, Work::Call, 1);
            let (Some(request), Some(connection)) =
                (request, Connection::open(router, Reading::AtOnce).await)
            else {
                self.resolve().await;
                continue;
            };
            self.call(&request, connection).await;
            if self.is_exhausted {
                return;
            }
            sleep(SPEND_PAUSE).await;
        }
    }

    /// Draws a request for the router at an address.
    fn next_request(&mut self, at: SocketAddr) -> Option<Arc<Request>> {
        let rng = &mut self.rng;
        let tokens = match rng.random_range(0..10) {
            0 => rng.random_range(60..200),
            _ => rng.random_range(1..30),
        };
        let work = match rng.random_range(0..3) {
            0 => Work::Stream(tokens),
            1 => Work::Whole(tokens),
            _ => Work::Call,
        };
        let is_long = self.plan.payer == Payer::Rich && rng.random_bool(0.2);
        let size = if is_long {
            rng.random_range(5_000..60_000)
        } else {
            rng.random_range(1..100)
        };
        self.request_with_id(at, work, size)
    }

    /// Builds a request with an id of the router at an address.
    fn request_with_id(&mut self, at: SocketAddr, work: Work, size: usize) -> Option<Arc<Request>> {
        let entry = self.entries.iter().find(|(address, _)| *address == at);
        let Some((_, prefix)) = entry else {
            // The connection was kept from an earlier entry list, which had this address.
            self.entries.clear();
            return None;
        };
        let number = self.shared.number.fetch_add(1, Ordering::Relaxed);
        let id = format!("{prefix}{number:08x}");
        let request = Arc::new(Request {
            payer: self.plan.payer,
            work,
            repeatable: self.rng.random_bool(0.4),
            text: format!("{id} {}", "b".repeat(size)),
            id,
        });
        let mut requests = self.shared.requests.lock().unwrap();
        requests.insert(request.id.clone(), Arc::clone(&request));
        Some(request)
    }

    /// Makes one attempt. Returns whether it is to be retried.
    async fn call(&mut self, request: &Arc<Request>, mut connection: Connection) -> bool {
        let is_long = request.text.len() > 1_000;
        let pieces = is_long.then(|| Pieces {
            size: self.rng.random_range(3_000..20_000),
            pause: Duration::from_millis(self.rng.random_range(0..40)),
        });
        let abandons = self.rng.random_bool(self.plan.abandon_share);
        let abandon_after = abandons.then(|| Duration::from_millis(self.rng.random_range(1..400)));
        let mut progress = Progress::default();
        let begun = Instant::now();
        let connection_age = (connection.request_count == 0).then(|| connection.opened.elapsed());
        let ask = request.ask();
        let sent = connection.send(&ask, pieces.as_ref(), &mut progress);
        let in_time = timeout(abandon_after.unwrap_or(RESPONSE_TIMEOUT), sent)
            .await
            .is_ok();
        let call = Call {
            request: Arc::clone(request),
            router: connection.address,
            begun,
            ended: Instant::now(),
            progress,
            was_abandoned: !in_time && abandon_after.is_some(),
            connection_age,
        };
        let reason = call.progress.header("lanedeck-reason");
        self.is_exhausted = reason == Some("budget_exhausted");
        let retries = self.retries(&call);
        let resolves_again =
            self.plan.habit != Habit::Stale || self.rng.random_bool(RESOLVE_AGAIN_SHARE);
        if call.progress.status() != Some(200) && resolves_again {
            self.entries.clear();
        }
        let is_kept = matches!(self.plan.habit, Habit::Kept | Habit::Stale);
        if is_kept && call.progress.end == End::Whole && connection.is_open() {
            self.connections.push(connection);
        }
        self.shared.calls.lock().unwrap().push(call);
        retries
    }

    fn retries(&self, call: &Call) -> bool {
        if call.was_abandoned || !self.plan.retries {
            return false;
        }
        match (call.progress.end, call.verdict()) {
            (_, Verdict::Ran(_)) => false,
            (End::Whole, _) => !self.is_exhausted,
            (End::Unsent, _) => true,
            // Without faults a lost request is not retried, so that it shows as lost.
            _ => self.shared.kind == Kind::Faults,
        }
    }

    /// Returns a kept or a new connection. Half of the retries go to the router whose prefix their id has.
    async fn connection(&mut self, request: Option<&Request>) -> Option<Connection> {
        self.connections.retain(Connection::is_open);
        let wants_kept = self.connections.len() >= CONNECTIONS_MAX || self.rng.random_bool(0.7);
        if request.is_none() && wants_kept && !self.connections.is_empty() {
            let number = self.rng.random_range(0..self.connections.len());
            return Some(self.connections.swap_remove(number));
        }
        let home = request.and_then(|request| {
            let mut entries = self.entries.iter();
            entries.find(|(_, prefix)| request.id.starts_with(prefix.as_str()))
        });
        let home = home.map(|(address, _)| *address);
        let mut left: Vec<SocketAddr> = self.entries.iter().map(|(address, _)| *address).collect();
        if let Some(home) = home.filter(|_| self.rng.random_bool(0.5))
            && let Some(connection) = Connection::open(home, Reading::AtOnce).await
        {
            return Some(connection);
        }
        while !left.is_empty() {
            let number = self.rng.random_range(0..left.len());
            let address = left.swap_remove(number);
            if let Some(connection) = Connection::open(address, Reading::AtOnce).await {
                return Some(connection);
            }
        }
        self.entries.clear();
        None
    }

    async fn resolve(&mut self) {
        let ask = Ask::get("/v1/entry").with("authorization", &bearer(self.plan.payer));
        for _ in 0..3 {
            let number = self.rng.random_range(0..self.shared.routers.len());
            let router = self.shared.routers[number];
            let Ok(Some(answer)) = timeout(RESOLVE_TIMEOUT, try_ask(router, &ask)).await else {
                continue;
            };
            let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
            let listed = body["use"].as_array().cloned().unwrap_or_default();
            let entries = listed.iter().filter_map(|entry| {
                let address = entry["address"].as_str()?.parse().ok()?;
                Some((address, entry["prefix"].as_str()?.to_owned()))
            });
            self.entries = entries.collect();
            if !self.entries.is_empty() {
                return;
            }
        }
    }
}
