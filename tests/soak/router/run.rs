//! Runs a plan against routers: starts the area and its callers, applies the steps at their times, and then checks the
//! promises.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::runtime::Handle;

use super::caller::{Caller, Shared};
use super::operator::{drained, operate, put, status};
use super::plan::{
    Change, LogFault, Payer, Plan, SCARCE_PREPAID, Step, TARGETS, TOP_UP_TOKENS, TargetFault,
};
use super::promise::{Observations, tally};
use crate::common::area::{Area, Setup, target};
use crate::deployment::{LONG, free_address};
use crate::plan::Kind;
use crate::promise::Violation;
use crate::run::Outcome;
use crate::timeline::Journal;

#[path = "ending.rs"]
mod ending;

use ending::is_probe;

/// Addresses of each router, for callers and for other routers.
pub type Addresses = Vec<(SocketAddr, SocketAddr)>;

/// Prepaid tokens that never run out within a run, whatever grants remain with dead routers.
const AMPLE_TOKENS: u64 = 100_000_000;
/// Interval between checks of the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time a process may take to exit after SIGTERM: many times what the longest request takes, and as long as a
/// router waits for a log that is down.
const EXIT_MAX: Duration = Duration::from_secs(60);
/// How long a process counts as disturbed after it is back: it reads the log and finds its peers.
const RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Attempts of an operator to have a change confirmed, each at the next router.
const CONFIRM_ATTEMPTS: usize = 4;

/// What a step is doing to a router.
#[derive(Clone, Debug)]
enum RouterState {
    Running,
    /// SIGTERM was sent at this time; with the pause before its restart.
    Stopping(Instant, Duration),
    /// It is down until this time; with the time at which it was killed, if it was.
    Down(Instant, Option<Instant>),
    /// It is frozen from the first time until the second.
    Frozen(Instant, Instant),
    /// It is recovering; with whether it is ready, and since when it has been disturbed, if it was.
    Recovering(Arc<AtomicBool>, Option<Instant>),
}

struct Run<'a> {
    handle: &'a Handle,
    plan: Plan,
    journal: Journal,
    area: Area,
    states: Vec<RouterState>,
    /// Active faults: when each ends, the stand-in's address, the faults to set then, and a description.
    faults: Vec<(Instant, SocketAddr, Value, String)>,
    shared: Shared,
    observations: Observations,
    prepaid: Arc<Mutex<u64>>,
    violations: Arc<Mutex<Vec<Violation>>>,
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
    let end = begin + Duration::from_millis(run.plan.load_ms);
    let callers = run.plan.callers.clone().into_iter().map(|caller| {
        let caller = Caller::new(caller, run.shared.clone());
        handle.spawn(caller.run(end))
    });
    let callers: Vec<_> = callers.collect();
    let mut steps = run.plan.steps.clone().into_iter().peekable();
    while steps.peek().is_some() || !run.is_idle() || callers.iter().any(|task| !task.is_finished())
    {
        let now = begin.elapsed().as_millis() as u64;
        if let Some((_, step)) = steps.next_if(|(at, _)| *at <= now) {
            run.apply(step);
        } else {
            std::thread::sleep(POLL_INTERVAL);
        }
        run.poll();
    }
    for caller in callers {
        handle.block_on(caller).unwrap();
    }
    run.journal.record("the load has ended");
    run.finish(logs)
}

impl<'a> Run<'a> {
    fn start(handle: &'a Handle, plan: Plan, addresses: Addresses, logs: PathBuf) -> Self {
        // A silent router is closed within the run only if the plan has faults: in a planned run this would also close
        // a router that is merely late on a loaded machine.
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
        area.budget(Payer::Rich.budget(), Payer::Rich.customer(), AMPLE_TOKENS);
        area.budget(
            Payer::Scarce.budget(),
            Payer::Scarce.customer(),
            SCARCE_PREPAID,
        );
        area.wait_same();
        area.faults(&area.log, &json!({ "delay_ms": plan.log_delay_ms }));
        let routers = area.routers.iter().map(|router| router.address).collect();
        Self {
            handle,
            journal: Journal::default(),
            states: vec![RouterState::Running; plan.routers],
            faults: Vec::new(),
            shared: Shared::new(routers, plan.kind),
            observations: Observations {
                has_faults: plan.kind == Kind::Faults,
                ..Observations::default()
            },
            prepaid: Arc::new(Mutex::new(SCARCE_PREPAID)),
            violations: Arc::default(),
            operators: Vec::new(),
            area,
            plan,
        }
    }

