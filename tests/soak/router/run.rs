//! Runs a plan against routers: starts the area and its callers, applies the steps at their times, and then checks the
//! promises.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::runtime::Handle;

use super::caller::{Caller, World};
use super::operator::{drained, operate, put, status};
use super::plan::{Change, Harm, LogHarm, Payer, Plan, SCARCE, Step, TARGETS, TOP_UP};
use super::promise::{Seen, tally};
use crate::common::area::{Area, Setup, target};
use crate::deployment::{LONG, free_address};
use crate::plan::Kind;
use crate::promise::Broken;
use crate::run::Outcome;
use crate::timeline::Journal;

#[path = "ending.rs"]
mod ending;

use ending::is_probe;

/// Addresses of each router, for callers and for other routers.
pub type Addresses = Vec<(SocketAddr, SocketAddr)>;

/// Prepaid tokens that never run out within a run, whatever grants remain with dead routers.
const PLENTY: u64 = 100_000_000;
/// Interval between checks of the processes.
const LOOK: Duration = Duration::from_millis(5);
/// Longest time a process may take to exit after SIGTERM: many times what the longest request takes, and as long as a
/// router waits for a log that is down.
const END_MAX: Duration = Duration::from_secs(60);
/// How long a process counts as disturbed after it is back: it reads the log and finds its peers.
const RETURN: Duration = Duration::from_secs(1);
/// Attempts of an operator to have a change confirmed, each at the next router.
const CONFIRMS: usize = 4;

/// What a step is doing to a router.
#[derive(Clone, Debug)]
enum Hand {
    Free,
    /// SIGTERM was sent at this time; with the pause before its restart.
    Stopping(Instant, Duration),
    /// It is down until this time; with the time at which it was killed, if it was.
    Gone(Instant, Option<Instant>),
    /// It is frozen from the first time until the second.
    Frozen(Instant, Instant),
    /// It is recovering; with whether it is ready, and since when it has been disturbed, if it was.
    Returning(Arc<AtomicBool>, Option<Instant>),
}

struct Run<'a> {
    handle: &'a Handle,
    plan: Plan,
    journal: Journal,
    area: Area,
    hands: Vec<Hand>,
    /// Active faults: when each ends, the stand-in's address, the faults to set then, and a description.
    faults: Vec<(Instant, SocketAddr, Value, String)>,
    world: World,
    seen: Seen,
    prepaid: Arc<Mutex<u64>>,
    broken: Arc<Mutex<Vec<Broken>>>,
    operators: Vec<tokio::task::JoinHandle<()>>,
}

/// Finds free addresses for the routers of a plan by probing them; no process may be started meanwhile.
pub fn addresses(plan: &Plan) -> Addresses {
    (0..plan.routers)
        .map(|_| (free_address(), free_address()))
        .collect()
}

/// Executes a plan.
pub fn run(handle: &Handle, plan: Plan, addresses: Addresses, logs: &Path) -> Outcome {
    std::fs::create_dir_all(logs).unwrap();
    let mut run = Run::start(handle, plan, addresses, logs.to_owned());
    let begin = Instant::now();
    let end = begin + Duration::from_millis(run.plan.load);
    let callers = run.plan.callers.clone().into_iter().map(|caller| {
        let caller = Caller::new(caller, run.world.clone());
        handle.spawn(caller.run(end))
    });
    let callers: Vec<_> = callers.collect();
    let mut steps = run.plan.steps.clone().into_iter().peekable();
    while steps.peek().is_some() || !run.is_quiet() || callers.iter().any(|one| !one.is_finished())
    {
        let now = begin.elapsed().as_millis() as u64;
        if let Some((_, step)) = steps.next_if(|(at, _)| *at <= now) {
            run.take(step);
        } else {
            std::thread::sleep(LOOK);
        }
        run.look();
    }
    for caller in callers {
        handle.block_on(caller).unwrap();
    }
    run.journal.note("the load has ended");
    run.end(logs)
}

impl<'a> Run<'a> {
    fn start(handle: &'a Handle, plan: Plan, addresses: Addresses, logs: PathBuf) -> Self {
        // A silent router is closed within the run only if the plan has faults: in a planned run this would also close a
        // router that is merely late on a loaded machine.
        let close = match plan.kind {
            Kind::Planned => "--close-after=10000",
            Kind::Faults => "--close-after=1000",
        };
        let options = [close, "--horizon=60", "--log-level=debug"];
        let area = Area::with_setup(Setup {
            engines: TARGETS,
            services: TARGETS,
            routers: addresses,
            router_options: options.map(str::to_owned).to_vec(),
            engine_options: ["--between=5", "--slots=64"].map(str::to_owned).to_vec(),
            logs: Some(logs),
        });
        area.budget(Payer::Rich.budget(), Payer::Rich.customer(), PLENTY);
        area.budget(Payer::Scarce.budget(), Payer::Scarce.customer(), SCARCE);
        area.wait_same();
        area.faults(&area.log, &json!({ "delay_ms": plan.log }));
        let routers = area.routers.iter().map(|router| router.address).collect();
        Self {
            handle,
            journal: Journal::default(),
            hands: vec![Hand::Free; plan.routers],
            faults: Vec::new(),
            world: World::new(routers, plan.kind),
            seen: Seen {
                has_faults: plan.kind == Kind::Faults,
                ..Seen::default()
            },
            prepaid: Arc::new(Mutex::new(SCARCE)),
            broken: Arc::default(),
            operators: Vec::new(),
            area,
            plan,
        }
    }

