//! A caller of gateways: sends requests, abandons some, retries others, and records what it saw.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::time::timeout;

use crate::deployment::runner::Work;
use crate::deployment::{Ask, HOST, try_ask};
use crate::line::{Connection, End, Pieces, Progress, Reading};
use crate::plan::{self, Habit, Owner, Versions};

/// Deadline that callers send with a request, in milliseconds.
const DEADLINE_MS: u64 = 5_000;
/// How much longer than the deadline callers wait for a response: many times what a loaded machine adds, since a
/// request without a response by then breaks a promise.
const RESPONSE_GRACE: Duration = Duration::from_secs(10);
/// Timeout of address resolution of the platform's callers.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Factor by which callers with stale addresses exceed the lifetime of resolved addresses.
const STALE_FACTOR: u32 = 3;
/// Connections that a caller keeps.
const CONNECTIONS_MAX: usize = 3;
/// Size of a plain response that exceeds the buffers between a gateway and a caller that reads slowly, in bytes. A
/// gateway passes it on whole, so it has to fit in the gateway's limit of 8 MiB.
const LONG_RESPONSE: usize = 7 << 20;
/// Longest time from the head of a response until a slow caller reads on, in milliseconds.
const READ_PAUSE_MAX_MS: u64 = 3_000;
/// Pause after a key was refused, so that callers without a valid key leave room for others.
const REFUSED_KEY_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of retries after a refusal or a failure.
const RETRIES_MAX: u32 = 3;
/// Longest wait before a retry: a third of the time that the platform's callers wait for a response.
const RETRY_WAIT_MAX: Duration = Duration::from_millis(DEADLINE_MS / 3);

/// Routes, which differ in whether a request may be repeated and in whether it is streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    Once,
    Often,
    Talk,
    Resume,
}

impl Route {
    pub const ALL: [Self; 4] = [Self::Once, Self::Often, Self::Talk, Self::Resume];

    pub fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/x",
            Self::Often => "/often/x",
            Self::Talk => "/talk/x",
            Self::Resume => "/resume/x",
        }
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Self::Talk | Self::Resume)
    }

    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Often | Self::Resume)
    }
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub route: Route,
    pub owner: Owner,
    pub work: Work,
    pub ask: Ask,
    pub gateway: SocketAddr,
    /// Deadline that it was sent with, in milliseconds.
    pub deadline_ms: u64,
    pub begun: Instant,
    pub ended: Instant,
    pub progress: Progress,
    /// Whether its caller abandoned it, as planned.
    pub was_abandoned: bool,
}

impl Call {
    /// The timeline entries of what its caller saw.
    pub fn timeline(&self) -> Vec<(Instant, String)> {
        let (id, gateway) = (&self.id, self.gateway);
        let begun = format!("caller  {id} begins {:?} at {gateway}", self.route);
        self.progress
            .timeline(id, self.begun, begun, self.ended, self.was_abandoned)
    }
}

impl Call {
    /// The number of the event after which it takes up a stream; zero if it asks for a whole one.
    pub fn after(&self) -> u32 {
        let after = self.ask.headers.get("last-event-id");
        after.map_or(0, |after| after.to_str().unwrap().parse().unwrap())
    }

    /// The last complete event that it has got.
    pub fn last_event(&self) -> Option<u32> {
        if self.progress.status() != Some(200) {
            return None;
        }
        let body = String::from_utf8_lossy(&self.progress.body);
        let (complete, _) = body.rsplit_once("\n\n")?;
        let mut ids = complete
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        ids.next_back()?.parse().ok()
    }

    /// The time until it may be retried, if it was told one.
    pub fn told(&self) -> Option<Duration> {
        let text = self.progress.header("retry-after")?;
        text.parse().ok().map(Duration::from_secs_f64)
    }

    /// Whether it was refused since no tokens to pay for it arrived.
    pub fn is_refused_for_tokens(&self) -> bool {
        let body = String::from_utf8_lossy(&self.progress.body);
        self.progress.status() == Some(503) && body.contains("budget_short")
    }

    /// The time that was left of its deadline when it ended.
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.deadline_ms).saturating_sub(self.ended - self.begun)
    }
}

/// What all callers share: where they resolve addresses, and the calls that they record.
#[derive(Clone, Default)]
pub struct Shared {
    pub directories: Arc<Vec<SocketAddr>>,
    pub calls: Arc<Mutex<Vec<Call>>>,
}

/// Headers by which a router controls a target; some callers forge them.
pub const CONTROL_HEADERS: [&str; 7] = [
    "x-kv-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "x-expect-version",
    "x-expect-instance",
];
/// Value of a forged header.
pub const FORGED_VALUE: &str = "1000";