    fn is_free(&self, number: usize) -> bool {
        matches!(self.states[number], RouterState::Running)
    }

    fn is_idle(&self) -> bool {
        (0..self.states.len()).all(|number| self.is_free(number))
            && self.faults.is_empty()
            && self.operators.iter().all(|task| task.is_finished())
    }

    fn apply(&mut self, step: Step) {
        let now = Instant::now();
        match step {
            Step::Stop(number, pause) => {
                let others = (0..self.states.len())
                    .filter(|other| self.is_free(*other))
                    .count();
                if self.is_free(number) && others > 1 {
                    self.signal(number, "TERM");
                    self.states[number] = RouterState::Stopping(now, Duration::from_millis(pause));
                }
            }
            Step::Reload(number) => {
                if matches!(
                    self.states[number],
                    RouterState::Running | RouterState::Stopping(..)
                ) && !self.area.routers[number].has_ended()
                {
                    self.signal(number, "HUP");
                }
            }
            Step::Kill(number, pause) => {
                if self.is_free(number) {
                    self.journal.record(format!("SIGKILL r{number}"));
                    self.area.routers[number].kill();
                    let back = now + Duration::from_millis(pause);
                    self.states[number] = RouterState::Down(back, Some(now));
                }
            }
            Step::Freeze(number, span) => {
                if self.is_free(number) {
                    self.signal(number, "STOP");
                    self.states[number] =
                        RouterState::Frozen(now, now + Duration::from_millis(span));
                }
            }
            Step::Change(number, change) => self.change(number, change),
            Step::Log(fault, span) => {
                let faults = match fault {
                    LogFault::Down => json!({ "down": true }),
                    LogFault::Slow(millis) => json!({ "delay_ms": millis }),
                    LogFault::Loses(part) => {
                        json!({ "delay_ms": self.plan.log_delay_ms, "lose_permille": part })
                    }
                };
                let normal = json!({ "delay_ms": self.plan.log_delay_ms });
                self.inject(
                    self.area.log.address,
                    &faults,
                    normal,
                    span,
                    format!("log: {fault:?}"),
                );
            }
            Step::Engine(number, fault, span) => {
                let faults = match fault {
                    TargetFault::Refuses(part) => json!({ "refuse_permille": part }),
                    TargetFault::Breaks(part) => json!({ "cut_permille": part }),
                    TargetFault::Slow(times) => json!({ "slow": times }),
                };
                let what = format!("engine {number}: {fault:?}");
                self.inject(
                    self.area.engines[number].address,
                    &faults,
                    json!({}),
                    span,
                    what,
                );
            }
            Step::Service(number, fault, span) => {
                let faults = match fault {
                    TargetFault::Refuses(_) => json!({ "refuses": true }),
                    TargetFault::Breaks(_) => json!({ "acts_and_fails": true }),
                    TargetFault::Slow(times) => json!({ "delay_ms": times * 10 }),
                };
                let what = format!("service {number}: {fault:?}");
                self.inject(
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
        self.journal.record(format!("SIG{name} r{number}"));
        self.area.routers[number].signal(name);
    }

    /// Sets faults of a stand-in for a while, unless it has some already.
    fn inject(&mut self, at: SocketAddr, faults: &Value, normal: Value, span: u64, what: String) {
        if self.faults.iter().any(|(_, other, ..)| *other == at) {
            return;
        }
        self.journal.record(what.clone());
        self.area.post(at, "/v1/faults", "", faults);
        let over = Instant::now() + Duration::from_millis(span);
        self.faults.push((over, at, normal, what));
    }

    /// Advances the state of each router, and ends the faults that are over.
    fn poll(&mut self) {
        let now = Instant::now();
        for number in 0..self.states.len() {
            let next = match self.states[number].clone() {
                RouterState::Running => RouterState::Running,
                RouterState::Stopping(since, pause) => self.stopping(number, since, pause),
                RouterState::Down(until, killed) if now >= until => {
                    self.area.restart_router(number);
                    self.journal.record(format!("r{number} is restarted"));
                    RouterState::Recovering(self.watch(number), killed)
                }
                RouterState::Frozen(since, until) if now >= until => {
                    self.signal(number, "CONT");
                    RouterState::Recovering(self.watch(number), Some(since))
                }
                RouterState::Recovering(ready, since) if ready.load(Ordering::Relaxed) => {
                    if let Some(since) = since {
                        let router = self.area.routers[number].address;
                        self.observations
                            .disturbed
                            .push((router, since, now + RECOVERY_TIME));
                    }
                    self.journal.record(format!("r{number} is ready"));
                    RouterState::Running
                }
                waiting => waiting,
            };
            self.states[number] = next;
        }
        let (over, on) = std::mem::take(&mut self.faults)
            .into_iter()
            .partition(|(until, ..)| now >= *until);
        self.faults = on;
        let over: Vec<(Instant, SocketAddr, Value, String)> = over;
        for (_, at, normal, what) in over {
            self.area.post(at, "/v1/faults", "", &normal);
            self.journal.record(format!("ended: {what}"));
        }
    }

    fn stopping(&mut self, number: usize, since: Instant, pause: Duration) -> RouterState {
        let now = Instant::now();
        if self.area.routers[number].has_ended() {
            self.journal.record(format!("r{number} has exited"));
            return RouterState::Down(now + pause, None);
        }
        if now < since + EXIT_MAX {
            return RouterState::Stopping(since, pause);
        }
        self.violations.lock().unwrap().push(Violation {
            promise: "LOST",
            id: None,
            what: format!("r{number} does not exit after SIGTERM"),
        });
        self.area.routers[number].kill();
        RouterState::Down(now + pause, Some(since))
    }

    /// Returns a flag that is set when a router is ready, or after a long wait: whether it has recovered is checked at
    /// the end of the run.
    fn watch(&self, number: usize) -> Arc<AtomicBool> {
        let (ready, router) = (
            Arc::new(AtomicBool::new(false)),
            self.area.routers[number].address,
        );
        let flag = Arc::clone(&ready);
        self.handle.spawn(async move {
            let end = Instant::now() + LONG;
            while Instant::now() < end {
                let status = status(router).await;
                if status["ready"] == true {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            flag.store(true, Ordering::Relaxed);
        });
        ready
    }

    /// Makes an operator's change: plans and confirms it at a router, or at others if it refuses.
    fn change(&mut self, number: usize, change: Change) {
        let intent = self.intent(change);
        if change == Change::TopUp {
            self.check_spend();
        }
        self.journal.record(format!("at r{number}: {change:?}"));
        let routers = self.shared.routers.clone();
        let (journal, prepaid) = (self.journal.clone(), Arc::clone(&self.prepaid));
        if change == Change::TopUp {
            // The change may take effect from now on, whatever the operator is told.
            *prepaid.lock().unwrap() += TOP_UP_TOKENS;
        }
        self.operators.push(self.handle.spawn(async move {
            for turn in 0..CONFIRM_ATTEMPTS {
                let router = routers[(number + turn) % routers.len()];
                let Some(plan) = operate(router, "/v1/intents", &intent).await else {
                    continue;
                };
                if operate(router, "/v1/confirm", &plan["plan"])
                    .await
                    .is_some()
                {
                    journal.record(format!("{change:?} is in force"));
                    return;
                }
            }
            journal.record(format!("{change:?} was not confirmed"));
        }));
    }

    fn intent(&self, change: Change) -> Value {
        match change {
            Change::TopUp => json!({ "budget": {
                "name": Payer::Scarce.budget(),
                "customer": Payer::Scarce.customer(),
                "prepaid": *self.prepaid.lock().unwrap() + TOP_UP_TOKENS,
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

    fn finish(mut self, logs: &Path) -> Outcome {
        self.area.faults(&self.area.log, &json!({}));
        self.check_recovery();
        self.spend_remaining();
        let left = self.check_spend();
        let mut observations = std::mem::take(&mut self.observations);
        observations.ran = self.area.ran();
        observations.ran.retain(|id, _| !is_probe(id));
        observations.calls = std::mem::take(&mut *self.shared.calls.lock().unwrap());
        observations.requests = std::mem::take(&mut *self.shared.requests.lock().unwrap());
        let prepaid = *self.prepaid.lock().unwrap();
        self.check_sum("billed", observations.billed_total(Payer::Scarce), prepaid);
        let mut violations = std::mem::take(&mut *self.violations.lock().unwrap());
        violations.extend(observations.violations());
        let timeline = self
            .journal
            .around_first(logs, &violations, |id| observations.timeline(id));
        Outcome {
            seed: self.plan.seed,
            violations,
            timeline,
            summary: format!(
                "{} routers, {} calls {:?}, {left} of {prepaid} tokens left",
                self.plan.routers,
                observations.calls.len(),
                tally(&observations.calls),
            ),
        }
    }
}
