//! The control thread: the only thread that changes the control state.
//!
//! It answers messages from the traffic thread. Its own tasks synchronize the state with the store (`follow`,
//! `grants`) and with the other routers (`link`, `loans`). No task awaits while it holds a borrow of the state.

mod apply;
mod bad_entries;
mod capacities;
mod clock;
mod context;
mod evacuations;
mod feed;
mod follow;
mod grants;
mod link;
mod loans;
mod notices;
mod operators;
mod origins;
mod probe;
mod quarantine;
mod reachability;
mod rollouts;
mod rows;
mod shortage;
mod slots;
mod target_list;
mod throttle;
mod waiting;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::context::Control;
use self::reachability::Monitor;
use self::throttle::Throttle;
use self::waiting::{WaitingRequest, answer};
use super::attempt::{Message, ReplySender};
use super::decision::admission::{self, MissingTokens, Source};
use super::decision::forecast::Outcome;
use super::decision::order::{Standing, Turn};
use super::decision::origin::Constraint;
use super::decision::refusal::Refusal;
use super::dialect::Dialect;
use super::feed::Journal;
use super::job::Job;
use super::shared::Shared;
use super::state::{Settings, State};
use super::store_calls;
use crate::store::Store;
use crate::units::Millis;

/// Arguments of the control thread.
pub struct Parts {
    /// Settings of the control state.
    pub settings: Settings,
    /// State shared with the traffic thread.
    pub shared: Arc<Shared>,
    /// The deployment's store.
    pub store: Arc<dyn Store>,
    /// The deployment's dialect.
    pub dialect: Arc<dyn Dialect>,
    /// Listener for other routers, already bound.
    pub link: std::net::TcpListener,
    /// Address at which this router takes requests of others; `None` if it takes none.
    pub proxy: Option<SocketAddr>,
    /// Secret with which the routers of this fleet authenticate to each other.
    pub fleet_key: String,
    /// Number of store partitions that customers are spread over.
    pub partitions: u32,
    /// Messages from the traffic thread.
    pub messages: mpsc::UnboundedReceiver<Message>,
}

/// Interval at which the calls to the store, and the age of what was read from it, are logged.
const STORE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Name of the control thread.
pub const THREAD: &str = "control";

/// Starts the control thread.
///
/// # Panics
/// If the system cannot start a thread: the process cannot serve without it.
pub fn spawn(parts: Parts) {
    std::thread::Builder::new()
        .name(THREAD.to_owned())
        .spawn(move || run(parts))
        .expect("a thread starts");
}

fn run(parts: Parts) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let started = parts.settings.started;
    let control = Rc::new(Control {
        state: RefCell::new(State::new(parts.settings)),
        waiting: RefCell::default(),
        inflows: RefCell::default(),
        promises: RefCell::default(),
        requested_by_peers: RefCell::default(),
        renewals: RefCell::default(),
        grant_calls: Throttle::default(),
        partitions: parts.partitions,
        shared: parts.shared,
        store: parts.store,
        dialect: parts.dialect,
        peer_client: link::client(&parts.fleet_key),
        link_shutdown: CancellationToken::new(),
        link_tasks: TaskTracker::new(),
        peer_loads: RefCell::default(),
        round_trips: RefCell::default(),
        borrowing: RefCell::default(),
        loans_exhausted_at: RefCell::default(),
        bad_entries: RefCell::default(),
        bad_routers: RefCell::default(),
        reachability: Monitor::default(),
        proxy_address: parts.proxy,
        config_asked: Cell::default(),
        probing: RefCell::default(),
        notice_changed: Notify::new(),
        notice_messages: Cell::default(),
        slot_queue: RefCell::default(),
        slots_used: Notify::new(),
        limits_told: Notify::new(),
        evacuations: RefCell::default(),
        halls_in_store: RefCell::default(),
        halls_retained: RefCell::default(),
        addresses_of: Cell::default(),
        journal: RefCell::new(Journal::new(rand::random())),
        targets_read_at: Cell::default(),
        targets_known_since: Cell::default(),
        streams_begun: Notify::new(),
        targets_at_least: Cell::default(),
        lists_sent: Cell::default(),
        routers_fed: Cell::default(),
        rollouts_changed: Notify::new(),
        knows_rollouts: Cell::default(),
        rollout_reports: RefCell::default(),
        operators_as_of: Cell::default(),
        operators_read_at: Cell::default(),
        published_holds: RefCell::default(),
        written_holds: RefCell::default(),
        boot_id: started.map(|started| started.boot),
    });
    let (peer_requests, received) = mpsc::unbounded_channel();
    let tasks = LocalSet::new();
    tasks.spawn_local(operators::follow(Rc::clone(&control)));
    tasks.spawn_local(target_list::follow(Rc::clone(&control)));
    tasks.spawn_local(follow::routers(Rc::clone(&control)));
    tasks.spawn_local(rollouts::follow(Rc::clone(&control)));
    tasks.spawn_local(rollouts::report(Rc::clone(&control)));
    let shutdown = control.link_shutdown.clone();
    let link = link::listen(parts.link, parts.fleet_key, peer_requests, shutdown);
    tasks.spawn_local(control.link_tasks.track_future(link));
    tasks.spawn_local(link::send_heartbeats(Rc::clone(&control)));
    tasks.spawn_local(quarantine::gossip(Rc::clone(&control)));
    tasks.spawn_local(notices::gossip(Rc::clone(&control)));
    tasks.spawn_local(capacities::exchange(Rc::clone(&control)));
    tasks.spawn_local(clock::compare(Rc::clone(&control)));
    tasks.spawn_local(loans::return_excess(Rc::clone(&control)));
    tasks.spawn_local(origins::send_records(Rc::clone(&control)));
    tasks.spawn_local(slots::expire(Rc::clone(&control)));
    tasks.spawn_local(log_store(Rc::clone(&control)));
    tasks.block_on(&runtime, serve(control, parts.messages, received));
}

