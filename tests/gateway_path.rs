//! End-to-end tests of one gateway between callers and targets: what it forwards, and what it refuses.

mod deployment;

use deployment::runner::{EVENTS, Mode, Runner};
use deployment::{Ask, CUSTOMER, Deployment, KEY, addresses, ask, config};

const PREPAID_TOKENS: u64 = 1_000_000;

async fn deployment_with_one_gateway() -> (Deployment, Runner, Runner) {
    let app = Runner::start("i-app").await;
    let engine = Runner::start("i-engine").await;
    let runners = [("app", &app), ("engine", &engine)];
    let deployment = Deployment::start(1, &config(1, PREPAID_TOKENS), &runners).await;
    (deployment, app, engine)
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_request() {
    let (deployment, app, _) = deployment_with_one_gateway().await;
    let front = deployment.gateways[0].front;
    let request = Ask::new("r1", "/once/buy?x=1%202")
        .post("a body")
        .with("x-other", "kept");
    let answer = ask(front, &request).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "answer to r1 of i-app");
    assert_eq!(answer.header("x-server-seal"), "seal-of-r1");
    assert_eq!(answer.header("x-attempt-id"), "r1");
    let arrivals = app.arrivals();
    assert_eq!(arrivals.len(), 1);
    let arrival = &arrivals[0];
    assert_eq!(arrival.method, "POST");
    assert_eq!(arrival.path, "/once/buy?x=1%202");
    assert_eq!(&arrival.body[..], b"a body");
    assert_eq!(arrival.header("x-attempt-id"), "r1");
    assert_eq!(arrival.header("x-other"), "kept");
    assert_eq!(arrival.header("x-expect-instance"), "i-app");
    assert_eq!(arrival.header("x-tenant"), CUSTOMER);
    assert_eq!(
        arrival.header("authorization"),
        "",
        "the key is not forwarded"
    );
    let left: u64 = arrival.header("x-deadline-ms").parse().unwrap();
    assert!(left <= 4_000, "at most the route's time limit: {left}");
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_headers() {
    let (deployment, app, _) = deployment_with_one_gateway().await;
    let request = Ask::new("r1", "/often/x")
        .with("x-tenant", "somebody")
        .with("x-expect-instance", "i-other");
    let answer = ask(deployment.gateways[0].front, &request).await;
    assert_eq!(answer.status, 200);
    let arrivals = app.arrivals();
    assert_eq!(arrivals[0].header("x-tenant"), CUSTOMER);
    assert_eq!(arrivals[0].header("x-expect-instance"), "i-app");
}

/// Headers that only routers may set are not forwarded when a caller sends them.
#[tokio::test(flavor = "multi_thread")]
async fn forged_orders() {
    let (deployment, app, engine) = deployment_with_one_gateway().await;
    let front = deployment.gateways[0].front;
    let router_headers = [
        ("x-kv-hold", "h1"),
        ("x-pin-ms", "4000"),
        ("x-kv-backup", "10.0.0.1:80"),
        ("kv-from", "10.0.0.1:80/h1"),
        ("kv-fetch", "10.0.0.1:80"),
        ("x-expect-version", "7"),
        ("x-request-urgency", "0"),
    ];
    for mut request in [
        Ask::new("r1", "/often/x"),
        Ask::talk("s1", "/talk/x", 100, 50),
    ] {
        for (name, value) in router_headers {
            request = request.with(name, value);
        }
        assert_eq!(ask(front, &request).await.status, 200);
    }
    for arrival in [&app.arrivals()[0], &engine.arrivals()[0]] {
        for (name, forged) in router_headers {
            assert_ne!(
                arrival.header(name),
                forged,
                "{name} is not taken from the caller"
            );
        }
    }
}

/// A request with a repeated header is refused, since gateway and target could each read another one of the values.
#[tokio::test(flavor = "multi_thread")]
async fn doubled_headers() {
    let (deployment, app, engine) = deployment_with_one_gateway().await;
    let front = deployment.gateways[0].front;
    for (name, second) in [
        ("x-attempt-id", "other"),
        ("x-deadline-ms", "9000"),
        ("x-token-count", "1,1"),
        ("x-prompt-prefix", "c3:1"),
        ("x-model", "other"),
        ("authorization", "Bearer other"),
    ] {
        let request = Ask::talk("d1", "/talk/x", 100, 50).with("x-deadline-ms", "4000");
        let answer = ask(front, &request.also(name, second)).await;
        assert_eq!(answer.status, 400, "{name} twice");
    }
    assert_eq!(app.runs() + engine.runs(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer() {
    let (deployment, _, engine) = deployment_with_one_gateway().await;
    let request = Ask::talk("s1", "/talk/x", 100, 50);
    let answer = ask(deployment.gateways[0].front, &request).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_whole);
    assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(answer.header("x-server-seal"), "seal-of-s1");
    assert_eq!(engine.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input() {
    let (deployment, app, engine) = deployment_with_one_gateway().await;
    let front = deployment.gateways[0].front;
    let cases = [
        (Ask::new("r", "/once/x").without("x-attempt-id"), 400),
        (Ask::new("r", "/once/x").with("x-deadline-ms", "soon"), 400),
        (Ask::new("r", "/talk/x").with("x-token-count", "many"), 400),
        (
            Ask::talk("r", "/talk/x", 10, 5).with("x-prompt-prefix", "zz"),
            400,
        ),
        (Ask::new("r", "/nowhere/x"), 404),
        (Ask::new("r", "/once/x").with("host", "other.example"), 404),
        (Ask::new("r", "/once/x").without("authorization"), 401),
        (
            Ask::new("r", "/once/x").with("authorization", "Bearer nobody"),
            401,
        ),
        (Ask::new("r", "/once/x").with("authorization", KEY), 401),
        (Ask::new("r", "/once/x").post(&"b".repeat(70_000)), 413),
    ];
    for (request, status) in cases {
        let answer = ask(front, &request).await;
        assert_eq!(answer.status, status, "{request:?}");
        let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
        assert!(body["error"].is_string(), "{answer:?}");
    }
    assert_eq!(
        app.arrivals().len() + engine.arrivals().len(),
        0,
        "nothing was sent"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn exhausted_budget() {
    let engine = Runner::start("i-engine").await;
    let runners = [("engine", &engine)];
    let deployment = Deployment::start(2, &config(1, 1_000), &runners).await;
    let served = std::cell::Cell::new(0);
    let mut number = 0;
    // A gateway responds with 402 only once it knows what the other gateway has spent; until then with 503.
    deployment::until(|| {
        number += 1;
        let gateway = &deployment.gateways[number % 2];
        let request = Ask::talk(&format!("s{number}"), "/talk/x", 100, 50);
        let front = gateway.front;
        let served = &served;
        async move {
            let answer = ask(front, &request).await;
            match answer.status {
                200 => served.set(served.get() + 1),
                402 | 503 => {}
                other => panic!("{other}"),
            }
            answer.status == 402
        }
    })
    .await;
    let served = served.get();
    let each = 100 + u64::from(EVENTS);
    assert!(
        served * each <= 1_000,
        "spent more than was prepaid: {served}"
    );
    assert!(served >= 8, "refused although tokens were left: {served}");
    let plain = Ask::new("p", "/often/x");
    assert_eq!(
        ask(deployment.gateways[0].front, &plain).await.status,
        503,
        "the service has no target"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn directory_and_metrics() {
    let (mut deployment, _, _) = deployment_with_one_gateway().await;
    deployment.add("g1", &[]).await;
    deployment.wait_ready().await;
    deployment.wait_for_members().await;
    let all: Vec<String> = deployment
        .gateways
        .iter()
        .map(|g| g.front.to_string())
        .collect();
    let mut listed = addresses(&deployment.gateways[0]).await;
    listed.sort();
    let mut all = all;
    all.sort();
    assert_eq!(listed, all);
    ask(deployment.gateways[0].front, &Ask::new("r", "/often/x")).await;
    let text = ask(deployment.gateways[0].metrics, &Ask::get("/metrics"))
        .await
        .body;
    assert!(text.contains("lanedeck_requests_total 1"), "{text}");
    assert!(
        text.contains("lanedeck_plain_ms{quantile=\"0.99\"}"),
        "{text}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn start_without_store() {
    let app = Runner::start("i-app").await;
    let mut deployment = Deployment::start(0, &config(1, PREPAID_TOKENS), &[("app", &app)]).await;
    deployment.add("g0", &[]).await;
    let gateway = &deployment.gateways[0];
    deployment
        .store
        .set_fault(gateway.store, deployment::store::Fault::Unavailable);
    deployment::until(|| async {
        let answer = deployment::try_ask(gateway.front, &Ask::new("r", "/often/x")).await;
        answer.is_some_and(|answer| answer.status == 503)
    })
    .await;
    assert!(!gateway.is_ready().await);
    deployment
        .store
        .set_fault(gateway.store, deployment::store::Fault::None);
    deployment.wait_ready().await;
    let answer = ask(gateway.front, &Ask::new("r2", "/often/x")).await;
    assert_eq!(answer.status, 200);
    app.set(Mode::Normal);
}
