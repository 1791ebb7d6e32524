//! The control state of a gateway: it decides whether a request may run, and on which target.
//!
//! Pure code: it is told the time, and does nothing but change its own state and answer.

mod money;

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::decision::retry::{self, Budget};
use super::dialect::{Load, Prompt};
use super::escrow::{Account, Ledger, Sizing};
use super::members::{Members, Router};
use super::target::{Key, Targets};
use crate::ejection::Outcome;
use crate::units::{Millis, Tokens};

/// Settings of the control state.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This router.
    pub me: Router,
    /// Interval of heartbeats.
    pub heartbeat: Millis,
    /// Bound on repeats.
    pub repeats: retry::Bound,
    /// How grants are sized; the number of routers is filled in from those that are known.
    pub sizing: Sizing,
    /// Seed of random choices.
    pub seed: u64,
}

/// What a request needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its id, for logs.
    pub id: String,
    /// The services that may run it, with their weights.
    pub services: Vec<(String, f64)>,
    /// Set for a model request.
    pub prompt: Option<Prompt>,
    /// Who pays, and all that it has prepaid.
    pub payer: Option<(String, Tokens)>,
}

impl Job {
    /// The most that it may cost.
    pub fn cost(&self) -> Tokens {
        self.prompt
            .as_ref()
            .map_or(Tokens::ZERO, |prompt| prompt.tokens + prompt.most)
    }
}

/// A request that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Go {
    /// The request.
    pub ticket: Ticket,
    /// The target.
    pub target: Key,
    /// The instance that is meant.
    pub instance: String,
    /// Its address.
    pub address: std::net::SocketAddr,
}

/// Why a request does not go anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No target takes work.
    NoTarget,
    /// The budget of repeats is used up.
    NoRepeats,
    /// What is left of the prepaid budget does not hold it.
    Exhausted,
    /// This router's part of the budget does not hold it, and no more came in time.
    Short,
    /// The same, while the store does not answer.
    CutOff,
}

/// What a customer was handed of an answer. A customer gets nothing but by its router, so what no
/// router has handed out is not spent, whether or not a target has run it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Handed {
    /// Nothing of the answer.
    #[default]
    Nothing,
    /// So many tokens; the prompt's are spent too.
    Out(Tokens),
    /// Some of the answer; the most is counted.
    Most,
}

impl Handed {
    /// The word in logs.
    fn word(self) -> &'static str {
        match self {
            Self::Nothing => "nothing_handed_out",
            Self::Out(_) => "counted",
            Self::Most => "most",
        }
    }

    /// What is known after a later try has ended too.
    fn then(self, later: Self) -> Self {
        match later {
            Self::Nothing => self,
            Self::Out(_) | Self::Most => later,
        }
    }
}

/// The end of a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ending {
    /// How the target is judged by it; `None` where it tells nothing of the target.
    pub outcome: Option<Outcome>,
    /// What of the answer the customer was handed, over all tries.
    pub handed: Handed,
}

#[derive(Debug)]
struct Running {
    job: Job,
    service: String,
    tried: Vec<Key>,
    target: Option<Key>,
    unread: u64,
    /// Set aside until the request has ended, however often it is tried.
    reserved: Tokens,
    handed: Handed,
}

/// The control state.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    /// The targets.
    pub targets: Targets,
    /// The routers.
    pub members: Members,
    accounts: HashMap<String, Account>,
    ledgers: HashMap<String, Ledger>,
    prepaid: HashMap<String, Tokens>,
    budgets: HashMap<String, Budget>,
    running: HashMap<Ticket, Running>,
    next: u64,
    random: StdRng,
}

