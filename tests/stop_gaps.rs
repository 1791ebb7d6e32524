//! Gaps of a graceful shutdown in which requests or tokens are lost: work in progress is not waited for, requests that
//! have arrived are not read, and grants that were given back are acquired again.

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

const LARGE_BUDGET: u64 = 1_000_000;
/// Flags with which a shutdown abandons requests in progress 0.85 s after the signal.
const SHORT_GRACE: [&str; 4] = ["--keep", "200", "--grace", "1000"];

/// Reads a counter of a gateway; 0 if the metrics endpoint does not answer.
async fn counter(metrics: SocketAddr, name: &str) -> u64 {
    let Some(answer) = try_ask(metrics, &Ask::get("/metrics")).await else {
        return 0;
    };
    let prefix = format!("lanedeck_{name}_total ");
    let mut values = answer
        .body
        .lines()
        .filter_map(|line| line.strip_prefix(&prefix));
    values.next().map_or(0, |value| value.parse().unwrap())
}

fn is_complete(answer: Option<&Answer>) -> bool {
    answer.is_some_and(|answer| answer.is_whole)
}

/// Guards against a request that is not abandoned at the end of a shutdown because it waits for tokens:
/// `Exchange::begin` would wait for a fifth of the route's latency objective, regardless of the deadline and the
/// shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn stop_amid_grant() {
    let engine = Runner::start("i-e").await;
    let mut slow = config(1, LARGE_BUDGET);
    for route in slow["routes"].as_array_mut().unwrap() {
        route["goalMs"] = 20_000.into();
    }
    let runners = [("engine", &engine)];
    let mut deployment = Deployment::start_with(1, &slow, &runners, &SHORT_GRACE).await;
    let gateway = &deployment.gateways[0];
    let (front, metrics) = (gateway.front, gateway.metrics);
    // A store that does not answer may still grant the tokens; one that refuses would not be waited for.
    deployment.store.set_fault(gateway.store, Fault::Silent);
    let request = Ask::talk("w", "/talk/x", 600_000, 50);
    let asked = tokio::spawn(async move { try_ask(front, &request).await });
    until(|| async { counter(metrics, "requests").await > 0 }).await;
    deployment.gateways[0].signal("TERM");
    let answer = asked.await.unwrap();
    deployment.wait_end().await;
    assert!(
        is_complete(answer.as_ref()),
        "a complete request that waits for tokens ends without an answer"
    );
}

/// A listener whose accept queue is full, so that a connect to its address hangs.
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
        // The connect is pending or already in the queue.
        let _ = filler.connect(&address);
        sockets.push(filler);
    }
    (address.as_socket().unwrap(), sockets)
}

/// Guards against a request that is not abandoned at the end of a shutdown because it waits for a connection to a
/// target: a connect may take 0.4 s, while the shutdown reserves 0.15 s for its last answers.
#[tokio::test(flavor = "multi_thread")]
async fn stop_amid_connect() {
    const TARGETS: usize = 6;
    let mut deployment =
        Deployment::start_with(1, &config(1, LARGE_BUDGET), &[], &SHORT_GRACE).await;
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
        is_complete(answer.as_ref()),
        "a complete request that waits for a connection ends without an answer"
    );
}

/// What a caller received in answer to a complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    Complete,
    /// A complete answer, followed by a connection reset instead of an orderly close.
    CompleteThenReset,
    Incomplete,
}

/// Reads an answer up to the end of the connection.
async fn read_answer(stream: &mut TcpStream) -> Received {
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let is_complete = text.split_once("\r\n\r\n").is_some_and(|(head, body)| {
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        length.is_none_or(|length| length.parse() == Ok(body.len()))
    });
    match (is_complete, ended.is_ok()) {
        (true, true) => Received::Complete,
        (true, false) => Received::CompleteThenReset,
        (false, _) => Received::Incomplete,
    }
}

fn head(id: &str, key: &str, headers: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 4000\r\n\
         authorization: Bearer {key}\r\n{headers}\r\n",
        deployment::HOST
    )
}

