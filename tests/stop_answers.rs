//! What a stopping router has read is answered or refused before the process ends, and a signal to
//! read settings again does not stop it.
//!
//! Users saw a request that was sent whole to a process about to stop, and then the end of the
//! connection without a byte of answer. The order of events: the signal; the stop's work done; one
//! look at a count of open connections; a connection accepted after it, its request read; the exit.
//! The count was taken while the listeners were open, and peers' connections were in no count. A
//! connection that ends without an answer tells which happened: it is reset where the request was
//! never read, and ends in order where it was.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::area::{Area, FLEET_KEY, chat, key, send};
use http::Method;
use lanedeck::router::message::{Reply, Request};
use lanedeck::wire::{Client, NoReply};

const CHAT: &str = "/v1/chat/completions";
/// Longest wait for a process to end, far longer than it should take.
const END_MAX: Duration = Duration::from_secs(60);
/// Routers that ask a stopping one at once.
const ASKERS: usize = 32;
/// Routers that are stopped at once, each with one caller.
const STOPS: usize = 4;
/// Times that they are stopped: the moment is short, and is met in some stops only.
const ROUNDS: usize = 5;

/// How a request on a connection of its own went.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// A whole answer with this status.
    Answered(u16),
    /// The request was read, and no whole answer came.
    Unanswered,
    /// The request was not read.
    Unread,
    /// Nothing listens.
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

/// The status of an answer that has come whole.
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

/// Asks on until the router has ended; answers, and requests that were read and had none.
fn ask_to_the_end(to: SocketAddr) -> (usize, usize) {
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

/// One caller a router, so that the look at the count of connections may find none.
#[test]
fn late_connections() {
    let mut area = Area::new(1, STOPS);
    let mut counts = Vec::new();
    for _ in 0..ROUNDS {
        counts.extend(std::thread::scope(|scope| {
            let ask = |to| scope.spawn(move || ask_to_the_end(to));
            let askers: Vec<_> = area.routers.iter().map(|one| ask(one.address)).collect();
            for router in &area.routers {
                router.signal("TERM");
            }
            let counts = askers.into_iter().map(|one| one.join().unwrap());
            counts.collect::<Vec<_>>()
        }));
        for place in 0..STOPS {
            assert_eq!(area.routers[place].wait(END_MAX), Some(0));
            area.restart_router(place);
        }
        area.wait_ready();
    }
    let unanswered: usize = counts.iter().map(|(_, unanswered)| unanswered).sum();
    assert_eq!(unanswered, 0, "answered and not, by stop: {counts:?}");
    assert!(
        counts.iter().all(|(answered, _)| *answered > 0),
        "{counts:?}"
    );
}

async fn question(client: &Client, to: SocketAddr) -> Result<Reply, NoReply> {
    let question = Request::Heartbeat { peers: Vec::new() };
    client.ask(to, &question).await
}

/// Asks a router on until it has ended; why the last question had no answer.
async fn question_to_the_end(client: Client, to: SocketAddr) -> NoReply {
    loop {
        if let Err(missing) = question(&client, to).await {
            return missing;
        }
    }
}

#[test]
fn late_questions() {
    let mut area = Area::new(1, 1);
    let to = area.routers[0].peer;
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let clients: Vec<_> = (0..ASKERS).map(|_| Client::new(FLEET_KEY)).collect();
    for client in &clients {
        runtime.block_on(question(client, to)).unwrap();
    }
    let ask = |client| runtime.spawn(question_to_the_end(client, to));
    let askers: Vec<_> = clients.into_iter().map(ask).collect();
    area.routers[0].signal("TERM");
    let missing = runtime.block_on(futures::future::join_all(askers));
    assert_eq!(area.routers[0].wait(END_MAX), Some(0));
    let missing: Vec<_> = missing.into_iter().map(Result::unwrap).collect();
    assert_eq!(missing, vec![NoReply::Refused; ASKERS]);
}

fn chat_head(body: &str) -> String {
    format!(
        "POST {CHAT} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n",
        key("kiosks"),
        body.len()
    )
}

/// Reads a connection to its end; the status of the answer, and the answer.
fn read_answer(mut stream: TcpStream) -> (Option<u16>, String) {
    let mut answer = Vec::new();
    // What came before an error is judged.
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).to_lowercase();
    (status_of_whole(&answer), text)
}

/// A caller that sends its body slowly, or never to its end, has a refusal all the same, and does not
/// keep the process. Its request has not run; where it has an id, an earlier one with this id may have.
#[test]
fn half_bodies() {
    let mut area = Area::new(1, 1);
    let to = area.routers[0].address;
    let body = chat("slow", 5);
    let half = |head: &str| head.to_owned() + &body[..body.len() / 2];
    let id = format!("{}00000007", area.prefix_of(0));
    let ran = [("lanedeck-request-id", id.as_str())];
    let first = area.send(Method::POST, to, CHAT, &key("kiosks"), &ran, &body);
    assert_eq!(first.events().last(), Some(&"[DONE]"));
    let head = chat_head(&body);
    let named = head.replace(
        "\r\n\r\n",
        &format!("\r\nlanedeck-request-id: {id}\r\n\r\n"),
    );
    let fresh = send(to, &half(&head));
    let repeated = send(to, &half(&named));
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
    assert_eq!(area.routers[0].wait(END_MAX), Some(0));
}

/// A caller that goes on sending while it is refused has the refusal, and no reset in its place.
#[test]
fn long_upload() {
    let mut area = Area::new(1, 1);
    let to = area.routers[0].address;
    let body = chat(&"x".repeat(900_000), 5);
    let (first, rest) = body.split_at(body.len() / 2);
    let mut stream = send(to, &(chat_head(&body) + first));
    area.routers[0].signal("TERM");
    area.wait("it takes no connection", |_| {
        TcpStream::connect(to).is_err()
    });
    stream.write_all(rest.as_bytes()).unwrap();
    let (status, text) = read_answer(stream);
    assert!(text.contains("lanedeck-reason: stopping"), "{text}");
    assert!(status.is_some(), "not whole: {text}");
    assert_eq!(area.routers[0].wait(END_MAX), Some(0));
}

/// A caller that stops within the head of a request is owed nothing, and does not keep the process.
#[test]
fn half_heads() {
    let mut area = Area::new(1, 1);
    let _half = send(area.routers[0].address, "POST /v1/chat/compl");
    area.routers[0].signal("TERM");
    assert_eq!(area.routers[0].wait(END_MAX), Some(0));
}

/// An operator's confirm that comes while the router waits for a slow log is answered, and in force.
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
    assert_eq!(area.routers[0].wait(END_MAX), Some(0));
}

/// Callers that keep their connection are told to leave it while the router still answers, so that
/// none sends a request at the moment at which it is closed.
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
        area.wait("it refuses", |area| area.status(0)["stopping"] == true);
        kept.write_all(request.as_bytes()).unwrap();
        let (status, text) = read_answer(kept);
        assert_eq!(status, Some(503), "{text}");
        assert!(text.contains("connection: close"), "{text}");
        assert!(
            !area.routers[0].has_logged("stopped"),
            "closed by the exit, not by the answer"
        );
        let stream = stream.join().unwrap();
        assert_eq!(stream.events().last(), Some(&"[DONE]"));
    });
    assert_eq!(area.routers[0].wait(END_MAX), Some(0));
}

/// Operators sent SIGHUP, as to other services, and the router stopped.
#[test]
fn reload() {
    let area = Area::new(1, 1);
    let router = &area.routers[0];
    router.signal("HUP");
    area.wait("the signal is taken", |_| {
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
