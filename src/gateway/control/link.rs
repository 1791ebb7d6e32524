//! The links between routers: each tells some of the others a few times a second how it is, what
//! it has at which target, and what it knows that they may lack. A router that is cut off from the
//! store learns the configuration and the targets that way, and borrows prepaid tokens.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::{Control, follow, grants, retry_waiting, waiting};
use crate::gateway::escrow::Loan;
use crate::gateway::members::{Router, Source};
use crate::gateway::target::{Outstanding, View};
use crate::units::Tokens;
use crate::wire::{self, Missing};

/// Between two rounds of heartbeats.
const GAP: Duration = Duration::from_millis(300);
/// Routers told in each round.
const FANOUT: usize = 3;
/// Longest wait for an answer.
const WAIT: Duration = Duration::from_millis(400);
/// How long what another router told of its load counts.
const LOAD_KEPT: Duration = Duration::from_millis(1_200);
/// Routers that are asked for a loan, one after the other.
const LENDERS: usize = 4;
/// Between two looks for borrowed tokens that are not needed.
const EXCESS_GAP: Duration = Duration::from_millis(1_000);

/// What follows loans that were not enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// The store is asked for a grant.
    AskStore,
    /// Nothing; the store was asked before.
    Wait,
}

/// How a router is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beat {
    /// The router.
    pub router: Router,
    /// Version of its configuration.
    pub config: u64,
    /// Whether it is in contact with the store.
    pub in_contact: bool,
    /// What it has at which target.
    pub outstanding: Vec<Outstanding>,
}

/// What a router asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// This is how I am; how are you?
    Beat(Beat),
    /// Count tokens of this customer as spent for me.
    Lend {
        /// The customer.
        customer: String,
        /// How many.
        loan: Loan,
    },
    /// These tokens of a customer are yours now.
    Give {
        /// The customer.
        customer: String,
        /// How many.
        tokens: Tokens,
    },
}

/// What it is answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// How the other is.
    Beat {
        /// As it was asked.
        beat: Box<Beat>,
        /// Its configuration, where that is newer.
        config: Option<Vec<u8>>,
        /// Its targets, where the asking router is not in contact with the store.
        targets: Option<View>,
    },
    /// What is lent; zero is a refusal.
    Lent(Tokens),
    /// What was given has been taken.
    Taken,
}

/// A question and where its answer goes.
pub type Asked = (Question, oneshot::Sender<Answer>);

/// What other routers told of their load.
#[derive(Debug, Default)]
pub struct Loads(HashMap<String, (Instant, Vec<Outstanding>)>);

impl Loads {
    fn note(&mut self, router: &str, outstanding: Vec<Outstanding>) {
        self.0
            .insert(router.to_owned(), (Instant::now(), outstanding));
        self.0.retain(|_, (at, _)| at.elapsed() < LOAD_KEPT);
    }

    fn all(&self) -> impl Iterator<Item = &Outstanding> {
        self.0.values().flat_map(|(_, outstanding)| outstanding)
    }
}

/// Answers other routers until the process ends.
pub async fn listen(
    listener: std::net::TcpListener,
    key: String,
    asked: mpsc::UnboundedSender<Asked>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(event = "link_listener_failed", %error);
            return;
        }
    };
    let answer = move |question: Question| {
        let asked = asked.clone();
        async move {
            let (reply, answer) = oneshot::channel();
            asked.send((question, reply)).ok()?;
            answer.await.ok()
        }
    };
    let key_hash = crate::util::hash_secret(&key);
    if let Err(error) = wire::serve(listener, key_hash, answer).await {
        tracing::error!(event = "link_listener_failed", %error);
    }
}

/// Answers one question.
pub fn answer(control: &Control, question: Question) -> Answer {
    match question {
        Question::Beat(beat) => answer_beat(control, beat),
        Question::Lend { customer, loan } => {
            let mut fleet = control.fleet.borrow_mut();
            let lent = fleet.lend(control.now(), &customer, loan);
            drop(fleet);
            let (lacking, wanted) = (loan.lacking.0, loan.wanted.0);
            tracing::info!(event = "lent", %customer, lacking, wanted, lent = lent.0);
            if lent < loan.lacking && control.shared.store_answers() {
                grants::hurry(control, &customer);
            }
            Answer::Lent(lent)
        }
        Question::Give { customer, tokens } => {
            control.fleet.borrow_mut().borrow(&customer, tokens);
            tracing::info!(event = "taken", %customer, tokens = tokens.0);
            retry_waiting(control);
            Answer::Taken
        }
    }
}

fn answer_beat(control: &Control, beat: Beat) -> Answer {
    let mine = beat_of(control);
    let config = (mine.config > beat.config)
        .then(|| control.shared.config_bytes.load_full())
        .flatten();
    let is_of_use = mine.in_contact && !beat.in_contact;
    let targets = is_of_use.then(|| control.fleet.borrow().targets.view());
    take_beat(control, beat);
    Answer::Beat {
        beat: Box::new(mine),
        config: config.map(|bytes| bytes.to_vec()),
        targets,
    }
}

fn beat_of(control: &Control) -> Beat {
    let fleet = control.fleet.borrow();
    let mut router = fleet.members.me.clone();
    router.is_ready = control.shared.is_ready();
    let config = control.shared.config.load();
    Beat {
        router,
        config: config.as_ref().map_or(0, |config| config.version),
        in_contact: control.shared.store_answers(),
        outstanding: fleet.targets.outstanding(control.now()),
    }
}