/// Guards against requests that have arrived in full when the server closes but are not read, on new and on keep-alive
/// connections: the close would act on an outdated state of the socket and discard their bytes. SIGSTOP and SIGCONT
/// simulate a long iteration of the event loop.
#[tokio::test(flavor = "multi_thread")]
async fn arrived_at_close() {
    const CONNECTIONS: usize = 8;
    let app = Runner::start("i-app").await;
    let flags = ["--keep", "200", "--grace", "20000"];
    let mut deployment =
        Deployment::start_with(1, &config(1, LARGE_BUDGET), &[("app", &app)], &flags).await;
    let front = deployment.gateways[0].front;
    let mut kept = Vec::new();
    for number in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(front).await.unwrap();
        let before = head(
            &format!("before{number}"),
            deployment::KEY,
            "content-length: 0\r\n",
        );
        stream.write_all(before.as_bytes()).await.unwrap();
        let mut answer = [0; 4_096];
        assert!(stream.read(&mut answer).await.unwrap() > 0);
        kept.push(stream);
    }
    deployment.gateways[0].signal("TERM");
    deployment.gateways[0].signal("STOP");
    // Callers may still connect for 0.3 s, by addresses that they have cached.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut fresh = Vec::new();
    for _ in 0..CONNECTIONS {
        fresh.push(TcpStream::connect(front).await.unwrap());
    }
    for (number, stream) in kept.iter_mut().chain(&mut fresh).enumerate() {
        let request = head(
            &format!("during{number}"),
            deployment::KEY,
            "content-length: 0\r\n",
        );
        stream.write_all(request.as_bytes()).await.unwrap();
    }
    deployment.gateways[0].signal("CONT");
    let mut received = [Vec::new(), Vec::new()];
    for (kind, streams) in [&mut kept, &mut fresh].into_iter().enumerate() {
        for stream in streams {
            received[kind].push(read_answer(stream).await);
        }
    }
    deployment.wait_end().await;
    println!("kept {:?}\nfresh {:?}", received[0], received[1]);
    assert_eq!(
        received[0],
        [Received::Complete; CONNECTIONS],
        "on keep-alive connections"
    );
    assert_eq!(
        received[1],
        [Received::Complete; CONNECTIONS],
        "on new connections"
    );
}

/// Sends half a head before the server closes, and the rest after. Returns what the caller receives. `has_served` makes
/// it a keep-alive connection that has served a request before.
async fn half_head(has_served: bool) -> Received {
    let app = Runner::start("i-app").await;
    let flags = ["--keep", "200", "--grace", "20000"];
    let mut deployment =
        Deployment::start_with(1, &config(1, LARGE_BUDGET), &[("app", &app)], &flags).await;
    let front = deployment.gateways[0].front;
    let mut stream = TcpStream::connect(front).await.unwrap();
    if has_served {
        let before = head("before", deployment::KEY, "content-length: 0\r\n");
        stream.write_all(before.as_bytes()).await.unwrap();
        let mut answer = [0; 4_096];
        assert!(stream.read(&mut answer).await.unwrap() > 0);
    }
    let request = head("half", deployment::KEY, "content-length: 0\r\n");
    let (first, rest) = request.split_at(request.len() / 2);
    stream.write_all(first.as_bytes()).await.unwrap();
    // Long enough for the gateway to read it.
    tokio::time::sleep(Duration::from_millis(100)).await;
    deployment.gateways[0].signal("TERM");
    until(|| async { TcpStream::connect(front).await.is_err() }).await;
    // The connection may be closed; the read shows that.
    let _ = stream.write_all(rest.as_bytes()).await;
    let received = read_answer(&mut stream).await;
    deployment.wait_end().await;
    received
}

/// On a new connection the server waits for the rest of the head.
#[tokio::test(flavor = "multi_thread")]
async fn half_head_new() {
    assert_eq!(half_head(false).await, Received::Complete);
}

/// On a keep-alive connection the server waits as well. Guards against the HTTP library, which considers the connection
/// idle until the head is complete, and would close it although it has read half of the head.
#[tokio::test(flavor = "multi_thread")]
async fn half_head_kept() {
    assert_eq!(half_head(true).await, Received::Complete);
}

