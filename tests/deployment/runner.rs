//! A stand-in of the platform's runners, plain and model engines: ids, signatures, instances, load,
//! refusals and streams, with faults on demand.

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
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::list_with_born;
use super::server::{Body, ConnectionClosed, Reply, serve_on};
use super::store::Store;

/// What a runner does with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers as it should.
    #[default]
    Normal,
    /// Refuses, and does not run it.
    Shed,
    /// Refuses one in so many, does not run it, and asks its router for so many milliseconds of rest.
    Rest(u32, u64),
    /// Runs it and answers 500.
    Fail,
    /// Runs it and closes the connection without an answer.
    DropAnswer,
    /// Runs it and says nothing.
    Hang,
    /// Runs it and answers with another request's id.
    WrongId,
    /// Breaks a stream off after so many events, in the middle of the next.
    Break(u32),
    /// Streams slowly: so many milliseconds between events.
    Slow(u64),
    /// Answers after so many milliseconds.
    Delay(u64),
    /// Answers plain requests with so many bytes.
    LargeBody(usize),
}

/// A request that has arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub method: String,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub ran: bool,
    /// When it was read.
    pub at: Instant,
    /// Events of its stream that were handed out so far.
    pub handed_out: Arc<AtomicU32>,
    /// The instance that it reached.
    pub instance: String,
}

impl Arrival {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }
}

/// What a request asks of the runner that serves it well; requests that are checked against their
/// answers carry it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Time before the answer begins, in milliseconds.
    pub wait: u64,
    /// Filler of a plain answer, in bytes.
    pub filler: usize,
    /// Events of a stream.
    pub events: u32,
    /// Time before each event, in milliseconds.
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

    /// The plain answer to a request, but for the instance that gives it.
    pub fn plain(&self, id: &str, instance: &str, body: &[u8]) -> String {
        let sum = xxhash_rust::xxh3::xxh3_64(body);
        let filler = "x".repeat(self.filler);
        format!("answer to {id} of {instance} for {sum:x} {filler}")
    }

    /// One event of the stream that answers a request.
    pub fn event(id: &str, number: u32) -> String {
        format!("id: {number}\ndata: piece {number} for {id}\n\n")
    }
}

/// Events of a whole stream.
pub const EVENTS: u32 = 6;

/// What a body or a path has in it that makes a runner crash by which it is run.
pub const CRASHING: &str = "crashing";
/// How long a runner runs such a request before it crashes.
const CRASH_AFTER: Duration = Duration::from_millis(30);
/// How long after a crash a runner is back.
pub const BACK_AFTER: Duration = Duration::from_millis(1_500);

/// What others see of a runner that has crashed, until it is back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Down {
    /// Nobody listens at its port, and its entry stays.
    #[default]
    Closed,
    /// A supervisor holds its port and closes what it accepts; its entry stays.
    Open,
    /// The same, and its entry goes.
    OpenUnlisted,
}

/// A runner's entry in the list of targets, which it writes anew at each start.
#[derive(Clone)]
struct Entry {
    store: Store,
    service: String,
    /// Where others reach it.
    address: SocketAddr,
}

struct Inner {
    /// Ends with the process: each start has another.
    life: Mutex<CancellationToken>,
    /// What others see of it while it is down.
    down: Mutex<Down>,
    /// The task that has its listener.
    serving: Mutex<Option<JoinHandle<TcpListener>>>,
    /// When it crashed.
    crashes: Mutex<Vec<Instant>>,
    entry: Mutex<Option<Entry>>,
    /// When it started, in milliseconds since 1970, where its entry tells it.
    born: Mutex<Option<u64>>,
    instance: Mutex<String>,
    mode: Mutex<Mode>,
    /// Headers that each of its answers has.
    said: Mutex<Vec<(&'static str, String)>>,
    /// Requests that were counted to refuse one in some.
    counted: AtomicU32,
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
            life: Mutex::default(),
            down: Mutex::default(),
            serving: Mutex::default(),
            crashes: Mutex::default(),
            entry: Mutex::default(),
            born: Mutex::default(),
            instance: Mutex::new(instance.to_owned()),
            mode: Mutex::default(),
            said: Mutex::default(),
            counted: AtomicU32::default(),
            arrivals: Mutex::default(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        inner.serve(listener);
        Self { inner, address }
    }

    /// Writes its entry into the list of targets, now and at each start.
    pub fn list_in(&self, store: &Store, service: &str) {
        self.list_at_start(store, service, self.address);
        self.inner.write_entry();
    }

    /// Writes its entry at each start from now on, with the address where others reach it.
    pub fn list_at_start(&self, store: &Store, service: &str, address: SocketAddr) {
        *self.inner.entry.lock().unwrap() = Some(Entry {
            store: store.clone(),
            service: service.to_owned(),
            address,
        });
    }

    /// When it started, where its entry tells it.
    pub fn born(&self) -> Option<u64> {
        *self.inner.born.lock().unwrap()
    }

    /// When it crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.inner.crashes.lock().unwrap().clone()
    }

    /// Has it look so when it has crashed.
    pub fn set_down(&self, down: Down) {
        *self.inner.down.lock().unwrap() = down;
    }

