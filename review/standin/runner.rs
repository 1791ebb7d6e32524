//! A runner of a plain service: it answers each request on its connection in turn, with the request's id and a seal.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Line, Message};
use crate::record::Record;
use crate::store::Store;

/// Time of the work of a request.
const WORK: Duration = Duration::from_millis(15);
/// One in this many answers has a second one behind it, where the runner sends any: less than 3 in 100.
const SURPLUS_EVERY: usize = 34;
/// One in this many streams is broken off, where the runner breaks off any: 2 in 100.
const BREAK_EVERY: usize = 50;
/// Number of events of a stream.
pub const EVENTS: u64 = 20;
/// One in this many events is followed by a comment.
const COMMENT_EVERY: u64 = 3;
/// The event after which a stream is broken off.
const BREAK_AFTER: u64 = 9;
/// Interval at which a runner writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct Runner {
    pub id: String,
    /// Whether some of its answers have a second one behind them, which arrives late.
    pub sends_surplus: AtomicBool,
    answers: AtomicUsize,
    /// Time between two events of a stream, in milliseconds.
    pub pace_ms: AtomicUsize,
    /// Whether comments stand between the events of its streams.
    pub sends_comments: AtomicBool,
    /// Whether it breaks off some of its streams.
    pub breaks_off: AtomicBool,
    streams: AtomicUsize,
    /// Streams that were broken off.
    pub broken_off: AtomicUsize,
    /// How often each request ran, by its id.
    pub runs: Mutex<HashMap<String, usize>>,
    /// Second answers that were sent in the place of the next answer.
    pub surplus: AtomicUsize,
    record: Arc<Record>,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        store: &Store,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let runner = Arc::new(Self {
            id: id.to_owned(),
            sends_surplus: AtomicBool::new(false),
            answers: AtomicUsize::new(0),
            pace_ms: AtomicUsize::new(0),
            sends_comments: AtomicBool::new(false),
            breaks_off: AtomicBool::new(false),
            streams: AtomicUsize::new(0),
            broken_off: AtomicUsize::new(0),
            runs: Mutex::default(),
            surplus: AtomicUsize::new(0),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&runner);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = Arc::clone(&served);
                std::thread::spawn(move || served.serve(Line::new(stream)));
            }
        });
        let (store, entry) = (
            store.clone(),
            (id.to_owned(), service.to_owned(), zone.to_owned()),
        );
        std::thread::spawn(move || {
            for sequence in 1.. {
                let (id, service, zone) = &entry;
                let text = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                     \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{sequence}}}"
                );
                store.put("keyed.servers", id, &text);
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(runner)
    }

    fn serve(&self, mut line: Line) {
        // The request whose second answer is still to come on this connection.
        let mut owed: Option<String> = None;
        while let Ok(request) = line.read() {
            let id = request.header("x-attempt-id").to_owned();
            let expected = request.header("x-expect-instance");
            if !expected.is_empty() && expected != self.id {
                let headers = [("X-Runner-Id", self.id.as_str())];
                if line
                    .write("HTTP/1.1 421 Misdirected Request", &headers, b"")
                    .is_err()
                {
                    return;
                }
                continue;
            }
            if let Some(earlier) = owed.take() {
                self.surplus.fetch_add(1, Ordering::Relaxed);
                let text = format!(
                    "runner {} sends a second answer to {earlier}, 503 not executed, as {id} is due",
                    self.id
                );
                self.record.note(&text);
                let headers = [("X-Attempt-Id", earlier.as_str()), ("X-Not-Executed", "1")];
                let _ = line.write("HTTP/1.1 503 Service Unavailable", &headers, b"");
            }
            *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            self.record.note(&format!("runner {} runs {id}", self.id));
            std::thread::sleep(WORK);
            let count = self.answers.fetch_add(1, Ordering::Relaxed);
            if self.sends_surplus.load(Ordering::Relaxed) && count % SURPLUS_EVERY == 0 {
                owed = Some(id.clone());
            }
            let headers = [
                ("X-Attempt-Id", id.as_str()),
                ("X-Server-Seal", "seal"),
                ("X-Runner-Load", "1,0,6"),
            ];
            if !request.header("x-token-count").is_empty() {
                if self.stream(&mut line, &request, &headers).is_err() {
                    return;
                }
                continue;
            }
            let body = format!("answer to {id}");
            if line
                .write("HTTP/1.1 200 OK", &headers, body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    /// Answers with a stream of events. With `Last-Event-Id` it goes on after that event.
    fn stream(
        &self,
        line: &mut Line,
        request: &Message,
        headers: &[(&str, &str)],
    ) -> std::io::Result<()> {
        let mut text = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("Transfer-Encoding: chunked\r\n\r\n");
        line.stream.write_all(text.as_bytes())?;
        let after = request.header("last-event-id").parse().unwrap_or(0);
        let pace = Duration::from_millis(self.pace_ms.load(Ordering::Relaxed) as u64);
        let count = self.streams.fetch_add(1, Ordering::Relaxed);
        let breaks_off = self.breaks_off.load(Ordering::Relaxed) && count % BREAK_EVERY == 0;
        for number in after + 1..=EVENTS {
            let mut event = format!("id: {number}\ndata: piece {number}\n\n");
            if self.sends_comments.load(Ordering::Relaxed) && number % COMMENT_EVERY == 0 {
                event.push_str(": still at work\n\n");
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            line.stream.write_all(chunk.as_bytes())?;
            if !pace.is_zero() {
                std::thread::sleep(pace);
            }
            if breaks_off && number == BREAK_AFTER {
                self.broken_off.fetch_add(1, Ordering::Relaxed);
                let id = request.header("x-attempt-id");
                self.record.note(&format!(
                    "runner {} breaks {id} off after event {number}",
                    self.id
                ));
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
        }
        line.stream.write_all(b"0\r\n\r\n")
    }
}
