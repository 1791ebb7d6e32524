//! A target that answers a long request from its head, and closes or resets over the rest.

mod deployment;

use std::io::{Read, Write};
use std::net::{self, SocketAddr};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use deployment::{Ask, Deployment, LONG, config, list_at, try_ask};
use http_body_util::{BodyExt, Collected, Full};
use lanedeck::boot_clock;
use lanedeck::net::Connection;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

const PLENTY: u64 = 1_000_000;
/// Longest body, in bytes.
const BODY_MAX: usize = 16 << 20;

/// A target that answers each request once its head has come, and closes the connection over the body.
async fn closing_target(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut line, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 1_024];
                if line.read(&mut head).await.is_ok_and(|length| length > 0) {
                    line.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

/// Callers see 502, which promises nothing, where the target has refused a long body with a promise, or has
/// answered it whole. The order of events: the target reads the head, answers and closes; the gateway still
/// writes the body and fails at that before it has read the answer, which has arrived. The cause: the library's
/// connection ends at the first error of writing, and `Exchange::send` takes every error after the first byte
/// as an attempt that broke off.
#[tokio::test(flavor = "multi_thread")]
async fn early_target_answer() {
    const BODY: usize = 4_000_000;
    const TRIES: usize = 20;
    let answers = [
        (
            503,
            "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
        ),
        (
            200,
            "HTTP/1.1 200 OK\r\nx-attempt-id: r\r\nx-server-seal: s\r\ncontent-length: 2\r\n\r\nok",
        ),
    ];
    let mut wide = config(1, PLENTY);
    wide["limits"]["maxBodyBytes"] = (4 << 20).into();
    let mut seen = Vec::new();
    for (_, answer) in answers {
        let target = closing_target(answer).await;
        let deployment = Deployment::start_with(1, &wide, &[], &[]).await;
        list_at(&deployment.store, "app", "i-app", target, "ready");
        // The list of targets is read twice a second.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let mut statuses = Vec::new();
        for _ in 0..TRIES {
            let request = Ask::new("r", "/once/x").post(&"x".repeat(BODY));
            let answer = try_ask(deployment.gateways[0].front, &request).await;
            statuses.push(answer.map_or(0, |answer| answer.status));
        }
        seen.push(statuses);
    }
    assert_eq!(seen, answers.map(|(status, _)| vec![status; TRIES]));
}

fn signal(process: u32, name: &str) {
    let mut command = Command::new("kill");
    command.args([&format!("-{name}"), &process.to_string()]);
    assert!(command.status().unwrap().success());
}

/// A target that answers each request once its head has come, and closes the connection over the body. The
/// process `held` stands still from the answer up to the close.
async fn held_target(answer: String, held: Arc<AtomicU32>) -> SocketAddr {
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
    let target = held_target(answer, Arc::clone(&held)).await;
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

/// The body of an answer that begins when a part of a long request has been written and the connection can be
/// written again, but is not yet. The connection is reset then, after the end of its answer or in its midst. Gives
/// the connection and what is taken for the whole body.
async fn early_answer(answer: &'static str, has_end: bool) -> (Connection, Option<Bytes>) {
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
        line.write_all(answer.as_bytes()).unwrap();
        if has_end {
            line.shutdown(net::Shutdown::Write).unwrap();
        }
        SockRef::from(&line)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(line);
        tell.send(()).unwrap();
    });
    let mut line = lanedeck::net::open(address, LONG, LONG).await.unwrap();
    let sent = tokio::spawn(async move {
        let answer = line.send(long_request()).await.unwrap();
        let body = answer.into_body().collect().await.ok();
        (line, body.map(Collected::to_bytes))
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
    target.join().unwrap();
    sent.await.unwrap()
}

fn long_request() -> lanedeck::net::Request {
    let body = Bytes::from(vec![b'x'; BODY_MAX]);
    http::Request::post("/").body(Full::new(body)).unwrap()
}

/// Callers see a success whose end is missing, where the target's connection was reset in the midst of an answer
/// without a length. The order of events: the target has read a part of a long request, and the connection can be
/// written again; before it is, the target begins to answer and the connection is reset; the rest of the request
/// cannot be written; what has come of the answer is read, and the end of the connection. The cause: the system
/// tells a reset once. The failed write takes it and is passed over in silence, so the read after it tells an end
/// in order, and the library takes the answer for whole.
#[tokio::test]
async fn reset_answer() {
    let (_, body) = early_answer("HTTP/1.1 200 OK\r\n\r\nhal", false).await;
    assert_eq!(body, None);
}

/// An answer that has come to its end is whole, although the connection is reset after it.
#[tokio::test]
async fn ended_answer() {
    let (_, body) = early_answer("HTTP/1.1 200 OK\r\n\r\nwhole", true).await;
    assert_eq!(body.as_deref(), Some(&b"whole"[..]));
}

/// A connection whose request could not be written to its end takes no other, although its answer was whole.
#[tokio::test]
async fn no_second_request() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
    for has_end in [false, true] {
        let (mut line, body) = early_answer(answer, has_end).await;
        assert_eq!(body.as_deref(), Some(&b"whole"[..]));
        assert!(!line.is_usable(boot_clock::now()));
        let second = timeout(LONG, line.send(long_request())).await;
        assert!(second.is_ok_and(|sent| sent.is_err_and(|error| error.was_not_sent)));
    }
}
