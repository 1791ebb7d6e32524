//! The links between routers: each router exchanges heartbeats with a few others several times a second.
//!
//! A heartbeat carries a router's outstanding requests at each target. A router that the store does not answer gets the
//! configuration and, if it is short, the list of targets from its peer, so that it keeps up with what is in force. Long
//! lists are followed at readers ([`feed`]).

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::context::{Control, FAN_OUT, ROUND_INTERVAL};
use super::{
    apply, capacities, clock, evacuations, feed, loans, notices, operators, origins, probe,
    quarantine, reachability, rollouts, slots, target_list,
};
use crate::gateway::decision;
use crate::gateway::link_delay::RoundTrip;
use crate::gateway::members::Router;
use crate::gateway::message::{Heartbeat, Reply, Request};
use crate::gateway::targets;
use crate::units::Millis;
use crate::wire::{self, Connection};

/// Timeout of a request to another router. A router that takes longer is frozen or cut off.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval of timers during a heartbeat. It is half of the delay at which a link counts as delayed.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How late the runtime's timers fire on an idle thread.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Version in a heartbeat to which no router answers with a newer configuration.
const CONFIG_UNWANTED: u64 = u64::MAX;

/// Another router's request, and the sender for its answer.
pub(super) type PeerRequest = (Request, oneshot::Sender<Reply>);

/// A client for requests to other routers.
pub(super) fn client(key: &str) -> wire::Client {
    wire::Client::new(key).with_timeout(ANSWER_TIMEOUT)
}

/// Passes other routers' requests to the control thread's loop until `shutdown`, and then until the requests already
/// received are answered.
pub(super) async fn listen(
    listener: std::net::TcpListener,
    key: String,
    requests: mpsc::UnboundedSender<PeerRequest>,
    shutdown: CancellationToken,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(event = "link_listener_failed", %error);
            return;
        }
    };
    let answer = move |request: Request| {
        let requests = requests.clone();
        async move {
            // If the control thread has ended, the process is ending: there is no answer, and the peer is told so.
            let (reply, answer) = oneshot::channel();
            requests.send((request, reply)).ok()?;
            answer.await.ok()
        }
    };
    let key_hash = crate::util::hash_secret(&key);
    wire::serve(listener, key_hash, answer, shutdown).await;
}

/// Answers another router's request. Once grants are being given back, loans and transfers are declined: the tokens
/// would be lost with this process.
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
            loans::receive(control, &customer, tokens);
            Reply::Taken
        }
        Request::Clocks => Reply::Clocks(clock::read(control)),
        Request::Notices(reports) => Reply::Notices(notices::answer(control, &reports)),
        Request::Evacuations => Reply::Evacuations(control.evacuations.borrow().clone()),
        Request::Evidence(report) => {
            control.rollout_reports.borrow_mut().set(*report);
            Reply::Noted
        }
        Request::Capacities(query) => Reply::Capacities(capacities::answer(control, &query)),
        Request::Feed(query) => Reply::Feed(feed::answer(control, &query).map(Box::new)),
        Request::Proxy => Reply::Proxy(reachability::answer(control)),
        Request::Operators(query) => Reply::Operators(operators::answer(control, &query)),
        Request::Rollouts => Reply::Rollouts(rollouts::views(control)),
        Request::Streams(records) => {
            origins::merge(control, &records);
            Reply::Noted
        }
        Request::Origin(stream) => Reply::Origin(origins::answer(control, stream)),
        Request::Slot(query) => {
            slots::answer(control, query, reply);
            return;
        }
        Request::SlotEnd(end) => {
            slots::end(control, &end);
            Reply::Noted
        }
        Request::Closing(instance) => {
            probe::check(control, instance);
            Reply::Noted
        }
        Request::Suspects(reports) => {
            quarantine::merge(control, &reports);
            Reply::Noted
        }
    };
    // A peer that has disconnected meanwhile asks again.
    let _ = reply.send(answer);
}

fn answer_heartbeat(control: &Control, received: Heartbeat) -> Reply {
    let own = own_heartbeat(control);
    let config = (own.config > received.config)
        .then(|| control.shared.config_bytes.load_full())
        .flatten();
    let peer_lacks_store = own.store_answers && !received.store_answers;
    let targets = peer_lacks_store.then(|| short_list(control)).flatten();
    apply_heartbeat(control, received);
    Reply::Heartbeat {
        heartbeat: Box::new(own),
        config: config.map(|bytes| bytes.to_vec()),
        targets,
    }
}

/// This router's list of targets, if it is short enough for a heartbeat.
fn short_list(control: &Control) -> Option<targets::View> {
    let targets = &control.state.borrow().targets;
    let fits = decision::feed::fits_heartbeat(targets.known_count());
    fits.then(|| {
        control.lists_sent.set(control.lists_sent.get() + 1);
        targets.view()
    })
}

