//! Places beside a planned stop where a request or a question that was taken ends with neither its answer nor
//! a refusal, or with less than was known. Each test tells what is seen, the order of events and the cause.

mod deployment;

use std::time::Duration;

use deployment::runner::{Mode, Runner};
use deployment::{Ask, Deployment, config, try_ask, until};

const PLENTY: u64 = 1_000_000;

/// Callers see a reset where a stopping gateway refuses a long body that the configuration allows. The order of
/// events: the head is read, the refusal is written, the connection is closed with bytes of the body unread, and
/// the reset overtakes the refusal while the caller still writes. The cause: of what is refused no more than
/// 4 MiB are read and discarded, and nothing of a body that says that it is longer, whatever the configuration's
/// own limit is.
#[tokio::test(flavor = "multi_thread")]
async fn longer_body_refused() {
    const BODY: usize = 8_000_000;
    const TRIES: usize = 20;
    let app = Runner::start("i-app").await;
    app.set(Mode::Mute);
    let mut wide = config(1, PLENTY);
    wide["limits"]["maxBodyBytes"] = (16 << 20).into();
    let flags = ["--keep", "200", "--grace", "6000"];
    let deployment = Deployment::start_with(1, &wide, &[("app", &app)], &flags).await;
    let gateway = &deployment.gateways[0];
    let front = gateway.front;
    // It holds the stop open.
    let held = tokio::spawn(async move { try_ask(front, &Ask::new("h", "/once/x")).await });
    until(|| async { app.runs() > 0 }).await;
    gateway.signal("TERM");
    // From then on what may take too long is refused.
    until(|| async {
        let late = Ask::new("late", "/often/x").with("x-deadline-ms", "20000");
        let answer = tokio::time::timeout(Duration::from_millis(300), try_ask(front, &late)).await;
        matches!(answer, Ok(Some(answer)) if answer.status == 503)
    })
    .await;
    let mut seen = Vec::new();
    for number in 0..TRIES {
        let request = Ask::new(&format!("r{number}"), "/once/x").post(&"x".repeat(BODY));
        let answer = try_ask(front, &request).await;
        seen.push(answer.map_or(0, |answer| answer.status));
    }
    held.abort();
    assert_eq!(seen, [503; TRIES]);
}
