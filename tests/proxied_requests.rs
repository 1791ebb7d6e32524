//! Requests that a router without a path to the targets sends through another one.

mod deployment;
mod routes;

use std::time::{Duration, Instant};

use deployment::runner::{EVENTS, Mode, Runner};
use deployment::store::Fault;
use deployment::{Ask, ask, list_at, try_ask, until};
use routes::{Fleet, Partition};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time after which a cancelled request must have ended at its target.
const CANCELLED_BY: Duration = Duration::from_millis(500);

/// Time after an answer after which a refusal without an id counts as that of the next request.
const BELIEVED_AFTER: Duration = Duration::from_millis(1_100);

/// Starts routers of which the first is partitioned and sends its requests through others.
async fn start(gateways: usize) -> Fleet {
    let fleet = Fleet::start(gateways, 3, 2).await;
    fleet.cut(1, Partition::Silent).await;
    until_proxied(&fleet).await;
    fleet
}

/// Waits until the first router is served by others.
async fn until_proxied(fleet: &Fleet) {
    let gateway = &fleet.deployment.gateways[0];
    until(|| async {
        let _ = try_ask(gateway.front, &Ask::new("warm", "/often/x")).await;
        let text = ask(gateway.metrics, &Ask::get("/metrics")).await.body;
        !text.contains("lanedeck_proxied_total 0\n")
    })
    .await;
}

fn plain(fleet: &Fleet) -> &[Runner] {
    &fleet.runners[..3]
}

fn engines(fleet: &Fleet) -> &[Runner] {
    &fleet.runners[3..]
}