    /// Ends at once, and starts again under its id a while later.
    pub fn crash(&self) {
        self.inner.crash(self.address);
    }

    pub fn instance(&self) -> String {
        self.inner.instance.lock().unwrap().clone()
    }

    /// Another instance takes the address.
    pub fn replace(&self, instance: &str) {
        *self.inner.born.lock().unwrap() = None;
        *self.inner.instance.lock().unwrap() = instance.to_owned();
    }

    pub fn set(&self, mode: Mode) {
        *self.inner.mode.lock().unwrap() = mode;
    }

    /// Says this of itself in the heads of all answers from now on.
    pub fn set_answer_headers(&self, headers: &[(&'static str, &str)]) {
        let headers = headers
            .iter()
            .map(|(name, value)| (*name, (*value).to_owned()));
        *self.inner.said.lock().unwrap() = headers.collect();
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.inner.arrivals.lock().unwrap().clone()
    }

    /// Requests that ran here.
    pub fn runs(&self) -> usize {
        self.arrivals().iter().filter(|arrival| arrival.ran).count()
    }
}

impl Inner {
    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let life = self.life.lock().unwrap().clone();
        let inner = Arc::clone(self);
        let handler = move |address, request| answer_and_say(Arc::clone(&inner), address, request);
        *self.serving.lock().unwrap() = Some(serve_on(listener, handler, life));
    }

    /// Whether a request is the last of so many.
    fn is_one_in(&self, count: u32) -> bool {
        let number = self.counted.fetch_add(1, Ordering::Relaxed) + 1;
        number % count == 0
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
        list_with_born(&store, &service, &instance, address, "ready", Some(born));
    }

    fn crash(self: &Arc<Self>, address: SocketAddr) {
        let life = self.life.lock().unwrap().clone();
        if life.is_cancelled() {
            return;
        }
        life.cancel();
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
                // It ends with the time.
                let _ = tokio::time::timeout(BACK_AFTER, turn_away(&listener)).await;
                listener
            };
            *inner.life.lock().unwrap() = CancellationToken::new();
            inner.serve(listener);
            inner.write_entry();
        });
    }
}

/// Accepts connections and closes them.
async fn turn_away(listener: &TcpListener) {
    loop {
        drop(listener.accept().await);
    }
}

async fn answer_and_say(
    inner: Arc<Inner>,
    address: SocketAddr,
    request: hyper::Request<Incoming>,
) -> Result<Reply, ConnectionClosed> {
    let mut reply = answer(Arc::clone(&inner), address, request).await?;
    for (name, value) in inner.said.lock().unwrap().iter() {
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
    let is_meant = expected.is_none_or(|expected| expected.as_bytes() == instance.as_bytes());
    let rests = match mode {
        Mode::Rest(one_in, millis) => inner.is_one_in(one_in).then_some(millis),
        _ => None,
    };
    let ran = is_meant && mode != Mode::Shed && rests.is_none();
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
    let is_crashing =
        String::from_utf8_lossy(&body).contains(CRASHING) || parts.uri.path().contains(CRASHING);
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
    if !is_meant {
        let head = head.status(StatusCode::MISDIRECTED_REQUEST);
        return Ok(head
            .header("x-runner-id", instance)
            .body(whole(""))
            .unwrap());
    }
    head = head
        .header("x-server-seal", format!("seal-of-{id}"))
        .header("x-runner-load", "1,0,64")
        .header("keep-alive", "timeout=5");
    match mode {
        Mode::Shed => {
            let head = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
            return Ok(head.header("x-not-executed", "1").body(whole("")).unwrap());
        }
        Mode::Rest(_, _) => {
            if let Some(millis) = rests {
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
        Mode::LargeBody(bytes) => return Ok(head.body(whole(&"x".repeat(bytes))).unwrap()),
        Mode::Normal | Mode::Break(_) | Mode::Slow(_) => {}
    }
    if let Some(work) = work {
        tokio::time::sleep(Duration::from_millis(work.wait)).await;
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
    let begun = last.map_or(0, |last| last.to_str().unwrap().parse::<u32>().unwrap());
    let head = head.header("content-type", "text/event-stream");
    let source = Source {
        mode,
        work,
        id,
        handed_out,
    };
    Ok(head.body(events(begun, source)).unwrap())
}

/// What a stream is made from.
struct Source {
    mode: Mode,
    work: Option<Work>,
    id: String,
    handed_out: Arc<AtomicU32>,
}

impl Source {
    /// Time before each event, in milliseconds.
    fn gap(&self) -> Option<u64> {
        match (self.mode, self.work) {
            (Mode::Slow(gap), _) => Some(gap),
            (_, work) => work.map(|work| work.gap),
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

/// Events after the one numbered `begun`.
fn events(begun: u32, source: Source) -> Body {
    let state = (begun, source);
    Body::stream(stream::unfold(state, move |(last, source)| async move {
        let number = last + 1;
        if let Some(gap) = source.gap() {
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
        if let Mode::Break(after) = source.mode {
            // What was sent before is on its way before the connection goes.
            tokio::time::sleep(Duration::from_millis(20)).await;
            if last > begun + after {
                return Some((Err(ConnectionClosed), (last, source)));
            }
            if last == begun + after {
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
