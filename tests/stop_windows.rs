//! Moments of a planned stop at which requests in progress could be cut off: when the server closes, and when the time
//! for the stop ends.

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

const PREPAID_TOKENS: u64 = 1_000_000;

/// Guards against a stream that is admitted more than three seconds after the signal and truncated by the end of the
/// stop. It comes about when, 3.3 s after the signal, a request that may take 30 s is admitted because callers may
/// still use the router's address; its stream begins, and at 8.85 s the stop gives it up. The period in which each
/// request is admitted was 0.4 of the time for the stop, 3.54 s of 10 s, without a limit of its own, while users accept
/// such an end only for requests of the first 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn late_stream_cut() {
    let engine = Runner::start("i-e").await;
    engine.set(Mode::Slow(2_000));
    let mut long_timeout = config(1, PREPAID_TOKENS);
    for route in long_timeout["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = 30_000.into();
    }
    let flags = ["--keep", "5000", "--grace", "10000"];
    let runners = [("engine", &engine)];
    let mut deployment = Deployment::start_with(1, &long_timeout, &runners, &flags).await;
    let front = deployment.gateways[0].front;
    let stream = |id: &str| Ask::talk(id, "/talk/x", 100, 50).with("x-deadline-ms", "30000");
    // This stream keeps the stop from finishing.
    let early = stream("early");
    let held = tokio::spawn(async move { try_ask(front, &early).await });
    until(|| async { engine.runs() > 0 }).await;
    deployment.gateways[0].signal("TERM");
    tokio::time::sleep(Duration::from_millis(3_300)).await;
    let answer = try_ask(front, &stream("late")).await;
    deployment.wait_end().await;
    held.abort();
    let answer = answer.expect("a response or a refusal");
    assert!(
        answer.is_whole,
        "admitted with {} and broken off after {} events",
        answer.status,
        answer.events().len()
    );
}

/// Guards against a reset of new connections whose requests had arrived completely before the close began, at a server
/// on a multi-thread runtime (`lanedeck router`). It comes about when the only worker is busy while connections are
/// made and requests sent; the close begins; the worker runs the accept loop before it has polled the sockets, and the
/// listener is dropped with the connections still in its queue. The cause was that `Server::close` yielded to let the
/// runtime poll once, but on the thread that blocks on a multi-thread runtime, where a router's stop runs, a yield
/// returns at once and no socket is polled.
#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn close_on_multi_thread_runtime() {
    const CONNECTIONS: usize = 4;
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
    // By then the accept loop waits for its first connection.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ((busy, is_busy), (release, released)) = (mpsc::channel(), mpsc::channel::<()>());
    tokio::spawn(async move {
        busy.send(()).unwrap();
        released.recv().unwrap();
    });
    is_busy.recv().unwrap();
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut connection = net::TcpStream::connect(address).unwrap();
        connection.write_all(REQUEST).unwrap();
        connections.push(connection);
    }
    let releaser = std::thread::spawn(move || {
        // By then the close waits for the accept loop.
        std::thread::sleep(Duration::from_millis(300));
        release.send(()).unwrap();
    });
    server.close().await;
    server.closed().await;
    releaser.join().unwrap();
    let mut seen = Vec::new();
    for mut connection in connections {
        let mut answer = Vec::new();
        let ended = connection
            .read_to_end(&mut answer)
            .map_err(|error| error.kind());
        seen.push((ended.is_ok(), answer.ends_with(b"ok")));
    }
    assert_eq!(
        seen,
        [(true, true); CONNECTIONS],
        "connections that ended in order, and got the response"
    );
}

/// Guards against a reset while a caller still sends the body of a request that a stopping gateway has refused. It
/// comes about when, after the signal, a request is refused by its head with `Connection: close` and its body is read
/// and discarded as it arrives; then the server closes, and the connection ends with the rest of the body still to
/// come. Once the last response of a connection is handed over, hyper's graceful shutdown ends the connection at once,
/// even if its body is still being read (`Dispatcher::disable_keep_alive`: closed if writing is closed).
#[tokio::test(flavor = "multi_thread")]
async fn refusal_amid_close() {
    const PARTS: usize = 12;
    const PART: [u8; 5_000] = [b'x'; 5_000];
    let flags = ["--keep", "200", "--grace", "20000"];
    let deployment = Deployment::start_with(1, &config(1, PREPAID_TOKENS), &[], &flags).await;
    let front = deployment.gateways[0].front;
    let mut connection = TcpStream::connect(front).await.unwrap();
    deployment.gateways[0].signal("TERM");
    // The server accepts callers for 0.3 s more and then closes.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let head = format!(
        "POST /nowhere/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: r\r\nx-deadline-ms: 4000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n",
        PARTS * PART.len()
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    let mut accepted = Vec::new();
    for _ in 0..PARTS {
        tokio::time::sleep(Duration::from_millis(75)).await;
        accepted.push(connection.write_all(&PART).await.is_ok());
    }
    assert_eq!(
        accepted, [true; PARTS],
        "parts of the body that were accepted"
    );
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).await.unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 404 "));
}

/// The same at `lanedeck router`, at each stop: it refuses requests that have not arrived completely and closes the
/// server in the next step, so nothing of such a body is discarded. `long_upload` of `stop_answers` does not catch
/// this: what its caller has left to send fits into the socket buffers.
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
    let mut connection = send(to, &(head + first));
    area.routers[0].signal("TERM");
    area.wait("it takes no connection", |_| {
        net::TcpStream::connect(to).is_err()
    });
    let mut accepted = Vec::new();
    for part in rest.as_bytes().chunks(PART) {
        accepted.push(connection.write_all(part).is_ok());
        std::thread::sleep(Duration::from_millis(30));
    }
    let mut answer = Vec::new();
    let ended = connection.read_to_end(&mut answer);
    assert!(
        accepted.iter().all(|accepted| *accepted) && ended.is_ok(),
        "parts of the body that were accepted: {accepted:?}"
    );
    assert!(answer.starts_with(b"HTTP/1.1 503 "));
}
