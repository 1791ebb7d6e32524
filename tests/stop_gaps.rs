//! Gaps of a planned stop, each found by looking for the cause of a lost request elsewhere: what has begun is
//! not waited for, what has arrived is not read, and what was given back is taken again.

mod deployment;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use deployment::runner::{Mode, Runner};
use deployment::store::Fault;
use deployment::{Answer, Ask, Deployment, LONG, config, server, try_ask, until};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use lanedeck::gateway::escrow::Row;
use lanedeck::gateway::message::{Reply, Request};
use lanedeck::net;
use lanedeck::units::Tokens;
use lanedeck::wire::{self, NoReply};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const PLENTY: u64 = 1_000_000;
/// A stop gives up what is under way 0.85 s after the signal.
const SHORT: [&str; 4] = ["--keep", "200", "--grace", "1000"];

/// A counter of a gateway.
async fn counter(metrics: SocketAddr, name: &str) -> u64 {
    let Some(answer) = try_ask(metrics, &Ask::get("/metrics")).await else {
        return 0;
    };
    let line = format!("lanedeck_{name}_total ");
    let mut values = answer
        .body
        .lines()
        .filter_map(|text| text.strip_prefix(&line));
    values.next().map_or(0, |value| value.parse().unwrap())
}

fn is_final(answer: Option<&Answer>) -> bool {
    answer.is_some_and(|answer| answer.is_whole)
}

/// A request that waits for tokens is not given up at the end of a stop: `Exchange::begin` waits a fifth
/// of the route's latency objective, whatever the deadline and the stop say.
#[tokio::test(flavor = "multi_thread")]
async fn stop_amid_grant() {
    let engine = Runner::start("i-e").await;
    let mut slow = config(1, PLENTY);
    for route in slow["routes"].as_array_mut().unwrap() {
        route["goalMs"] = 20_000.into();
    }
    let runners = [("engine", &engine)];
    let mut deployment = Deployment::start_with(1, &slow, &runners, &SHORT).await;
    let gateway = &deployment.gateways[0];
    let (front, metrics) = (gateway.front, gateway.metrics);
    // Who says nothing may still grant them; who refuses is not waited for.
    deployment.store.set_fault(gateway.store, Fault::Silent);
    let request = Ask::talk("w", "/talk/x", 600_000, 50);
    let asked = tokio::spawn(async move { try_ask(front, &request).await });
    until(|| async { counter(metrics, "requests").await > 0 }).await;
    deployment.gateways[0].signal("TERM");
    let answer = asked.await.unwrap();
    deployment.wait_end().await;
    assert!(
        is_final(answer.as_ref()),
        "a whole request that waits for tokens ends without an answer"
    );
}

/// An address whose host takes no connection: its queue is full, so a connect waits.
fn full_queue() -> (SocketAddr, Vec<socket2::Socket>) {
    use socket2::{Domain, Socket, Type};
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    listener.bind(&any.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let mut sockets = vec![listener];
    for _ in 0..4 {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        filler.set_nonblocking(true).unwrap();
        // It is on its way, or in the queue.
        let _ = filler.connect(&address);
        sockets.push(filler);
    }
    (address.as_socket().unwrap(), sockets)
}

/// Nor is one whose connection to a target is on its way: a connect has 0.4 s, the last answers 0.15 s.
#[tokio::test(flavor = "multi_thread")]
async fn stop_amid_connect() {
    const TARGETS: usize = 6;
    let mut deployment = Deployment::start_with(1, &config(1, PLENTY), &[], &SHORT).await;
    let queues: Vec<_> = (0..TARGETS).map(|_| full_queue()).collect();
    for (number, (address, _)) in queues.iter().enumerate() {
        let entry = json!({
            "service": "app", "address": address, "zone": "hall", "version": "v1",
            "slots": 64, "state": "ready", "coldLeftMs": 0, "sequence": 1,
        });
        deployment
            .store
            .put("keyed.servers", &format!("i-{number}"), Some(&entry));
    }
    // The list of targets is read twice a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let gateway = &deployment.gateways[0];
    let (front, metrics) = (gateway.front, gateway.metrics);
    let asked = tokio::spawn(async move { try_ask(front, &Ask::new("c", "/once/x")).await });
    until(|| async { counter(metrics, "connects").await > 0 }).await;
    deployment.gateways[0].signal("TERM");
    let answer = asked.await.unwrap();
    deployment.wait_end().await;
    assert!(
        is_final(answer.as_ref()),
        "a whole request that waits for a connection ends without an answer"
    );
}

/// What a caller saw of a whole request that it sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Whole,
    /// An answer, and then a reset in place of the connection's end.
    WholeThenReset,
    Nothing,
}

