//! Moments of a planned stop in which what is under way was cut: when the server closes, and when its time ends.

mod common;
mod deployment;

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use common::area::{Area, chat, key, send};
use deployment::runner::{Mode, Runner};
use deployment::{Ask, Deployment, HOST, KEY, config, try_ask, until};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use lanedeck::net::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const PLENTY: u64 = 1_000_000;

/// Callers see a stream that is let in more than three seconds after the signal, begins, and is broken off in
/// its midst by the end of the stop. The order of events: the signal; 3.3 s later a request that may take 30 s
/// is let in, because callers may still come by their addresses; its stream begins; at 8.85 s the stop gives it
/// up. The cause: the time in which any request is let in was 0.4 of the time to stop, 3.54 s of 10 s, and had no
/// bound of its own, while users forgive such an end only to requests of the first 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn late_stream_cut() {
    let engine = Runner::start("i-e").await;
    engine.set(Mode::Slow(2_000));
    let mut long = config(1, PLENTY);
    for route in long["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = 30_000.into();
    }
    let flags = ["--keep", "5000", "--grace", "10000"];
    let runners = [("engine", &engine)];
    let mut deployment = Deployment::start_with(1, &long, &runners, &flags).await;
    let front = deployment.gateways[0].front;
    let stream = |id: &str| Ask::talk(id, "/talk/x", 100, 50).with("x-deadline-ms", "30000");
    // It holds the stop open.
    let early = stream("early");
    let held = tokio::spawn(async move { try_ask(front, &early).await });
    until(|| async { engine.runs() > 0 }).await;
    deployment.gateways[0].signal("TERM");
    tokio::time::sleep(Duration::from_millis(3_300)).await;
    let answer = try_ask(front, &stream("late")).await;
    deployment.wait_end().await;
    held.abort();
    let answer = answer.expect("an answer or a refusal");
    assert!(
        answer.is_whole,
        "let in with {} and broken off after {} events",
        answer.status,
        answer.events().len()
    );
}

/// Callers of a server whose runtime has workers (`lanedeck router`) see a reset of new connections whose
/// requests had arrived whole before the close began. The order of events: the only worker is busy; connections
/// are made and requests sent; the close begins; the worker comes to the accept loop before it has looked at the
/// sockets; the listener is dropped over them. The cause: `Server::close` yields for a turn of the runtime, but
/// on the thread that blocks on a runtime with workers, which is where a router's stop runs, a yield wakes at
/// once and no socket is looked at.
#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn turn_among_workers() {
    const LINES: usize = 4;
    const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::default();
    server.listen(listener, |stream| {
        let service = service_fn(|_| async {
            let body = Full::new(Bytes::from_static(b"ok"));
            Ok::<_, Infallible>(http::Response::new(body))
        });
        http1::Builder::new().serve_connection(TokioIo::new(stream), service)
    });
    // The accept loop waits for its first connection.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ((busy, is_busy), (go, goes_on)) = (mpsc::channel(), mpsc::channel::<()>());
    tokio::spawn(async move {
        busy.send(()).unwrap();
        goes_on.recv().unwrap();
    });
    is_busy.recv().unwrap();
    let mut lines = Vec::new();
    for _ in 0..LINES {
        let mut line = net::TcpStream::connect(address).unwrap();
        line.write_all(REQUEST).unwrap();
        lines.push(line);
    }
    let release = std::thread::spawn(move || {
        // By then the close waits for the accept loops.
        std::thread::sleep(Duration::from_millis(300));
        go.send(()).unwrap();
    });
    server.close().await;
    server.closed().await;
    release.join().unwrap();
    let mut seen = Vec::new();
    for mut line in lines {
        let mut answer = Vec::new();
        let ended = line.read_to_end(&mut answer).map_err(|error| error.kind());
        seen.push((ended.is_ok(), answer.ends_with(b"ok")));
    }
    assert_eq!(seen, [(true, true); LINES], "ended in order, answered");
}

/// Callers see a reset while they send the body of a request that a stopping gateway has refused. The order of
/// events: the signal; a head is refused at once with `Connection: close`, and its body is read and discarded
/// while it comes; the server closes; the connection ends over what is still to come. The cause: once the last
/// answer of a connection is handed over, the library's graceful shutdown ends it at once, whoever still reads
/// from it (`Dispatcher::disable_keep_alive` of hyper: closed where writing is closed).
#[tokio::test(flavor = "multi_thread")]
async fn refusal_amid_close() {
    const PARTS: usize = 12;
    const PART: [u8; 5_000] = [b'x'; 5_000];
    let flags = ["--keep", "200", "--grace", "20000"];
    let deployment = Deployment::start_with(1, &config(1, PLENTY), &[], &flags).await;
    let front = deployment.gateways[0].front;
    let mut line = TcpStream::connect(front).await.unwrap();
    deployment.gateways[0].signal("TERM");
    // Callers may still come for 0.3 s, and then the server closes.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let head = format!(
        "POST /nowhere/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: r\r\nx-deadline-ms: 4000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n",
        PARTS * PART.len()
    );
    line.write_all(head.as_bytes()).await.unwrap();
    let mut taken = Vec::new();
    for _ in 0..PARTS {
        tokio::time::sleep(Duration::from_millis(75)).await;
        taken.push(line.write_all(&PART).await.is_ok());
    }
    assert_eq!(taken, [true; PARTS], "parts of the body that were taken");
    let mut answer = Vec::new();
    line.read_to_end(&mut answer).await.unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 404 "));
}

/// The same at `lanedeck router`, at each stop: it refuses what is not whole and closes the server in the next
/// step, so that nothing of such a body is discarded. `long_upload` of `stop_answers` passes because what its
/// caller has left to send fits into the buffers of the system.
#[test]
fn upload_amid_close() {
    const PART: usize = 50_000;
    let area = Area::new(1, 1);
    let to = area.routers[0].address;
    let body = chat(&"x".repeat(900_000), 5);
    let (first, rest) = body.split_at(body.len() / 2);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n",
        key("kiosks"),
        body.len()
    );
    let mut line = send(to, &(head + first));
    area.routers[0].signal("TERM");
    area.wait("it takes no connection", |_| {
        net::TcpStream::connect(to).is_err()
    });
    let mut taken = Vec::new();
    for part in rest.as_bytes().chunks(PART) {
        taken.push(line.write_all(part).is_ok());
        std::thread::sleep(Duration::from_millis(30));
    }
    let mut answer = Vec::new();
    let ended = line.read_to_end(&mut answer);
    assert!(
        taken.iter().all(|taken| *taken) && ended.is_ok(),
        "parts of the body that were taken: {taken:?}"
    );
    assert!(answer.starts_with(b"HTTP/1.1 503 "));
}
