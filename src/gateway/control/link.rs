//! The links between routers: each exchanges heartbeats with some of the others a few times a second.
//!
//! A heartbeat says what a router has at which target. Where the store does not answer one of them,
//! it gets the other's configuration and list of targets, so that it goes on with what is in force.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::context::{Control, FAN_OUT, ROUND};
use super::{apply, clock, evacuations, loans, notices, quarantine};
use crate::gateway::members::{Router, Source};
use crate::gateway::message::{Heartbeat, Reply, Request};
use crate::wire;

/// Longest wait for an answer. A router that takes longer is frozen or cut off.
const ANSWER_MAX: Duration = Duration::from_millis(400);

/// Another router's request, and where its answer goes.
pub(super) type Question = (Request, oneshot::Sender<Reply>);

/// A client for the links.
pub(super) fn client(key: &str) -> wire::Client {
    wire::Client::new(key).with_wait(ANSWER_MAX)
}

/// Passes other routers' requests to the control thread's loop until `closing`, and then until those that
/// have come are answered.
pub(super) async fn listen(
    listener: std::net::TcpListener,
    key: String,
    asked: mpsc::UnboundedSender<Question>,
    closing: CancellationToken,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(event = "link_listener_failed", %error);
            return;
        }
    };
    let answer = move |request: Request| {
        let asked = asked.clone();
        async move {
            // Without the control thread the process is ending, and the peer is told so.
            let (reply, answer) = oneshot::channel();
            asked.send((request, reply)).ok()?;
            answer.await.ok()
        }
    };
    let key_hash = crate::util::hash_secret(&key);
    wire::serve(listener, key_hash, answer, closing).await;
}

/// Answers another router. Once grants are given back, tokens that change hands would end with this
/// process.
pub(super) fn answer(control: &Rc<Control>, request: Request, reply: oneshot::Sender<Reply>) {
    let gives_back = control.shared.stop.gives_back();
    let answer = match request {
        Request::Heartbeat(heartbeat) => answer_heartbeat(control, heartbeat),
        Request::Lend { .. } | Request::Give { .. } if gives_back => Reply::Declined,
        Request::Lend { customer, loan } => {
            let control = Rc::clone(control);
            tokio::task::spawn_local(async move {
                let lent = loans::lend(&control, &customer, loan).await;
                if reply.send(Reply::Lent(lent)).is_err() {
                    tracing::warn!(event = "loan_unclaimed", %customer, lent = lent.0);
                }
            });
            return;
        }
        Request::Give { customer, tokens } => {
            loans::take(control, &customer, tokens);
            Reply::Taken
        }
        Request::Clocks => Reply::Clocks(clock::read(control)),
        Request::Notices(reports) => Reply::Notices(notices::answer(control, &reports)),
        Request::Evacuations => Reply::Evacuations(control.evacuations.borrow().clone()),
        Request::Suspects(reports) => {
            quarantine::merge(control, &reports);
            Reply::Noted
        }
    };
    // A peer that has hung up meanwhile asks again.
    let _ = reply.send(answer);
}

fn answer_heartbeat(control: &Control, theirs: Heartbeat) -> Reply {
    let own = own_heartbeat(control);
    let config = (own.config > theirs.config)
        .then(|| control.shared.config_bytes.load_full())
        .flatten();
    let knows_more = own.store_answers && !theirs.store_answers;
    let targets = knows_more.then(|| control.state.borrow().targets.view());
    take(control, theirs);
    Reply::Heartbeat {
        heartbeat: Box::new(own),
        config: config.map(|bytes| bytes.to_vec()),
        targets,
    }
}

fn own_heartbeat(control: &Control) -> Heartbeat {
    let state = control.state.borrow();
    let mut router = state.members.me.clone();
    router.is_ready = control.shared.is_ready();
    let config = control.shared.config.load();
    Heartbeat {
        router,
        config: config.as_ref().map_or(0, |config| config.version),
        store_answers: control.shared.store_answers(),
        outstanding: state.targets.outstanding(control.now()),
    }
}

/// Takes another router's heartbeat in.
fn take(control: &Control, heartbeat: Heartbeat) {
    let mut loads = control.peer_loads.borrow_mut();
    loads.set(control.now(), &heartbeat.router.name, heartbeat.outstanding);
    control.state.borrow_mut().targets.set_others(loads.all());
    if apply::heartbeat(control, heartbeat.router, Source::Link) {
        control.publish_caller_addresses();
    }
}

/// Exchanges heartbeats with other routers until the process ends.
pub(super) async fn send_heartbeats(control: Rc<Control>) {
    loop {
        sleep(ROUND).await;
        // The silence of a router that has ended is noticed by time, also between two reads of the routers' entries.
        control.publish_caller_addresses();
        let is_stale = evacuations::is_stale(&control);
        for router in control.draw(FAN_OUT) {
            if is_stale {
                let asked = evacuations::ask(Rc::clone(&control), router.clone());
                tokio::task::spawn_local(asked);
            }
            let control = Rc::clone(&control);
            tokio::task::spawn_local(async move { exchange(&control, router).await });
        }
    }
}

async fn exchange(control: &Rc<Control>, router: Router) {
    let request = Request::Heartbeat(own_heartbeat(control));
    match control.links.ask(router.link, &request).await {
        Ok(Reply::Heartbeat {
            heartbeat,
            config,
            targets,
        }) => {
            take(control, *heartbeat);
            // A router that does not know the emptied halls serves nobody: without a configuration it refuses all.
            let knows_halls = control.evacuations.borrow().is_some();
            if let Some(config) = config
                && knows_halls
            {
                apply::config(control, &Bytes::from(config));
            }
            if let Some(targets) = targets
                && !control.shared.store_answers()
            {
                apply::peer_targets(control, targets);
            }
        }
        Ok(
            reply @ (Reply::Lent(_)
            | Reply::Taken
            | Reply::Declined
            | Reply::Clocks(_)
            | Reply::Noted
            | Reply::Notices(_)
            | Reply::Evacuations(_)),
        ) => {
            tracing::warn!(event = "peer_answer_unfit", name = %router.name, ?reply);
        }
        Err(missing) => control.set_unreachable(&router, missing),
    }
}
