//! Every request that a router has read during its shutdown is answered or refused before the process exits. SIGHUP
//! does not stop it.
//!
//! Guards against a request that is sent in full but gets no byte of an answer: if a single check of the number of open
//! connections ends the shutdown while the listeners are still open, a connection may be accepted and its request read
//! between the check and the exit. Connections of peers were not counted at all. A connection that ends without an
//! answer shows which case occurred: it is reset if the request was never read, and closed in order if it was.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::area::{Area, FLEET_KEY, chat, key, send};
use http::Method;
use lanedeck::router::message::{Reply, Request};
use lanedeck::wire::{Client, NoReply};

const CHAT: &str = "/v1/chat/completions";
/// Longest wait for a process to exit, far longer than it should take.
const EXIT_MAX: Duration = Duration::from_secs(60);
/// Clients that send peer requests to a stopping router at the same time.
const PEER_CLIENTS: usize = 32;
/// Routers that are stopped at the same time, each with one caller.
const STOPPED_ROUTERS: usize = 4;
/// How often they are stopped. The critical moment is short, so only some shutdowns hit it.
const ROUNDS: usize = 5;

/// The outcome of a request on a connection of its own.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// A complete answer with this status.
    Answered(u16),
    /// The request was read, but no complete answer arrived.
    Unanswered,
    /// The request was not read.
    Unread,
    /// The connection was refused.
    Refused,
}

fn entry_request(key: &str) -> String {
    format!(
        "GET /v1/entry HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {key}\r\nconnection: close\r\n\r\n"
    )
}

fn exchange(to: SocketAddr, request: &str) -> Outcome {
    let mut stream = match TcpStream::connect(to) {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Outcome::Refused,
        Err(_) => return Outcome::Unread,
    };
    if stream.write_all(request.as_bytes()).is_err() {
        return Outcome::Unread;
    }
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Ok(_) => status_of_whole(&answer).map_or(Outcome::Unanswered, Outcome::Answered),
        Err(_) if answer.is_empty() => Outcome::Unread,
        Err(_) => Outcome::Unanswered,
    }
}

/// The status of a complete answer.
fn status_of_whole(answer: &[u8]) -> Option<u16> {
    let answer = std::str::from_utf8(answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse().ok()).flatten()
    });
    (length == Some(body.len())).then_some(status)
}

/// Sends requests until the router has exited. Returns how many were answered, and how many were read but not answered.
fn ask_until_exit(to: SocketAddr) -> (usize, usize) {
    let request = entry_request(&key("kiosks"));
    let (mut answered, mut unanswered) = (0, 0);
    loop {
        match exchange(to, &request) {
            Outcome::Answered(_) => answered += 1,
            Outcome::Unanswered => unanswered += 1,
            Outcome::Unread => {}
            Outcome::Refused => return (answered, unanswered),
        }
    }
}

/// Each router has a single caller, so that a check of the number of open connections may find none.
#[test]
fn late_connections() {
    let mut area = Area::new(1, STOPPED_ROUTERS);
    let mut counts = Vec::new();
    for _ in 0..ROUNDS {
        counts.extend(std::thread::scope(|scope| {
            let ask = |to| scope.spawn(move || ask_until_exit(to));
            let callers: Vec<_> = area
                .routers
                .iter()
                .map(|router| ask(router.address))
                .collect();
            for router in &area.routers {
                router.signal("TERM");
            }
            let counts = callers.into_iter().map(|caller| caller.join().unwrap());
            counts.collect::<Vec<_>>()
        }));
        for index in 0..STOPPED_ROUTERS {
            assert_eq!(area.routers[index].wait(EXIT_MAX), Some(0));
            area.restart_router(index);
        }
        area.wait_ready();
    }
    let unanswered: usize = counts.iter().map(|(_, unanswered)| unanswered).sum();
    assert_eq!(
        unanswered, 0,
        "(answered, unanswered) by router and round: {counts:?}"
    );
    assert!(
        counts.iter().all(|(answered, _)| *answered > 0),
        "{counts:?}"
    );
}

