//! Requests that arrive while a gateway stops.
//!
//! Guards against a request that a target has run but whose caller gets neither a response nor a refusal, in a planned
//! stop without other faults and some three seconds after SIGTERM.
//!
//! It comes about when the router counts no requests in progress and begins to give its grants back, which takes as
//! long as the store does, at most half a second, while its listeners and idle connections are still open. A request
//! arrives by one of them and is sent to a target; the grants are given back; the process exits, and the system closes
//! the connection. The cause is that one reading of a count decides the end while new requests can still raise the
//! count. A count that leaves out responses that are handed over but not yet written has the same effect.
//!
//! Such a router's log has `giving_back` with no active requests, then `attempt_sent`, then `stopped` with one active.

mod deployment;

use std::time::Duration;

use deployment::runner::{Mode, Runner};
use deployment::store::Fault;
use deployment::{Answer, Ask, Deployment, LONG, ask, ask_on, config, try_ask, until};
use lanedeck::gateway::message::{Reply, Request};
use lanedeck::net;
use lanedeck::units::Tokens;
use lanedeck::wire;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

const PREPAID_TOKENS: u64 = 1_000_000;
const FLAGS: [&str; 4] = ["--keep", "200", "--grace", "20000"];
/// Longer than the time for giving grants back, so that no request that arrives meanwhile can finish in time by chance.
const SLOW_RESPONSE: Mode = Mode::Delay(700);
/// The default fleet key.
const FLEET_KEY: &str = "lanedeck-fleet";
/// Number of requests; at [`REQUEST_INTERVAL`] they span a stop.
const REQUESTS: usize = 8;
/// Longer than the interval at which a stopping router polls its requests in progress.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// A gateway that holds a grant while the store does not respond, so giving the grant back takes the maximum time.
async fn deployment_with_unreturnable_grant(app: &Runner, engine: &Runner) -> Deployment {
    let runners = [("app", app), ("engine", engine)];
    let deployment = Deployment::start_with(1, &config(1, PREPAID_TOKENS), &runners, &FLAGS).await;
    let gateway = &deployment.gateways[0];
    let granted = ask(gateway.front, &Ask::talk("g", "/talk/x", 100, 50)).await;
    assert_eq!(granted.status, 200);
    deployment.store.set_fault(gateway.store, Fault::Silent);
    deployment
}

/// Whether a request has run.
fn has_run(runner: &Runner, id: &str) -> bool {
    let arrivals = runner.arrivals();
    let mut runs = arrivals.iter().filter(|arrival| arrival.ran);
    runs.any(|arrival| arrival.header("x-attempt-id") == id)
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_by_kept_connections() {
    let app = Runner::start("i-app").await;
    let engine = Runner::start("i-e").await;
    let mut deployment = deployment_with_unreturnable_grant(&app, &engine).await;
    let front = deployment.gateways[0].front;
    let mut kept = Vec::new();
    for number in 0..REQUESTS {
        let mut connection = net::open(front, LONG, LONG).await.unwrap();
        let before = Ask::new(&format!("before{number}"), "/once/x");
        assert_eq!(ask_on(&mut connection, &before).await.unwrap().status, 200);
        kept.push(connection);
    }
    app.set(SLOW_RESPONSE);
    deployment.gateways[0].signal("TERM");
    for (number, connection) in kept.iter_mut().enumerate() {
        let id = format!("during{number}");
        let answer = ask_on(connection, &Ask::new(&id, "/once/x")).await;
        assert_answered_or_not_run(&app, &id, answer.as_ref());
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    deployment.wait_end().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_by_new_connections() {
    let app = Runner::start("i-app").await;
    let engine = Runner::start("i-e").await;
    let mut deployment = deployment_with_unreturnable_grant(&app, &engine).await;
    let front = deployment.gateways[0].front;
    app.set(SLOW_RESPONSE);
    deployment.gateways[0].signal("TERM");
    for number in 0..REQUESTS {
        let id = format!("during{number}");
        let answer = try_ask(front, &Ask::new(&id, "/once/x")).await;
        assert_answered_or_not_run(&app, &id, answer.as_ref());
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    deployment.wait_end().await;
}

/// Asserts that a request has a complete response or has not run.
fn assert_answered_or_not_run(runner: &Runner, id: &str, answer: Option<&Answer>) {
    let is_final = answer.is_some_and(|answer| answer.is_whole);
    assert!(
        is_final || !has_run(runner, id),
        "{id} has run and has no complete response"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_by_slow_reader() {
    const BYTES: usize = 7 << 20;
    let app = Runner::start("i-app").await;
    app.set(Mode::LargeBody(BYTES));
    let runners = [("app", &app)];
    let mut deployment =
        Deployment::start_with(1, &config(1, PREPAID_TOKENS), &runners, &FLAGS).await;
    let gateway = &deployment.gateways[0];
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    let mut connection = socket.connect(gateway.front).await.unwrap();
    let head = format!(
        "GET /once/x HTTP/1.1\r\nhost: {}\r\nx-attempt-id: r\r\nx-deadline-ms: 5000\r\nauthorization: \
         Bearer {}\r\n\r\n",
        deployment::HOST,
        deployment::KEY
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 1];
    connection.read_exact(&mut answer).await.unwrap();
    gateway.signal("TERM");
    // The caller reads slowly: each request has its response, but one response is not written completely yet.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    connection.read_to_end(&mut answer).await.unwrap();
    let head = answer
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .unwrap()
        + 4;
    assert_eq!(answer.len() - head, BYTES, "the response is complete");
    deployment.wait_end().await;
}

/// A request that a stop can wait for no longer gets a response before its connection is closed.
#[tokio::test(flavor = "multi_thread")]
async fn stop_gives_up() {
    let app = Runner::start("i-app").await;
    app.set(Mode::Hang);
    let flags = ["--keep", "200", "--grace", "2000"];
    let runners = [("app", &app)];
    let mut deployment =
        Deployment::start_with(1, &config(1, PREPAID_TOKENS), &runners, &flags).await;
    let front = deployment.gateways[0].front;
    let asked = tokio::spawn(async move { ask(front, &Ask::new("r", "/once/x")).await });
    until(|| async { app.runs() > 0 }).await;
    deployment.gateways[0].signal("TERM");
    let answer = asked.await.unwrap();
    assert_eq!(
        (answer.status, answer.header("retry-after")),
        (504, ""),
        "the request may have run"
    );
    deployment.wait_end().await;
}

/// A router that gives its grants back declines tokens from other routers, since they would be lost with its process.
#[tokio::test(flavor = "multi_thread")]
async fn stop_takes_no_tokens() {
    let app = Runner::start("i-app").await;
    let engine = Runner::start("i-e").await;
    let mut deployment = deployment_with_unreturnable_grant(&app, &engine).await;
    let link = deployment.gateways[0].link;
    let peers = wire::Client::new(FLEET_KEY);
    deployment.gateways[0].signal("TERM");
    let mut taken = 0;
    let last = loop {
        let request = Request::Give {
            customer: deployment::CUSTOMER.to_owned(),
            tokens: Tokens(1),
        };
        match peers.ask::<Request, Reply>(link, &request).await {
            Ok(Reply::Taken) => taken += 1,
            other => break other,
        }
    };
    assert!(taken > 0, "it accepts tokens before it gives its own back");
    assert!(matches!(last, Ok(Reply::Declined)), "{last:?}");
    deployment.wait_end().await;
}
