//! Stand-in for the platform's store, written from its published protocol: topics, partitions,
//! conditional appends, newest records of keyed topics. Each router gets its own address, so that
//! faults can be injected for one router alone.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use super::server::{ConnectionClosed, Reply, serve};

/// Topics written by operators and runners.
const EXTERNAL_TOPICS: [&str; 2] = ["keyed.op", "keyed.servers"];

/// Records of operators and runners that a restored snapshot lacks.
pub struct LostRecords(Vec<LostRecord>);

struct LostRecord {
    topic: String,
    key: Bytes,
    /// Value before the restore; `None` if the key was deleted.
    value: Option<Bytes>,
    /// Value in the snapshot.
    copied: Option<Bytes>,
}

impl LostRecords {
    fn new(parts: &HashMap<(String, u32), Partition>, copy: &Snapshot) -> Self {
        let mut lost = Vec::new();
        let none = Partition::default();
        for topic in EXTERNAL_TOPICS {
            let place = (topic.to_owned(), 0);
            let now = &parts.get(&place).unwrap_or(&none).newest;
            let then = &copy.0.get(&place).unwrap_or(&none).newest;
            let keys: BTreeSet<&Bytes> = now.keys().chain(then.keys()).collect();
            for key in keys {
                let value = now.get(key).map(|(_, value)| value.clone());
                let copied = then.get(key).map(|(_, value)| value.clone());
                if value != copied {
                    lost.push(LostRecord {
                        topic: topic.to_owned(),
                        key: key.clone(),
                        value,
                        copied,
                    });
                }
            }
        }
        Self(lost)
    }
}

/// Maximum number of keys in an answer with the newest records.
const NEWEST_MAX: usize = 500;

/// Store era before the first restore.
const FIRST_ERA: u64 = 1;

/// Fault injected at one address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Answers correctly.
    #[default]
    None,
    /// Answers 503 without executing the call.
    Unavailable,
    /// Answers 503 to calls about prepaid budgets, and all other calls correctly.
    NoGrants,
    /// Answers calls about routers' entries correctly, and no others.
    RoutersOnly,
    /// Answers 429 without executing the call.
    Limited,
    /// Answers 429 to calls about prepaid budgets, and all other calls correctly.
    LimitedGrants,
    /// Answers 429 to so many calls of a hundred, and the others correctly.
    Busy(u8),
    /// Neither answers nor executes the call.
    Silent,
    /// Executes and answers after this many milliseconds.
    Slow(u64),
    /// Executes the call and closes the connection without an answer.
    LostAnswer,
    /// Executes all calls, but gives no answer to appends about prepaid budgets.
    LostGrants,
    /// Closes the connection, and executes the call after this many milliseconds, if its condition
    /// still holds.
    Late(u64),
    /// Answers with a body without end.
    Endless,
}

/// Contents of the store at one moment, for `Store::restore`.
#[derive(Clone, Default)]
pub struct Snapshot(HashMap<(String, u32), Partition>);

#[derive(Clone, Default)]
struct Partition {
    first: u64,
    records: Vec<Bytes>,
    newest: BTreeMap<Bytes, (u64, Bytes)>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, is_keyed: bool, records: Vec<Bytes>) {
        for record in records {
            let offset = self.end();
            if is_keyed {
                let len = usize::from(record[0]);
                let key = record.slice(1..=len);
                let value = record.slice(1 + len..);
                if value.is_empty() {
                    self.newest.remove(&key);
                } else {
                    self.newest.insert(key, (offset, value));
                }
            }
            self.records.push(record);
        }
    }
}

#[derive(Default)]
struct Inner {
    parts: Mutex<HashMap<(String, u32), Partition>>,
    faults: Mutex<HashMap<SocketAddr, Fault>>,
    unavailable_calls: Mutex<Vec<(SocketAddr, String)>>,
    /// Number of reads by address and topic.
    reads: Mutex<HashMap<(SocketAddr, String), usize>>,
    /// Number of calls by topic, refused ones too.
    calls: Mutex<HashMap<String, usize>>,
    /// Number of bytes of answers to reads by address and topic.
    bytes_read: Mutex<HashMap<(SocketAddr, String), usize>>,
    /// Decides which calls `Fault::Busy` refuses.
    refusals: Mutex<Refusals>,
    /// Whether the newest records are listed in the order of their offsets, and not of their keys.
    orders_by_offset: AtomicBool,
    /// Number of restores from a snapshot.
    restores: AtomicU64,
    /// Addresses of targets as one router gets them, by the router's address here.
    routes: Mutex<HashMap<SocketAddr, Vec<(SocketAddr, SocketAddr)>>>,
}

struct Refusals(StdRng);

impl Default for Refusals {
    fn default() -> Self {
        Self(StdRng::seed_from_u64(1))
    }
}