async fn peer_request(client: &Client, to: SocketAddr) -> Result<Reply, NoReply> {
    let request = Request::Heartbeat { peers: Vec::new() };
    client.ask(to, &request).await
}

/// Sends peer requests to a router until it has exited. Returns why the last one had no answer.
async fn peer_requests_until_exit(client: Client, to: SocketAddr) -> NoReply {
    loop {
        if let Err(missing) = peer_request(&client, to).await {
            return missing;
        }
    }
}

#[test]
fn late_peer_requests() {
    let mut area = Area::new(1, 1);
    let to = area.routers[0].peer;
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let clients: Vec<_> = (0..PEER_CLIENTS).map(|_| Client::new(FLEET_KEY)).collect();
    for client in &clients {
        runtime.block_on(peer_request(client, to)).unwrap();
    }
    let ask = |client| runtime.spawn(peer_requests_until_exit(client, to));
    let tasks: Vec<_> = clients.into_iter().map(ask).collect();
    area.routers[0].signal("TERM");
    let missing = runtime.block_on(futures::future::join_all(tasks));
    assert_eq!(area.routers[0].wait(EXIT_MAX), Some(0));
    let missing: Vec<_> = missing.into_iter().map(Result::unwrap).collect();
    assert_eq!(missing, vec![NoReply::Refused; PEER_CLIENTS]);
}

fn chat_head(body: &str) -> String {
    format!(
        "POST {CHAT} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n",
        key("kiosks"),
        body.len()
    )
}

/// Reads a connection to its end. Returns the status of the answer if it is complete, and its text.
fn read_answer(mut stream: TcpStream) -> (Option<u16>, String) {
    let mut answer = Vec::new();
    // Bytes that arrived before an error are evaluated as well.
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).to_lowercase();
    (status_of_whole(&answer), text)
}

/// A caller that sends its body slowly or never completes it is refused all the same, and does not delay the exit. Its
/// request has not run; if it has an id, an earlier request with this id may have.
#[test]
fn half_bodies() {
    let mut area = Area::new(1, 1);
    let to = area.routers[0].address;
    let body = chat("slow", 5);
    let half = |head: &str| head.to_owned() + &body[..body.len() / 2];
    let id = format!("{}00000007", area.prefix_of(0));
    let headers = [("lanedeck-request-id", id.as_str())];
    let first = area.send(Method::POST, to, CHAT, &key("kiosks"), &headers, &body);
    assert_eq!(first.events().last(), Some(&"[DONE]"));
    let head = chat_head(&body);
    let head_with_id = head.replace(
        "\r\n\r\n",
        &format!("\r\nlanedeck-request-id: {id}\r\n\r\n"),
    );
    let fresh = send(to, &half(&head));
    let repeated = send(to, &half(&head_with_id));
    let _silent = send(to, "");
    area.routers[0].signal("TERM");
    let (status, text) = read_answer(fresh);
    assert_eq!(status, Some(503), "{text}");
    assert!(text.contains("lanedeck-reason: stopping"), "{text}");
    assert!(text.contains("lanedeck-verdict: not_run"), "{text}");
    assert!(text.contains("retry-after: "), "{text}");
    let (status, text) = read_answer(repeated);
    assert_eq!(status, Some(502), "{text}");
    assert!(text.contains("lanedeck-reason: stopping"), "{text}");
    assert!(text.contains("lanedeck-verdict: may_have_run"), "{text}");
    assert_eq!(area.routers[0].wait(EXIT_MAX), Some(0));
}

