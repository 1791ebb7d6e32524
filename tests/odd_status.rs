//! Targets whose answers have a status that no final answer has: callers never get them as answers.

mod deployment;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::runner::Runner;
use deployment::{Ask, Deployment, LONG, ask, config, list, list_at, status_of, until};
use http_body_util::Full;
use lanedeck::net;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LARGE_BUDGET: u64 = 1_000_000;
const REQUESTS: usize = 30;
const STATUS_LINES: [&str; 12] = [
    "HTTP/1.1 000 None",
    "HTTP/1.1 0 None",
    "HTTP/1.1 099 None",
    "HTTP/1.1 20 Ok",
    "HTTP/1.1 1000 Much",
    "HTTP/1.1 200Ok",
    "HTTP/1.1",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 More",
    "HTTP/1.1 700 More",
    "HTTP/1.1 999 Most",
    "HTTP/1.1 -20 Less",
];

/// Answers each request of a connection with this status line, and with a good head and body otherwise.
async fn answer(mut stream: TcpStream, status_line: &'static str) {
    let mut received = String::new();
    let mut buffer = [0; 4_096];
    loop {
        while !received.contains("\r\n\r\n") {
            match stream.read(&mut buffer).await {
                Ok(read) if read > 0 => {
                    received.push_str(&String::from_utf8_lossy(&buffer[..read]));
                }
                _ => return,
            }
        }
        let mut lines = received.lines();
        let id = lines.find_map(|line| line.strip_prefix("x-attempt-id: "));
        let answer = format!(
            "{status_line}\r\nx-attempt-id: {}\r\nx-server-seal: s\r\n\
             content-type: text/event-stream\r\ncontent-length: 10\r\n\r\nid: 1\n\n\n\n",
            id.unwrap_or_default()
        );
        received.clear();
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn target(status_line: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, status_line));
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn passed_on_to_caller() {
    let deployment = Deployment::start(1, &config(1, LARGE_BUDGET), &[]).await;
    let front = deployment.gateways[0].front;
    for (number, status_line) in STATUS_LINES.into_iter().enumerate() {
        let address = target(status_line).await;
        let (service, prefix) = match number % 2 {
            0 => ("app", "/once/"),
            _ => ("engine", "/talk/"),
        };
        let instance = format!("i-{number}");
        list_at(&deployment.store, service, &instance, address, "ready");
        let request = |id: &str| match service {
            "app" => Ask::new(id, "/once/x").post("b"),
            _ => Ask::talk(id, "/talk/x", 100, 50),
        };
        let mut answers = Vec::new();
        until(|| async {
            let id = format!("r{}", rand::random::<u64>());
            let status = ask(front, &request(&id)).await.status;
            status != 503
        })
        .await;
        for number in 0..3 {
            let answer = ask(front, &request(&format!("{prefix}{number}"))).await;
            answers.push((answer.status, answer.header("x-server-seal").to_owned()));
        }
        // It may have run, so there is no promise that it has not. Once ejected, the target is not asked.
        let is_good =
            |(status, seal): &(u16, String)| [502, 503].contains(status) && seal.is_empty();
        assert!(answers.iter().all(is_good), "{status_line}: {answers:?}");
        deployment.store.put("keyed.servers", &instance, None);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn not_retried_or_ejected() {
    for status_line in [
        "HTTP/1.1 000 None",
        "HTTP/1.1 101 Other",
        "HTTP/1.1 600 More",
    ] {
        let sound = Runner::start("i-sound").await;
        let runners = [("app", &sound)];
        let deployment = Deployment::start(1, &config(1, LARGE_BUDGET), &runners).await;
        let front = deployment.gateways[0].front;
        let address = target(status_line).await;
        list_at(&deployment.store, "app", "i-odd", address, "ready");
        list(&deployment.store, "app", &sound, "ready");
        tokio::time::sleep(Duration::from_secs(1)).await;
        let mut served = 0;
        for _ in 0..REQUESTS {
            served += usize::from(status_of(front, "/often/x").await == Some(200));
        }
        assert_eq!(served, REQUESTS, "{status_line}");
    }
}

/// The store, other routers and health checks are asked over such connections too.
#[tokio::test(flavor = "multi_thread")]
async fn taken_as_response() {
    for status_line in STATUS_LINES {
        let address = target(status_line).await;
        let mut connection = net::open(address, LONG, LONG).await.unwrap();
        let mut request = http::Request::new(Full::default());
        *request.uri_mut() = "/x".parse().unwrap();
        let sent = connection.send(request).await;
        assert!(sent.is_err(), "{status_line}: {sent:?}");
        assert!(!sent.unwrap_err().was_not_sent(), "{status_line}");
    }
}
