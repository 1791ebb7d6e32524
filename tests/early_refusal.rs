//! Refusals that are known before a caller has sent all of its request.
//!
//! A caller that sends a long body reads no answer before it has sent it. A connection that is closed with
//! bytes unread is reset, and the reset can overtake the refusal, so that the caller has neither an answer
//! nor a refusal.

mod deployment;

use std::time::Duration;

use deployment::runner::Runner;
use deployment::{Ask, Deployment, HOST, KEY, ask, config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PLENTY: u64 = 1_000_000;
/// Within what the configuration allows, and more than is read at once.
const BODY: usize = 60_000;

/// Sends a head, and the body once the refusal has had the time to be written; reads the answer and returns its head.
async fn send_slowly(line: &mut TcpStream, path: &str, key: &str) -> std::io::Result<String> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: r\r\nx-deadline-ms: 5000\r\n\
         authorization: Bearer {key}\r\ncontent-length: {BODY}\r\n\r\n"
    );
    line.write_all(head.as_bytes()).await?;
    for part in vec![b'x'; BODY].chunks(BODY / 4) {
        tokio::time::sleep(Duration::from_millis(50)).await;
        line.write_all(part).await?;
    }
    let mut answer = Vec::new();
    while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
        answer.push(line.read_u8().await?);
    }
    let head = String::from_utf8(answer).unwrap();
    let mut fields = head.lines().filter_map(|field| field.split_once(": "));
    let len = fields.find(|(name, _)| *name == "content-length");
    let mut body = vec![0; len.map_or(0, |(_, len)| len.parse().unwrap())];
    line.read_exact(&mut body).await?;
    Ok(head)
}

#[tokio::test(flavor = "multi_thread")]
async fn body_still_coming() {
    let app = Runner::start("i-app").await;
    let deployment = Deployment::start(1, &config(1, PLENTY), &[("app", &app)]).await;
    let front = deployment.gateways[0].front;
    for (path, key, status) in [("/once/x", "nobody's", "401"), ("/nowhere/x", KEY, "404")] {
        let mut line = TcpStream::connect(front).await.unwrap();
        for _ in 0..3 {
            let answer = send_slowly(&mut line, path, key).await;
            let answer = answer.expect("the connection is not closed under the caller's body");
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
    let deployment = Deployment::start(1, &config(1, PLENTY), &[("app", &app)]).await;
    let front = deployment.gateways[0].front;
    let mut line = TcpStream::connect(front).await.unwrap();
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: r\r\nx-deadline-ms: 5000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 100000000\r\n\r\n"
    );
    line.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 12];
    line.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, b"HTTP/1.1 413", "before any of the body");
}