/// A caller that continues to send while it is refused receives the refusal instead of a connection reset.
#[test]
fn long_upload() {
    let mut area = Area::new(1, 1);
    let to = area.routers[0].address;
    let body = chat(&"x".repeat(900_000), 5);
    let (first, rest) = body.split_at(body.len() / 2);
    let mut stream = send(to, &(chat_head(&body) + first));
    area.routers[0].signal("TERM");
    area.wait("the router refuses connections", |_| {
        TcpStream::connect(to).is_err()
    });
    stream.write_all(rest.as_bytes()).unwrap();
    let (status, text) = read_answer(stream);
    assert!(text.contains("lanedeck-reason: stopping"), "{text}");
    assert!(status.is_some(), "incomplete answer: {text}");
    assert_eq!(area.routers[0].wait(EXIT_MAX), Some(0));
}

/// A caller that stops sending within the head of a request gets no answer, and does not delay the exit.
#[test]
fn half_heads() {
    let mut area = Area::new(1, 1);
    let _half = send(area.routers[0].address, "POST /v1/chat/compl");
    area.routers[0].signal("TERM");
    assert_eq!(area.routers[0].wait(EXIT_MAX), Some(0));
}

/// An operator's confirm that arrives while the router waits for a slow log is answered and takes effect.
#[test]
fn late_confirm() {
    let mut area = Area::new(1, 1);
    let class = serde_json::json!({"class": {"rank": 3, "price_permille": 1, "patience": 8_000}});
    let put = serde_json::json!({"put": {"key": {"class": "late"}, "object": class}});
    let plan = area.plan(0, &put);
    let body = chat("x", 5);
    area.send(
        Method::POST,
        area.routers[0].address,
        CHAT,
        &key("kiosks"),
        &[],
        &body,
    );
    area.faults(&area.log, &serde_json::json!({"delay_ms": 700}));
    area.routers[0].signal("TERM");
    area.wait("it stops", |area| area.routers[0].has_logged("stopping"));
    let answer = area.confirm(0, &plan);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(area.routers[0].wait(EXIT_MAX), Some(0));
}

/// Callers with keep-alive connections are told to close them while the router still answers, so that none sends a
/// request at the moment at which its connection is closed.
#[test]
fn kept_connections() {
    let mut area = Area::with_options(1, 1, &[], &["--between=100"]);
    let to = area.routers[0].address;
    let mut kept = TcpStream::connect(to).unwrap();
    let small = chat("kept", 1);
    let request = chat_head(&small) + &small;
    std::thread::scope(|scope| {
        let area = &area;
        let stream = scope.spawn(move || {
            let body = chat("long", 60);
            area.send(Method::POST, to, CHAT, &key("kiosks"), &[], &body)
        });
        area.wait("the stream runs", |area| !area.ran().is_empty());
        area.routers[0].signal("TERM");
        area.wait("it stops", |area| area.routers[0].has_logged("stopping"));
        area.wait("it reports that it stops", |area| {
            area.status(0)["stopping"] == true
        });
        kept.write_all(request.as_bytes()).unwrap();
        let (status, text) = read_answer(kept);
        assert_eq!(status, Some(503), "{text}");
        assert!(text.contains("connection: close"), "{text}");
        assert!(
            !area.routers[0].has_logged("stopped"),
            "the connection was closed by the exit instead of the answer"
        );
        let stream = stream.join().unwrap();
        assert_eq!(stream.events().last(), Some(&"[DONE]"));
    });
    assert_eq!(area.routers[0].wait(EXIT_MAX), Some(0));
}

/// Guards against a router that stops on SIGHUP, which operators send to make a service reload.
#[test]
fn reload() {
    let area = Area::new(1, 1);
    let router = &area.routers[0];
    router.signal("HUP");
    area.wait("the signal is handled", |_| {
        router.has_logged("reloaded") || router.has_logged("stopping")
    });
    assert!(!router.has_logged("stopping"));
    let body = chat("after", 5);
    let answer = area.send(
        Method::POST,
        router.address,
        CHAT,
        &key("kiosks"),
        &[],
        &body,
    );
    assert_eq!(answer.events().last(), Some(&"[DONE]"));
}
