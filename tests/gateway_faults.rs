//! Targets that refuse, fail, break off or send a wrong response: which requests are retried, and which never are.

mod deployment;

use deployment::runner::{EVENTS, Mode, Runner};
use deployment::{Ask, Deployment, ask, config, list, until};

const PREPAID_TOKENS: u64 = 1_000_000;

async fn deployment_with_two_targets(service: &str) -> (Deployment, Runner, Runner) {
    let first = Runner::start("i-1").await;
    let second = Runner::start("i-2").await;
    let runners = [(service, &first), (service, &second)];
    let deployment = Deployment::start(1, &config(1, PREPAID_TOKENS), &runners).await;
    (deployment, first, second)
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_failure() {
    let (deployment, first, second) = deployment_with_two_targets("app").await;
    first.set(Mode::Fail);
    for number in 0..6 {
        let request = Ask::new(&format!("r{number}"), "/often/x");
        let answer = ask(deployment.gateways[0].front, &request).await;
        assert_eq!(answer.status, 200, "the other target responds");
    }
    assert_eq!(second.runs(), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn once_only() {
    let (deployment, first, second) = deployment_with_two_targets("app").await;
    let modes = [Mode::DropAnswer, Mode::WrongId, Mode::Fail];
    for (number, mode) in modes.into_iter().enumerate() {
        first.set(mode);
        second.set(mode);
        let before = first.runs() + second.runs();
        let request = Ask::new(&format!("r{number}"), "/once/x").post("b");
        let answer = ask(deployment.gateways[0].front, &request).await;
        assert_eq!(
            first.runs() + second.runs(),
            before + 1,
            "{mode:?} runs once"
        );
        assert!(
            matches!(answer.status, 500 | 502 | 504),
            "not refused as not run: {answer:?}"
        );
        if mode != Mode::Fail {
            assert_eq!(answer.header("x-server-seal"), "");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_after_a_run() {
    let (deployment, first, second) = deployment_with_two_targets("app").await;
    let front = deployment.gateways[0].front;
    let mut seen = 0;
    for number in 0..40 {
        // One target runs the request and loses the response; the other one refuses it.
        let (loses, sheds) = if number % 2 == 0 {
            (&first, &second)
        } else {
            (&second, &first)
        };
        loses.set(Mode::DropAnswer);
        sheds.set(Mode::Shed);
        let before = loses.runs();
        let refused = sheds.arrivals().len();
        let answer = ask(front, &Ask::new(&format!("r{number}"), "/often/x")).await;
        if loses.runs() > before {
            assert_ne!(answer.status, 503, "the request has run: {answer:?}");
            seen += usize::from(sheds.arrivals().len() > refused);
        }
    }
    assert!(seen > 0, "a run was followed by a refusal");
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_by_target() {
    let (deployment, first, second) = deployment_with_two_targets("app").await;
    first.set(Mode::Shed);
    second.set(Mode::Shed);
    let answer = ask(deployment.gateways[0].front, &Ask::new("r", "/once/x")).await;
    assert_eq!(
        answer.status, 503,
        "503 states that the request has not run"
    );
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(first.runs() + second.runs(), 0);
    assert!(
        first.arrivals().len() + second.arrivals().len() <= 1,
        "the route allows one attempt"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_address() {
    let (deployment, first, second) = deployment_with_two_targets("app").await;
    first.replace("i-new");
    for number in 0..4 {
        let request = Ask::new(&format!("r{number}"), "/often/x");
        let answer = ask(deployment.gateways[0].front, &request).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(
        first.runs(),
        0,
        "an instance other than the expected one runs nothing"
    );
    assert_eq!(second.runs(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn mute_target() {
    let (deployment, first, second) = deployment_with_two_targets("app").await;
    first.set(Mode::Hang);
    second.set(Mode::Hang);
    let request = Ask::new("r", "/once/x").with("x-deadline-ms", "300");
    let answer = ask(deployment.gateways[0].front, &request).await;
    assert_eq!(answer.status, 504, "the request may have run");
    assert_eq!(first.runs() + second.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream() {
    let (deployment, first, second) = deployment_with_two_targets("engine").await;
    first.set(Mode::Break(2));
    second.set(Mode::Break(2));
    let request = Ask::talk("s", "/resume/x", 100, 50);
    let front = deployment.gateways[0].front;
    let asked = tokio::spawn(async move { ask(front, &request).await });
    until(|| async { first.runs() + second.runs() > 0 }).await;
    // The target with the request breaks off its stream; the other one resumes it.
    let other = if first.runs() > 0 { &second } else { &first };
    other.set(Mode::Normal);
    let answer = asked.await.unwrap();
    assert!(answer.is_whole);
    assert_eq!(
        answer.events(),
        (1..=EVENTS).collect::<Vec<_>>(),
        "each event once"
    );
    let resumed = other.arrivals();
    assert_eq!(resumed[0].header("last-event-id"), "2");
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream() {
    let (deployment, first, second) = deployment_with_two_targets("engine").await;
    first.set(Mode::Break(2));
    second.set(Mode::Break(2));
    let request = Ask::talk("s", "/talk/x", 100, 50);
    let answer = ask(deployment.gateways[0].front, &request).await;
    assert!(
        !answer.is_whole,
        "a truncated stream does not look complete"
    );
    assert_eq!(answer.events(), vec![1, 2], "complete events only");
    assert_eq!(
        first.runs() + second.runs(),
        1,
        "the request is not run again"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_target() {
    let (deployment, first, second) = deployment_with_two_targets("app").await;
    list(&deployment.store, "app", &first, "draining");
    let front = deployment.gateways[0].front;
    // Once the gateway has read the list of targets, no request is sent to this target any more. Targets are chosen at
    // random, so only many requests in a row show that one is left out.
    const REQUESTS: usize = 40;
    until(|| async {
        let before = first.arrivals().len();
        for number in 0..REQUESTS {
            ask(front, &Ask::new(&format!("r{number}"), "/often/x")).await;
        }
        first.arrivals().len() == before
    })
    .await;
    let before = first.arrivals().len();
    for number in 0..20 {
        let answer = ask(front, &Ask::new(&format!("t{number}"), "/often/x")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(first.arrivals().len(), before);
    assert!(second.runs() >= 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves() {
    let (deployment, first, second) = deployment_with_two_targets("engine").await;
    first.set(Mode::Slow(100));
    second.set(Mode::Slow(100));
    let front = deployment.gateways[0].front;
    let request = Ask::talk("s", "/talk/x", 100, 50);
    let asked = tokio::spawn(async move { ask(front, &request).await });
    until(|| async { first.runs() + second.runs() > 0 }).await;
    asked.abort();
    let metrics = deployment.gateways[0].metrics;
    until(|| async {
        let text = ask(metrics, &Ask::get("/metrics")).await.body;
        text.contains("lanedeck_cancelled_total 1")
    })
    .await;
}