/// The store stand-in; clones share its contents.
#[derive(Clone, Default)]
pub struct Store(Arc<Inner>);

fn split_records(mut bytes: Bytes) -> Vec<Bytes> {
    let mut records = Vec::new();
    while bytes.len() >= 4 {
        let len = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
        records.push(bytes.slice(4..4 + len));
        bytes = bytes.slice(4 + len..);
    }
    records
}

impl Store {
    /// Opens an address for one router.
    pub async fn open(&self) -> SocketAddr {
        let store = self.clone();
        serve(move |address, request| {
            let store = store.clone();
            async move { store.answer(address, request).await }
        })
        .await
    }

    /// Lists the newest records in the order of their offsets from now on, and answers 400 to a key that has none.
    pub fn order_by_offset(&self) {
        self.0.orders_by_offset.store(true, Ordering::SeqCst);
    }

    /// Replaces addresses in the list of targets for the router that reads at `address`.
    pub fn set_routes(&self, address: SocketAddr, routes: Vec<(SocketAddr, SocketAddr)>) {
        self.0.routes.lock().unwrap().insert(address, routes);
    }

    /// A record or value of a topic as the router that reads at `address` gets it.
    fn routed(&self, address: SocketAddr, topic: &str, bytes: &Bytes) -> Bytes {
        let routes = self.0.routes.lock().unwrap();
        let Some(routes) = routes.get(&address).filter(|_| topic == "keyed.servers") else {
            return bytes.clone();
        };
        let mut text = String::from_utf8(bytes.to_vec()).unwrap();
        for (from, to) in routes {
            text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
        }
        text.into()
    }

    pub fn set_fault(&self, address: SocketAddr, fault: Fault) {
        self.0.faults.lock().unwrap().insert(address, fault);
    }

    /// Whether `Fault::Unavailable` answered a call about a topic at an address with 503.
    pub fn has_answered_503(&self, address: SocketAddr, topic: &str) -> bool {
        let unavailable_calls = self.0.unavailable_calls.lock().unwrap();
        let mut calls = unavailable_calls.iter();
        calls.any(|(at, uri)| *at == address && uri.contains(topic))
    }

    fn count_read(&self, address: SocketAddr, uri: &http::Uri) {
        let Some(topic) = topic_of(uri) else {
            return;
        };
        let mut calls = self.0.calls.lock().unwrap();
        *calls.entry(topic.clone()).or_default() += 1;
        if !uri.path().contains("append") {
            let mut reads = self.0.reads.lock().unwrap();
            *reads.entry((address, topic)).or_default() += 1;
        }
    }

    fn count_bytes(&self, address: SocketAddr, uri: &http::Uri, reply: &Reply) {
        let bytes = reply.body().size_hint().exact().unwrap_or_default() as usize;
        if let Some(topic) = topic_of(uri) {
            let mut bytes_read = self.0.bytes_read.lock().unwrap();
            *bytes_read.entry((address, topic)).or_default() += bytes;
        }
    }

    /// Number of bytes of answers about a topic at an address.
    pub fn bytes_read(&self, address: SocketAddr, topic: &str) -> usize {
        let bytes_read = self.0.bytes_read.lock().unwrap();
        bytes_read
            .get(&(address, topic.to_owned()))
            .copied()
            .unwrap_or_default()
    }

    /// Number of calls about a topic at all addresses, refused ones too.
    pub fn calls(&self, topic: &str) -> usize {
        let calls = self.0.calls.lock().unwrap();
        calls.get(topic).copied().unwrap_or_default()
    }

    /// Number of reads of a topic at an address.
    pub fn reads(&self, address: SocketAddr, topic: &str) -> usize {
        let reads = self.0.reads.lock().unwrap();
        reads
            .get(&(address, topic.to_owned()))
            .copied()
            .unwrap_or_default()
    }

