//! Refusals that are decided before a caller has sent the whole request.
//!
//! A caller that sends a long body reads no answer before it has sent all of it. Closing a connection with unread bytes
//! resets it, and the reset can overtake the refusal, so that the caller never sees it.

mod deployment;

use std::time::Duration;

use deployment::runner::Runner;
use deployment::{Ask, Deployment, HOST, KEY, ask, config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The customer's prepaid budget, in tokens; more than the tests use.
const PREPAID: u64 = 1_000_000;
/// Length of a body in bytes: within the configured limit, and more than the router reads at once.
const BODY_LEN: usize = 60_000;

/// Sends a request head, and then the body in parts, so that the refusal can be written meanwhile. Reads the answer and
/// returns its head.
async fn send_slowly(connection: &mut TcpStream, path: &str, key: &str) -> std::io::Result<String> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: r\r\nx-deadline-ms: 5000\r\n\
         authorization: Bearer {key}\r\ncontent-length: {BODY_LEN}\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await?;
    for part in vec![b'x'; BODY_LEN].chunks(BODY_LEN / 4) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        connection.write_all(part).await?;
    }
    let mut answer = Vec::new();
    while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
        answer.push(connection.read_u8().await?);
    }
    let head = String::from_utf8(answer).unwrap();
    let mut fields = head.lines().filter_map(|field| field.split_once(": "));
    let len = fields.find(|(name, _)| *name == "content-length");
    let mut body = vec![0; len.map_or(0, |(_, len)| len.parse().unwrap())];
    connection.read_exact(&mut body).await?;
    Ok(head)
}

#[tokio::test(flavor = "multi_thread")]
async fn body_still_coming() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(1, &config(1, PREPAID), &[("app", &app)]).await;
    let front = deployment.gateways[0].front;
    for (path, key, status) in [("/once/x", "nobody's", "401"), ("/nowhere/x", KEY, "404")] {
        let mut connection = TcpStream::connect(front).await.unwrap();
        for _ in 0..3 {
            let answer = send_slowly(&mut connection, path, key).await;
            let answer = answer.expect("the connection stays open while the caller sends the body");
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status}")),
                "{answer}"
            );
        }
    }
    assert_eq!(ask(front, &Ask::new("r", "/once/x")).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn body_too_long() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(1, &config(1, PREPAID), &[("app", &app)]).await;
    let front = deployment.gateways[0].front;
    let mut connection = TcpStream::connect(front).await.unwrap();
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: r\r\nx-deadline-ms: 5000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 100000000\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 12];
    connection.read_exact(&mut answer).await.unwrap();
    assert_eq!(
        answer, b"HTTP/1.1 413",
        "refused before any of the body was sent"
    );
}