/// Reads an answer with a length up to the connection's end.
async fn read_answer(line: &mut TcpStream) -> Seen {
    let mut bytes = Vec::new();
    let ended = line.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let whole = text.split_once("\r\n\r\n").is_some_and(|(head, body)| {
        let length = head
            .lines()
            .find_map(|text| text.strip_prefix("content-length: "));
        length.is_none_or(|length| length.parse() == Ok(body.len()))
    });
    match (whole, ended.is_ok()) {
        (true, true) => Seen::Whole,
        (true, false) => Seen::WholeThenReset,
        (false, _) => Seen::Nothing,
    }
}

fn head(id: &str, key: &str, more: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 4000\r\n\
         authorization: Bearer {key}\r\n{more}\r\n",
        deployment::HOST
    )
}

/// Requests that have arrived whole when the server closes are not read, on new connections and on kept ones:
/// the close acts on what was known of a socket before, and closes it over their bytes. The signals that hold
/// the process stand for a turn of its loop that takes long.
#[tokio::test(flavor = "multi_thread")]
async fn arrived_at_close() {
    const LINES: usize = 8;
    let app = Runner::start("i-app").await;
    let flags = ["--keep", "200", "--grace", "20000"];
    let mut deployment =
        Deployment::start_with(1, &config(1, PLENTY), &[("app", &app)], &flags).await;
    let front = deployment.gateways[0].front;
    let mut kept = Vec::new();
    for number in 0..LINES {
        let mut line = TcpStream::connect(front).await.unwrap();
        let before = head(
            &format!("before{number}"),
            deployment::KEY,
            "content-length: 0\r\n",
        );
        line.write_all(before.as_bytes()).await.unwrap();
        let mut answer = [0; 4_096];
        assert!(line.read(&mut answer).await.unwrap() > 0);
        kept.push(line);
    }
    deployment.gateways[0].signal("TERM");
    deployment.gateways[0].signal("STOP");
    // Callers may still come by their addresses for 0.3 s.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut fresh = Vec::new();
    for _ in 0..LINES {
        fresh.push(TcpStream::connect(front).await.unwrap());
    }
    for (number, line) in kept.iter_mut().chain(&mut fresh).enumerate() {
        let whole = head(
            &format!("during{number}"),
            deployment::KEY,
            "content-length: 0\r\n",
        );
        line.write_all(whole.as_bytes()).await.unwrap();
    }
    deployment.gateways[0].signal("CONT");
    let mut seen = [Vec::new(), Vec::new()];
    for (kind, lines) in [&mut kept, &mut fresh].into_iter().enumerate() {
        for line in lines {
            seen[kind].push(read_answer(line).await);
        }
    }
    deployment.wait_end().await;
    println!("kept {:?}\nfresh {:?}", seen[0], seen[1]);
    assert_eq!(seen[0], [Seen::Whole; LINES], "on kept connections");
    assert_eq!(seen[1], [Seen::Whole; LINES], "on new connections");
}

/// A connection with half a head at the close of the server, and what its caller sees once it sends the rest.
async fn half_head(has_served: bool) -> Seen {
    let app = Runner::start("i-app").await;
    let flags = ["--keep", "200", "--grace", "20000"];
    let mut deployment =
        Deployment::start_with(1, &config(1, PLENTY), &[("app", &app)], &flags).await;
    let front = deployment.gateways[0].front;
    let mut line = TcpStream::connect(front).await.unwrap();
    if has_served {
        let before = head("before", deployment::KEY, "content-length: 0\r\n");
        line.write_all(before.as_bytes()).await.unwrap();
        let mut answer = [0; 4_096];
        assert!(line.read(&mut answer).await.unwrap() > 0);
    }
    let whole = head("half", deployment::KEY, "content-length: 0\r\n");
    let (first, rest) = whole.split_at(whole.len() / 2);
    line.write_all(first.as_bytes()).await.unwrap();
    // Long enough to be read.
    tokio::time::sleep(Duration::from_millis(100)).await;
    deployment.gateways[0].signal("TERM");
    until(|| async { TcpStream::connect(front).await.is_err() }).await;
    // Its connection may be gone, as what is read shows.
    let _ = line.write_all(rest.as_bytes()).await;
    let seen = read_answer(&mut line).await;
    deployment.wait_end().await;
    seen
}

