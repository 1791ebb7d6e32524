//! Stand-in for the platform's runners (plain services and model engines): request ids, signatures,
//! instance checks, load, refusals and streams, with configurable faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::server::{Body, ConnectionClosed, Reply, serve_on};
use super::store::Store;
use super::{SLOTS, list_with_slots};

/// How a runner handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers correctly.
    #[default]
    Normal,
    /// Refuses the request without running it.
    Shed,
    /// Refuses one in `.0` requests without running it, with a `Retry-After` of `.1` milliseconds.
    Rest(u32, u64),
    /// Runs the request and answers 500.
    Fail,
    /// Runs the request and closes the connection without an answer.
    DropAnswer,
    /// Runs the request and never answers.
    Hang,
    /// Runs the request and answers with another request's id.
    WrongId,
    /// Closes a stream after this many events, in the middle of the next.
    Break(u32),
    /// Streams with this many milliseconds between events.
    Slow(u64),
    /// Answers after this many milliseconds.
    Delay(u64),
    /// Answers plain requests with a body of this many bytes.
    LargeBody(usize),
    /// Runs the request and answers with a body without end, or with an event without end.
    Endless,
}

/// How many requests a runner takes at once. It rejects those beyond without running them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Requests that it may reject in a second; it crashes at the next one.
    pub rejections: Option<u32>,
}

/// The requests of a runner with a limited room.
#[derive(Debug)]
struct Occupancy {
    room: Room,
    slots: Arc<Semaphore>,
    inside: Arc<AtomicU32>,
}

/// Counts a request as inside until dropped.
struct Inside(Arc<AtomicU32>);

impl Drop for Inside {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Occupancy {
    fn new(room: Room) -> Self {
        Self {
            room,
            slots: Arc::new(Semaphore::new(room.slots as usize)),
            inside: Arc::default(),
        }
    }

    fn enter(&self) -> Option<Inside> {
        let inside = Inside(Arc::clone(&self.inside));
        let before = self.inside.fetch_add(1, Ordering::Relaxed);
        (before < self.room.slots + self.room.queue).then_some(inside)
    }

    /// Requests that run and that wait, and the slots.
    fn load(&self) -> String {
        let inside = self.inside.load(Ordering::Relaxed);
        let running = inside.min(self.room.slots);
        format!("{running},{},{}", inside - running, self.room.slots)
    }
}

/// A request that a runner received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub method: String,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub ran: bool,
    /// When it was received in full.
    pub at: Instant,
    /// Events of its stream produced so far.
    pub handed_out: Arc<AtomicU32>,
    /// Instance that received it.
    pub instance: String,
}

impl Arrival {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }
}

/// How a runner in normal mode answers a request, given in the request's `x-work` header so that the
/// caller can check the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Delay before the answer begins, in milliseconds.
    pub wait: u64,
    /// Padding of a plain answer, in bytes.
    pub filler: usize,
    /// Number of events in a stream.
    pub events: u32,
    /// Delay before each event, in milliseconds.
    pub gap: u64,
}

impl Work {
    /// The header that carries it.
    pub const HEADER: &'static str = "x-work";

    pub fn text(&self) -> String {
        format!("{},{},{},{}", self.wait, self.filler, self.events, self.gap)
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(Self::HEADER)?.to_str().unwrap();
        let mut parts = text.split(',').map(|part| part.parse::<u64>().unwrap());
        let mut next = || parts.next().unwrap();
        Some(Self {
            wait: next(),
            filler: next() as usize,
            events: next() as u32,
            gap: next(),
        })
    }

    /// Body of the plain answer that an instance gives to a request.
    pub fn plain(&self, id: &str, instance: &str, body: &[u8]) -> String {
        let sum = xxhash_rust::xxh3::xxh3_64(body);
        let filler = "x".repeat(self.filler);
        format!("answer to {id} of {instance} for {sum:x} {filler}")
    }

    /// One event of the stream that answers a request, in wire format.
    pub fn event(id: &str, number: u32) -> String {
        format!("id: {number}\ndata: piece {number} for {id}\n\n")
    }
}

/// How slowly a runner does the `Work` of requests, in percent of the time that they ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Its usual time.
    pub usual: u64,
    /// Its time at present in percent of the usual one, which it reports as the fourth figure of its load; `None` if it
    /// reports none.
    pub slowdown: Option<u64>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            usual: 100,
            slowdown: None,
        }
    }
}

