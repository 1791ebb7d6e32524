//! The cases, and the check of each.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Folder, Gateway};
use crate::http::{Line, Message};
use crate::path::Path;
use crate::runner::{self, Manner, Runs};
use crate::store::Store;

/// The outcome of a case.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Runs a case, and writes what was sent, answered and run into a file.
pub fn run(case: &str, record: &str, with_trouble: bool) -> io::Result<Verdict> {
    let mut record = File::create(record)?;
    match case {
        "surplus-refusal" => surplus_refusal(&mut record, with_trouble),
        "repeated-refusal" => repeated_refusal(&mut record, with_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The runners of the cases.
const IDS: [&str; 4] = ["i-7f3a91c2", "i-02d9e6b4", "i-51c08e77", "i-c3d4190a"];
const HOST: &str = "ficu95.example";

/// A configuration with one route of non-idempotent requests.
fn config(max_attempts: u32) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-issue\",\"host\":\"{HOST}\",\"pathPrefix\":\"/issue/\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":600,\"goalMs\":100,\"priority\":2,\"service\":\"kassa-app\",\
         \"maxAttempts\":{max_attempts},\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"kassa-app\",\"healthPath\":\"/healthz\",\"maxConns\":100,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// A client that keeps its connection.
struct Client {
    address: SocketAddr,
    line: Option<Line>,
}

impl Client {
    fn ask(&mut self, id: &str, path: &str, deadline_ms: u64) -> io::Result<Option<Message>> {
        let mut line = match self.line.take() {
            Some(line) => line,
            None => Line::open(self.address, Duration::from_secs(1))?,
        };
        line.stream
            .set_read_timeout(Some(Duration::from_millis(deadline_ms + 500)))?;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
        );
        line.write(head.as_bytes())?;
        let answer = line.read(true)?;
        let keeps = answer
            .as_ref()
            .is_some_and(|answer| answer.is_whole && answer.header("connection") != Some("close"));
        if keeps {
            self.line = Some(line);
        }
        Ok(answer)
    }
}

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const ORDERS: usize = 2_000;
const CLIENTS: usize = 8;
/// Two of four runners send a surplus answer after this part of its answers.
const SURPLUS_ONE_IN: usize = 50;

/// Id, path and status of an answered request; the status is 0 if there was no answer.
type Answer = (String, String, u16);

/// Sends the orders of one client.
fn issue_orders(front: SocketAddr, client: usize) -> Vec<Answer> {
    let mut connection = Client {
        address: front,
        line: None,
    };
    let orders = (client..ORDERS).step_by(CLIENTS);
    orders
        .flat_map(|order| issue(&mut connection, order))
        .collect()
}

/// Sends an order, and once more if it is promised that it will not run.
fn issue(connection: &mut Client, order: usize) -> Vec<Answer> {
    let path = format!("/issue/{order}");
    let mut answers = Vec::new();
    for attempt in ["a", "b"] {
        let id = format!("{order:08x}{attempt}");
        let status = match connection.ask(&id, &path, 600) {
            Ok(Some(answer)) => answer.status(),
            Ok(None) | Err(_) => 0,
        };
        answers.push((id, path.clone(), status));
        if !PROMISES.contains(&status) {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    answers
}

/// REFUSED: two runners of four now and then send a surplus answer.
fn surplus_refusal(record: &mut File, with_trouble: bool) -> io::Result<Verdict> {
    let folder = Folder::new()?;
    let store = Store::start()?;
    let runs = Runs::default();
    store.put("keyed.op", "config", &config(1));
    let faulty = match with_trouble {
        true => Manner::SurplusRefusal {
            one_in: SURPLUS_ONE_IN,
        },
        false => Manner::Sound,
    };
    let manners = [faulty, faulty, Manner::Sound, Manner::Sound];
    for (id, manner) in IDS.into_iter().zip(manners) {
        runner::start(id, "kassa-app", manner, &store, &runs)?;
    }
    let gateway = Gateway::start("front-hall-nacka-1", store.address, &folder.0)?;
    gateway.wait_ready()?;
    let front = gateway.front;
    let clients = (0..CLIENTS).map(|client| thread::spawn(move || issue_orders(front, client)));
    let clients: Vec<_> = clients.collect();
    let mut answers: Vec<Answer> = Vec::new();
    for client in clients {
        answers.extend(
            client
                .join()
                .map_err(|_| io::Error::other("a client panicked"))?,
        );
    }
    thread::sleep(Duration::from_millis(500));
    judge(record, &answers, &runs)
}

/// Records all requests, and checks that none has run that was answered with a promise.
fn judge(record: &mut File, answers: &[Answer], runs: &Runs) -> io::Result<Verdict> {
    let runs = runs.lock().expect("no thread panics");
    let mut run_at: HashMap<&str, Vec<&str>> = HashMap::new();
    for run in runs.iter() {
        run_at.entry(run.id.as_str()).or_default().push(&run.runner);
    }
    let mut broken = 0;
    for (id, path, status) in answers {
        let ran = run_at.get(id.as_str()).cloned().unwrap_or_default();
        let is_broken = PROMISES.contains(status) && !ran.is_empty();
        broken += usize::from(is_broken);
        let mark = if is_broken {
            "  REFUSED, and yet it has run"
        } else {
            ""
        };
        writeln!(
            record,
            "sent {id} POST {path}  answered {status}  run by {ran:?}{mark}"
        )?;
    }
    let mut by_path: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter() {
        *by_path.entry(run.path.as_str()).or_default() += 1;
    }
    let doubled = by_path.values().filter(|count| **count > 1).count();
    let refused = answers
        .iter()
        .filter(|(_, _, status)| PROMISES.contains(status))
        .count();
    let other = answers
        .iter()
        .filter(|(_, _, status)| *status != 200 && !PROMISES.contains(status))
        .count();
    let summary = format!(
        "{} requests, {refused} refused with a promise, {broken} of these have run; {other} others without success; \
         {doubled} orders were run twice",
        answers.len()
    );
    writeln!(record, "{summary}")?;
    println!("{summary}");
    if answers.iter().all(|(_, _, status)| *status != 200) {
        return Err(io::Error::other("no request was served"));
    }
    Ok(if broken > 0 {
        Verdict::Broken(summary)
    } else {
        Verdict::Held
    })
}

/// How long the clients of the second case send orders, and after which time the paths are cut.
const LASTS: Duration = Duration::from_secs(14);
const CUT_AFTER: Duration = Duration::from_secs(3);
/// The four runners refuse this part of the requests, and two of them repeat the refusal.
const REFUSED_ONE_IN: usize = 40;

/// REFUSED: one gateway of four loses its paths to the runners, which now and then are full; two of them repeat their
/// refusals.
fn repeated_refusal(record: &mut File, with_trouble: bool) -> io::Result<Verdict> {
    let folder = Folder::new()?;
    let store = Store::start()?;
    let runs = Runs::default();
    store.put("keyed.op", "config", &config(1));
    let manner = match with_trouble {
        true => Manner::RepeatedRefusal {
            one_in: REFUSED_ONE_IN,
        },
        false => Manner::Full {
            one_in: REFUSED_ONE_IN,
        },
    };
    let mut paths = Vec::new();
    let mut routes = Vec::new();
    let other = Manner::Full {
        one_in: REFUSED_ONE_IN,
    };
    let manners = [manner, manner, other, other];
    for (id, manner) in IDS.into_iter().zip(manners) {
        let address = runner::start(id, "kassa-app", manner, &store, &runs)?;
        let path = Path::start(address)?;
        routes.push((address, path.address));
        paths.push(path);
    }
    let seen_by_first = store.open_routed(routes)?;
    let seen = [
        seen_by_first.address,
        store.address,
        store.address,
        store.address,
    ];
    let mut gateways = Vec::new();
    for (number, store) in (1..).zip(seen) {
        let name = format!("front-hall-nacka-{number}");
        gateways.push(Gateway::start(&name, store, &folder.0)?);
    }
    for gateway in &gateways {
        gateway.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(3));
    let until = Instant::now() + LASTS;
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let clients = (0..CLIENTS).map(|client| {
        let front = fronts[client % fronts.len()];
        thread::spawn(move || issue_until(front, client, until))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(CUT_AFTER);
    if with_trouble {
        paths.iter().for_each(Path::cut);
    }
    let mut answers: Vec<Answer> = Vec::new();
    for client in clients {
        answers.extend(
            client
                .join()
                .map_err(|_| io::Error::other("a client panicked"))?,
        );
    }
    thread::sleep(Duration::from_millis(500));
    judge(record, &answers, &runs)
}

fn issue_until(front: SocketAddr, client: usize, until: Instant) -> Vec<Answer> {
    let mut connection = Client {
        address: front,
        line: None,
    };
    let mut answers = Vec::new();
    let mut order = client;
    while Instant::now() < until {
        answers.extend(issue(&mut connection, order));
        order += CLIENTS;
        thread::sleep(Duration::from_millis(5));
    }
    answers
}