fn runs(runners: &[Runner]) -> usize {
    runners.iter().map(Runner::runs).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_request() {
    let fleet = start(2).await;
    let request = Ask::new("r1", "/once/buy?x=1%202").post("a body");
    let answer = ask(fleet.fronts()[0], &request.with("x-other", "kept")).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("x-server-seal"), "seal-of-r1");
    let arrivals = plain(&fleet).iter().flat_map(Runner::arrivals);
    let arrivals: Vec<_> = arrivals
        .filter(|arrival| arrival.header("x-attempt-id") == "r1")
        .collect();
    assert_eq!(arrivals.len(), 1, "sent once");
    let arrival = &arrivals[0];
    assert_eq!(arrival.method, "POST");
    assert_eq!(arrival.path, "/once/buy?x=1%202");
    assert_eq!(&arrival.body[..], b"a body");
    assert_eq!(arrival.header("x-other"), "kept");
    assert_eq!(arrival.header("x-expect-instance"), arrival.instance);
    for name in ["authorization", "proxy-authorization", "lanedeck-target"] {
        assert_eq!(arrival.header(name), "", "{name} stays between routers");
    }
    let left: u64 = arrival.header("x-deadline-ms").parse().unwrap();
    assert!(left <= 4_000, "at most the route's time limit: {left}");
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_everywhere() {
    let fleet = start(2).await;
    let before = runs(plain(&fleet));
    plain(&fleet).iter().for_each(|it| it.set(Mode::Shed));
    tokio::time::sleep(BELIEVED_AFTER).await;
    let answer = ask(fleet.fronts()[0], &Ask::new("r", "/once/x")).await;
    assert_eq!(answer.status, 503);
    assert_eq!(runs(plain(&fleet)), before, "it has not run");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let fleet = start(2).await;
    let before = runs(plain(&fleet));
    plain(&fleet).iter().for_each(|it| it.set(Mode::DropAnswer));
    let answer = ask(fleet.fronts()[0], &Ask::new("r", "/once/x")).await;
    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(runs(plain(&fleet)), before + 1, "it runs once");
    let answer = ask(fleet.fronts()[0], &Ask::new("s", "/often/x")).await;
    assert_eq!(answer.status, 502);
    assert_eq!(
        runs(plain(&fleet)),
        before + 3,
        "as often as the route allows"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream() {
    let fleet = start(2).await;
    engines(&fleet).iter().for_each(|it| it.set(Mode::Break(2)));
    let request = Ask::talk("s", "/talk/x", 100, 50);
    let answer = ask(fleet.fronts()[0], &request).await;
    assert!(
        !answer.is_whole,
        "a truncated stream does not look complete"
    );
    assert_eq!(answer.events(), vec![1, 2], "complete events only");
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream() {
    let fleet = start(2).await;
    let [first, second] = engines(&fleet) else {
        panic!("two engines");
    };
    first.set(Mode::Break(2));
    second.set(Mode::Break(2));
    let front = fleet.fronts()[0];
    let request = Ask::talk("s", "/resume/x", 100, 50);
    let asked = tokio::spawn(async move { ask(front, &request).await });
    until(|| async { first.runs() + second.runs() > 0 }).await;
    let other = if first.runs() > 0 { second } else { first };
    other.set(Mode::Normal);
    let answer = asked.await.unwrap();
    assert!(answer.is_whole);
    assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_stream() {
    let fleet = start(2).await;
    engines(&fleet).iter().for_each(|it| it.set(Mode::Slow(20)));
    let front = fleet.fronts()[0];
    let request = Ask::talk("s", "/talk/x", 100, 5_000).with("x-work", "0,0,500,20");
    let asked = tokio::spawn(async move { ask(front, &request).await });
    let sent = || {
        let arrivals = engines(&fleet).iter().flat_map(Runner::arrivals);
        arrivals
            .map(|arrival| {
                arrival
                    .handed_out
                    .load(std::sync::atomic::Ordering::Relaxed)
            })
            .sum::<u32>()
    };
    until(|| async { sent() > 5 }).await;
    asked.abort();
    tokio::time::sleep(CANCELLED_BY).await;
    let before = sent();
    tokio::time::sleep(CANCELLED_BY).await;
    assert_eq!(sent(), before, "the target has stopped");
}

/// A stop of the router that sends the requests of others lets them end.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_proxy() {
    let mut fleet = start(2).await;
    let front = fleet.fronts()[0];
    let request = Ask::talk("s", "/talk/x", 100, 50).with("x-work", "0,0,40,50");
    let asked = tokio::spawn(async move { ask(front, &request).await });
    until(|| async { runs(engines(&fleet)) > 0 }).await;
    fleet.deployment.gateways[1].signal("TERM");
    let answer = asked.await.unwrap();
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.events().len(), 40);
    until(|| {
        let has_ended = fleet.deployment.gateways[1].has_ended();
        async move { has_ended }
    })
    .await;
}

/// A router that sends requests of others is killed: the next one takes its place.
#[tokio::test(flavor = "multi_thread")]
async fn killed_proxy() {
    let mut fleet = start(3).await;
    fleet.deployment.gateways[1].kill();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let front = fleet.fronts()[0];
    for number in 0..50 {
        let answer = ask(front, &Ask::new(&format!("r{number}"), "/once/x")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage() {
    let fleet = start(3).await;
    for gateway in &fleet.deployment.gateways {
        fleet
            .deployment
            .store
            .set_fault(gateway.store, Fault::Silent);
    }
    let front = fleet.fronts()[0];
    let end = Instant::now() + Duration::from_secs(3);
    let mut number = 0;
    while Instant::now() < end {
        let answer = ask(front, &Ask::new(&format!("r{number}"), "/once/x")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Only routers of the fleet are served.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_key() {
    let fleet = Fleet::start(1, 1, 0).await;
    let gateway = &fleet.deployment.gateways[0];
    for key in ["another-fleet", ""] {
        let request = Ask::new("r", "/often/x")
            .with("lanedeck-target", "i-0")
            .with("proxy-authorization", key);
        assert_eq!(ask(gateway.proxy, &request).await.status, 407);
    }
    assert_eq!(runs(&fleet.runners), 0);
}

/// A target whose answers have neither a length nor chunks: each ends with its connection, or is reset.
async fn start_unframed(is_reset: bool) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = vec![0; 4_096];
                let Ok(1..) = stream.read(&mut head).await else {
                    return;
                };
                let answer =
                    "HTTP/1.1 200 OK\r\nx-attempt-id: r\r\nx-server-seal: s\r\n\r\nunframed";
                stream.write_all(answer.as_bytes()).await.unwrap();
                tokio::time::sleep(Duration::from_millis(50)).await;
                if is_reset {
                    socket2::SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .unwrap();
                }
            });
        }
    });
    address
}

async fn ask_unframed(is_reset: bool) -> deployment::Answer {
    let fleet = start(2).await;
    let address = start_unframed(is_reset).await;
    for runner in plain(&fleet) {
        fleet
            .deployment
            .store
            .put("keyed.servers", &runner.instance(), None);
    }
    list_at(&fleet.deployment.store, "app", "i-raw", address, "ready");
    let front = fleet.fronts()[0];
    loop {
        let answer = ask(front, &Ask::new("r", "/once/x")).await;
        // The router still sends requests to the targets that are gone until it has read the list.
        if answer.status != 503 && !answer.body.starts_with("answer to") {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_answer() {
    let answer = ask_unframed(false).await;
    assert_eq!((answer.status, &answer.body[..]), (200, "unframed"));
    assert!(answer.is_whole);
}

/// An answer without a length that is reset is not complete.
#[tokio::test(flavor = "multi_thread")]
async fn unframed_reset() {
    let answer = ask_unframed(true).await;
    assert_eq!(answer.status, 502, "{answer:?}");
}