impl Pace {
    fn slowed(self, time: Duration) -> Duration {
        let percent = self.usual * self.slowdown.unwrap_or(100) / 100;
        time.mul_f64(percent as f64 / 100.0)
    }
}

/// Longest part of the work that is done at one pace.
const WORK_PART_MAX: Duration = Duration::from_millis(20);

/// Number of events in a complete stream of a request without `Work`.
pub const EVENTS: u32 = 6;

/// A runner that runs a request with this text in its body or path crashes.
pub const CRASHING: &str = "crashing";
/// A runner that runs a request with this id among the shared parts of its prompt crashes.
pub const CRASHING_PART: &str = "dead";
/// How long a runner runs a crashing request before it crashes.
const CRASH_AFTER: Duration = Duration::from_millis(30);
/// Time from a crash until the runner restarts.
pub const BACK_AFTER: Duration = Duration::from_millis(1_500);

/// What clients see of a crashed runner until it restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Down {
    /// Its port is closed; its entry stays listed.
    #[default]
    Closed,
    /// A supervisor keeps its port open and closes accepted connections; its entry stays listed.
    Open,
    /// Like `Open`, but its entry is removed.
    OpenUnlisted,
}

/// A runner's entry in the list of targets, rewritten at each start.
#[derive(Clone)]
struct Entry {
    store: Store,
    service: String,
    /// Address where clients reach it.
    address: SocketAddr,
}

