//! Targets that respond to a request with a large body after its head, and close or reset the connection while the
//! body is still being sent.

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

const PREPAID_TOKENS: u64 = 1_000_000;
/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 16 << 20;

/// A target that responds to each request after its head and closes the connection without reading the body.
async fn closing_target(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 1_024];
                if connection
                    .read(&mut head)
                    .await
                    .is_ok_and(|length| length > 0)
                {
                    connection.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

/// Guards against a 502, which does not tell whether the request has run, where the target has refused a large body as
/// not run or has sent a complete response. It comes about when the target reads the head, responds and closes while
/// the gateway still writes the body: the write fails before the gateway reads the response, which has arrived. hyper's
/// connection ends at the first write error, and `Exchange::send` takes each error after the first byte as an
/// interrupted attempt.
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
    let mut large_bodies = config(1, PREPAID_TOKENS);
    large_bodies["limits"]["maxBodyBytes"] = (4 << 20).into();
    let mut seen = Vec::new();
    for (_, answer) in answers {
        let target = closing_target(answer).await;
        let deployment = Deployment::start_with(1, &large_bodies, &[], &[]).await;
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

/// A target that responds to each request after its head and closes the connection without reading the body. The
/// process `suspended` is stopped by SIGSTOP from before the response until after the close.
async fn target_that_suspends_gateway(answer: String, suspended: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let (answer, suspended) = (answer.clone(), Arc::clone(&suspended));
            tokio::spawn(async move {
                let mut head = [0; 1_024];
                if !connection
                    .read(&mut head)
                    .await
                    .is_ok_and(|length| length > 0)
                {
                    return;
                }
                let process = suspended.load(Ordering::Relaxed);
                // By then the gateway has filled the socket buffers.
                sleep(Duration::from_millis(100)).await;
                signal(process, "STOP");
                connection.write_all(answer.as_bytes()).await.unwrap();
                drop(connection);
                sleep(Duration::from_millis(20)).await;
                signal(process, "CONT");
            });
        }
    });
    address
}

/// Guards against a 502 where a target has sent a complete response that is longer than one read. It comes about when
/// the target responds after the head and closes while the gateway waits to write the body: response and reset have
/// both arrived when the gateway continues, which reads the head and a part of the response body, then writes and
/// fails. `HalfOpen` took a read for the end of its writes, so it reported the failure after it to hyper, which ended
/// the connection with the rest of the response unread.
#[tokio::test(flavor = "multi_thread")]
async fn long_early_answer() {
    const LENGTH: usize = 40_000;
    const TRIES: usize = 20;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: r\r\nx-server-seal: s\r\ncontent-length: {LENGTH}\r\n\r\n{}",
        "y".repeat(LENGTH)
    );
    let mut large_bodies = config(1, PREPAID_TOKENS);
    large_bodies["limits"]["maxBodyBytes"] = BODY_MAX_BYTES.into();
    let suspended = Arc::new(AtomicU32::new(0));
    let target = target_that_suspends_gateway(answer, Arc::clone(&suspended)).await;
    let deployment = Deployment::start_with(1, &large_bodies, &[], &[]).await;
    let gateway = &deployment.gateways[0];
    suspended.store(gateway.id(), Ordering::Relaxed);
    list_at(&deployment.store, "app", "i-app", target, "ready");
    // The list of targets is read twice a second.
    sleep(Duration::from_millis(1_500)).await;
    let mut seen = Vec::new();
    for _ in 0..TRIES {
        let request = Ask::new("r", "/once/x").post(&"x".repeat(BODY_MAX_BYTES));
        let answer = try_ask(gateway.front, &request).await;
        seen.push(answer.map_or(0, |answer| answer.status));
    }
    assert_eq!(seen, [200; TRIES]);
}

/// Sends a large request to a target that begins to respond when a part of the request was written and the connection
/// is writable again, but before more is written. The target then resets the connection, after the end of its response
/// or within it. Returns the connection, and the response body if it was accepted as complete.
async fn early_answer(answer: &'static str, has_end: bool) -> (Connection, Option<Bytes>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ((step, steps), (done, stepped)) = (mpsc::channel(), mpsc::channel());
    let target = thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let silence = Some(Duration::from_millis(300));
        connection.set_read_timeout(silence).unwrap();
        let mut part = vec![0; 1 << 20];
        steps.recv().unwrap();
        while connection.read(&mut part).is_ok_and(|length| length > 0) {}
        done.send(()).unwrap();
        steps.recv().unwrap();
        connection.write_all(answer.as_bytes()).unwrap();
        if has_end {
            connection.shutdown(net::Shutdown::Write).unwrap();
        }
        SockRef::from(&connection)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(connection);
        done.send(()).unwrap();
    });
    let mut connection = lanedeck::net::open(address, LONG, LONG).await.unwrap();
    let sent = tokio::spawn(async move {
        let answer = connection.send(long_request()).await.unwrap();
        let body = answer.into_body().collect().await.ok();
        (connection, body.map(Collected::to_bytes))
    });
    // By then the socket buffers are filled.
    sleep(Duration::from_millis(300)).await;
    // The runtime has this thread only, so nothing is written while it blocks here.
    step.send(()).unwrap();
    stepped.recv().unwrap();
    // The runtime learns that the connection is writable, and resumes this task before it writes.
    tokio::task::yield_now().await;
    step.send(()).unwrap();
    stepped.recv().unwrap();
    target.join().unwrap();
    sent.await.unwrap()
}

fn long_request() -> lanedeck::net::Request {
    let body = Bytes::from(vec![b'x'; BODY_MAX_BYTES]);
    http::Request::post("/").body(Full::new(body)).unwrap()
}

/// Guards against a truncated response that is taken for a complete success, where the target's connection was reset
/// within a response without a length. It comes about when the target has read a part of a large request and the
/// connection is writable again, and the target begins to respond and resets the connection before the gateway writes
/// more: the write fails, and the gateway then reads what has arrived of the response and the end of the connection.
/// The system reports a reset only once. The failed write consumes that report and is ignored, so the next read shows
/// an orderly end, and hyper takes the response for complete.
#[tokio::test]
async fn reset_answer() {
    let (_, body) = early_answer("HTTP/1.1 200 OK\r\n\r\nhal", false).await;
    assert_eq!(body, None);
}

/// A response that was received to its end is complete even if the connection is reset after it.
#[tokio::test]
async fn ended_answer() {
    let (_, body) = early_answer("HTTP/1.1 200 OK\r\n\r\nwhole", true).await;
    assert_eq!(body.as_deref(), Some(&b"whole"[..]));
}

/// A connection whose request could not be written completely is not reused, even if its response was complete.
#[tokio::test]
async fn no_second_request() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
    for has_end in [false, true] {
        let (mut connection, body) = early_answer(answer, has_end).await;
        assert_eq!(body.as_deref(), Some(&b"whole"[..]));
        assert!(!connection.is_usable(boot_clock::now()));
        let second = timeout(LONG, connection.send(long_request())).await;
        assert!(second.is_ok_and(|sent| sent.is_err_and(|error| error.was_not_sent())));
    }
}
