//! The platform's store: a log with partitions, conditional appends, and the newest record of each key.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Line, Message};

#[derive(Default)]
struct Part {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct Inner {
    parts: Mutex<HashMap<(String, u32), Part>>,
    changed: Condvar,
}

#[derive(Clone, Default)]
pub struct Store(Arc<Inner>);

impl Store {
    /// Serves calls at an address.
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || {
                    let mut line = Line::new(stream);
                    while let Ok(call) = line.read() {
                        let (status, body) = store.answer(&call);
                        let start = format!("HTTP/1.1 {status} Answer");
                        if line.write(&start, &[], &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    /// Writes a record of the operator or of a runner; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut parts = self.0.parts.lock().unwrap();
        append(
            parts.entry((topic.to_owned(), 0)).or_default(),
            true,
            vec![record],
        );
        self.0.changed.notify_all();
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let target = call.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .collect();
        let get = |name: &str| query.get(name).and_then(|value| value.parse::<u64>().ok());
        let topic = query.get("topic").copied().unwrap_or("").to_owned();
        let place = (topic.clone(), get("part").unwrap_or(0) as u32);
        let mut parts = self.0.parts.lock().unwrap();
        let part = parts.entry(place.clone()).or_default();
        let end = part.records.len() as u64;
        match path {
            "/api/log-append" => {
                if get("at").is_some_and(|at| at != end) {
                    return (412, format!("{{\"end\":{end}}}").into_bytes());
                }
                append(part, topic.starts_with("keyed."), split(&call.body));
                let now = part.records.len();
                self.0.changed.notify_all();
                (
                    200,
                    format!("{{\"offset\":{end},\"end\":{now}}}").into_bytes(),
                )
            }
            "/api/log-read" => {
                let from = get("from").unwrap_or(0) as usize;
                let until = Instant::now() + Duration::from_millis(get("waitMs").unwrap_or(0));
                while parts[&place].records.len() <= from {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    parts = self.0.changed.wait_timeout(parts, left).unwrap().0;
                }
                let records = &parts[&place].records;
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                (200, body)
            }
            "/api/log-newest" => {
                let after = query.get("afterRev").copied().unwrap_or("");
                let later = part
                    .newest
                    .iter()
                    .filter(|(key, _)| after.is_empty() || key.as_str() > after);
                let items: Vec<String> = later
                    .map(|(key, (offset, value))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"more\":false,\"end\":{end}}}",
                    items.join(",")
                );
                (200, body.into_bytes())
            }
            _ => (404, Vec::new()),
        }
    }
}

fn append(part: &mut Part, is_keyed: bool, records: Vec<Vec<u8>>) {
    for record in records {
        if is_keyed && !record.is_empty() {
            let len = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
            let value = record[1 + len..].to_vec();
            match value.is_empty() {
                true => part.newest.remove(&key),
                false => part.newest.insert(key, (part.records.len() as u64, value)),
            };
        }
        part.records.push(record);
    }
}

fn split(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while bytes.len() >= 4 {
        let len = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
        records.push(bytes[4..4 + len].to_vec());
        bytes = &bytes[4 + len..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let wide = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            let sign = SIGNS[(wide >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() {
                sign as char
            } else {
                '='
            });
        }
    }
    text
}
