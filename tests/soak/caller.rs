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
use crate::line::{End, Line, Pieces, Progress, Reading};
use crate::plan::{self, Habit, Owner};

/// Deadline that callers send with a request, in milliseconds.
const DEADLINE: u64 = 5_000;
/// How much longer than the deadline callers wait for a response: many times what a loaded machine adds, since a
/// request without a response by then breaks a promise.
const PATIENCE: Duration = Duration::from_secs(10);
/// Timeout of address resolution of the platform's callers.
const RESOLVE: Duration = Duration::from_secs(1);
/// Factor by which callers with stale addresses exceed the lifetime of resolved addresses.
const HELD: u32 = 3;
/// Connections that a caller keeps.
const LINES: usize = 3;
/// Size of a plain response that exceeds the buffers between a gateway and a caller that reads slowly, in bytes. A
/// gateway passes it on whole, so it has to fit in the gateway's limit of 8 MiB.
const LONG_ANSWER: usize = 7 << 20;
/// Longest time from the head of a response until a slow caller reads on, in milliseconds.
const READ_PAUSE: u64 = 3_000;
/// Pause after a key was refused, so that callers without a valid key leave room for others.
const KEYLESS_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of retries after a refusal or a failure.
const RETURNS: u32 = 3;
/// Longest wait before a retry: a third of the time that the platform's callers wait for a response.
const RETURN_WAIT: Duration = Duration::from_millis(DEADLINE / 3);

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
    pub begun: Instant,
    pub ended: Instant,
    pub progress: Progress,
    /// Whether its caller abandoned it, as planned.
    pub left: bool,
}

impl Call {
    /// The timeline entries of what its caller saw.
    pub fn told(&self) -> Vec<(Instant, String)> {
        let (id, gateway) = (&self.id, self.gateway);
        let begun = format!("caller  {id} begins {:?} at {gateway}", self.route);
        self.progress
            .told(id, self.begun, begun, self.ended, self.left)
    }
}

/// What all callers share: where they resolve addresses, and the calls that they record.
#[derive(Clone, Default)]
pub struct World {
    pub directories: Arc<Vec<SocketAddr>>,
    pub calls: Arc<Mutex<Vec<Call>>>,
}

/// Headers by which a gateway instructs a target. Some callers forge them.
pub const ORDERS: [&str; 7] = [
    "x-kv-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "x-expect-version",
    "x-expect-instance",
];
/// Value of a forged header.
pub const FORGED: &str = "1000";

/// A request to send, the same in each attempt.
struct Wish {
    route: Route,
    work: Work,
    tokens: (u64, u64),
    body: String,
    pieces: Option<Pieces>,
    leave: Option<Duration>,
    /// The header of [`ORDERS`] that it forges.
    forged: Option<&'static str>,
}

pub struct Caller {
    name: String,
    plan: plan::Caller,
    rng: StdRng,
    world: World,
    lines: Vec<Line>,
    addresses: Vec<SocketAddr>,
    held_until: Instant,
    count: u32,
    /// Whether its key was refused in its last call.
    is_refused: bool,
}

impl Caller {
    pub fn new(name: String, plan: plan::Caller, world: World) -> Self {
        Self {
            name,
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
            world,
            lines: Vec::new(),
            addresses: Vec::new(),
            held_until: Instant::now(),
            count: 0,
            is_refused: false,
        }
    }