/// A request to send, the same in each attempt.
struct Request {
    route: Route,
    work: Work,
    tokens: (u64, u64),
    body: String,
    pieces: Option<Pieces>,
    abandon_after: Option<Duration>,
    /// The header of [`CONTROL_HEADERS`] that it forges.
    forged_header: Option<&'static str>,
}

pub struct Caller {
    name: String,
    plan: plan::Caller,
    /// The only address that it uses, if it is bound to one gateway.
    only: Option<SocketAddr>,
    rng: StdRng,
    shared: Shared,
    connections: Vec<Connection>,
    addresses: Vec<SocketAddr>,
    addresses_expire_at: Instant,
    count: u32,
    /// Whether its key was refused in its last call.
    is_key_refused: bool,
    versions: Versions,
    /// The stream of its present request, once it has got events of it.
    taken: Option<Taken>,
}

/// A stream of which a caller has got events.
#[derive(Clone, Debug)]
struct Taken {
    /// The call that brought the first event.
    first: String,
    /// The last event.
    last: u32,
}

impl Caller {
    pub fn new(name: String, plan: plan::Caller, only: Option<SocketAddr>, shared: Shared) -> Self {
        Self {
            name,
            only,
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
            shared,
            connections: Vec::new(),
            addresses: Vec::new(),
            addresses_expire_at: Instant::now(),
            count: 0,
            is_key_refused: false,
            versions: Versions::One,
            taken: None,
        }
    }

    /// Sets the versions of the engines: with several, it takes up streams that broke off.
    pub fn with_versions(self, versions: Versions) -> Self {
        Self { versions, ..self }
    }

