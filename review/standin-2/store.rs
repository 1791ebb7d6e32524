//! The platform's store: topics with partitions, appends with a condition, reads that wait, and the newest record of
//! each key.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Line, Message};

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
}

impl Partition {
    fn newest(&self) -> BTreeMap<Vec<u8>, (usize, Vec<u8>)> {
        let mut newest = BTreeMap::new();
        for (offset, record) in self.records.iter().enumerate() {
            let key_length = usize::from(record[0]);
            let (key, value) = (&record[1..=key_length], &record[1 + key_length..]);
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key.to_vec(), (offset, value.to_vec()));
            }
        }
        newest
    }
}

#[derive(Default)]
struct Inner {
    partitions: Mutex<HashMap<(String, u32), Partition>>,
    changed: Condvar,
    /// Addresses that the readers at an address of the store see in place of others, which have the same length.
    routes: Mutex<HashMap<SocketAddr, Vec<(String, String)>>>,
}

/// The store, on a loopback address.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        Self::open(Arc::default())
    }

    /// Serves the same store at one more address, where other addresses of runners are seen: a network that leads to them.
    pub fn open_routed(&self, routes: Vec<(SocketAddr, SocketAddr)>) -> io::Result<Self> {
        let store = Self::open(Arc::clone(&self.inner))?;
        let routes = routes
            .into_iter()
            .map(|(from, to)| (from.to_string(), to.to_string()));
        let mut all = self.inner.routes.lock().expect("no thread panics");
        all.insert(store.address, routes.collect());
        drop(all);
        Ok(store)
    }

    fn open(inner: Arc<Inner>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Self { inner, address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record under a key, as the operator and the runners do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut partitions = self.inner.partitions.lock().expect("no thread panics");
        partitions
            .entry((topic.to_owned(), 0))
            .or_default()
            .records
            .push(record);
        self.inner.changed.notify_all();
    }

    /// A record as the readers at this address see it.
    fn routed(&self, record: &[u8]) -> Vec<u8> {
        let routes = self.inner.routes.lock().expect("no thread panics");
        let mut record = record.to_vec();
        for (from, to) in routes.get(&self.address).into_iter().flatten() {
            let found = record
                .windows(from.len())
                .position(|part| part == from.as_bytes());
            if let Some(at) = found.filter(|_| from.len() == to.len()) {
                record[at..at + to.len()].copy_from_slice(to.as_bytes());
            }
        }
        record
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut line) = Line::new(stream) else {
            return;
        };
        while let Ok(Some(request)) = line.read(false) {
            let answer = self.answer(&request);
            if line.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let key = (topic, number("part").unwrap_or(0) as u32);
        let json = [("Content-Type", "application/json")];
        let mut partitions = self.inner.partitions.lock().expect("no thread panics");
        match request.path() {
            "/api/log-append" => {
                let partition = partitions.entry(key).or_default();
                let end = partition.records.len();
                if number("at").is_some_and(|at| at as usize != end) {
                    let body = format!("{{\"end\":{end}}}");
                    return http::answer("412 Precondition Failed", &json, body.as_bytes());
                }
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    partition.records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let body = format!("{{\"offset\":{end},\"end\":{}}}", partition.records.len());
                self.inner.changed.notify_all();
                http::answer("200 OK", &json, body.as_bytes())
            }
            "/api/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                loop {
                    let end = partitions.entry(key.clone()).or_default().records.len();
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        break;
                    }
                    let waited = self.inner.changed.wait_timeout(partitions, left);
                    partitions = waited.expect("no thread panics").0;
                }
                let records = &partitions.entry(key).or_default().records;
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from).map(|record| self.routed(record)) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(&record);
                }
                http::answer("200 OK", &[], &body)
            }
            "/api/log-newest" => {
                let partition = partitions.entry(key).or_default();
                let items = partition
                    .newest()
                    .into_iter()
                    .map(|(key, (offset, value))| {
                        let key = String::from_utf8_lossy(&key).into_owned();
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(&self.routed(&value))
                        )
                    });
                let items: Vec<String> = items.collect();
                let end = partition.records.len();
                let body = format!(
                    "{{\"items\":[{}],\"more\":false,\"end\":{end}}}",
                    items.join(",")
                );
                http::answer("200 OK", &json, body.as_bytes())
            }
            _ => http::answer("404 Not Found", &[], b""),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let [a, b, c] = [0, 1, 2].map(|at| u32::from(*part.get(at).unwrap_or(&0)));
        let bits = a << 16 | b << 8 | c;
        for at in 0..4 {
            if at <= part.len() {
                text.push(SIGNS[(bits >> (18 - 6 * at) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