fn take_beat(control: &Control, beat: Beat) {
    let mut loads = control.loads.borrow_mut();
    loads.note(&beat.router.name, beat.outstanding);
    let mut fleet = control.fleet.borrow_mut();
    fleet.targets.set_others(loads.all());
    let (name, is_ready) = (beat.router.name.clone(), beat.router.is_ready);
    let changed = fleet.members.hear(control.now(), beat.router, Source::Link);
    drop(fleet);
    if changed {
        tracing::info!(event = "router_heard", %name, is_ready, source = "link");
        control.publish_fronts();
    }
}

/// Tells other routers how this one is, until the process ends.
pub async fn beat(control: Rc<Control>) {
    loop {
        sleep(GAP).await;
        let routers = others(&control, FANOUT);
        for router in routers {
            let control = Rc::clone(&control);
            tokio::task::spawn_local(async move { tell(&control, router).await });
        }
    }
}

/// Some of the other routers, drawn at random; also those that are thought to be gone, since only a
/// call shows that they are back.
fn others(control: &Control, count: usize) -> Vec<Router> {
    let fleet = control.fleet.borrow();
    let known: Vec<&Router> = fleet.members.known().collect();
    known
        .sample(&mut rand::rng(), count)
        .map(|router| (*router).clone())
        .collect()
}

async fn tell(control: &Rc<Control>, router: Router) {
    let question = Question::Beat(beat_of(control));
    match control.links.ask(router.link, &question).await {
        Ok(Answer::Beat {
            beat,
            config,
            targets,
        }) => {
            take_beat(control, *beat);
            if let Some(config) = config {
                follow::take_config(control, &Bytes::from(config));
            }
            if let Some(targets) = targets
                && !control.shared.store_answers()
            {
                follow::take_view(control, targets);
            }
        }
        Ok(Answer::Lent(_) | Answer::Taken) => {}
        Err(missing) => miss(control, &router, missing),
    }
}

fn miss(control: &Control, router: &Router, missing: Missing) {
    let mut fleet = control.fleet.borrow_mut();
    let changed = fleet.members.miss(&router.name, router.incarnation);
    drop(fleet);
    if changed {
        tracing::warn!(event = "router_missed", name = %router.name, reason = %missing);
        control.publish_fronts();
    }
}

/// Borrows what waiting requests lack, from as many routers as it takes.
pub async fn borrow(control: Rc<Control>, customer: String, then: Then) {
    if !control.borrowing.borrow_mut().insert(customer.clone()) {
        return;
    }
    for link in lenders(&control, &customer) {
        let Some(loan) = loan(&control, &customer) else {
            break;
        };
        let question = Question::Lend {
            customer: customer.clone(),
            loan,
        };
        if let Ok(Answer::Lent(lent)) = control.links.ask(link, &question).await {
            control.fleet.borrow_mut().borrow(&customer, lent);
            let (lacking, wanted) = (loan.lacking.0, loan.wanted.0);
            tracing::info!(event = "borrowed", %customer, %link, lacking, wanted, lent = lent.0);
            retry_waiting(&control);
        }
    }
    control.borrowing.borrow_mut().remove(&customer);
    let is_short = loan(&control, &customer).is_some();
    if is_short && then == Then::AskStore && control.shared.store_answers() {
        grants::hurry(&control, &customer);
    }
}

/// What is lacking for all that waits, if anything is, and what will soon be asked for.
fn loan(control: &Control, customer: &str) -> Option<Loan> {
    let needed = waiting(control).remove(customer)?;
    let mut fleet = control.fleet.borrow_mut();
    let lacking = fleet.lacking(customer, needed);
    let wanted = lacking + fleet.demand(control.now(), customer);
    (lacking > Tokens::ZERO).then_some(Loan { lacking, wanted })
}

/// The routers to borrow from: those that hold the customer's grants, from a random one on.
fn lenders(control: &Control, customer: &str) -> Vec<SocketAddr> {
    let fleet = control.fleet.borrow();
    let name = &fleet.members.me.name;
    let holders = fleet.holders(control.now(), customer);
    let others: Vec<SocketAddr> = holders
        .into_iter()
        .filter(|router| router.name != *name)
        .map(|router| router.link)
        .collect();
    others.sample(&mut rand::rng(), LENDERS).copied().collect()
}

/// Gives what was borrowed and is not needed to routers that hold the customers' grants, until the
/// process ends.
pub async fn give_excess(control: Rc<Control>) {
    loop {
        sleep(EXCESS_GAP).await;
        let excess = control.fleet.borrow_mut().take_excess(control.now());
        give_all(&control, excess).await;
    }
}

/// Gives tokens to routers that hold the customers' grants.
pub async fn give_all(control: &Control, tokens: Vec<(String, Tokens)>) {
    let gifts = tokens.into_iter().map(|(customer, tokens)| {
        let to = lenders(control, &customer).first().copied();
        give(control, customer, tokens, to)
    });
    futures::future::join_all(gifts).await;
}

/// Gives tokens to another router. Without an answer it may have them, so they are lost here.
async fn give(control: &Control, customer: String, tokens: Tokens, to: Option<SocketAddr>) {
    let Some(to) = to else {
        control.fleet.borrow_mut().borrow(&customer, tokens);
        return;
    };
    let question = Question::Give {
        customer: customer.clone(),
        tokens,
    };
    let answer: Result<Answer, Missing> = control.links.ask(to, &question).await;
    if matches!(answer, Err(Missing::Refused)) {
        control.fleet.borrow_mut().borrow(&customer, tokens);
    }
    tracing::info!(event = "given", %customer, %to, tokens = tokens.0, taken = answer.is_ok());
}

/// A client for the links.
pub fn client(key: &str) -> wire::Client {
    wire::Client::new(key).with_wait(WAIT)
}