/// The statuses that callers of a gateway receive during its shutdown if their requests, with bodies of length `len`
/// below the configured `limit`, are refused before they have been read in full. The status is 0 without an answer.
async fn refused_bodies(len: usize, limit: usize) -> [u16; 20] {
    let app = Runner::start("i-app").await;
    app.set(Mode::Hang);
    let mut config = config(1, LARGE_BUDGET);
    config["limits"]["maxBodyBytes"] = limit.into();
    let flags = ["--keep", "200", "--grace", "6000"];
    let deployment = Deployment::start_with(1, &config, &[("app", &app)], &flags).await;
    let gateway = &deployment.gateways[0];
    let front = gateway.front;
    // This request keeps the shutdown from completing.
    let pending = tokio::spawn(async move { try_ask(front, &Ask::new("h", "/once/x")).await });
    until(|| async { app.runs() > 0 }).await;
    gateway.signal("TERM");
    // Wait until requests that may take too long are refused.
    until(|| async {
        let late = Ask::new("late", "/often/x").with("x-deadline-ms", "20000");
        let answer = tokio::time::timeout(Duration::from_millis(300), try_ask(front, &late)).await;
        matches!(answer, Ok(Some(answer)) if answer.status == 503)
    })
    .await;
    let mut statuses = [0; 20];
    for (number, status) in statuses.iter_mut().enumerate() {
        let request = Ask::new(&format!("r{number}"), "/once/x").post(&"x".repeat(len));
        if let Some(answer) = try_ask(front, &request).await {
            *status = answer.status;
        }
    }
    pending.abort();
    statuses
}

/// Guards against the loss of a refusal that is sent before a long body has been read: if the connection is closed with
/// unread bytes, it is reset while the caller is still writing. During a shutdown the refusal must reach the caller.
/// Bodies of up to 60,000 bytes were not affected.
#[tokio::test(flavor = "multi_thread")]
async fn long_body_refused() {
    assert_eq!(refused_bodies(4_000_000, 4 << 20).await, [503; 20]);
}

/// The same if the configuration allows bodies longer than 4 MiB. Guards against a fixed limit of 4 MiB on the bytes
/// that are discarded after a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn longer_body_refused() {
    assert_eq!(refused_bodies(8_000_000, 16 << 20).await, [503; 20]);
}

/// During a shutdown each transfer of tokens to the router is accepted, declined, or refused at the connection: the
/// tokens of a transfer without an answer are lost to the sender. Guards against a link that accepts requests until the
/// exit, which would interrupt the one in progress.
#[tokio::test(flavor = "multi_thread")]
async fn transfer_at_exit() {
    let app = Runner::start("i-app").await;
    let engine = Runner::start("i-e").await;
    let runners = [("app", &app), ("engine", &engine)];
    let mut deployment =
        Deployment::start_with(1, &config(1, LARGE_BUDGET), &runners, &SHORT_GRACE).await;
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
    assert_eq!(lost, 0, "transfers without an answer");
}

/// The behavior of a [`StoreProxy`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// All calls are forwarded.
    Forward,
    /// Reads of the first customer's rows are held.
    Hold,
    /// Held reads wait until the next append to these rows. Calls for the second customer's rows get no answer.
    Stop,
    /// Held reads are forwarded.
    Release,
}

/// A proxy in front of the store that delays calls.
struct StoreProxy {
    store: SocketAddr,
    phase: watch::Sender<Phase>,
    held_reads: AtomicUsize,
    /// Query parameters of the partitions of the two customers.
    partitions: [String; 2],
}

