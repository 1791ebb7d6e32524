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

use super::{Control, follow, ledger, retry_waiting};
use crate::gateway::dialect::Listing;
use crate::gateway::members::{Router, Source};
use crate::gateway::target::Outstanding;
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

/// How a router is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beat {
    router: Router,
    config: u64,
    /// Whether it is in contact with the store.
    in_contact: bool,
    outstanding: Vec<Outstanding>,
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
        /// Most that are wanted.
        wanted: Tokens,
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
        targets: Option<Vec<Listing>>,
    },
    /// What is lent; zero is a refusal.
    Lent(Tokens),
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
        Question::Lend { customer, wanted } => {
            let can_renew = control.shared.store_answers();
            let mut fleet = control.fleet.borrow_mut();
            let lent = fleet.lend(&customer, wanted, can_renew);
            drop(fleet);
            tracing::info!(event = "lent", %customer, wanted = wanted.0, lent = lent.0);
            if can_renew {
                ledger::hurry(control, &customer);
            }
            Answer::Lent(lent)
        }
    }
}

fn answer_beat(control: &Control, beat: Beat) -> Answer {
    let mine = beat_of(control);
    let config = (mine.config > beat.config)
        .then(|| control.shared.config_bytes.load_full())
        .flatten();
    let targets = (mine.in_contact && !beat.in_contact).then(|| {
        let fleet = control.fleet.borrow();
        fleet
            .targets
            .listed()
            .map(|target| target.listing.clone())
            .collect()
    });
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
                follow::take_listings(control, targets);
            }
        }
        Ok(Answer::Lent(_)) => {}
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

/// Borrows what a waiting request lacks, from as many routers as it takes.
pub async fn borrow(control: Rc<Control>, customer: String, cost: Tokens) {
    if !control.borrowing.borrow_mut().insert(customer.clone()) {
        return;
    }
    for link in live(&control, LENDERS) {
        let wanted = loan_wanted(&control, &customer, cost);
        if wanted == Tokens::ZERO {
            break;
        }
        let question = Question::Lend {
            customer: customer.clone(),
            wanted,
        };
        if let Ok(Answer::Lent(lent)) = control.links.ask(link, &question).await {
            control.fleet.borrow_mut().borrow(&customer, lent);
            tracing::info!(event = "borrowed", %customer, %link, wanted = wanted.0, lent = lent.0);
        }
    }
    control.borrowing.borrow_mut().remove(&customer);
    retry_waiting(&control);
}

/// What is lacking; without the store, also what will soon be asked for.
fn loan_wanted(control: &Control, customer: &str, cost: Tokens) -> Tokens {
    const AHEAD_S: u64 = 2;
    let fleet = control.fleet.borrow();
    let lacking = fleet.lacking(customer, cost);
    if lacking == Tokens::ZERO || control.shared.store_answers() {
        return lacking;
    }
    lacking + Tokens(fleet.demand(customer).0 * AHEAD_S)
}

fn live(control: &Control, count: usize) -> Vec<SocketAddr> {
    let fleet = control.fleet.borrow();
    let live: Vec<SocketAddr> = fleet
        .members
        .live(control.now())
        .map(|router| router.link)
        .collect();
    live.sample(&mut rand::rng(), count).copied().collect()
}

/// A client for the links.
pub fn client(key: &str) -> wire::Client {
    wire::Client::new(key).with_wait(WAIT)
}