/// On a new connection the rest is waited for.
#[tokio::test(flavor = "multi_thread")]
async fn half_head_new() {
    assert_eq!(half_head(false).await, Seen::Whole);
}

/// On a kept connection it was not: the library counts it as idle until its head is whole, and closed it
/// over the half that it had read.
#[tokio::test(flavor = "multi_thread")]
async fn half_head_kept() {
    assert_eq!(half_head(true).await, Seen::Whole);
}

/// What callers of a stopping gateway see whose bodies of this length are within the configuration's limit, and
/// whose requests are refused before they are whole.
async fn refused_bodies(len: usize, limit: usize) -> [u16; 20] {
    let app = Runner::start("i-app").await;
    app.set(Mode::Mute);
    let mut wide = config(1, PLENTY);
    wide["limits"]["maxBodyBytes"] = limit.into();
    let flags = ["--keep", "200", "--grace", "6000"];
    let deployment = Deployment::start_with(1, &wide, &[("app", &app)], &flags).await;
    let gateway = &deployment.gateways[0];
    let front = gateway.front;
    // It holds the stop open.
    let held = tokio::spawn(async move { try_ask(front, &Ask::new("h", "/once/x")).await });
    until(|| async { app.runs() > 0 }).await;
    gateway.signal("TERM");
    // From then on what may take too long is refused.
    until(|| async {
        let late = Ask::new("late", "/often/x").with("x-deadline-ms", "20000");
        let answer = tokio::time::timeout(Duration::from_millis(300), try_ask(front, &late)).await;
        matches!(answer, Ok(Some(answer)) if answer.status == 503)
    })
    .await;
    let mut seen = [0; 20];
    for (number, status) in seen.iter_mut().enumerate() {
        let request = Ask::new(&format!("r{number}"), "/once/x").post(&"x".repeat(len));
        if let Some(answer) = try_ask(front, &request).await {
            *status = answer.status;
        }
    }
    held.abort();
    seen
}

/// A refusal before a long body was read did not arrive: the connection was closed over the body's bytes and
/// so was reset, while its caller still wrote. At a stop the refusal is a promise. Up to 60,000 bytes nothing
/// was lost.
#[tokio::test(flavor = "multi_thread")]
async fn long_body_refused() {
    assert_eq!(refused_bodies(4_000_000, 4 << 20).await, [503; 20]);
}

/// The same where the configuration allows more than the 4 MiB that were discarded at first.
#[tokio::test(flavor = "multi_thread")]
async fn longer_body_refused() {
    assert_eq!(refused_bodies(8_000_000, 16 << 20).await, [503; 20]);
}

/// Until a router that stops is gone, each gift to it is declined or cannot arrive: one without an answer is
/// lost at its giver. The link's door is open until the exit, which breaks off the question in hand.
#[tokio::test(flavor = "multi_thread")]
async fn gift_at_exit() {
    let app = Runner::start("i-app").await;
    let engine = Runner::start("i-e").await;
    let runners = [("app", &app), ("engine", &engine)];
    let mut deployment = Deployment::start_with(1, &config(1, PLENTY), &runners, &SHORT).await;
    let link = deployment.gateways[0].link;
    let peers = wire::Client::new("lanedeck-fleet");
    deployment.gateways[0].signal("TERM");
    let mut lost = 0;
    loop {
        let request = Request::Give {
            customer: deployment::CUSTOMER.to_owned(),
            tokens: Tokens(1),
        };
        match peers.ask::<Request, Reply>(link, &request).await {
            Ok(Reply::Taken | Reply::Declined) => {}
            Err(NoReply::Refused) => break,
            other => {
                println!("{other:?}");
                lost += 1;
            }
        }
    }
    deployment.wait_end().await;
    assert_eq!(lost, 0, "gifts whose giver cannot tell");
}

/// What the store before the store does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It passes all on.
    Pass,
    /// Reads of the first customer's rows wait.
    Hold,
    /// Those wait until the next append to these rows; calls about the second's rows have no answer.
    Stop,
    /// What waited goes on.
    Release,
}

