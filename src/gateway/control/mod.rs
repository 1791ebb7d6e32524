//! The control thread: the only one that changes the control state.
//!
//! It answers the traffic's questions and, in tasks of its own, keeps in step with the store
//! (`follow`, `grants`) and with the other routers (`link`, `loans`). Nothing here waits while it has
//! borrowed the state.

mod apply;
mod bad_entries;
mod clock;
mod context;
mod evacuations;
mod follow;
mod grants;
mod link;
mod loans;
mod notices;
mod quarantine;
mod rows;
mod shortage;
mod waiting;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::context::Control;
use self::waiting::{Waiting, answer};
use super::attempt::{Message, Reply};
use super::decision::admission::{self, MissingTokens, Source};
use super::decision::refusal::Refusal;
use super::dialect::Dialect;
use super::job::Job;
use super::shared::Shared;
use super::state::{Settings, State};
use crate::store::Store;

/// What the control thread is started with.
pub struct Parts {
    /// Settings of the control state.
    pub settings: Settings,
    /// What the traffic sees.
    pub shared: Arc<Shared>,
    /// The deployment's store.
    pub store: Arc<dyn Store>,
    /// What the deployment speaks.
    pub dialect: Arc<dyn Dialect>,
    /// Bound for other routers.
    pub link: std::net::TcpListener,
    /// Secret that the routers of this fleet show each other.
    pub fleet_key: String,
    /// Partitions of the store that customers are spread over.
    pub partitions: u32,
    /// The traffic's questions.
    pub messages: mpsc::UnboundedReceiver<Message>,
}

/// Name of the control thread.
pub const THREAD: &str = "control";

/// Starts the control thread.
///
/// # Panics
/// Where the system gives no thread, without which the process cannot serve.
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
        asked: RefCell::default(),
        renewals: RefCell::default(),
        partitions: parts.partitions,
        shared: parts.shared,
        store: parts.store,
        dialect: parts.dialect,
        links: link::client(&parts.fleet_key),
        link_closing: CancellationToken::new(),
        link: TaskTracker::new(),
        peer_loads: RefCell::default(),
        borrowing: RefCell::default(),
        nothing: RefCell::default(),
        bad_entries: RefCell::default(),
        bad_routers: RefCell::default(),
        probed: RefCell::default(),
        notice_changed: Notify::new(),
        notices_told: Cell::default(),
        evacuations: RefCell::default(),
        halls_told: RefCell::default(),
        halls_kept: RefCell::default(),
        operators_read: Cell::default(),
        holds: RefCell::default(),
        row_held: RefCell::default(),
        boot: started.map(|started| started.boot),
    });
    let (asked, questions) = mpsc::unbounded_channel();
    let tasks = LocalSet::new();
    tasks.spawn_local(follow::operators(Rc::clone(&control)));
    tasks.spawn_local(follow::targets(Rc::clone(&control)));
    tasks.spawn_local(follow::routers(Rc::clone(&control)));
    let closing = control.link_closing.clone();
    let link = link::listen(parts.link, parts.fleet_key, asked, closing);
    tasks.spawn_local(control.link.track_future(link));
    tasks.spawn_local(link::send_heartbeats(Rc::clone(&control)));
    tasks.spawn_local(quarantine::tell(Rc::clone(&control)));
    tasks.spawn_local(notices::tell(Rc::clone(&control)));
    tasks.spawn_local(clock::compare(Rc::clone(&control)));
    tasks.spawn_local(loans::give_back_excess(Rc::clone(&control)));
    tasks.block_on(&runtime, serve(control, parts.messages, questions));
}

async fn serve(
    control: Rc<Control>,
    mut messages: mpsc::UnboundedReceiver<Message>,
    mut questions: mpsc::UnboundedReceiver<link::Question>,
) {
    loop {
        let expiry = control.waiting.borrow().next_expiry();
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => handle(&control, message),
                None => return,
            },
            Some((request, reply)) = questions.recv() => {
                link::answer(&control, request, reply);
            }
            () = sleep_until(expiry) => shortage::refuse_expired(&control),
        }
    }
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
        Message::Begin { job, wait, reply } => begin(control, job, wait, reply),
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
        Message::Heard { job, notice } => notices::heard(control, job, &notice),
        Message::Answered { job, load } => control.state.borrow_mut().answered(now, job, load),
        Message::BrokenOff { job } => quarantine::broken_off(control, job),
        Message::End { job, ending } => control.state.borrow_mut().end(now, job, ending),
        Message::Leave => {
            control.state.borrow_mut().members.me.is_ready = false;
            control.shared.entry_changed.notify_one();
            control.publish_caller_addresses();
        }
        Message::Close { done } => {
            let control = Rc::clone(control);
            tokio::task::spawn_local(async move {
                grants::give_back(&control).await;
                control.close_link().await;
                // Nobody waits any more once the time to give back is over.
                let _ = done.send(());
            });
        }
    }
}

fn begin(control: &Rc<Control>, job: Job, wait: Duration, reply: Reply) {
    let now = control.now();
    let mut state = control.state.borrow_mut();
    let result = state.begin(now, job.clone());
    if matches!(result, Err(Refusal::Short)) {
        drop(state);
        wait_for_grant(control, job, wait, reply);
        return;
    }
    let refusal = result.as_ref().err().copied();
    answer(&mut state, now, reply, result);
    drop(state);
    match refusal {
        Some(Refusal::Exhausted) => shortage::log(control, &job, Refusal::Exhausted),
        Some(Refusal::Quarantined { .. }) => {
            quarantine::log_refusal(control, &job.id, job.fingerprint);
        }
        _ => {}
    }
}

/// Has a request wait for a grant or a loan, and asks for one; refuses it where nobody is asked.
fn wait_for_grant(control: &Rc<Control>, job: Job, wait: Duration, reply: Reply) {
    let Some((customer, _)) = job.payer.clone() else {
        return;
    };
    let since = Instant::now();
    let waiting = Waiting {
        job,
        since,
        until: since + wait,
        reply,
    };
    let role = control.state.borrow_mut().role(control.now(), &customer);
    let missing = MissingTokens {
        role,
        refusal: shortage::reason(control, &waiting.job),
        unavailable_for: control.nothing_for(&customer),
    };
    match admission::grant_source(&missing) {
        Source::Store => {
            control.waiting.borrow_mut().push(waiting);
            control.renew_now(&customer);
        }
        Source::Peers => {
            control.waiting.borrow_mut().push(waiting);
            loans::spawn(control, customer, loans::Fallback::Store);
        }
        Source::Nobody => shortage::refuse(control, vec![waiting]),
    }
}