fn own_heartbeat(control: &Control) -> Heartbeat {
    let mut state = control.state.borrow_mut();
    let mut router = state.members.me.clone();
    router.is_ready = control.shared.is_ready();
    let config = control.shared.config.load();
    Heartbeat {
        router,
        config: config.as_ref().map_or(0, |config| config.version),
        store_answers: control.shared.lists_answer() || target_list::is_current(control),
        outstanding: state.targets.outstanding(control.now()),
    }
}

/// Applies another router's heartbeat.
fn apply_heartbeat(control: &Control, heartbeat: Heartbeat) {
    let mut loads = control.peer_loads.borrow_mut();
    loads.set(control.now(), &heartbeat.router.name, heartbeat.outstanding);
    control.state.borrow_mut().targets.set_others(loads.all());
    if apply::heartbeat(control, heartbeat.router) {
        control.publish_caller_addresses();
    }
}

/// Exchanges heartbeats with other routers until the process ends.
pub(super) async fn send_heartbeats(control: Rc<Control>) {
    loop {
        sleep(ROUND_INTERVAL).await;
        // A router that has ended is detected by its silence, also between two reads of the routers' entries.
        control.publish_caller_addresses();
        // The delay is no longer known once round trips have stopped.
        control.publish_link_delay();
        let is_stale = evacuations::is_stale(&control);
        for router in control.sample_routers(FAN_OUT) {
            if is_stale {
                let request = evacuations::request_view(Rc::clone(&control), router.clone());
                tokio::task::spawn_local(request);
                let request = rollouts::request_views(Rc::clone(&control), router.clone());
                tokio::task::spawn_local(request);
            }
            let control = Rc::clone(&control);
            tokio::task::spawn_local(async move { exchange_heartbeats(&control, router).await });
        }
    }
}

/// How long a call took.
#[derive(Clone, Copy)]
struct CallTime {
    took: Duration,
    /// Time in which the control thread was ready during the call and did not run.
    stalled: Duration,
}

/// Awaits a call and measures it. Timers during the call show by how late they fire how long the thread did not run.
async fn measure<T>(call: impl Future<Output = T>) -> (T, CallTime) {
    let mut call = std::pin::pin!(call);
    let started = Instant::now();
    let mut stalled = Duration::ZERO;
    loop {
        let due = Instant::now() + STALL_CHECK_INTERVAL;
        let ended = tokio::select! {
            biased;
            result = call.as_mut() => Some(result),
            () = sleep_until(due) => None,
        };
        stalled += due.elapsed().saturating_sub(TIMER_RESOLUTION);
        if let Some(result) = ended {
            let took = started.elapsed();
            return (result, CallTime { took, stalled });
        }
    }
}

fn record_round_trip(control: &Control, router: &Router, time: CallTime) {
    let millis = |time: Duration| Millis(time.as_millis() as u64);
    let trip = RoundTrip {
        peer: &router.name,
        hall: &router.hall,
        took: millis(time.took),
        stalled: millis(time.stalled),
    };
    let mut trips = control.round_trips.borrow_mut();
    trips.record(control.now(), &trip);
    drop(trips);
    control.publish_link_delay();
}

async fn exchange_heartbeats(control: &Rc<Control>, router: Router) {
    let mut heartbeat = own_heartbeat(control);
    // Several copies of a long configuration at a time fill a slow link, and none arrives before the timeout.
    let asks_for_config = !control.config_asked.replace(true);
    if !asks_for_config {
        heartbeat.config = CONFIG_UNWANTED;
    }
    let request = Request::Heartbeat(heartbeat);
    let call = control.peer_client.ask_on(router.link, &request);
    let (result, time) = measure(call).await;
    if asks_for_config {
        control.config_asked.set(false);
    }
    let (result, connection) = match result {
        Ok((reply, connection)) => (Ok(reply), connection),
        Err(missing) => (Err(missing), Connection::Opened),
    };
    match result {
        Ok(Reply::Heartbeat {
            heartbeat,
            config,
            targets,
        }) => {
            // Opening a connection takes several round trips, and a configuration or list takes long to transfer.
            if connection == Connection::Reused && config.is_none() && targets.is_none() {
                record_round_trip(control, &router, time);
            }
            apply_heartbeat(control, *heartbeat);
            // Without the evacuated halls and the rollouts a router must serve nobody. It refuses all requests while it
            // has no configuration, so it takes one only once it knows them.
            let knows_orders =
                control.evacuations.borrow().is_some() && control.knows_rollouts.get();
            if let Some(config) = config
                && knows_orders
            {
                apply::config(control, &Bytes::from(config), "link");
            }
            if let Some(targets) = targets
                && !control.shared.lists_answer()
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
            | Reply::Evacuations(_)
            | Reply::Rollouts(_)
            | Reply::Feed(_)
            | Reply::Capacities(_)
            | Reply::Proxy(_)
            | Reply::Operators(_)
            | Reply::Origin(_)
            | Reply::Slot(_)),
        ) => {
            tracing::warn!(event = "peer_answer_unfit", name = %router.name, ?reply);
        }
        Err(missing) => control.set_unreachable(&router, missing),
    }
}