    /// Sends requests until the end of the load.
    pub async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            let pause = self.rng.random_range(0..self.plan.pause);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let wish = self.wish();
            let mut returns = 0;
            if self.is_refused {
                tokio::time::sleep(KEYLESS_PAUSE).await;
            }
            while let Some(wait) = self.call(&wish, returns > 0).await {
                returns += 1;
                if !self.plan.retries || returns > RETURNS || Instant::now() >= end {
                    break;
                }
                tokio::time::sleep(wait.min(RETURN_WAIT)).await;
            }
        }
    }

    fn wish(&mut self) -> Wish {
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
                Habit::Slow => LONG_ANSWER,
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
        let leaves = rng.random_bool(self.plan.leaves);
        Wish {
            route,
            work,
            tokens: (rng.random_range(20..120), u64::from(work.events) + 20),
            body: "b".repeat(size),
            pieces,
            leave: leaves.then(|| Duration::from_millis(rng.random_range(1..400))),
            forged: rng
                .random_bool(0.3)
                .then(|| ORDERS[rng.random_range(0..ORDERS.len())]),
        }
    }

    fn ask(&self, id: &str, wish: &Wish) -> Ask {
        let ask = if wish.route.is_stream() {
            Ask::talk(id, wish.route.path(), wish.tokens.0, wish.tokens.1)
        } else {
            Ask::new(id, wish.route.path())
        };
        let ask = match wish.forged {
            Some(name) => ask.with(name, FORGED),
            None => ask,
        };
        ask.post(&wish.body)
            .with("host", HOST)
            .with("x-deadline-ms", &DEADLINE.to_string())
            .with(
                "authorization",
                &format!("Bearer {}", self.plan.owner.key()),
            )
            .with(Work::HEADER, &wish.work.text())
    }

    /// Makes one attempt. Returns the wait before the next one, if it is to be retried.
    async fn call(&mut self, wish: &Wish, returns: bool) -> Option<Duration> {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        let ask = self.ask(&id, wish);
        let mut line = self.line(returns).await?;
        let mut progress = Progress::default();
        let begun = Instant::now();
        let patience = Duration::from_millis(DEADLINE) + PATIENCE;
        let limit = wish.leave.unwrap_or(patience);
        let asked = line.ask(&ask, wish.pieces.as_ref(), &mut progress);
        let in_time = timeout(limit, asked).await.is_ok();
        let call = Call {
            id,
            route: wish.route,
            owner: self.plan.owner,
            work: wish.work,
            ask,
            gateway: line.address,
            begun,
            ended: Instant::now(),
            progress,
            left: !in_time && wish.leave.is_some(),
        };
        let wait = wait(&call);
        self.is_refused = call.progress.status() == Some(401);
        if self.plan.habit == Habit::Kept && call.progress.end == End::Whole && line.is_open() {
            self.lines.push(line);
        }
        self.world.calls.lock().unwrap().push(call);
        wait
    }

    /// Returns a kept connection, if there is one to reuse, or opens one to a resolved address.
    async fn line(&mut self, returns: bool) -> Option<Line> {
        self.lines.retain(Line::is_open);
        let wants_kept = !returns && (self.lines.len() >= LINES || self.rng.random_bool(0.8));
        if wants_kept && !self.lines.is_empty() {
            let number = self.rng.random_range(0..self.lines.len());
            return Some(self.lines.swap_remove(number));
        }
        if Instant::now() >= self.held_until || self.addresses.is_empty() {
            self.resolve().await;
        }
        // Tries each address once, in random order.
        let mut left: VecDeque<SocketAddr> = self.addresses.iter().copied().collect();
        while !left.is_empty() {
            let number = self.rng.random_range(0..left.len());
            let address = left.swap_remove_back(number)?;
            let reading = match self.plan.habit {
                Habit::Slow => {
                    let pause = self.rng.random_range(0..READ_PAUSE);
                    Reading::Slowly(Duration::from_millis(pause))
                }
                _ => Reading::AtOnce,
            };
            if let Some(line) = Line::open(address, reading).await {
                return Some(line);
            }
        }
        self.addresses.clear();
        None
    }

    async fn resolve(&mut self) {
        let ask = Ask::get("/api/resolve?name=shop.example&region=r&zone=hall");
        for _ in 0..3 {
            let number = self.rng.random_range(0..self.world.directories.len());
            let directory = self.world.directories[number];
            let Ok(Some(answer)) = timeout(RESOLVE, try_ask(directory, &ask)).await else {
                continue;
            };
            let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
            let listed = body["addrs"].as_array().cloned().unwrap_or_default();
            let parsed = listed
                .iter()
                .filter_map(|address| address.as_str()?.parse().ok());
            let addresses: Vec<SocketAddr> = parsed.collect();
            let life = Duration::from_secs_f64(body["ttlS"].as_f64().unwrap_or(0.0));
            if addresses.is_empty() {
                continue;
            }
            let times = match self.plan.habit {
                Habit::Stale | Habit::Slow => HELD,
                Habit::Kept | Habit::Fresh => 1,
            };
            self.addresses = addresses;
            self.held_until = Instant::now() + life * times;
            return;
        }
    }
}

/// The wait before a retry, if the call is to be retried.
fn wait(call: &Call) -> Option<Duration> {
    if call.left {
        return None;
    }
    let told = call.progress.header("retry-after");
    let told = told.and_then(|text| text.parse::<f64>().ok());
    match (call.progress.end, call.progress.status()) {
        (End::Whole, Some(429 | 503)) => told.map(Duration::from_secs_f64),
        (End::Whole, Some(500..)) | (End::Closed | End::Cut, _) if call.route.may_repeat() => {
            Some(Duration::from_millis(20))
        }
        (End::Unsent, _) => Some(Duration::ZERO),
        _ => None,
    }
}
