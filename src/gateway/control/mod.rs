//! The thread of the control state: it answers what the traffic asks, and keeps in step with the
//! store.

mod follow;
mod grants;
mod link;

pub use link::{Answer, Beat, Question};

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::LocalSet;
use tokio::time::Instant;

use super::dialect::{Dialect, Load};
use super::escrow::Role;
use super::shared::Shared;
use super::state::{Arrival, Ending, Fleet, Go, Handed, Job, Refusal, Settings, Ticket};
use crate::store::Store;
use crate::units::{Millis, Tokens};
use crate::wire;

/// What the traffic asks of the control state, and tells it.
#[derive(Debug)]
pub enum Message {
    /// May this request run, and where? The answer may take `wait`.
    Begin {
        /// The request.
        job: Job,
        /// Longest wait for a grant.
        wait: Duration,
        /// Gets the answer.
        reply: oneshot::Sender<Result<Go, Refusal>>,
    },
    /// A try has ended without an answer: where next?
    Again {
        /// The request.
        ticket: Ticket,
        /// The end of the try.
        ending: Ending,
        /// Whether the target has seen it.
        arrival: Arrival,
        /// Gets the answer.
        reply: oneshot::Sender<Result<Go, Refusal>>,
    },
    /// A target has begun to answer.
    Answered {
        /// The request.
        ticket: Ticket,
        /// What the target told of its load.
        load: Option<Load>,
    },
    /// A request has ended.
    End {
        /// The request.
        ticket: Ticket,
        /// How.
        ending: Ending,
    },
    /// The process is stopping: callers are to go elsewhere.
    Leave,
    /// Nothing runs any more: give grants back, and tell when that is done.
    Close {
        /// Gets word.
        done: oneshot::Sender<()>,
    },
}

/// What waits for a grant.
struct Waiting {
    job: Job,
    until: Instant,
    reply: oneshot::Sender<Result<Go, Refusal>>,
}

/// All that the tasks of the control thread share.
struct Control {
    fleet: RefCell<Fleet>,
    waiting: RefCell<Vec<Waiting>>,
    /// Wakes the tasks of the ledger, by partition.
    shards: RefCell<HashMap<u32, Rc<Notify>>>,
    /// Partitions that customers are spread over.
    partitions: u32,
    shared: Arc<Shared>,
    store: Arc<dyn Store>,
    dialect: Arc<dyn Dialect>,
    links: wire::Client,
    loads: RefCell<link::Loads>,
    /// Customers for whom a loan is being asked for.
    borrowing: RefCell<HashSet<String>>,
    started: Instant,
}

impl Control {
    fn now(&self) -> Millis {
        // Times before the start are needed for differences, so the clock does not begin at zero.
        const BEGIN: u64 = 1_000_000;
        Millis(BEGIN + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Tells the traffic where callers may connect.
    fn publish_fronts(&self) {
        let fronts = self.fleet.borrow().members.fronts(self.now());
        self.shared.set_fronts(fronts);
    }
}

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
    /// For other routers.
    pub link: std::net::TcpListener,
    /// What routers of this fleet show each other.
    pub fleet_key: String,
    /// Partitions of the store that customers are spread over.
    pub partitions: u32,
    /// What the traffic asks.
    pub messages: mpsc::UnboundedReceiver<Message>,
}

/// Starts the control thread.
pub fn spawn(parts: Parts) {
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime starts");
            let control = Rc::new(Control {
                fleet: RefCell::new(Fleet::new(parts.settings)),
                waiting: RefCell::default(),
                shards: RefCell::default(),
                partitions: parts.partitions,
                shared: parts.shared,
                store: parts.store,
                dialect: parts.dialect,
                links: link::client(&parts.fleet_key),
                loads: RefCell::default(),
                borrowing: RefCell::default(),
                started: Instant::now(),
            });
            let (asked, questions) = mpsc::unbounded_channel();
            let tasks = LocalSet::new();
            tasks.spawn_local(follow::config(Rc::clone(&control)));
            tasks.spawn_local(follow::targets(Rc::clone(&control)));
            tasks.spawn_local(follow::routers(Rc::clone(&control)));
            tasks.spawn_local(link::listen(parts.link, parts.fleet_key, asked));
            tasks.spawn_local(link::beat(Rc::clone(&control)));
            tasks.spawn_local(link::give_excess(Rc::clone(&control)));
            tasks.block_on(&runtime, serve(control, parts.messages, questions));
        })
        .expect("a thread starts");
}

async fn serve(
    control: Rc<Control>,
    mut messages: mpsc::UnboundedReceiver<Message>,
    mut questions: mpsc::UnboundedReceiver<link::Asked>,
) {
    loop {
        let until = control
            .waiting
            .borrow()
            .iter()
            .map(|waiting| waiting.until)
            .min();
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => handle(&control, message),
                None => return,
            },
            Some((question, reply)) = questions.recv() => {
                let _ = reply.send(link::answer(&control, question));
            }
            () = sleep_until(until) => expire(&control),
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
        Message::Again {
            ticket,
            ending,
            arrival,
            reply,
        } => {
            let next = control
                .fleet
                .borrow_mut()
                .again(now, ticket, ending, arrival);
            answer(control, reply, next);
        }
        Message::Answered { ticket, load } => {
            control.fleet.borrow_mut().answered(now, ticket, load);
        }
        Message::End { ticket, ending } => control.fleet.borrow_mut().end(now, ticket, ending),
        Message::Leave => {
            control.fleet.borrow_mut().members.me.is_ready = false;
            control.shared.members_changed.notify_one();
            control.publish_fronts();
        }
        Message::Close { done } => {
            let control = Rc::clone(control);
            tokio::task::spawn_local(async move {
                grants::give_back(&control).await;
                let _ = done.send(());
            });
        }
    }
}

