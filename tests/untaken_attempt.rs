//! Callers that leave while the control thread answers them.
//!
//! The answer reserves tokens and counts the request at a target. One that was sent and never taken kept both
//! for as long as the process ran.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use lanedeck::gateway::attempt::{Controller, Message, ReplySender};
use lanedeck::gateway::fingerprint::Fingerprint;
use lanedeck::gateway::job::{Job, Placement};
use lanedeck::gateway::key::{JobKey, TargetKey};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const JOB: JobKey = JobKey(7);

fn job() -> Job {
    Job {
        fingerprint: Fingerprint::default(),
        id: "r".into(),
        services: vec![("app".into(), 1.0)],
        prompt: None,
        payer: None,
    }
}

fn placement() -> Placement {
    Placement {
        job: JOB,
        target: TargetKey(0),
        instance: "i-1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        ended: CancellationToken::new(),
    }
}

/// Where the answer goes that the control thread was asked for.
fn asked(messages: &mut mpsc::UnboundedReceiver<Message>) -> ReplySender {
    match messages.try_recv() {
        Ok(Message::Begin { reply, .. }) => reply,
        other => panic!("the control thread is asked, not told {other:?}"),
    }
}

#[test]
fn answered_and_gone() {
    let (sender, mut messages) = mpsc::unbounded_channel();
    let controller = Controller::new(sender);
    let mut begin = Box::pin(controller.begin(job(), Duration::ZERO));
    assert!(begin.as_mut().now_or_never().is_none());
    let reply = asked(&mut messages);
    reply.send(Ok(placement())).unwrap();
    // The caller leaves before its task has run again.
    drop(begin);
    assert!(
        matches!(messages.try_recv(), Ok(Message::End { job: JOB, .. })),
        "the attempt ends"
    );
}

#[test]
fn gone_before_the_answer() {
    let (sender, mut messages) = mpsc::unbounded_channel();
    let controller = Controller::new(sender);
    let mut begin = Box::pin(controller.begin(job(), Duration::ZERO));
    assert!(begin.as_mut().now_or_never().is_none());
    let reply = asked(&mut messages);
    drop(begin);
    assert!(reply.send(Ok(placement())).is_err(), "it is told so");
    assert!(messages.try_recv().is_err(), "and ends it itself");
}
