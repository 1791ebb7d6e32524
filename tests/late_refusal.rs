//! Targets that send a second answer to a request in the place of the next one's.

mod deployment;

use std::net::SocketAddr;

use deployment::{Ask, Deployment, ask, config, list_at, status_of, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LARGE_BUDGET: u64 = 1_000_000;
const REQUESTS: usize = 20;

/// Which request a second answer names.
#[derive(Clone, Copy)]
enum Names {
    /// The one that it is to.
    Earlier,
    /// None.
    None,
}

/// Answers requests of a connection in turn: one well, and the next one with a refusal that names the one before.
async fn answer(mut stream: TcpStream, refusal: &'static str, names: Names) {
    let mut received = String::new();
    let mut buffer = [0; 4_096];
    let mut last: Option<String> = None;
    loop {
        while !received.contains("\r\n\r\n") {
            match stream.read(&mut buffer).await {
                Ok(read) if read > 0 => {
                    received.push_str(&String::from_utf8_lossy(&buffer[..read]))
                }
                _ => return,
            }
        }
        let lines = &mut received.lines();
        let id = lines.find_map(|line| line.strip_prefix("x-attempt-id: "));
        let id = id.unwrap().to_owned();
        received.clear();
        let answer = match last.take() {
            Some(last) => {
                let name = match names {
                    Names::Earlier => format!("x-attempt-id: {last}\r\n"),
                    Names::None => String::new(),
                };
                format!(
                    "HTTP/1.1 {refusal}\r\n{name}x-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
                )
            }
            None => {
                last = Some(id.clone());
                format!(
                    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: s\r\ncontent-length: 2\r\n\r\nok"
                )
            }
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn target(refusal: &'static str, names: Names) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, refusal, names));
        }
    });
    address
}

/// Guards against a request that runs and is reported as not run, since the refusal of an earlier one came in its place.
#[tokio::test(flavor = "multi_thread")]
async fn of_another_request() {
    check_not_promised(Names::Earlier).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_another_request_without_id() {
    check_not_promised(Names::None).await;
}

async fn check_not_promised(names: Names) {
    for refusal in ["503 No", "429 Later", "421 Elsewhere", "400 Bad"] {
        let deployment = Deployment::start(1, &config(1, LARGE_BUDGET), &[]).await;
        let front = deployment.gateways[0].front;
        let address = target(refusal, names).await;
        list_at(&deployment.store, "app", "i-late", address, "ready");
        until(|| async { status_of(front, "/once/x").await == Some(200) }).await;
        let mut ends = Vec::new();
        for number in 0..REQUESTS {
            let request = Ask::new(&format!("r{number}"), "/once/x");
            ends.push(ask(front, &request).await.status);
        }
        let promised = ends
            .iter()
            .filter(|status| [408, 421, 429, 503].contains(*status));
        assert_eq!(promised.count(), 0, "{refusal}: {ends:?}");
        assert!(
            ends.contains(&200) && ends.contains(&502),
            "{refusal}: {ends:?}"
        );
    }
}