    /// Writes the newest record of a key, as operators and runners do.
    pub fn put(&self, topic: &str, key: &str, value: Option<&serde_json::Value>) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        if let Some(value) = value {
            record.extend_from_slice(value.to_string().as_bytes());
        }
        let mut parts = self.0.parts.lock().unwrap();
        let part = parts.entry((topic.to_owned(), 0)).or_default();
        part.append(true, vec![record.into()]);
    }

    /// Writes a record with an arbitrary byte string as its key, as another writer may.
    pub fn put_bytes(&self, topic: &str, key: &[u8], value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key);
        record.extend_from_slice(value);
        let mut parts = self.0.parts.lock().unwrap();
        let part = parts.entry((topic.to_owned(), 0)).or_default();
        part.append(true, vec![record.into()]);
    }

    /// Keys of a topic's newest records.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let parts = self.0.parts.lock().unwrap();
        let parts = parts.iter().filter(|((name, _), _)| name == topic);
        parts
            .flat_map(|(_, part)| part.newest.keys())
            .map(|key| String::from_utf8_lossy(key).into_owned())
            .collect()
    }

    /// Takes a snapshot of all contents.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.0.parts.lock().unwrap().clone())
    }

    /// Restores a snapshot: later records are lost, and their offsets are assigned again.
    pub fn restore(&self, copy: &Snapshot) -> LostRecords {
        let mut parts = self.0.parts.lock().unwrap();
        let lost = LostRecords::new(&parts, copy);
        parts.clone_from(&copy.0);
        self.0.restores.fetch_add(1, Ordering::SeqCst);
        lost
    }

    /// Rewrites the lost records of operators and runners, except where a key was written since.
    pub fn rewrite(&self, lost: &LostRecords) {
        let mut parts = self.0.parts.lock().unwrap();
        for entry in &lost.0 {
            let part = parts.entry((entry.topic.clone(), 0)).or_default();
            let value = part.newest.get(&entry.key).map(|(_, value)| value.clone());
            if value != entry.copied {
                continue;
            }
            let mut record = vec![entry.key.len() as u8];
            record.extend_from_slice(&entry.key);
            record.extend_from_slice(entry.value.as_deref().unwrap_or_default());
            part.append(true, vec![record.into()]);
        }
    }

    /// Drops the records of a topic but keeps the newest record of each key.
    pub fn compact(&self, topic: &str) {
        let mut parts = self.0.parts.lock().unwrap();
        for ((name, _), part) in parts.iter_mut() {
            if name == topic {
                part.first = part.end();
                part.records.clear();
            }
        }
    }

    async fn answer(
        &self,
        address: SocketAddr,
        request: hyper::Request<Incoming>,
    ) -> Result<Reply, ConnectionClosed> {
        let reply = self.reply(address, request).await;
        reply.map(|mut reply| {
            let era = FIRST_ERA + self.0.restores.load(Ordering::SeqCst);
            reply.headers_mut().insert("store-era", era.into());
            reply
        })
    }

    async fn reply(
        &self,
        address: SocketAddr,
        request: hyper::Request<Incoming>,
    ) -> Result<Reply, ConnectionClosed> {
        self.count_read(address, request.uri());
        let fault = self.0.faults.lock().unwrap().get(&address).copied();
        match fault.unwrap_or_default() {
            Fault::None => Ok(self.call(address, request).await),
            Fault::Unavailable => {
                let call = (address, request.uri().to_string());
                self.0.unavailable_calls.lock().unwrap().push(call);
                Ok(status(StatusCode::SERVICE_UNAVAILABLE))
            }
            Fault::NoGrants if concerns_grants(request.uri()) => {
                Ok(status(StatusCode::SERVICE_UNAVAILABLE))
            }
            Fault::NoGrants => Ok(self.call(address, request).await),
            Fault::Limited => Ok(status(StatusCode::TOO_MANY_REQUESTS)),
            Fault::LimitedGrants if concerns_grants(request.uri()) => {
                Ok(status(StatusCode::TOO_MANY_REQUESTS))
            }
            Fault::LimitedGrants => Ok(self.call(address, request).await),
            Fault::Busy(percent) => {
                let is_refused = {
                    let mut refusals = self.0.refusals.lock().unwrap();
                    refusals.0.random_range(0..100) < percent
                };
                if is_refused {
                    Ok(status(StatusCode::TOO_MANY_REQUESTS))
                } else {
                    Ok(self.call(address, request).await)
                }
            }
            Fault::RoutersOnly if topic_of(request.uri()).as_deref() == Some("keyed.routers") => {
                Ok(self.call(address, request).await)
            }
            Fault::RoutersOnly | Fault::Silent => std::future::pending().await,
            Fault::Slow(millis) => {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                Ok(self.call(address, request).await)
            }
            Fault::Endless => {
                const BLOCK: Bytes = Bytes::from_static(&[b'x'; 64 << 10]);
                let blocks = futures::stream::repeat_with(|| Ok(BLOCK));
                Ok(Response::new(super::server::Body::stream(blocks)))
            }
            Fault::LostAnswer => {
                self.call(address, request).await;
                Err(ConnectionClosed)
            }
            Fault::LostGrants => {
                let is_lost = concerns_grants(request.uri()) && request.method() == Method::POST;
                let reply = self.call(address, request).await;
                if is_lost {
                    Err(ConnectionClosed)
                } else {
                    Ok(reply)
                }
            }
            Fault::Late(millis) => {
                let store = self.clone();
                let (parts, body) = request.into_parts();
                let body = body.collect().await.map(|body| body.to_bytes());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(millis)).await;
                    if let Ok(body) = body {
                        store.execute(address, &parts.uri, body).await;
                    }
                });
                Err(ConnectionClosed)
            }
        }
    }

    async fn call(&self, address: SocketAddr, request: hyper::Request<Incoming>) -> Reply {
        let (parts, body) = request.into_parts();
        let reply = match body.collect().await {
            Ok(body) => self.execute(address, &parts.uri, body.to_bytes()).await,
            Err(_) => status(StatusCode::BAD_REQUEST),
        };
        self.count_bytes(address, &parts.uri, &reply);
        reply
    }

    async fn execute(&self, address: SocketAddr, uri: &http::Uri, body: Bytes) -> Reply {
        let query = uri.query().unwrap_or_default().as_bytes();
        let query: HashMap<Cow<str>, Cow<str>> = form_urlencoded::parse(query).collect();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let topic = query.get("topic").cloned().unwrap_or_default().into_owned();
        let place = (topic.clone(), number("part").unwrap_or_default() as u32);
        match uri.path() {
            "/api/log-append" => {
                let mut parts = self.0.parts.lock().unwrap();
                let part = parts.entry(place).or_default();
                if number("at").is_some_and(|at| at != part.end()) {
                    let body = json!({ "end": part.end() });
                    return reply_with(StatusCode::PRECONDITION_FAILED, body.to_string().into());
                }
                let offset = part.end();
                part.append(topic.starts_with("keyed."), split_records(body));
                let body = json!({ "offset": offset, "end": part.end() });
                reply_with(StatusCode::OK, body.to_string().into())
            }
            "/api/log-read" => {
                let from = number("from").unwrap_or_default();
                let wait = number("waitMs").unwrap_or_default();
                self.read(address, place, from, wait).await
            }
            "/api/log-newest" => {
                self.newest(address, place, query.get("afterRev").map(Cow::as_ref))
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn newest(&self, address: SocketAddr, place: (String, u32), after: Option<&str>) -> Reply {
        let mut parts = self.0.parts.lock().unwrap();
        let part = parts.entry(place.clone()).or_default();
        let mut rest: Vec<(&Bytes, &(u64, Bytes))> = part.newest.iter().collect();
        if self.0.orders_by_offset.load(Ordering::SeqCst) {
            rest.sort_by_key(|(_, (offset, _))| *offset);
            if let Some(after) = after {
                let Some(index) = rest.iter().position(|(key, _)| *key == after.as_bytes()) else {
                    return status(StatusCode::BAD_REQUEST);
                };
                rest.drain(..=index);
            }
        } else if let Some(after) = after {
            rest.retain(|(key, _)| key.as_ref() > after.as_bytes());
        }
        let items: Vec<_> = rest
            .iter()
            .take(NEWEST_MAX)
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                let value = self.routed(address, &place.0, value);
                json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            })
            .collect();
        let body = json!({ "items": items, "more": rest.len() > NEWEST_MAX, "end": part.end() });
        reply_with(StatusCode::OK, body.to_string().into())
    }

    async fn read(&self, address: SocketAddr, place: (String, u32), from: u64, wait: u64) -> Reply {
        const STEP: u64 = 10;
        let mut waited = 0;
        loop {
            {
                let mut parts = self.0.parts.lock().unwrap();
                let part = parts.entry(place.clone()).or_default();
                if from < part.first || from > part.end() {
                    let body = json!({ "first": part.first });
                    return reply_with(StatusCode::GONE, body.to_string().into());
                }
                if part.end() > from || waited >= wait {
                    let mut body = part.end().to_be_bytes().to_vec();
                    body.extend(part.first.to_be_bytes());
                    let skip = (from - part.first) as usize;
                    for record in part.records.iter().skip(skip) {
                        let record = self.routed(address, &place.0, record);
                        body.extend((record.len() as u32).to_be_bytes());
                        body.extend_from_slice(&record);
                    }
                    return reply_with(StatusCode::OK, body.into());
                }
            }
            tokio::time::sleep(Duration::from_millis(STEP)).await;
            waited += STEP;
        }
    }
}

fn status(status: StatusCode) -> Reply {
    reply_with(status, Bytes::new())
}

fn reply_with(status: StatusCode, body: Bytes) -> Reply {
    let mut response = Response::new(super::server::Body::Whole(Full::new(body)));
    *response.status_mut() = status;
    response
}

fn topic_of(uri: &http::Uri) -> Option<String> {
    let mut pairs = uri.query()?.split('&');
    let topic = pairs.find_map(|pair| pair.strip_prefix("topic="))?;
    Some(topic.to_owned())
}

fn concerns_grants(uri: &http::Uri) -> bool {
    topic_of(uri).is_some_and(|topic| topic == "keyed.prepaid")
}