fn begin(
    control: &Rc<Control>,
    job: Job,
    wait: Duration,
    reply: oneshot::Sender<Result<Go, Refusal>>,
) {
    let now = control.now();
    let mut fleet = control.fleet.borrow_mut();
    let result = fleet.begin(now, job.clone());
    drop(fleet);
    match result {
        Err(Refusal::Short) => wait_for_grant(control, job, wait, reply),
        Err(Refusal::Exhausted) => {
            log_short(control, &job, Refusal::Exhausted);
            answer(control, reply, result);
        }
        _ => answer(control, reply, result),
    }
}

/// Keeps a request until a grant or a loan comes, or its time to wait is over.
fn wait_for_grant(
    control: &Rc<Control>,
    job: Job,
    wait: Duration,
    reply: oneshot::Sender<Result<Go, Refusal>>,
) {
    let until = Instant::now() + wait;
    let waiting = Waiting {
        job: job.clone(),
        until,
        reply,
    };
    control.waiting.borrow_mut().push(waiting);
    if control.shared.store_answers() && is_holder(control, &job) {
        hurry(control, &job);
    } else {
        borrow(control, &job, link::Then::AskStore);
    }
}

/// What waits for a grant, by customer.
fn waiting(control: &Control) -> HashMap<String, Tokens> {
    let mut needed: HashMap<String, Tokens> = HashMap::new();
    for waiting in control.waiting.borrow().iter() {
        if let Some((customer, _)) = &waiting.job.payer {
            *needed.entry(customer.clone()).or_default() += waiting.job.cost();
        }
    }
    needed
}

/// Whether this router holds grants of the customer that pays for a request.
fn is_holder(control: &Control, job: &Job) -> bool {
    let mut fleet = control.fleet.borrow_mut();
    let role = |(customer, _): &(String, _)| fleet.role(control.now(), customer);
    job.payer.as_ref().map(role) == Some(Role::Holder)
}

/// Has the grant renewed that a request waits for.
fn hurry(control: &Control, job: &Job) {
    if let Some((customer, _)) = &job.payer {
        grants::hurry(control, customer);
    }
}

/// Asks other routers for what requests of a customer wait for.
fn borrow(control: &Rc<Control>, job: &Job, then: link::Then) {
    if let Some((customer, _)) = &job.payer {
        let loan = link::borrow(Rc::clone(control), customer.clone(), then);
        tokio::task::spawn_local(loan);
    }
}

/// Asks other routers for what still waits after the grants were renewed.
fn borrow_for_waiting(control: &Rc<Control>) {
    let waiting = control.waiting.borrow();
    for waiting in waiting.iter() {
        borrow(control, &waiting.job, link::Then::Wait);
    }
}

/// Logs what decided that a request cannot be paid for.
fn log_short(control: &Control, job: &Job, refusal: Refusal) {
    let Some((customer, prepaid)) = &job.payer else {
        return;
    };
    let (available, spent) = control.fleet.borrow().standing(customer);
    tracing::info!(
        event = "not_paid",
        id = %job.id,
        %customer,
        ?refusal,
        cost = job.cost().0,
        available = available.0,
        spent = spent.0,
        prepaid = prepaid.0,
        store = control.shared.store_answers()
    );
}

/// Answers; a caller that has gone meanwhile gives its place back.
fn answer(
    control: &Control,
    reply: oneshot::Sender<Result<Go, Refusal>>,
    result: Result<Go, Refusal>,
) {
    if let Err(Ok(go)) = reply.send(result) {
        let ending = Ending {
            outcome: None,
            handed: Handed::Nothing,
        };
        control
            .fleet
            .borrow_mut()
            .end(control.now(), go.ticket, ending);
    }
}

/// Tries again what waits for a grant.
fn retry_waiting(control: &Control) {
    let now = control.now();
    for waiting in control.waiting.take() {
        let result = control.fleet.borrow_mut().begin(now, waiting.job.clone());
        if result == Err(Refusal::Short) {
            control.waiting.borrow_mut().push(waiting);
        } else {
            answer(control, waiting.reply, result);
        }
    }
}

fn expire(control: &Control) {
    let now = Instant::now();
    for waiting in control.waiting.take() {
        if waiting.until <= now {
            let refusal = if control.shared.store_answers() {
                Refusal::Short
            } else {
                Refusal::CutOff
            };
            log_short(control, &waiting.job, refusal);
            let _ = waiting.reply.send(Err(refusal));
        } else {
            control.waiting.borrow_mut().push(waiting);
        }
    }
}
