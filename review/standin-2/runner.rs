//! Runners: each keeps its entry in the store and serves one request at a time on a connection.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Line, Message};
use crate::store::Store;

/// A request that a runner has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub runner: String,
    pub id: String,
    pub path: String,
}

/// What the runners have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How a runner answers requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// It runs each request and answers it.
    Sound,
    /// After one in so many of its answers it sends a second, surplus answer, which arrives in the place of the next one
    /// due: the refusal of a runner that is full, as the published examples show it.
    SurplusRefusal { one_in: usize },
    /// It is full now and then and refuses one in so many requests.
    Full { one_in: usize },
    /// The same, and the refusal comes twice, the second time in the place of the next answer due.
    RepeatedRefusal { one_in: usize },
}

/// Starts a runner of a service, and lists it.
pub fn start(
    id: &str,
    service: &str,
    manner: Manner,
    store: &Store,
    runs: &Runs,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (listed, entry_id, entry_service) = (store.clone(), id.to_owned(), service.to_owned());
    put_entry(&listed, &entry_id, &entry_service, address, 1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            put_entry(&listed, &entry_id, &entry_service, address, sequence);
        }
    });
    let (id, runs) = (id.to_owned(), Arc::clone(runs));
    let answered = Arc::new(Mutex::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, answered) = (id.clone(), Arc::clone(&runs), Arc::clone(&answered));
            thread::spawn(move || {
                if let Ok(line) = Line::new(stream) {
                    // The gateway may close the connection at any time.
                    let _ = serve(line, &id, manner, &runs, &answered);
                }
            });
        }
    });
    Ok(address)
}

fn put_entry(store: &Store, id: &str, service: &str, address: SocketAddr, sequence: u64) {
    let entry = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hall-nacka\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{sequence}}}"
    );
    store.put("keyed.servers", id, &entry);
}

fn serve(
    mut line: Line,
    id: &str,
    manner: Manner,
    runs: &Runs,
    answered: &Mutex<usize>,
) -> io::Result<()> {
    let mut owes_surplus = false;
    while let Some(request) = line.read(false)? {
        if !request.is_whole {
            return Ok(());
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            line.write(&http::answer(
                "421 Misdirected Request",
                &[("X-Runner-Id", id)],
                b"",
            ))?;
            continue;
        }
        if std::mem::take(&mut owes_surplus) {
            line.write(&refusal())?;
        }
        let mut count = answered.lock().expect("no thread panics");
        *count += 1;
        let (is_full, sends_surplus) = match manner {
            Manner::Sound => (false, false),
            Manner::SurplusRefusal { one_in } => (false, *count % one_in == 0),
            Manner::Full { one_in } => (*count % one_in == 0, false),
            Manner::RepeatedRefusal { one_in } => (*count % one_in == 0, *count % one_in == 0),
        };
        drop(count);
        owes_surplus = sends_surplus;
        if is_full {
            line.write(&refusal())?;
        } else {
            line.write(&run(&request, id, runs))?;
        }
    }
    Ok(())
}

/// The refusal of a runner that is full, as the published examples show it.
fn refusal() -> Vec<u8> {
    http::answer("503 Service Unavailable", &[("X-Not-Executed", "1")], b"")
}

/// Runs a request, and returns its answer.
fn run(request: &Message, id: &str, runs: &Runs) -> Vec<u8> {
    let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
    runs.lock().expect("no thread panics").push(Run {
        runner: id.to_owned(),
        id: attempt.clone(),
        path: request.path().to_owned(),
    });
    thread::sleep(Duration::from_millis(5));
    let headers = [
        ("X-Attempt-Id", attempt.as_str()),
        ("X-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
    ];
    http::answer("200 OK", &headers, b"done")
}