    /// Sends requests until the end of the load.
    pub async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            let pause = self.rng.random_range(0..self.plan.pause_max_ms);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let request = self.next_request();
            self.taken = None;
            let mut retries = 0;
            if self.is_key_refused {
                tokio::time::sleep(REFUSED_KEY_PAUSE).await;
            }
            let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS);
            let mut deadline_ms = DEADLINE_MS;
            while let Some(wait) = self.call(&request, retries > 0, deadline_ms).await {
                retries += 1;
                if !self.plan.retries || retries > RETRIES_MAX || Instant::now() >= end {
                    break;
                }
                if self.only.is_none() {
                    tokio::time::sleep(wait.min(RETRY_WAIT_MAX)).await;
                    continue;
                }
                if Instant::now() + wait >= deadline {
                    break;
                }
                tokio::time::sleep(wait).await;
                let left = deadline.saturating_duration_since(Instant::now());
                deadline_ms = left.as_millis() as u64;
            }
        }
    }

    fn next_request(&mut self) -> Request {
        let rng = &mut self.rng;
        let route = match self.plan.habit {
            Habit::Slow => Route::ALL[rng.random_range(0..2)],
            _ => Route::ALL[rng.random_range(0..4)],
        };
        let is_long = rng.random_bool(0.2);
        let wait = if rng.random_bool(0.3) {
            rng.random_range(100..700)
        } else {
            rng.random_range(0..60)
        };
        let work = Work {
            wait,
            filler: match self.plan.habit {
                Habit::Slow => LONG_RESPONSE,
                _ if rng.random_bool(0.1) => 300_000,
                _ => 20,
            },
            events: rng.random_range(1..16),
            gap: rng.random_range(0..50),
        };
        let size = if is_long {
            rng.random_range(5_000..60_000)
        } else {
            rng.random_range(1..200)
        };
        let pieces = is_long.then(|| Pieces {
            size: rng.random_range(3_000..20_000),
            pause: Duration::from_millis(rng.random_range(0..40)),
        });
        let abandons = rng.random_bool(self.plan.abandon_share);
        Request {
            route,
            work,
            tokens: (rng.random_range(20..120), u64::from(work.events) + 20),
            body: "b".repeat(size),
            pieces,
            abandon_after: abandons.then(|| Duration::from_millis(rng.random_range(1..400))),
            forged_header: rng
                .random_bool(0.3)
                .then(|| CONTROL_HEADERS[rng.random_range(0..CONTROL_HEADERS.len())]),
        }
    }

    fn ask(&self, id: &str, request: &Request, deadline_ms: u64) -> Ask {
        let ask = if request.route.is_stream() {
            Ask::talk(id, request.route.path(), request.tokens.0, request.tokens.1)
        } else {
            Ask::new(id, request.route.path())
        };
        let ask = match request.forged_header {
            Some(name) => ask.with(name, FORGED_VALUE),
            None => ask,
        };
        let ask = match &self.taken {
            Some(taken) => ask
                .with("resumes", &taken.first)
                .with("last-event-id", &taken.last.to_string()),
            None => ask,
        };
        ask.post(&request.body)
            .with("host", HOST)
            .with("x-deadline-ms", &deadline_ms.to_string())
            .with(
                "authorization",
                &format!("Bearer {}", self.plan.owner.key()),
            )
            .with(Work::HEADER, &request.work.text())
    }

    /// Makes one attempt. Returns the wait before the next one, if it is to be retried.
    async fn call(
        &mut self,
        request: &Request,
        is_retry: bool,
        deadline_ms: u64,
    ) -> Option<Duration> {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        let ask = self.ask(&id, request, deadline_ms);
        let mut connection = self.connection(is_retry).await?;
        let mut progress = Progress::default();
        let begun = Instant::now();
        let patience = Duration::from_millis(DEADLINE_MS) + RESPONSE_GRACE;
        let limit = request.abandon_after.unwrap_or(patience);
        let asked = connection.send(&ask, request.pieces.as_ref(), &mut progress);
        let in_time = timeout(limit, asked).await.is_ok();
        let call = Call {
            id,
            route: request.route,
            owner: self.plan.owner,
            work: request.work,
            ask,
            gateway: connection.address,
            deadline_ms,
            begun,
            ended: Instant::now(),
            progress,
            was_abandoned: !in_time && request.abandon_after.is_some(),
        };
        let wait = retry_wait(&call);
        if self.versions == Versions::Several && call.route == Route::Resume {
            self.note_events(&call);
        }
        self.is_key_refused = call.progress.status() == Some(401);
        if self.plan.habit == Habit::Kept && call.progress.end == End::Whole && connection.is_open()
        {
            self.connections.push(connection);
        }
        self.shared.calls.lock().unwrap().push(call);
        wait
    }

    /// Notes the last event of a call's stream, to take the stream up after it.
    fn note_events(&mut self, call: &Call) {
        let Some(last) = call.last_event() else {
            return;
        };
        let first = self
            .taken
            .take()
            .map_or(call.id.clone(), |taken| taken.first);
        self.taken = Some(Taken { first, last });
    }

    /// Returns a kept connection, if there is one to reuse, or opens one to a resolved address.
    async fn connection(&mut self, is_retry: bool) -> Option<Connection> {
        self.connections.retain(Connection::is_open);
        let wants_kept =
            !is_retry && (self.connections.len() >= CONNECTIONS_MAX || self.rng.random_bool(0.8));
        if wants_kept && !self.connections.is_empty() {
            let number = self.rng.random_range(0..self.connections.len());
            return Some(self.connections.swap_remove(number));
        }
        if Instant::now() >= self.addresses_expire_at || self.addresses.is_empty() {
            self.resolve().await;
        }
        // Tries each address once, in random order.
        let mut left: VecDeque<SocketAddr> = self.addresses.iter().copied().collect();
        while !left.is_empty() {
            let number = self.rng.random_range(0..left.len());
            let address = left.swap_remove_back(number)?;
            let reading = match self.plan.habit {
                Habit::Slow => {
                    let pause = self.rng.random_range(0..READ_PAUSE_MAX_MS);
                    Reading::Slowly(Duration::from_millis(pause))
                }
                _ => Reading::AtOnce,
            };
            if let Some(connection) = Connection::open(address, reading).await {
                return Some(connection);
            }
        }
        self.addresses.clear();
        None
    }

    async fn resolve(&mut self) {
        if let Some(only) = self.only {
            self.addresses = vec![only];
            return;
        }
        let ask = Ask::get("/api/resolve?name=shop.example&region=r&zone=hall");
        for _ in 0..3 {
            let number = self.rng.random_range(0..self.shared.directories.len());
            let directory = self.shared.directories[number];
            let Ok(Some(answer)) = timeout(RESOLVE_TIMEOUT, try_ask(directory, &ask)).await else {
                continue;
            };
            let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
            let listed = body["addrs"].as_array().cloned().unwrap_or_default();
            let parsed = listed
                .iter()
                .filter_map(|address| address.as_str()?.parse().ok());
            let addresses: Vec<SocketAddr> = parsed.collect();
            let lifetime = Duration::from_secs_f64(body["ttlS"].as_f64().unwrap_or(0.0));
            if addresses.is_empty() {
                continue;
            }
            let factor = match self.plan.habit {
                Habit::Stale | Habit::Slow => STALE_FACTOR,
                Habit::Kept | Habit::Fresh => 1,
            };
            self.addresses = addresses;
            self.addresses_expire_at = Instant::now() + lifetime * factor;
            return;
        }
    }
}

/// The wait before a retry, if the call is to be retried.
fn retry_wait(call: &Call) -> Option<Duration> {
    if call.was_abandoned {
        return None;
    }
    match (call.progress.end, call.progress.status()) {
        (End::Whole, Some(429 | 503)) => call.told(),
        (End::Whole, Some(500..)) | (End::Closed | End::Cut, _) if call.route.may_repeat() => {
            Some(Duration::from_millis(20))
        }
        (End::Unsent, _) => Some(Duration::ZERO),
        _ => None,
    }
}