    fn is_free(&self, number: usize) -> bool {
        matches!(self.hands[number], Hand::Free)
    }

    fn is_quiet(&self) -> bool {
        (0..self.hands.len()).all(|number| self.is_free(number))
            && self.faults.is_empty()
            && self.operators.iter().all(|one| one.is_finished())
    }

    fn take(&mut self, step: Step) {
        let now = Instant::now();
        match step {
            Step::Stop(number, pause) => {
                let others = (0..self.hands.len())
                    .filter(|other| self.is_free(*other))
                    .count();
                if self.is_free(number) && others > 1 {
                    self.signal(number, "TERM");
                    self.hands[number] = Hand::Stopping(now, Duration::from_millis(pause));
                }
            }
            Step::Reload(number) => {
                if matches!(self.hands[number], Hand::Free | Hand::Stopping(..))
                    && !self.area.routers[number].has_ended()
                {
                    self.signal(number, "HUP");
                }
            }
            Step::Kill(number, pause) => {
                if self.is_free(number) {
                    self.journal.note(format!("SIGKILL r{number}"));
                    self.area.routers[number].kill();
                    let back = now + Duration::from_millis(pause);
                    self.hands[number] = Hand::Gone(back, Some(now));
                }
            }
            Step::Freeze(number, span) => {
                if self.is_free(number) {
                    self.signal(number, "STOP");
                    self.hands[number] = Hand::Frozen(now, now + Duration::from_millis(span));
                }
            }
            Step::Change(number, change) => self.change(number, change),
            Step::Log(harm, span) => {
                let faults = match harm {
                    LogHarm::Down => json!({ "down": true }),
                    LogHarm::Slow(millis) => json!({ "delay_ms": millis }),
                    LogHarm::Loses(part) => {
                        json!({ "delay_ms": self.plan.log, "lose_permille": part })
                    }
                };
                let usual = json!({ "delay_ms": self.plan.log });
                self.harm(
                    self.area.log.address,
                    &faults,
                    usual,
                    span,
                    format!("log: {harm:?}"),
                );
            }
            Step::Engine(number, harm, span) => {
                let faults = match harm {
                    Harm::Refuses(part) => json!({ "refuse_permille": part }),
                    Harm::Breaks(part) => json!({ "cut_permille": part }),
                    Harm::Slow(times) => json!({ "slow": times }),
                };
                let what = format!("engine {number}: {harm:?}");
                self.harm(
                    self.area.engines[number].address,
                    &faults,
                    json!({}),
                    span,
                    what,
                );
            }
            Step::Service(number, harm, span) => {
                let faults = match harm {
                    Harm::Refuses(_) => json!({ "refuses": true }),
                    Harm::Breaks(_) => json!({ "acts_and_fails": true }),
                    Harm::Slow(times) => json!({ "delay_ms": times * 10 }),
                };
                let what = format!("service {number}: {harm:?}");
                self.harm(
                    self.area.services[number].address,
                    &faults,
                    json!({}),
                    span,
                    what,
                );
            }
        }
    }

    fn signal(&self, number: usize, name: &str) {
        self.journal.note(format!("SIG{name} r{number}"));
        self.area.routers[number].signal(name);
    }

    /// Sets faults of a stand-in for a while, unless it has some already.
    fn harm(&mut self, at: SocketAddr, faults: &Value, usual: Value, span: u64, what: String) {
        if self.faults.iter().any(|(_, other, ..)| *other == at) {
            return;
        }
        self.journal.note(what.clone());
        self.area.post(at, "/v1/faults", "", faults);
        let over = Instant::now() + Duration::from_millis(span);
        self.faults.push((over, at, usual, what));
    }

    /// Advances the state of each router, and ends the faults that are over.
    fn look(&mut self) {
        let now = Instant::now();
        for number in 0..self.hands.len() {
            let next = match self.hands[number].clone() {
                Hand::Free => Hand::Free,
                Hand::Stopping(since, pause) => self.stopping(number, since, pause),
                Hand::Gone(until, killed) if now >= until => {
                    self.area.restart_router(number);
                    self.journal.note(format!("r{number} is started again"));
                    Hand::Returning(self.watch(number), killed)
                }
                Hand::Frozen(since, until) if now >= until => {
                    self.signal(number, "CONT");
                    Hand::Returning(self.watch(number), Some(since))
                }
                Hand::Returning(ready, since) if ready.load(Ordering::Relaxed) => {
                    if let Some(since) = since {
                        let router = self.area.routers[number].address;
                        self.seen.disturbed.push((router, since, now + RETURN));
                    }
                    self.journal.note(format!("r{number} is ready"));
                    Hand::Free
                }
                waiting => waiting,
            };
            self.hands[number] = next;
        }
        let (over, on) = std::mem::take(&mut self.faults)
            .into_iter()
            .partition(|(until, ..)| now >= *until);
        self.faults = on;
        let over: Vec<(Instant, SocketAddr, Value, String)> = over;
        for (_, at, usual, what) in over {
            self.area.post(at, "/v1/faults", "", &usual);
            self.journal.note(format!("over: {what}"));
        }
    }

