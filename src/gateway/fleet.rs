//! The control state of a gateway: it decides whether a request may run, and on which target.
//!
//! Pure code: it is told the time, and does nothing but change its own state and answer.

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::dialect::{Load, Prompt};
use super::escrow::{Account, Holder, Ledger, Loan, Role, Row, Short, Sizing};
use super::members::{Members, Router};
use super::retry::{self, Budget};
use super::target::{Key, Targets};
use crate::target::Outcome;
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

    /// Settles a request that has ended at what its customer was handed.
    fn settle(&mut self, running: &Running) {
        let reserved = running.reserved;
        let prompt = running.job.prompt.as_ref();
        let cost = match running.handed {
            Handed::Nothing => Tokens::ZERO,
            Handed::Most => reserved,
            Handed::Out(out) => prompt.map_or(Tokens::ZERO, |prompt| prompt.tokens) + out,
        };
        if let Some((customer, _)) = &running.job.payer
            && let Some(account) = self.accounts.get_mut(customer)
        {
            account.settle(reserved, cost);
            tracing::info!(
                event = "settled",
                id = %running.job.id,
                %customer,
                reserved = reserved.0,
                cost = cost.0,
                basis = running.handed.word()
            );
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

    fn reserve(&mut self, now: Millis, job: &Job) -> Result<Tokens, Refusal> {
        let Some((customer, prepaid)) = &job.payer else {
            return Ok(Tokens::ZERO);
        };
        let cost = job.cost();
        let ledger = self.ledgers.entry(customer.clone()).or_default();
        let account = self.accounts.entry(customer.clone()).or_default();
        let name = &self.settings.me.name;
        match account.reserve(cost, *prepaid, ledger, name) {
            // What is refused comes again, so only what is granted tells of the demand.
            Ok(()) => {
                account.note_demand(now, cost);
                Ok(cost)
            }
            Err(Short::Exhausted) => Err(Refusal::Exhausted),
            Err(Short::Here) => Err(Refusal::Short),
        }
    }

    /// Takes in what the configuration says a customer has prepaid.
    pub fn set_prepaid(&mut self, customer: &str, prepaid: Tokens) {
        self.prepaid.insert(customer.to_owned(), prepaid);
    }

    /// The customers whose budgets are kept.
    pub fn payers(&self) -> Vec<String> {
        self.prepaid.keys().cloned().collect()
    }

    /// Takes in a row of the store.
    pub fn set_row(&mut self, customer: &str, router: &str, row: Option<Row>) {
        let ledger = self.ledgers.entry(customer.to_owned()).or_default();
        ledger.set(router, row);
    }

    /// The rows that are worth writing now, of the customers that `includes` names. `waiting` says
    /// what requests need that wait for a grant. All ledgers must be as of the offset that the rows are written at.
    pub fn rows(
        &mut self,
        now: Millis,
        waiting: &HashMap<String, Tokens>,
        includes: impl Fn(&str) -> bool,
    ) -> Vec<(String, Row)> {
        let customers: Vec<(String, Tokens)> = self
            .prepaid
            .iter()
            .filter(|(customer, _)| includes(customer))
            .map(|(customer, prepaid)| (customer.clone(), *prepaid))
            .collect();
        let holders = self.members.count().min(self.settings.sizing.holders);
        let mut rows = Vec::new();
        for (customer, prepaid) in customers {
            let sizing = Sizing {
                holders,
                role: self.role(now, &customer),
                ..self.settings.sizing
            };
            let holder = Holder {
                router: &self.settings.me.name,
                incarnation: self.settings.me.incarnation,
            };
            let ledger = self.ledgers.entry(customer.clone()).or_default();
            let account = self.accounts.entry(customer.clone()).or_default();
            let needed = waiting.get(&customer).copied().unwrap_or_default();
            let row = account.wanted(now, ledger, &holder, prepaid, &sizing, needed);
            let is_needed = needed > Tokens::ZERO && account.gains(&row);
            if is_needed || account.is_worth_writing(&row, prepaid) {
                rows.push((customer, row));
            }
        }
        rows
    }

    /// The rows that give back all that is not used.
    pub fn last_rows(&self) -> Vec<(String, Row)> {
        let incarnation = self.settings.me.incarnation;
        let accounts = self.accounts.iter();
        let accounts = accounts.filter(|(_, account)| account.is_written());
        accounts
            .map(|(customer, account)| (customer.clone(), account.last_row(incarnation)))
            .collect()
    }

    /// Notes what became of rows: they are being sent.
    pub fn rows_sent(&mut self, rows: &[(String, Row)]) {
        self.each_account(rows, |account, row| account.send(row));
    }

    /// Notes that the store has these rows.
    pub fn rows_acknowledged(&mut self, rows: &[(String, Row)]) {
        self.each_account(rows, |account, row| account.acknowledge(row));
        let name = self.settings.me.name.clone();
        for (customer, row) in rows {
            self.set_row(customer, &name, Some(*row));
        }
    }

    /// Notes that these rows are not in the store and never will be.
    pub fn rows_withdrawn(&mut self, rows: &[(String, Row)]) {
        self.each_account(rows, |account, _| account.withdraw());
    }

    fn each_account(&mut self, rows: &[(String, Row)], act: impl Fn(&mut Account, &Row)) {
        for (customer, row) in rows {
            if let Some(account) = self.accounts.get_mut(customer) {
                act(account, row);
            }
        }
    }

    /// What this router can still reserve for a customer, and what all routers together have spent
    /// as far as that is known.
    pub fn standing(&self, customer: &str) -> (Tokens, Tokens) {
        let (Some(account), Some(ledger)) =
            (self.accounts.get(customer), self.ledgers.get(customer))
        else {
            return (Tokens::ZERO, Tokens::ZERO);
        };
        let spent = account.spent(ledger, &self.settings.me.name);
        (account.available(), spent)
    }

    /// This router's part in keeping a customer's budget. One that is asked for much of what all
    /// are asked for holds grants of its own beside those that everybody knows.
    pub fn role(&mut self, now: Millis, customer: &str) -> Role {
        let me = self.settings.me.name.as_str();
        let holders = self
            .members
            .holders(now, customer, self.settings.sizing.holders);
        if holders.is_empty() || holders.iter().any(|router| router.name == me) {
            return Role::Holder;
        }
        let ledger = self.ledgers.get(customer);
        let others = ledger.map_or(0, |ledger| ledger.demand_of_others(me));
        let own = self.demand(now, customer).0;
        if own > 0 && own * self.settings.sizing.holders as u64 >= others + own {
            Role::Holder
        } else {
            Role::Borrower
        }
    }

    /// The routers that hold a customer's grants.
    pub fn holders(&self, now: Millis, customer: &str) -> Vec<&Router> {
        let count = self.settings.sizing.holders;
        self.members.holders(now, customer, count)
    }

    /// Lends tokens to another router; see [`Account::lend`].
    pub fn lend(&mut self, now: Millis, customer: &str, loan: Loan) -> Tokens {
        let account = self.accounts.get_mut(customer);
        account.map_or(Tokens::ZERO, |account| account.lend(now, loan))
    }

    /// Takes off what was borrowed and is not needed, of each customer that others hold.
    pub fn take_excess(&mut self, now: Millis) -> Vec<(String, Tokens)> {
        let customers: Vec<String> = self.accounts.keys().cloned().collect();
        let mut excess = Vec::new();
        for customer in customers {
            if self.role(now, &customer) == Role::Holder {
                continue;
            }
            let account = self.accounts.entry(customer.clone()).or_default();
            let keep = account.demand(now);
            excess.push((customer, account.take_excess(keep)));
        }
        excess.retain(|(_, tokens)| *tokens > Tokens::ZERO);
        excess
    }

    /// Takes off all that was borrowed and not used.
    pub fn take_unused(&mut self) -> Vec<(String, Tokens)> {
        let accounts = self.accounts.iter_mut();
        let mut unused: Vec<(String, Tokens)> = accounts
            .map(|(customer, account)| (customer.clone(), account.take_excess(Tokens::ZERO)))
            .collect();
        unused.retain(|(_, tokens)| *tokens > Tokens::ZERO);
        unused
    }

    /// Adds what another router has lent or given.
    pub fn borrow(&mut self, customer: &str, lent: Tokens) {
        let account = self.accounts.entry(customer.to_owned()).or_default();
        account.borrow(lent);
    }

    /// What this router lacks to pay for requests of this cost.
    pub fn lacking(&self, customer: &str, cost: Tokens) -> Tokens {
        let account = self.accounts.get(customer);
        cost.saturating_sub(account.map_or(Tokens::ZERO, Account::available))
    }

    /// What is asked for in a second, of a customer.
    pub fn demand(&mut self, now: Millis, customer: &str) -> Tokens {
        let account = self.accounts.get_mut(customer);
        account.map_or(Tokens::ZERO, |account| account.demand(now))
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
