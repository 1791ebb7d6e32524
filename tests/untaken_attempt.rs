//! Callers that disconnect while the control thread replies to their request.
//!
//! The reply reserves tokens and counts the request at a target. Guards against a reply that is sent but never received
//! and keeps both for as long as the process runs.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use lanedeck::gateway::attempt::{Controller, Message, ReplySender};
use lanedeck::gateway::decision::origin::Constraint;
use lanedeck::gateway::escrow::Demand;
use lanedeck::gateway::fingerprint::Fingerprint;
use lanedeck::gateway::job::{Job, Placement};
use lanedeck::gateway::key::{JobKey, TargetKey};
use lanedeck::units::Millis;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const JOB: JobKey = JobKey(7);

fn job() -> Job {
    Job {
        stream: None,
        origin: Constraint::Any,
        fingerprint: Fingerprint::default(),
        id: "r".into(),
        route: "route".into(),
        services: vec![("app".into(), 1.0)],
        prompt: None,
        payer: None,
        demand: Demand::New,
        rank: 0,
        deadline: Millis(1_000),
    }
}

fn placement() -> Placement {
    Placement {
        job: JOB,
        target: TargetKey(0),
        version: None,
        instance: "i-1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        ended: CancellationToken::new(),
        needs_slot: false,
        estimate: None,
    }
}

/// Receives a `Begin` message and returns its reply sender.
fn receive_begin(messages: &mut mpsc::UnboundedReceiver<Message>) -> ReplySender {
    match messages.try_recv() {
        Ok(Message::Begin { reply, .. }) => reply,
        other => panic!("expected a Begin message, got {other:?}"),
    }
}

#[test]
fn caller_disconnects_after_reply() {
    let (sender, mut messages) = mpsc::unbounded_channel();
    let controller = Controller::new(sender);
    let mut begin = Box::pin(controller.begin(job(), Duration::ZERO));
    assert!(begin.as_mut().now_or_never().is_none());
    let reply = receive_begin(&mut messages);
    reply.send(Ok(placement())).unwrap();
    // The caller disconnects before its task runs again.
    drop(begin);
    assert!(
        matches!(messages.try_recv(), Ok(Message::End { job: JOB, .. })),
        "dropping the future ends the attempt"
    );
}

#[test]
fn caller_disconnects_before_reply() {
    let (sender, mut messages) = mpsc::unbounded_channel();
    let controller = Controller::new(sender);
    let mut begin = Box::pin(controller.begin(job(), Duration::ZERO));
    assert!(begin.as_mut().now_or_never().is_none());
    let reply = receive_begin(&mut messages);
    drop(begin);
    assert!(
        reply.send(Ok(placement())).is_err(),
        "the control thread sees that the caller has disconnected"
    );
    assert!(
        messages.try_recv().is_err(),
        "no message is sent: the control thread ends the attempt itself"
    );
}
