//! Probes the ports of targets whose connections broke off.
//!
//! A port that refuses connections shows that its target has crashed. One that accepts and closes them is held by a
//! supervisor until the target is back, and each router would lose several requests there before its own statistics
//! eject the target. A router that finds such a port therefore tells a few others. Each of those probes it before it
//! tells more, so that a wrong finding does not spread.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::context::{Control, FAN_OUT};
use super::{quarantine, reachability};
use crate::gateway::key::TargetKey;
use crate::gateway::message::{Reply, Request};

/// Timeout of a connect. A closed port refuses within one round trip; a host that does not answer may be cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a connection has to stay open. A port without a target closes it within one round trip.
const OPEN_MIN: Duration = Duration::from_millis(100);

/// Probes a target, unless that is in progress.
pub(super) fn start(control: &Rc<Control>, target: TargetKey) {
    // What a router sees from behind a partition shows nothing of the target.
    if !control.reachability.is_reachable() {
        return;
    }
    if control.probing.borrow_mut().insert(target) {
        let control = Rc::clone(control);
        tokio::task::spawn_local(async move { probe(&control, target).await });
    }
}

/// Probes a target that closes connections according to another router.
pub(super) fn check(control: &Rc<Control>, instance: u64) {
    let now = control.now();
    let state = control.state.borrow();
    let target = state.targets.by_hash(instance);
    let target = target.filter(|key| state.targets.get(*key).is_in_use(now));
    drop(state);
    if let Some(target) = target {
        start(control, target);
    }
}

/// What a probe found at a port.
enum Port {
    /// It accepts connections and keeps them open.
    Open,
    /// It accepts connections and closes them.
    Closing,
    /// It refuses connections.
    Closed,
    /// It does not answer.
    Silent,
}

async fn probe(control: &Rc<Control>, target: TargetKey) {
    let address = control.state.borrow().targets.get(target).listing.address;
    let port = find(address).await;
    control.probing.borrow_mut().remove(&target);
    match port {
        Port::Open => {}
        Port::Closing => eject(control, target),
        // Only from a router that reaches the other targets does a refused connection show a crash.
        Port::Closed if reachability::reaches_others(control, target).await => {
            quarantine::note_crash(control, target);
        }
        Port::Closed | Port::Silent => reachability::suspect(control),
    }
}

async fn find(address: SocketAddr) -> Port {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(connection)) => match closes(connection).await {
            true => Port::Closing,
            false => Port::Open,
        },
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Port::Closed,
        Ok(Err(_)) | Err(_) => Port::Silent,
    }
}

/// Whether the peer closes a connection on which nothing was sent.
async fn closes(mut connection: TcpStream) -> bool {
    let mut byte = [0];
    let read = timeout(OPEN_MIN, connection.read(&mut byte)).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

/// Ejects a target whose port closes connections, and tells other routers.
fn eject(control: &Rc<Control>, target: TargetKey) {
    let mut state = control.state.borrow_mut();
    if !state.targets.note_closing(control.now(), target) {
        return;
    }
    let target = state.targets.get(target);
    tracing::warn!(event = "target_closing", instance = %target.listing.instance);
    let request = Rc::new(Request::Closing(target.hash()));
    drop(state);
    for router in control.sample_routers(FAN_OUT) {
        let (control, request) = (Rc::clone(control), Rc::clone(&request));
        tokio::task::spawn_local(async move {
            // A router that is not told finds out with its own requests.
            let answer: Result<Reply, _> = control.peer_client.ask(router.link, &*request).await;
            if let Err(missing) = answer {
                tracing::debug!(event = "closing_untold", name = %router.name, reason = %missing);
            }
        });
    }
}
