//! Places beside the mends of a planned stop where an answer is lost, or is taken for whole. Each test tells what
//! is seen, the order of events and the cause.

mod deployment;

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{self, SocketAddr};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use deployment::runner::Runner;
use deployment::store::Fault;
use deployment::{Ask, Deployment, LONG, config, list_at, try_ask, until};
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use lanedeck::net::Server;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const PLENTY: u64 = 1_000_000;
/// Longest body, in bytes.
const BODY_MAX: usize = 16 << 20;

fn signal(process: u32, name: &str) {
    let mut command = Command::new("kill");
    command.args([&format!("-{name}"), &process.to_string()]);
    assert!(command.status().unwrap().success());
}

/// A target that answers each request once its head has come, and closes the connection over the body. The
/// process `held` stands still from the answer up to the close.
async fn early_target(answer: String, held: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut line, _)) = listener.accept().await {
            let (answer, held) = (answer.clone(), Arc::clone(&held));
            tokio::spawn(async move {
                let mut head = [0; 1_024];
                if !line.read(&mut head).await.is_ok_and(|length| length > 0) {
                    return;
                }
                let process = held.load(Ordering::Relaxed);
                // It has written what the buffers take.
                sleep(Duration::from_millis(100)).await;
                signal(process, "STOP");
                line.write_all(answer.as_bytes()).await.unwrap();
                drop(line);
                sleep(Duration::from_millis(20)).await;
                signal(process, "CONT");
            });
        }
    });
    address
}

/// Callers see 502 where a target has answered a long request whole, with more than is read at once. The order of
/// events: the target answers from the head and closes, while the gateway waits to write the body; answer and
/// reset are there when the gateway goes on; it reads the head and a part of the body, then writes and fails. The
/// cause: `HalfOpen` takes a read for the end of what it had written, so that the failure after it is told to the
/// library, which ends the connection with the rest of the answer unread.
#[tokio::test(flavor = "multi_thread")]
async fn long_early_answer() {
    const LENGTH: usize = 40_000;
    const TRIES: usize = 20;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: r\r\nx-server-seal: s\r\ncontent-length: {LENGTH}\r\n\r\n{}",
        "y".repeat(LENGTH)
    );
    let mut wide = config(1, PLENTY);
    wide["limits"]["maxBodyBytes"] = BODY_MAX.into();
    let held = Arc::new(AtomicU32::new(0));
    let target = early_target(answer, Arc::clone(&held)).await;
    let deployment = Deployment::start_with(1, &wide, &[], &[]).await;
    let gateway = &deployment.gateways[0];
    held.store(gateway.id(), Ordering::Relaxed);
    list_at(&deployment.store, "app", "i-app", target, "ready");
    // The list of targets is read twice a second.
    sleep(Duration::from_millis(1_500)).await;
    let mut seen = Vec::new();
    for _ in 0..TRIES {
        let request = Ask::new("r", "/once/x").post(&"x".repeat(BODY_MAX));
        let answer = try_ask(gateway.front, &request).await;
        seen.push(answer.map_or(0, |answer| answer.status));
    }
    assert_eq!(seen, [200; TRIES]);
}

/// Callers see a success whose end is missing, where the target's connection was reset in the midst of an answer
/// without a length. The order of events: the target has read a part of a long request, and the connection can be
/// written again; before it is, the target begins to answer and the connection is reset; the rest of the request
/// cannot be written; what has come of the answer is read, and the end of the connection. The cause: the system
/// tells a reset once. The failed write takes it and is passed over in silence, so the read after it tells an end
/// in order, and the library takes the answer for whole.
#[tokio::test]
async fn reset_answer() {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nhal";
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ((go, goes_on), (tell, told)) = (mpsc::channel(), mpsc::channel());
    let target = thread::spawn(move || {
        let (mut line, _) = listener.accept().unwrap();
        let silence = Some(Duration::from_millis(300));
        line.set_read_timeout(silence).unwrap();
        let mut part = vec![0; 1 << 20];
        goes_on.recv().unwrap();
        while line.read(&mut part).is_ok_and(|length| length > 0) {}
        tell.send(()).unwrap();
        goes_on.recv().unwrap();
        line.write_all(ANSWER).unwrap();
        SockRef::from(&line)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(line);
        tell.send(()).unwrap();
    });
    let mut line = lanedeck::net::open(address, LONG, LONG).await.unwrap();
    let body = Bytes::from(vec![b'x'; BODY_MAX]);
    let request = http::Request::post("/").body(Full::new(body)).unwrap();
    let sent = tokio::spawn(async move {
        let answer = line.send(request).await.ok()?;
        answer.into_body().collect().await.ok()
    });
    // As much as the buffers take is written.
    sleep(Duration::from_millis(300)).await;
    // This thread is the runtime's only one: nothing is written while it waits here.
    go.send(()).unwrap();
    told.recv().unwrap();
    // The runtime sees that the connection can be written, and comes back here before it is.
    tokio::task::yield_now().await;
    go.send(()).unwrap();
    told.recv().unwrap();
    let answer = sent.await.unwrap().map(Collected::to_bytes);
    assert_eq!(answer, None);
    target.join().unwrap();
}

