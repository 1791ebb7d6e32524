//! A target that answers a long request from its head, and closes over the rest.

mod deployment;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::{Ask, Deployment, config, list_at, try_ask};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const PLENTY: u64 = 1_000_000;

/// A target that answers each request once its head has come, and closes the connection over the body.
async fn early_target(answer: &'static str) -> SocketAddr {
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
        let target = early_target(answer).await;
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
