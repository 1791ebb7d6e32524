//! What counts against a prepaid budget: what was delivered to the customer, once for each request.

mod deployment;

use deployment::runner::{Mode, Runner};
use deployment::{Answer, Ask, Deployment, ask, config};

const PREPAID: u64 = 1_000;
const PROMPT: u64 = 100;
const MAX_TOKENS: u64 = 50;

/// Repeats a request until the answer is something other than 503. A 503 means that the grant has not arrived yet, and
/// guarantees that the request has not run.
async fn ask_until_granted(deployment: &Deployment, id: &str, path: &str) -> Answer {
    let front = deployment.gateways[0].front;
    for number in 0.. {
        let request = Ask::talk(&format!("{id}-{number}"), path, PROMPT, MAX_TOKENS);
        let answer = ask(front, &request).await;
        if answer.status != 503 {
            return answer;
        }
    }
    unreachable!("the loop ends by an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers() {
    let engine = Runner::start("i-1").await;
    let runners = [("engine", &engine)];
    let deployment = Deployment::start(1, &config(1, PREPAID), &runners).await;
    engine.set(Mode::DropAnswer);
    for number in 0..12 {
        let answer = ask_until_granted(&deployment, &format!("lost{number}"), "/talk/x").await;
        assert_eq!(answer.status, 502, "nothing was delivered");
    }
    engine.set(Mode::Normal);
    for number in 0..8 {
        let answer = ask_until_granted(&deployment, &format!("well{number}"), "/talk/x").await;
        assert_eq!(answer.status, 200, "lost answers spend nothing");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_streams() {
    let first = Runner::start("i-1").await;
    let second = Runner::start("i-2").await;
    first.set(Mode::Break(2));
    second.set(Mode::Break(2));
    let runners = [("engine", &first), ("engine", &second)];
    let deployment = Deployment::start(1, &config(1, PREPAID), &runners).await;
    for number in 0..6 {
        let answer = ask_until_granted(&deployment, &format!("s{number}"), "/resume/x").await;
        assert_eq!(
            answer.status, 200,
            "each stream costs its maximum, and only once"
        );
        assert_eq!(answer.events(), [1, 2, 3, 4]);
    }
    let answer = ask_until_granted(&deployment, "more", "/resume/x").await;
    assert_eq!(answer.status, 402, "streams that broke off count as spent");
}