async fn serve(
    control: Rc<Control>,
    mut messages: mpsc::UnboundedReceiver<Message>,
    mut peer_requests: mpsc::UnboundedReceiver<link::PeerRequest>,
) {
    loop {
        let expiry = control.waiting.borrow().next_expiry();
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => {
                    handle(&control, message);
                    slots::settle(&control);
                }
                None => return,
            },
            Some((request, reply)) = peer_requests.recv() => {
                link::answer(&control, request, reply);
            }
            () = sleep_until(expiry) => shortage::refuse_expired(&control),
        }
    }
}

/// Logs the calls to the store, and the age of what was read from it, at regular intervals until the process ends.
async fn log_store(control: Rc<Control>) {
    loop {
        tokio::time::sleep(STORE_LOG_INTERVAL).await;
        let calls = control.shared.store_calls.summary();
        let kilobytes = store_calls::by_topic(|topic| control.store.bytes_received(topic) / 1_000);
        tracing::info!(event = "store_calls", calls, kilobytes);
        log_knowledge(&control);
    }
}

/// Logs how old the operators' records and the list of targets are, and for how many customers this router holds grants.
fn log_knowledge(control: &Control) {
    let operators_read_at = control.operators_read_at.get();
    let operators_age = operators_read_at.map(|at| at.elapsed().as_millis() as u64);
    let targets_read_at = control.targets_read_at.get();
    let targets_age = targets_read_at.map(|at| control.now().saturating_sub(at).0);
    tracing::info!(
        event = "knowledge",
        role = ?feed::role(control),
        operators_age_ms = operators_age,
        targets_age_ms = targets_age,
        targets = control.state.borrow().targets.known_count(),
        lists_sent = control.lists_sent.get(),
        customers_granted = control.state.borrow().granted_customers()
    );
}

async fn sleep_until(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}

fn handle(control: &Rc<Control>, message: Message) {
    let now = control.now();
    match message {
        Message::Begin { job, wait, reply } => match (job.origin, job.stream) {
            (Constraint::Unknown, Some(stream)) => {
                origins::resolve(control, job, stream, reply, move |control, job, reply| {
                    begin(control, job, wait, reply);
                });
            }
            _ => begin(control, job, wait, reply),
        },
        Message::Retry {
            job,
            ending,
            charge,
            reply,
        } => {
            let mut state = control.state.borrow_mut();
            let next = state.retry(now, job, ending, charge);
            answer(&mut state, now, reply, next);
        }
        Message::Slot { job, reply } => slots::acquire(control, job, reply),
        Message::Notice { job, notice } => notices::note_from_target(control, job, &notice),
        Message::ResponseStarted { job, load } => control
            .state
            .borrow_mut()
            .note_response_started(now, job, load),
        Message::FirstEvent { job, elapsed } => {
            let mut state = control.state.borrow_mut();
            state.note_first_event(now, job, elapsed);
            if state.streams.has_unsent() {
                control.streams_begun.notify_one();
            }
        }
        Message::Unreachable => reachability::suspect(control),
        Message::Locate { target, reply } => {
            let located = control.state.borrow().targets.locate(&target);
            // The receiver is gone if the other router has cancelled its request.
            let _ = reply.send(located);
        }
        Message::Interrupted { job } => quarantine::handle_interrupted(control, job),
        Message::End { job, ending } => {
            control.state.borrow_mut().end(now, job, ending);
            control.retry_covered();
        }
        Message::Drain => {
            control.state.borrow_mut().members.set_ready(false);
            control.shared.entry_changed.notify_one();
            control.publish_caller_addresses();
        }
        Message::Close { done } => {
            let control = Rc::clone(control);
            tokio::task::spawn_local(async move {
                grants::give_back(&control).await;
                control.close_link().await;
                // The receiver is gone once the time allowed for giving back is over.
                let _ = done.send(());
            });
        }
    }
}