/// Callers see their connection end over the first half of a head that was read, although the rest comes within the
/// time that a close waits for it. The order of events: a request is refused on a kept connection while its body
/// comes; the server closes; the rest of the body comes, and half of the next head; the discarded body is no longer
/// waited for; the rest of the head comes. The cause: `drive` looks whether something is unanswered, then waits for
/// the discarded body, and acts on the look from before.
#[tokio::test]
async fn head_after_discard() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::default();
    server.listen(listener, |socket| {
        let reading = socket.reading();
        let service = service_fn(move |request: hyper::Request<Incoming>| {
            reading.discard(request.into_body(), BODY_MAX);
            let body = Full::new(Bytes::from_static(b"ok"));
            async { Ok::<_, Infallible>(http::Response::new(body)) }
        });
        http1::Builder::new().serve_connection(TokioIo::new(socket), service)
    });
    let mut line = TcpStream::connect(address).await.unwrap();
    let head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 8\r\n\r\nhalf";
    line.write_all(head).await.unwrap();
    let mut first = [0; 1_024];
    let length = line.read(&mut first).await.unwrap();
    assert!(first[..length].ends_with(b"ok"));
    // What is left of the body is waited for up to 2 s.
    sleep(Duration::from_millis(1_700)).await;
    server.close().await;
    sleep(Duration::from_millis(100)).await;
    line.write_all(b"halfGET / HTTP/1.1\r\nho").await.unwrap();
    sleep(Duration::from_millis(300)).await;
    let sent = line.write_all(b"st: h\r\n\r\n").await;
    let mut answer = Vec::new();
    let ended = line.read_to_end(&mut answer).await;
    assert!(
        sent.is_ok() && ended.is_ok() && answer.ends_with(b"ok"),
        "{sent:?}, {ended:?}, {} bytes",
        answer.len()
    );
    server.closed().await;
}

/// How many requests the next gateway can grant once one has stopped whose store answers like this.
async fn served_after(fault: Fault) -> u32 {
    const PREPAID: u64 = 1_000;
    let engine = Runner::start("i-e").await;
    let runners = [("engine", &engine)];
    let flags = ["--keep", "200", "--grace", "2000"];
    let mut deployment = Deployment::start_with(1, &config(1, PREPAID), &runners, &flags).await;
    let gateway = &deployment.gateways[0];
    let request = Ask::talk("first", "/talk/x", 100, 50);
    let first = try_ask(gateway.front, &request).await;
    assert!(first.is_some_and(|answer| answer.status == 200));
    deployment.store.set_fault(gateway.store, fault);
    gateway.signal("TERM");
    deployment.wait_end().await;
    deployment.add("next", &flags).await;
    until(|| deployment.gateways[1].is_ready()).await;
    let mut served = 0;
    for number in 0..30 {
        let request = Ask::talk(&format!("s{number}"), "/talk/x", 100, 50);
        let answer = try_ask(deployment.gateways[1].front, &request).await;
        served += u32::from(answer.is_some_and(|answer| answer.status == 200));
    }
    served
}

/// Other routers cannot grant what a stopped gateway had not used, although its stop took a quarter of its time. The
/// order of events: the signal; nothing runs, so the stop gives its grants back after 0.3 of 2 s; the store answers
/// in 150 ms; after 130 ms the process ends. The cause: the time to give grants back is a share of what is kept for
/// the end of the whole time to stop, whenever it begins.
#[tokio::test(flavor = "multi_thread")]
async fn slow_return() {
    let usual = served_after(Fault::None).await;
    assert_eq!(served_after(Fault::Slow(150)).await, usual);
}