struct Inner {
    /// Cancelled when the simulated process ends; each start creates a new token.
    process_end: Mutex<CancellationToken>,
    /// What clients see after a crash.
    down: Mutex<Down>,
    /// Accept loop, which returns its listener.
    serving: Mutex<Option<JoinHandle<TcpListener>>>,
    /// Times of its crashes.
    crashes: Mutex<Vec<Instant>>,
    entry: Mutex<Option<Entry>>,
    /// Start time in milliseconds since the Unix epoch, if its entry has one.
    born: Mutex<Option<u64>>,
    instance: Mutex<String>,
    mode: Mutex<Mode>,
    /// The load that it reports.
    load: Mutex<String>,
    pace: Mutex<Pace>,
    /// Headers added to each of its answers.
    answer_headers: Mutex<Vec<(&'static str, String)>>,
    /// Its requests, if its room is limited.
    occupancy: Mutex<Option<Occupancy>>,
    /// Times at which it rejected a request for want of room.
    rejections: Mutex<Vec<Instant>>,
    /// Requests counted by `Mode::Rest`.
    rest_count: AtomicU32,
    arrivals: Mutex<Vec<Arrival>>,
}

/// A runner.
#[derive(Clone)]
pub struct Runner {
    inner: Arc<Inner>,
    pub address: SocketAddr,
}

impl Runner {
    pub async fn start(instance: &str) -> Self {
        let inner = Arc::new(Inner {
            process_end: Mutex::default(),
            down: Mutex::default(),
            serving: Mutex::default(),
            crashes: Mutex::default(),
            entry: Mutex::default(),
            born: Mutex::default(),
            instance: Mutex::new(instance.to_owned()),
            mode: Mutex::default(),
            load: Mutex::new("1,0,64".to_owned()),
            pace: Mutex::default(),
            answer_headers: Mutex::default(),
            occupancy: Mutex::default(),
            rejections: Mutex::default(),
            rest_count: AtomicU32::default(),
            arrivals: Mutex::default(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        inner.serve(listener);
        Self { inner, address }
    }

    /// Writes its entry to the list of targets now and at each start.
    pub fn list_in(&self, store: &Store, service: &str) {
        self.list_at_start(store, service, self.address);
        self.inner.write_entry();
    }

    /// Writes its entry with the given address at each later start.
    pub fn list_at_start(&self, store: &Store, service: &str, address: SocketAddr) {
        *self.inner.entry.lock().unwrap() = Some(Entry {
            store: store.clone(),
            service: service.to_owned(),
            address,
        });
    }

    /// Start time in milliseconds since the Unix epoch, if its entry has one.
    pub fn born(&self) -> Option<u64> {
        *self.inner.born.lock().unwrap()
    }

    /// Times of its crashes.
    pub fn crashes(&self) -> Vec<Instant> {
        self.inner.crashes.lock().unwrap().clone()
    }

    /// Sets what clients see after a crash.
    pub fn set_down(&self, down: Down) {
        *self.inner.down.lock().unwrap() = down;
    }

    /// Crashes the runner; it restarts under the same instance id after `BACK_AFTER`.
    pub fn crash(&self) {
        self.inner.crash(self.address);
    }

    pub fn instance(&self) -> String {
        self.inner.instance.lock().unwrap().clone()
    }

    /// Replaces the instance behind the address by another.
    pub fn replace(&self, instance: &str) {
        *self.inner.born.lock().unwrap() = None;
        *self.inner.instance.lock().unwrap() = instance.to_owned();
    }

    pub fn set(&self, mode: Mode) {
        *self.inner.mode.lock().unwrap() = mode;
    }

    /// Sets the load that it reports in all later answers.
    pub fn set_load(&self, load: &str) {
        *self.inner.load.lock().unwrap() = load.to_owned();
    }

    /// Sets how slowly it works from now on.
    pub fn set_pace(&self, pace: Pace) {
        *self.inner.pace.lock().unwrap() = pace;
    }

    /// Limits its room from now on. The number of slots is set only once, before its entry is written.
    pub fn set_room(&self, room: Room) {
        let mut occupancy = self.inner.occupancy.lock().unwrap();
        match &mut *occupancy {
            Some(occupancy) => {
                assert_eq!(occupancy.room.slots, room.slots);
                occupancy.room = room;
            }
            None => *occupancy = Some(Occupancy::new(room)),
        }
    }

    /// Times at which it rejected a request for want of room.
    pub fn rejections(&self) -> Vec<Instant> {
        self.inner.rejections.lock().unwrap().clone()
    }

    /// Sets the headers that are added to all later answers.
    pub fn set_answer_headers(&self, headers: &[(&'static str, &str)]) {
        let headers = headers
            .iter()
            .map(|(name, value)| (*name, (*value).to_owned()));
        *self.inner.answer_headers.lock().unwrap() = headers.collect();
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.inner.arrivals.lock().unwrap().clone()
    }

    /// Number of requests that this runner ran.
    pub fn runs(&self) -> usize {
        self.arrivals().iter().filter(|arrival| arrival.ran).count()
    }
}

impl Inner {
    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let process_end = self.process_end.lock().unwrap().clone();
        let inner = Arc::clone(self);
        let handler =
            move |address, request| answer_with_headers(Arc::clone(&inner), address, request);
        *self.serving.lock().unwrap() = Some(serve_on(listener, handler, process_end));
    }

    /// Counts a request and returns whether it is the last of each `count`.
    fn is_nth(&self, count: u32) -> bool {
        let number = self.rest_count.fetch_add(1, Ordering::Relaxed) + 1;
        number % count == 0
    }

    /// Takes the time that an amount of work needs at its present pace.
    async fn work(&self, millis: u64) {
        let mut left = Duration::from_millis(millis);
        if *self.pace.lock().unwrap() == Pace::default() {
            return tokio::time::sleep(left).await;
        }
        while left > Duration::ZERO {
            let part = left.min(WORK_PART_MAX);
            let time = self.pace.lock().unwrap().slowed(part);
            tokio::time::sleep(time).await;
            left -= part;
        }
    }

    fn load(&self) -> String {
        let load = match &*self.occupancy.lock().unwrap() {
            Some(occupancy) => occupancy.load(),
            None => self.load.lock().unwrap().clone(),
        };
        match self.pace.lock().unwrap().slowdown {
            Some(percent) => format!("{load},{percent}"),
            None => load,
        }
    }

    fn write_entry(&self) {
        let Some(entry) = self.entry.lock().unwrap().clone() else {
            return;
        };
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let born = since.as_millis() as u64;
        *self.born.lock().unwrap() = Some(born);
        let instance = self.instance.lock().unwrap().clone();
        let Entry {
            store,
            service,
            address,
        } = entry;
        let occupancy = self.occupancy.lock().unwrap();
        let slots = occupancy.as_ref().map_or(SLOTS, |it| it.room.slots);
        let started = (Some(born), slots);
        list_with_slots(&store, &service, &instance, address, "ready", started);
    }

    /// Rejects a request for want of room; crashes if it has rejected too many in the last second.
    fn reject(self: &Arc<Self>, room: Room, address: SocketAddr) -> Reply {
        let now = Instant::now();
        let mut rejections = self.rejections.lock().unwrap();
        rejections.push(now);
        let last_crash = self.crashes.lock().unwrap().last().copied();
        let from = now.checked_sub(Duration::from_secs(1)).max(last_crash);
        let recent = rejections.iter().filter(|at| Some(**at) > from).count();
        drop(rejections);
        if room.rejections.is_some_and(|limit| recent > limit as usize) {
            self.crash(address);
        }
        let head = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
        head.header("x-not-executed", "1").body(whole("")).unwrap()
    }

    fn crash(self: &Arc<Self>, address: SocketAddr) {
        let process_end = self.process_end.lock().unwrap().clone();
        if process_end.is_cancelled() {
            return;
        }
        process_end.cancel();
        self.crashes.lock().unwrap().push(Instant::now());
        let down = *self.down.lock().unwrap();
        let serving = self.serving.lock().unwrap().take().unwrap();
        if let (Down::OpenUnlisted, Some(entry)) = (down, &*self.entry.lock().unwrap()) {
            let instance = self.instance.lock().unwrap().clone();
            entry.store.put("keyed.servers", &instance, None);
        }
        let inner = Arc::clone(self);
        tokio::spawn(async move {
            let listener = if down == Down::Closed {
                drop(serving);
                tokio::time::sleep(BACK_AFTER).await;
                TcpListener::bind(address).await.unwrap()
            } else {
                let listener = serving.await.unwrap();
                // The loop never returns, so the timeout always elapses.
                let _ = tokio::time::timeout(BACK_AFTER, accept_and_close(&listener)).await;
                listener
            };
            *inner.process_end.lock().unwrap() = CancellationToken::new();
            inner.serve(listener);
            inner.write_entry();
        });
    }
}

fn has_crashing_part(headers: &HeaderMap) -> bool {
    let parts = headers
        .get("x-prompt-prefix")
        .map(|it| it.to_str().unwrap());
    let mut ids = parts.into_iter().flat_map(|parts| parts.split(','));
    ids.any(|part| part.split(':').next() == Some(CRASHING_PART))
}

/// Accepts connections and closes them at once.
async fn accept_and_close(listener: &TcpListener) {
    loop {
        drop(listener.accept().await);
    }
}

async fn answer_with_headers(
    inner: Arc<Inner>,
    address: SocketAddr,
    request: hyper::Request<Incoming>,
) -> Result<Reply, ConnectionClosed> {
    let mut reply = answer(Arc::clone(&inner), address, request).await?;
    for (name, value) in inner.answer_headers.lock().unwrap().iter() {
        reply.headers_mut().append(*name, value.parse().unwrap());
    }
    Ok(reply)
}

async fn answer(
    inner: Arc<Inner>,
    address: SocketAddr,
    request: hyper::Request<Incoming>,
) -> Result<Reply, ConnectionClosed> {
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let instance = inner.instance.lock().unwrap().clone();
    let mode = *inner.mode.lock().unwrap();
    let expected = parts.headers.get("x-expect-instance");
    let is_addressed = expected.is_none_or(|expected| expected.as_bytes() == instance.as_bytes());
    let backoff = match mode {
        Mode::Rest(one_in, millis) => inner.is_nth(one_in).then_some(millis),
        _ => None,
    };
    let entered = inner.occupancy.lock().unwrap().as_ref().map(|occupancy| {
        let slots = Arc::clone(&occupancy.slots);
        (occupancy.enter(), slots, occupancy.room)
    });
    let has_room = !matches!(entered, Some((None, _, _)));
    let ran = is_addressed && mode != Mode::Shed && backoff.is_none() && has_room;
    let handed_out = Arc::new(AtomicU32::new(0));
    inner.arrivals.lock().unwrap().push(Arrival {
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        headers: parts.headers.clone(),
        body: body.clone(),
        ran,
        at: Instant::now(),
        handed_out: Arc::clone(&handed_out),
        instance: instance.clone(),
    });
    let is_crashing = String::from_utf8_lossy(&body).contains(CRASHING)
        || parts.uri.path().contains(CRASHING)
        || has_crashing_part(&parts.headers);
    if ran && is_crashing {
        let inner = Arc::clone(&inner);
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_AFTER).await;
            inner.crash(address);
        });
        std::future::pending::<()>().await;
    }
    let work = Work::read(&parts.headers);
    let id = parts.headers.get("x-attempt-id").cloned();
    let id = id.map_or(String::new(), |id| id.to_str().unwrap().to_owned());
    let mut head = Response::builder().header("x-attempt-id", &id);
    if !is_addressed {
        let head = head.status(StatusCode::MISDIRECTED_REQUEST);
        return Ok(head
            .header("x-runner-id", instance)
            .body(whole(""))
            .unwrap());
    }
    let _inside = match entered {
        Some((None, _, room)) => return Ok(inner.reject(room, address)),
        Some((Some(inside), slots, _)) => {
            let slot = slots.acquire_owned().await.map_err(|_| ConnectionClosed)?;
            Some((inside, slot))
        }
        None => None,
    };
    head = head
        .header("x-server-seal", format!("seal-of-{id}"))
        .header("x-runner-load", inner.load())
        .header("keep-alive", "timeout=5");
    match mode {
        Mode::Shed => {
            let head = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
            return Ok(head.header("x-not-executed", "1").body(whole("")).unwrap());
        }
        Mode::Rest(_, _) => {
            if let Some(millis) = backoff {
                let head = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
                let head = head
                    .header("x-attempt-id", id)
                    .header("x-not-executed", "1");
                let seconds = (millis as f64 / 1_000.0).to_string();
                return Ok(head.header("retry-after", seconds).body(whole("")).unwrap());
            }
        }
        Mode::Fail => {
            let head = head.status(StatusCode::INTERNAL_SERVER_ERROR);
            return Ok(head.body(whole("failed")).unwrap());
        }
        Mode::DropAnswer => return Err(ConnectionClosed),
        Mode::Hang => std::future::pending().await,
        Mode::WrongId => {
            let head = Response::builder().header("x-attempt-id", "another");
            return Ok(head
                .header("x-server-seal", "s")
                .body(whole("not yours"))
                .unwrap());
        }
        Mode::Delay(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
        Mode::Endless => {
            const BLOCK: Bytes = Bytes::from_static(&[b'x'; 16 << 10]);
            let body = Body::stream(stream::repeat_with(|| Ok(BLOCK)));
            return Ok(head.body(body).unwrap());
        }
        Mode::LargeBody(bytes) => return Ok(head.body(whole(&"x".repeat(bytes))).unwrap()),
        Mode::Normal | Mode::Break(_) | Mode::Slow(_) => {}
    }
    if let Some(work) = work {
        inner.work(work.wait).await;
    }
    if let (Some(work), false) = (work, parts.headers.contains_key("x-token-count")) {
        let body = work.plain(&id, &instance, &body);
        return Ok(head.body(whole(&body)).unwrap());
    }
    if !parts.headers.contains_key("x-token-count") {
        let body = format!("answer to {id} of {instance}");
        return Ok(head.body(whole(&body)).unwrap());
    }
    let last = parts.headers.get("last-event-id");
    let last_event = last.map_or(0, |last| last.to_str().unwrap().parse::<u32>().unwrap());
    let head = head.header("content-type", "text/event-stream");
    let source = Source {
        mode,
        work,
        id,
        handed_out,
        inner,
    };
    Ok(head.body(events(last_event, source)).unwrap())
}

/// Parameters of a stream.
struct Source {
    mode: Mode,
    work: Option<Work>,
    id: String,
    handed_out: Arc<AtomicU32>,
    inner: Arc<Inner>,
}

impl Source {
    /// Waits before an event.
    async fn pause(&self) {
        match (self.mode, self.work) {
            (Mode::Slow(gap), _) => tokio::time::sleep(Duration::from_millis(gap)).await,
            (_, Some(work)) => self.inner.work(work.gap).await,
            (_, None) => {}
        }
    }

    fn count(&self) -> u32 {
        self.work.map_or(EVENTS, |work| work.events)
    }

    fn event(&self, number: u32) -> String {
        match self.work {
            Some(_) => Work::event(&self.id, number),
            None => format!("id: {number}\ndata: piece {number}\n\n"),
        }
    }
}

/// Stream of the events after the one numbered `last_event`.
fn events(last_event: u32, source: Source) -> Body {
    let state = (last_event, source);
    Body::stream(stream::unfold(state, move |(last, source)| async move {
        let number = last + 1;
        source.pause().await;
        if let Mode::Break(after) = source.mode {
            // Lets the earlier events be sent before the connection closes.
            tokio::time::sleep(Duration::from_millis(20)).await;
            if last > last_event + after {
                return Some((Err(ConnectionClosed), (last, source)));
            }
            if last == last_event + after {
                let half = format!("id: {number}\ndata: half");
                return Some((Ok(half.into()), (number, source)));
            }
        }
        if number > source.count() {
            return None;
        }
        source.handed_out.fetch_add(1, Ordering::Relaxed);
        let event = source.event(number);
        Some((Ok(Bytes::from(event)), (number, source)))
    }))
}

fn whole(text: &str) -> Body {
    Body::Whole(Full::new(Bytes::copy_from_slice(text.as_bytes())))
}