impl StoreProxy {
    async fn forward(
        &self,
        request: hyper::Request<Incoming>,
    ) -> Result<server::Reply, server::ConnectionClosed> {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let is_for =
            |partition: &str| query.contains("topic=keyed.prepaid") && query.contains(partition);
        let [first, second] = self
            .partitions
            .each_ref()
            .map(|partition| is_for(partition));
        let is_append = request.uri().path() == "/api/log-append";
        let mut phase = self.phase.subscribe();
        if first && !is_append && *phase.borrow() == Phase::Hold {
            self.held_reads.fetch_add(1, Ordering::SeqCst);
            phase
                .wait_for(|phase| *phase == Phase::Release)
                .await
                .unwrap();
        }
        if second && *phase.borrow() != Phase::Forward {
            std::future::pending::<()>().await;
        }
        let (parts, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|_| server::ConnectionClosed)?
            .to_bytes();
        let mut connection = net::open(self.store, LONG, LONG).await.unwrap();
        let request = http::Request::from_parts(parts, Full::new(body));
        let (parts, body) = connection.send(request).await.unwrap().into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        if first && is_append && *phase.borrow() == Phase::Stop {
            self.phase.send_replace(Phase::Release);
        }
        let mut reply = http::Response::new(server::Body::Whole(Full::new(body)));
        *reply.status_mut() = parts.status;
        Ok(reply)
    }
}

fn partition_of(customer: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(customer.as_bytes()) % 2
}

/// Guards against a renewal that acquires a grant again after it was given back: if a renewal checks for the shutdown
/// only before it begins, it may read, lose the race against the row that gives the grant back, and then overwrite that
/// row. The tokens that it grants are lost with the process.
#[tokio::test(flavor = "multi_thread")]
async fn renewal_after_return() {
    const PREPAID: u64 = 100_000;
    let first = deployment::CUSTOMER;
    let mut names = (0..).map(|number| format!("c{number}"));
    let second = names
        .find(|name| partition_of(name) != partition_of(first))
        .unwrap();
    let mut config = config(1, PREPAID);
    let other = json!({ "name": second, "apiKeys": ["other"], "priority": 1, "prepaid": PREPAID });
    config["tenants"].as_array_mut().unwrap().push(other);
    let engine = Runner::start("i-e").await;
    let mut deployment = Deployment::start_with(0, &config, &[("engine", &engine)], &[]).await;
    let store = deployment.store.open().await;
    let proxy = Arc::new(StoreProxy {
        store,
        phase: watch::Sender::new(Phase::Forward),
        held_reads: AtomicUsize::new(0),
        partitions: [first, &second].map(|name| format!("part={}", partition_of(name))),
    });
    let forwarding = Arc::clone(&proxy);
    let address = server::serve(move |_, request| {
        let proxy = Arc::clone(&forwarding);
        async move { proxy.forward(request).await }
    })
    .await;
    let flags = ["--keep", "100", "--grace", "20000", "--partitions", "2"];
    deployment.add_with_store("g0", address, &flags);
    deployment.wait_ready().await;
    until(|| async { row(store, first).await.is_some() && row(store, &second).await.is_some() })
        .await;
    proxy.phase.send_replace(Phase::Hold);
    let front = deployment.gateways[0].front;
    let mut number = 0;
    while proxy.held_reads.load(Ordering::SeqCst) == 0 {
        number += 1;
        let request = Ask::talk(&format!("s{number}"), "/talk/x", 100, 50);
        try_ask(front, &request).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    proxy.phase.send_replace(Phase::Stop);
    deployment.gateways[0].signal("TERM");
    deployment.wait_end().await;
    assert_eq!(
        *proxy.phase.borrow(),
        Phase::Release,
        "grants were given back"
    );
    let last = row(store, first).await.unwrap();
    assert_eq!(
        last.granted, last.spent,
        "no tokens are granted to a process that has exited"
    );
}

/// The row of a customer at the only gateway.
async fn row(store: SocketAddr, customer: &str) -> Option<Row> {
    let partition = partition_of(customer);
    let ask = Ask::get(&format!(
        "/api/log-newest?topic=keyed.prepaid&part={partition}"
    ));
    let answer = try_ask(store, &ask).await?;
    let page: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    let items = page["items"].as_array().unwrap();
    let key = format!("{customer}/g0");
    let item = items.iter().find(|item| item["key"] == key.as_str())?;
    let value = STANDARD.decode(item["value"].as_str().unwrap()).unwrap();
    Row::decode(&value)
}
