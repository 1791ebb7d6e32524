//! The bytes that a gateway holds for slow callers: bodies are refused before they take too much of its memory, the less
//! urgent ones first, and other callers are served meanwhile.

mod deployment;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::runner::{Mode, Runner};
use deployment::{Ask, Deployment, HOST, KEY, LONG, ask, ask_on, config, until, until_reached};
use lanedeck::boot_clock;
use lanedeck::gateway::decision::memory;
use lanedeck::gateway::held::Account;
use lanedeck::net;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const MEGABYTE: usize = 1_000_000;
const LARGE_BUDGET: u64 = 1_000_000;
/// Length of the bodies that slow callers declare, within the configuration's limit.
const LENGTH: usize = 60_000;
/// Time within which connections are closed to make room, far below the idle timeout.
const CLOSED_WITHIN: Duration = Duration::from_secs(3);
/// Time within which an answer that was sent before is read.
const ANSWERED_WITHIN: Duration = Duration::from_millis(200);

#[test]
fn urgent_ranks_last() {
    let refused = |held, more, rank| memory::is_refused(held, more, rank, Some(MEGABYTE));
    assert!(!refused(0, 350_000, 0));
    assert!(refused(0, 350_001, 0));
    assert!(!refused(300_000, 10_000, 1));
    assert!(refused(300_000, 10_000, 4));
    assert!(!refused(100_000, 10_000, 9));
    assert!(!refused(MEGABYTE, 0, 9), "nothing more is held");
    assert!(!memory::is_refused(usize::MAX, 1, 0, None));
}

#[test]
fn given_back() {
    let account = Account::new(Some(MEGABYTE));
    let mut first = account.open(0);
    assert!(first.try_raise(200_000));
    assert!(first.try_raise(100_000), "as much is held already");
    let mut second = account.open(0);
    assert!(!second.try_raise(200_000));
    assert_eq!(account.held(), 200_000);
    // An answer has arrived.
    second.add(500_000);
    assert_eq!(account.held(), 700_000);
    drop(first);
    drop(second);
    assert_eq!(account.held(), 0);
}

async fn start(memory: &str) -> (Deployment, Runner) {
    let app = Runner::start("i-app").await;
    let runners = [("app", &app)];
    let flags = ["--memory", memory];
    let deployment = Deployment::start_with(1, &config(1, LARGE_BUDGET), &runners, &flags).await;
    until_reached(deployment.gateways[0].front, &app).await;
    (deployment, app)
}

/// Sends the head of a request with a body of this length, and nothing of the body.
async fn send_head(front: SocketAddr, number: usize, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(front).await.unwrap();
    let head = format!(
        "POST /often/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: slow{number}\r\nx-deadline-ms: 4000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

async fn held(deployment: &Deployment) -> usize {
    let text = ask(deployment.gateways[0].metrics, &Ask::get("/metrics"))
        .await
        .body;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("lanedeck_held_bytes "));
    line.unwrap().parse().unwrap()
}

async fn is_memory_full(deployment: &Deployment, id: &str) -> bool {
    let request = Ask::new(id, "/often/x").post(&"x".repeat(LENGTH));
    let answer = ask(deployment.gateways[0].front, &request).await;
    if answer.status == 200 {
        return false;
    }
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("memory_full"), "{}", answer.body);
    assert!(!answer.header("retry-after").is_empty());
    true
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_senders() {
    const HELD: usize = 4;
    let (deployment, app) = start("1").await;
    let front = deployment.gateways[0].front;
    let mut slow = Vec::new();
    for number in 0..20 {
        slow.push(send_head(front, number, LENGTH).await);
    }
    // Of the 350,000 bytes, the customer's and the route's ranks leave 70,000 to more urgent requests.
    until(|| async { held(&deployment).await == HELD * LENGTH }).await;
    assert!(is_memory_full(&deployment, "late").await);
    let small = Ask::new("small", "/often/x").post("small");
    assert_eq!(
        ask(front, &small).await.status,
        200,
        "small ones are served"
    );
    // The others were refused at once.
    let mut refused = 0;
    let mut left = Vec::new();
    for mut stream in slow {
        let mut answer = [0; 12];
        match timeout(ANSWERED_WITHIN, stream.read(&mut answer)).await {
            Ok(Ok(_)) => refused += usize::from(answer.ends_with(b" 503")),
            _ => left.push(stream),
        }
    }
    assert_eq!((refused, left.len()), (20 - HELD, HELD));
    drop(left);
    until(|| async { held(&deployment).await == 0 }).await;
    assert!(!is_memory_full(&deployment, "again").await);
    assert!(app.arrivals().iter().all(|it| !it.path.contains("slow")));
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_readers() {
    // More than the sockets' buffers take.
    const ANSWER: usize = 6 << 20;
    let (deployment, app) = start("30").await;
    let front = deployment.gateways[0].front;
    app.set(Mode::LargeBody(ANSWER));
    let mut slow = Vec::new();
    for number in 0..4 {
        slow.push(send_head(front, number, 0).await);
    }
    until(|| async { held(&deployment).await > 10_500_000 }).await;
    app.set(Mode::Normal);
    assert!(is_memory_full(&deployment, "late").await);
    let get = Ask::new("get", "/often/x");
    assert_eq!(ask(front, &get).await.status, 200, "it holds nothing");
    // The answers are delivered whole all the same.
    for mut stream in slow {
        let mut bytes = 0;
        let mut buffer = vec![0; 1 << 20];
        while bytes < ANSWER {
            let read = stream.read(&mut buffer).await.unwrap();
            assert!(read > 0, "the answer broke off after {bytes} bytes");
            bytes += read;
        }
    }
    until(|| async { held(&deployment).await == 0 }).await;
    assert!(!is_memory_full(&deployment, "again").await);
}

#[test]
fn connections_follow_memory() {
    let kept = |megabytes: usize| memory::connections_kept_max(Some(megabytes * MEGABYTE));
    assert!((800..1_000).contains(&kept(110)), "{}", kept(110));
    assert!(memory::connections_accepted_max(Some(110 * MEGABYTE)) > kept(110));
    assert_eq!(memory::connections_kept_max(None), usize::MAX);
}

/// Guards against a gateway that ends for want of memory, since it keeps the connections of idle callers.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_fill_memory() {
    const CALLERS: usize = 400;
    const MEMORY_MB: usize = 20;
    let (deployment, _app) = start(&MEMORY_MB.to_string()).await;
    let front = deployment.gateways[0].front;
    let mut lines = Vec::new();
    for number in 0..CALLERS {
        let mut line = net::open(front, LONG, LONG).await.unwrap();
        let request = Ask::new(&format!("c{number}"), "/often/x");
        let answer = ask_on(&mut line, &request).await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        line.set_idle(LONG);
        lines.push(line);
    }
    let now = boot_clock::now();
    let is_few = || {
        let open = lines.iter().filter(|line| line.is_usable(now)).count();
        open <= memory::connections_kept_max(Some(MEMORY_MB * MEGABYTE))
    };
    let closed = timeout(CLOSED_WITHIN, until(|| async { is_few() })).await;
    assert!(closed.is_ok(), "idle connections stay open");
}
