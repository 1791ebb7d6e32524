//! Requests that arrive while a gateway stops.
//!
//! What callers saw: under planned work alone, a whole request that was sent to a stopping router some three
//! seconds after its SIGTERM ended with neither an answer nor a refusal, though a target had run it.
//!
//! The order of events: the router looked at its requests under way, saw none, and began to give its grants
//! back, which takes as long as the store does, half a second at most. Its listeners and idle connections were
//! open meanwhile. A request came in by one of them and was sent to a target; the grants were back; the
//! process ended, and the system closed the connection.
//!
//! The cause: the end was decided by one look at a count, while what raises the count went on. A second way
//! to the same end: the count left out an answer that was handed over and not yet written.
//!
//! The evidence: a stopped router whose log has `giving_back` with none active, an `attempt_sent` after it,
//! and `stopped` with one active.

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

const PLENTY: u64 = 1_000_000;
const FLAGS: [&str; 4] = ["--keep", "200", "--grace", "20000"];
/// Longer than grants are given back for, so that no request that comes meanwhile ends in time by luck.
const WORK: Mode = Mode::After(700);
/// The key that routers have by default.
const FLEET_KEY: &str = "lanedeck-fleet";
/// Enough to span a stop.
const REQUESTS: usize = 8;
/// Longer than the interval of a stopping router's looks.
const PAUSE: Duration = Duration::from_millis(100);

/// A gateway that holds a grant which the store does not take back: giving it back takes as long as it may.
async fn holding_a_grant(app: &Runner, engine: &Runner) -> Deployment {
    let runners = [("app", app), ("engine", engine)];
    let deployment = Deployment::start_with(1, &config(1, PLENTY), &runners, &FLAGS).await;
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
    let mut deployment = holding_a_grant(&app, &engine).await;
    let front = deployment.gateways[0].front;
    let mut kept = Vec::new();
    for number in 0..REQUESTS {
        let mut line = net::open(front, LONG, LONG).await.unwrap();
        let before = Ask::new(&format!("before{number}"), "/once/x");
        assert_eq!(ask_on(&mut line, &before).await.unwrap().status, 200);
        kept.push(line);
    }
    app.set(WORK);
    deployment.gateways[0].signal("TERM");
    for (number, line) in kept.iter_mut().enumerate() {
        let id = format!("during{number}");
        let answer = ask_on(line, &Ask::new(&id, "/once/x")).await;
        check(&app, &id, answer.as_ref());
        tokio::time::sleep(PAUSE).await;
    }
    deployment.wait_end().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_by_new_connections() {
    let app = Runner::start("i-app").await;
    let engine = Runner::start("i-e").await;
    let mut deployment = holding_a_grant(&app, &engine).await;
    let front = deployment.gateways[0].front;
    app.set(WORK);
    deployment.gateways[0].signal("TERM");
    for number in 0..REQUESTS {
        let id = format!("during{number}");
        let answer = try_ask(front, &Ask::new(&id, "/once/x")).await;
        check(&app, &id, answer.as_ref());
        tokio::time::sleep(PAUSE).await;
    }
    deployment.wait_end().await;
}

/// A request has a whole answer, or has not run.
fn check(runner: &Runner, id: &str, answer: Option<&Answer>) {
    let is_final = answer.is_some_and(|answer| answer.is_whole);
    assert!(
        is_final || !has_run(runner, id),
        "{id} has run and has no answer"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_by_slow_reader() {
    const BYTES: usize = 7 << 20;
    let app = Runner::start("i-app").await;
    app.set(Mode::Long(BYTES));
    let runners = [("app", &app)];
    let mut deployment = Deployment::start_with(1, &config(1, PLENTY), &runners, &FLAGS).await;
    let gateway = &deployment.gateways[0];
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    let mut line = socket.connect(gateway.front).await.unwrap();
    let head = format!(
        "GET /once/x HTTP/1.1\r\nhost: {}\r\nx-attempt-id: r\r\nx-deadline-ms: 5000\r\nauthorization: \
         Bearer {}\r\n\r\n",
        deployment::HOST,
        deployment::KEY
    );
    line.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 1];
    line.read_exact(&mut answer).await.unwrap();
    gateway.signal("TERM");
    // The caller is slow: all requests have had their answers, but one is not written yet.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    line.read_to_end(&mut answer).await.unwrap();
    let head = answer
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .unwrap()
        + 4;
    assert_eq!(answer.len() - head, BYTES, "the answer is whole");
    deployment.wait_end().await;
}

/// What a stop can wait for no longer is given up with an answer, in time for its connection.
#[tokio::test(flavor = "multi_thread")]
async fn stop_gives_up() {
    let app = Runner::start("i-app").await;
    app.set(Mode::Mute);
    let flags = ["--keep", "200", "--grace", "2000"];
    let runners = [("app", &app)];
    let mut deployment = Deployment::start_with(1, &config(1, PLENTY), &runners, &flags).await;
    let front = deployment.gateways[0].front;
    let asked = tokio::spawn(async move { ask(front, &Ask::new("r", "/once/x")).await });
    until(|| async { app.runs() > 0 }).await;
    deployment.gateways[0].signal("TERM");
    let answer = asked.await.unwrap();
    assert_eq!(
        (answer.status, answer.header("retry-after")),
        (504, ""),
        "it may have run"
    );
    deployment.wait_end().await;
}

/// Tokens that another router gives to one that gives its own back would end with its process.
#[tokio::test(flavor = "multi_thread")]
async fn stop_takes_no_tokens() {
    let app = Runner::start("i-app").await;
    let engine = Runner::start("i-e").await;
    let mut deployment = holding_a_grant(&app, &engine).await;
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
    assert!(taken > 0, "before it gives back, it takes");
    assert!(matches!(last, Ok(Reply::Declined)), "{last:?}");
    deployment.wait_end().await;
}