struct Gate {
    store: SocketAddr,
    phase: watch::Sender<Phase>,
    held: AtomicUsize,
    parts: [String; 2],
}

impl Gate {
    async fn pass(&self, request: hyper::Request<Incoming>) -> Result<server::Reply, server::Gone> {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let is_about = |part: &str| query.contains("topic=keyed.prepaid") && query.contains(part);
        let [first, second] = self.parts.each_ref().map(|part| is_about(part));
        let is_append = request.uri().path() == "/api/log-append";
        let mut phase = self.phase.subscribe();
        if first && !is_append && *phase.borrow() == Phase::Hold {
            self.held.fetch_add(1, Ordering::SeqCst);
            phase
                .wait_for(|phase| *phase == Phase::Release)
                .await
                .unwrap();
        }
        if second && *phase.borrow() != Phase::Pass {
            std::future::pending::<()>().await;
        }
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| server::Gone)?.to_bytes();
        let mut line = net::open(self.store, LONG, LONG).await.unwrap();
        let request = http::Request::from_parts(parts, Full::new(body));
        let (parts, body) = line.send(request).await.unwrap().into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        if first && is_append && *phase.borrow() == Phase::Stop {
            self.phase.send_replace(Phase::Release);
        }
        let mut reply = http::Response::new(server::Body::Whole(Full::new(body)));
        *reply.status_mut() = parts.status;
        Ok(reply)
    }
}

fn part_of(customer: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(customer.as_bytes()) % 2
}

/// A grant that is being renewed when grants are given back is taken again after it was given back: the
/// renewal looks at the stop before it begins, and then reads, loses to the row that gives back, and writes
/// its own over it. What it grants is lost with the process.
#[tokio::test(flavor = "multi_thread")]
async fn renewal_after_return() {
    const PREPAID: u64 = 100_000;
    let first = deployment::CUSTOMER;
    let mut names = (0..).map(|number| format!("c{number}"));
    let second = names.find(|name| part_of(name) != part_of(first)).unwrap();
    let mut two = config(1, PREPAID);
    let other = json!({ "name": second, "apiKeys": ["other"], "priority": 1, "prepaid": PREPAID });
    two["tenants"].as_array_mut().unwrap().push(other);
    let engine = Runner::start("i-e").await;
    let mut deployment = Deployment::start_with(0, &two, &[("engine", &engine)], &[]).await;
    let store = deployment.store.open().await;
    let gate = Arc::new(Gate {
        store,
        phase: watch::Sender::new(Phase::Pass),
        held: AtomicUsize::new(0),
        parts: [first, &second].map(|name| format!("part={}", part_of(name))),
    });
    let passing = Arc::clone(&gate);
    let address = server::serve(move |_, request| {
        let gate = Arc::clone(&passing);
        async move { gate.pass(request).await }
    })
    .await;
    let flags = ["--keep", "100", "--grace", "20000", "--partitions", "2"];
    deployment.add_at("g0", address, &flags);
    deployment.wait_ready().await;
    until(|| async { row(store, first).await.is_some() && row(store, &second).await.is_some() })
        .await;
    gate.phase.send_replace(Phase::Hold);
    let front = deployment.gateways[0].front;
    let mut number = 0;
    while gate.held.load(Ordering::SeqCst) == 0 {
        number += 1;
        let request = Ask::talk(&format!("s{number}"), "/talk/x", 100, 50);
        try_ask(front, &request).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    gate.phase.send_replace(Phase::Stop);
    deployment.gateways[0].signal("TERM");
    deployment.wait_end().await;
    assert_eq!(
        *gate.phase.borrow(),
        Phase::Release,
        "grants were given back"
    );
    let last = row(store, first).await.unwrap();
    assert_eq!(
        last.granted, last.spent,
        "nothing is granted to a process that is gone"
    );
}

/// The only gateway's row of a customer.
async fn row(store: SocketAddr, customer: &str) -> Option<Row> {
    let part = part_of(customer);
    let ask = Ask::get(&format!("/api/log-newest?topic=keyed.prepaid&part={part}"));
    let answer = try_ask(store, &ask).await?;
    let page: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    let items = page["items"].as_array().unwrap();
    let key = format!("{customer}/g0");
    let item = items.iter().find(|item| item["key"] == key.as_str())?;
    let value = STANDARD.decode(item["value"].as_str().unwrap()).unwrap();
    Row::decode(&value)
}