fn begin(control: &Rc<Control>, mut job: Job, wait: Duration, reply: ReplySender) {
    let now = control.now();
    let turn = turn(control, now, &job);
    job.demand = control.state.borrow_mut().arriving_demand(now, &job);
    let customer = job.payer.as_ref().map(|(customer, _)| customer.as_str());
    let is_admitted =
        customer.is_none_or(|customer| control.waiting.borrow_mut().admits(customer, &turn));
    if !is_admitted {
        wait_for_grant(control, job, turn, wait, reply);
        return;
    }
    let mut state = control.state.borrow_mut();
    let result = state.begin(now, job.clone());
    if matches!(result, Err(Refusal::Short)) {
        drop(state);
        wait_for_grant(control, job, turn, wait, reply);
        return;
    }
    let refusal = result.as_ref().err().copied();
    answer(&mut state, now, reply, result);
    drop(state);
    if refusal.is_none()
        && let Some((customer, _)) = &job.payer
    {
        loans::spawn_ahead(control, customer);
    }
    if let (Some(customer), None) = (customer, refusal) {
        control.waiting.borrow_mut().note_bypass(customer, &turn);
    }
    match refusal {
        Some(Refusal::Exhausted) => {
            shortage::log(control, &job, Refusal::Exhausted, Millis::ZERO, None);
        }
        Some(Refusal::Quarantined { .. }) => {
            quarantine::log_refusal(control, &job);
        }
        _ => {}
    }
}

/// The place of a request among those that wait for tokens.
fn turn(control: &Control, now: Millis, job: &Job) -> Turn {
    let standing = match job.payer {
        Some(_) => control.promises.borrow_mut().standing(now, job.fingerprint),
        None => Standing::New,
    };
    if standing == Standing::Returned {
        control.shared.token_waits.returned.add(1);
    }
    Turn {
        rank: job.rank,
        standing,
        deadline: job.deadline,
    }
}

/// Queues a request for a grant or a loan and asks for one; refuses it where there is nobody to ask, or where it cannot
/// be paid within its wait.
fn wait_for_grant(control: &Rc<Control>, job: Job, turn: Turn, wait: Duration, reply: ReplySender) {
    let Some((customer, _)) = job.payer.clone() else {
        return;
    };
    let queued_at = Instant::now();
    let waiting = WaitingRequest {
        job,
        turn,
        queued_at,
        deadline: queued_at + wait,
        reply,
    };
    let mut state = control.state.borrow_mut();
    let role = state.role(control.now(), &customer);
    let limit = state.binding_limit(control.now(), &customer);
    drop(state);
    control.shared.budgets.add_limited(limit);
    let missing = MissingTokens {
        role,
        refusal: shortage::reason(control, &waiting.job),
        limit,
        unavailable_for: control.loans_exhausted_for(&customer),
    };
    let mut source = admission::grant_source(&missing);
    if control.is_renewal_paused(&customer) {
        source = source.without_store();
    }
    if source == Source::Nobody {
        shortage::refuse(control, vec![waiting], None);
        return;
    }
    shortage::observe(control, &customer);
    let outcome = shortage::forecast(control, &customer, &waiting);
    if outcome == Outcome::OutOfReach {
        control.shared.token_waits.out_of_reach.add(1);
        shortage::refuse(control, vec![waiting], Some(outcome));
        return;
    }
    let queued = control.waiting.borrow_mut().push(&customer, waiting);
    if let Err(waiting) = queued {
        control.shared.token_waits.queue_full.add(1);
        shortage::refuse(control, vec![*waiting], Some(outcome));
        return;
    }
    control.shared.token_waits.queued.add(1);
    match source {
        Source::Store => control.renew_now(&customer),
        Source::Peers => loans::spawn(control, customer, loans::Fallback::Store),
        Source::PeersAndStore => {
            control.renew_now(&customer);
            let store_asked_at = queued_at;
            loans::spawn(
                control,
                customer,
                loans::Fallback::Renewal { store_asked_at },
            );
        }
        Source::Nobody => {}
    }
}