impl Fleet {
    /// The state of a router that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            members: Members::new(settings.me.clone(), settings.heartbeat),
            random: StdRng::seed_from_u64(settings.seed),
            settings,
            targets: Targets::default(),
            accounts: HashMap::new(),
            ledgers: HashMap::new(),
            prepaid: HashMap::new(),
            budgets: HashMap::new(),
            running: HashMap::new(),
            next: 1,
        }
    }

    /// Decides on a request that has arrived.
    ///
    /// # Errors
    /// Why it does not go anywhere. [`Refusal::Short`] may change with the next grant.
    pub fn begin(&mut self, now: Millis, job: Job) -> Result<Go, Refusal> {
        let service = self.draw_service(&job);
        let mut running = Running {
            service,
            tried: Vec::new(),
            target: None,
            unread: 0,
            reserved: Tokens::ZERO,
            handed: Handed::Nothing,
            job,
        };
        let target = self.choose(now, &running).ok_or(Refusal::NoTarget)?;
        running.reserved = self.reserve(now, &running.job)?;
        let budget = self.budgets.entry(running.service.clone()).or_default();
        budget.note_request(now, &self.settings.repeats);
        let ticket = Ticket(self.next);
        self.next += 1;
        Ok(self.send(ticket, running, target))
    }

    /// Decides where a request goes next whose last try has ended without an answer.
    ///
    /// # Errors
    /// Why it does not go anywhere; it has then ended.
    pub fn again(
        &mut self,
        now: Millis,
        ticket: Ticket,
        ending: Ending,
        arrived: Arrival,
    ) -> Result<Go, Refusal> {
        let Some(mut running) = self.running.remove(&ticket) else {
            return Err(Refusal::NoTarget);
        };
        self.finish_try(now, &mut running, ending);
        match self.next_target(now, &running, arrived) {
            Ok(target) => Ok(self.send(ticket, running, target)),
            Err(refusal) => {
                self.settle(&running);
                Err(refusal)
            }
        }
    }

    /// Another target for a request that was tried, if it may be tried again.
    fn next_target(
        &mut self,
        now: Millis,
        running: &Running,
        arrived: Arrival,
    ) -> Result<Key, Refusal> {
        let target = self.choose(now, running).ok_or(Refusal::NoTarget)?;
        if arrived == Arrival::Yes {
            let routers = self.members.count();
            let budget = self.budgets.entry(running.service.clone()).or_default();
            if !budget.take(now, &self.settings.repeats, routers) {
                return Err(Refusal::NoRepeats);
            }
        }
        Ok(target)
    }

    fn send(&mut self, ticket: Ticket, mut running: Running, target: Key) -> Go {
        let prompt = running.job.prompt.as_ref();
        running.unread = prompt.map_or(0, |prompt| prompt.tokens.0);
        running.target = Some(target);
        self.targets.begin(target, running.unread);
        self.running.insert(ticket, running);
        let listing = &self.targets.get(target).listing;
        Go {
            ticket,
            target,
            instance: listing.instance.clone(),
            address: listing.address,
        }
    }

    /// Notes that a target has begun to answer, and what it told of its load.
    pub fn answered(&mut self, now: Millis, ticket: Ticket, load: Option<Load>) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        let Some(target) = running.target else {
            return;
        };
        let read = std::mem::take(&mut running.unread);
        self.targets.read(target, read);
        if let Some(prompt) = &running.job.prompt {
            self.targets.note_parts(now, target, prompt);
        }
        if let Some(load) = load {
            self.targets.note_load(now, target, load);
        }
    }

    /// Notes that a request has ended.
    pub fn end(&mut self, now: Millis, ticket: Ticket, ending: Ending) {
        if let Some(mut running) = self.running.remove(&ticket) {
            self.finish_try(now, &mut running, ending);
            self.settle(&running);
        }
    }

    fn finish_try(&mut self, now: Millis, running: &mut Running, ending: Ending) {
        running.handed = running.handed.then(ending.handed);
        if let Some(target) = running.target.take() {
            running.tried.push(target);
            let unread = std::mem::take(&mut running.unread);
            self.targets.read(target, unread);
            self.targets.end(target);
            if let Some(outcome) = ending.outcome
                && self.targets.note(now, target, outcome)
            {
                let instance = &self.targets.get(target).listing.instance;
                tracing::warn!(event = "target_ejected", %instance);
            }
        }
    }

    fn draw_service(&mut self, job: &Job) -> String {
        let total: f64 = job.services.iter().map(|(_, weight)| weight).sum();
        let mut at = self.random.random::<f64>() * total;
        for (service, weight) in &job.services {
            at -= weight;
            if at < 0.0 {
                return service.clone();
            }
        }
        job.services
            .last()
            .map(|(service, _)| service.clone())
            .unwrap_or_default()
    }

    fn choose(&mut self, now: Millis, running: &Running) -> Option<Key> {
        let hall = &self.settings.me.hall;
        let candidates = self
            .targets
            .candidates(now, &running.service, &running.tried);
        match &running.job.prompt {
            Some(prompt) => self.targets.choose_model(now, &candidates, hall, prompt),
            None => {
                let seed = self.random.random();
                self.targets.choose_plain(now, &candidates, hall, seed)
            }
        }
    }

    /// This process.
    pub fn incarnation(&self) -> u64 {
        self.settings.me.incarnation
    }
}

/// Whether a try has reached its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It did, or may have.
    Yes,
    /// It did not.
    No,
}