    fn stopping(&mut self, number: usize, since: Instant, pause: Duration) -> Hand {
        let now = Instant::now();
        if self.area.routers[number].has_ended() {
            self.journal.note(format!("r{number} has ended"));
            return Hand::Gone(now + pause, None);
        }
        if now < since + END_MAX {
            return Hand::Stopping(since, pause);
        }
        self.broken.lock().unwrap().push(Broken {
            promise: "LOST",
            id: None,
            what: format!("r{number} does not end after SIGTERM"),
        });
        self.area.routers[number].kill();
        Hand::Gone(now + pause, Some(since))
    }

    /// Returns a flag that is set when a router is ready, or after a long wait: whether it has recovered is checked at the
    /// end of the run.
    fn watch(&self, number: usize) -> Arc<AtomicBool> {
        let (ready, router) = (
            Arc::new(AtomicBool::new(false)),
            self.area.routers[number].address,
        );
        let told = Arc::clone(&ready);
        self.handle.spawn(async move {
            let end = Instant::now() + LONG;
            while Instant::now() < end {
                let status = status(router).await;
                if status["ready"] == true {
                    break;
                }
                tokio::time::sleep(LOOK).await;
            }
            told.store(true, Ordering::Relaxed);
        });
        ready
    }

    /// Makes an operator's change: plans and confirms it at a router, or at others if it refuses.
    fn change(&mut self, number: usize, change: Change) {
        let intent = self.intent(change);
        if change == Change::TopUp {
            self.check_spend();
        }
        self.journal.note(format!("at r{number}: {change:?}"));
        let routers = self.world.routers.clone();
        let (journal, prepaid) = (self.journal.clone(), Arc::clone(&self.prepaid));
        if change == Change::TopUp {
            // The change may take effect from now on, whatever the operator is told.
            *prepaid.lock().unwrap() += TOP_UP;
        }
        self.operators.push(self.handle.spawn(async move {
            for turn in 0..CONFIRMS {
                let router = routers[(number + turn) % routers.len()];
                let Some(plan) = operate(router, "/v1/intents", &intent).await else {
                    continue;
                };
                if operate(router, "/v1/confirm", &plan["plan"])
                    .await
                    .is_some()
                {
                    journal.note(format!("{change:?} is in force"));
                    return;
                }
            }
            journal.note(format!("{change:?} was not confirmed"));
        }));
    }

    fn intent(&self, change: Change) -> Value {
        match change {
            Change::TopUp => json!({ "budget": {
                "name": Payer::Scarce.budget(),
                "customer": Payer::Scarce.customer(),
                "prepaid": *self.prepaid.lock().unwrap() + TOP_UP,
            } }),
            Change::Engine(number, work) => {
                let object = target(&self.area.engines[number], "engine", "assistant");
                put("target", &format!("engine-{number}"), drained(object, work))
            }
            Change::Service(number, work) => {
                let object = target(&self.area.services[number], "service", "tickets");
                put(
                    "target",
                    &format!("tickets-{number}"),
                    drained(object, work),
                )
            }
            Change::Patience(millis) => {
                let class = json!({ "rank": 1, "price_permille": 1_000, "patience": millis });
                put("class", "std", json!({ "class": class }))
            }
        }
    }

    fn end(mut self, logs: &Path) -> Outcome {
        self.area.faults(&self.area.log, &json!({}));
        self.is_whole_again();
        self.use_up();
        let left = self.check_spend();
        let mut seen = std::mem::take(&mut self.seen);
        seen.ran = self.area.ran();
        seen.ran.retain(|id, _| !is_probe(id));
        seen.calls = std::mem::take(&mut *self.world.calls.lock().unwrap());
        seen.asked = std::mem::take(&mut *self.world.asked.lock().unwrap());
        let prepaid = *self.prepaid.lock().unwrap();
        self.check_sum("billed", seen.told_billed(Payer::Scarce), prepaid);
        let mut broken = std::mem::take(&mut *self.broken.lock().unwrap());
        broken.extend(seen.broken());
        let timeline = self.journal.around_first(logs, &broken, |id| seen.told(id));
        Outcome {
            seed: self.plan.seed,
            broken,
            timeline,
            summary: format!(
                "{} routers, {} calls {:?}, {left} of {prepaid} tokens left",
                self.plan.routers,
                seen.calls.len(),
                tally(&seen.calls),
            ),
        }
    }
}
