//! Runs a plan against gateways: starts the deployment and its callers, applies the steps at their times, and then
//! checks the promises.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::caller::{Caller, World};
use crate::deployment::runner::{Arrival, Mode, Runner};
use crate::deployment::store::{Fault, Store};
use crate::deployment::{Deployment, LONG, list_at, list_born};
use crate::operator::Config;
use crate::place::Place;
use crate::plan::{Change, Kind, Notice, Plan, Step, TARGETS, TOP_UP};
use crate::promise::{Broken, IN_FORCE_MAX, Seen};
use crate::proxy::{Harm, Proxy};
use crate::timeline::Journal;

#[path = "ending.rs"]
mod ending;
#[path = "faults.rs"]
mod faults;

/// Grace period of a gateway's shutdown, in milliseconds: several times the longest request.
const GRACE: &str = "8000";
/// Time from a target's announcement that it drains until its entry is removed.
const DRAINING: Duration = Duration::from_millis(1_500);
/// Time from then on until another instance takes its address. Together they exceed [`IN_FORCE_MAX`], the time in
/// which the target may still get requests.
const UNTIL_REPLACED: Duration = Duration::from_millis(2_000);
/// Longest time a process may take to exit beyond its grace period: many times what it needs.
const END_MAX: Duration = Duration::from_secs(20);
/// How long a process counts as disturbed after it is back: it reads the store and finds its peers.
const RETURN: Duration = Duration::from_secs(1);
/// Time from a target's crash until its entry is removed: about three of its heartbeats.
const UNTIL_FORGOTTEN: Duration = Duration::from_millis(900);
/// Time from then on until a new instance starts at its address.
const UNTIL_BACK: Duration = Duration::from_millis(700);
/// Name prefix of instances whose service no route names.
pub const FOREIGN: &str = "x";
/// Topics that a compaction step compacts.
const TOPICS: [&str; 4] = [
    "keyed.op",
    "keyed.servers",
    "keyed.prepaid",
    "keyed.routers",
];
/// Interval between checks of a process.
const LOOK: Duration = Duration::from_millis(5);
/// Longest time that requests go on after the end of the load: the longest stream.
const QUIET: Duration = Duration::from_millis(1_500);

/// The result of a run.
pub struct Outcome {
    pub seed: u64,
    pub broken: Vec<Broken>,
    /// The timeline around the first violation.
    pub timeline: String,
    /// One line that sums up the run.
    pub summary: String,
}

/// A target's stand-in and how gateways reach it.
struct Target {
    service: &'static str,
    runner: Runner,
    /// Sits between the gateways and the target in runs with faults.
    proxy: Option<Proxy>,
    /// The address that gateways connect to.
    address: SocketAddr,
}

struct Run {
    plan: Plan,
    journal: Journal,
    store: Store,
    places: Vec<Place>,
    targets: Arc<Vec<Target>>,
    leaving: Arc<Mutex<Vec<usize>>>,
    config: Config,
    seen: Arc<Mutex<Seen>>,
    broken: Arc<Mutex<Vec<Broken>>>,
    tasks: JoinSet<()>,
    world: World,
}

/// Executes a plan.
pub async fn run(plan: Plan, logs: PathBuf) -> Outcome {
    std::fs::create_dir_all(&logs).unwrap();
    let seed = plan.seed;
    let mut run = Run::start(plan, &logs).await;
    let world = run.world.clone();
    let begin = Instant::now();
    let end = begin + Duration::from_millis(run.plan.load);
    let mut callers = JoinSet::new();
    for (number, caller) in run.plan.callers.clone().into_iter().enumerate() {
        let name = format!("s{seed}c{number}");
        callers.spawn(Caller::new(name, caller, world.clone()).run(end));
    }
    for (at, step) in run.plan.steps.clone() {
        sleep((begin + Duration::from_millis(at)).saturating_duration_since(Instant::now())).await;
        run.take(step);
    }
    while let Some(ended) = callers.join_next().await {
        ended.unwrap();
    }
    run.journal.note("the load has ended");
    run.end(&logs).await
}

impl Run {
    async fn start(plan: Plan, logs: &std::path::Path) -> Self {
        let config = Config::new();
        let store = Store::default();
        store.put("keyed.op", "config", Some(&config.value()));
        let mut targets = Vec::new();
        for (number, service) in TARGETS.into_iter().enumerate() {
            let runner = Runner::start(&format!("i{number}-1")).await;
            let proxy = match plan.kind {
                Kind::Planned => None,
                Kind::Faults => Some(Proxy::start(runner.address).await),
            };
            let address = proxy.as_ref().map_or(runner.address, |proxy| proxy.address);
            list_at(&store, service, &runner.instance(), address, "ready");
            runner.list_at_start(&store, service, address);
            targets.push(Target {
                service,
                runner,
                proxy,
                address,
            });
        }
        let mut deployment = Deployment {
            store: store.clone(),
            gateways: Vec::new(),
        };
        let keep = plan.keep.to_string();
        let copy_age = plan.copy_age.to_string();
        let flags = [
            "--keep",
            keep.as_str(),
            "--grace",
            GRACE,
            "--copy-age",
            copy_age.as_str(),
        ];
        for number in 0..plan.gateways {
            let name = format!("g{number}");
            let log = logs.join(format!("{name}.log"));
            deployment.add_logged(&name, &flags, Some(log)).await;
        }
        deployment.wait_ready().await;
        deployment.wait_acquainted().await;
        for gateway in &deployment.gateways {
            store.set_fault(gateway.store, Fault::Slow(plan.store));
        }
        let directories = deployment.gateways.iter().map(|gateway| gateway.directory);
        let world = World {
            directories: Arc::new(directories.collect()),
            ..World::default()
        };
        Self {
            plan,
            journal: Journal::default(),
            store,
            places: deployment
                .gateways
                .into_iter()
                .map(|gateway| Place::new(gateway, logs))
                .collect(),
            targets: Arc::new(targets),
            leaving: Arc::default(),
            config,
            seen: Arc::default(),
            broken: Arc::default(),
            tasks: JoinSet::new(),
            world,
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Stop(number, pause) => self.stop(number, Duration::from_millis(pause)),
            Step::Reload(number) => {
                let place = &self.places[number];
                if place.has_begun() {
                    self.journal.note(format!("SIGHUP {}", place.name));
                    place.signal("HUP");
                }
            }
            Step::Change(change) => self.change(change),
            Step::Leave(number, notice) => self.leave(number, notice),
            Step::Kill(number, pause) => self.kill(number, Duration::from_millis(pause)),
            Step::Freeze(number, span) => self.freeze(number, Duration::from_millis(span)),
            Step::Store(some, fault, span) => self.harm_store(some, fault, span),
            Step::Compact => {
                self.journal.note("the store drops its history");
                for topic in TOPICS {
                    self.store.compact(topic);
                }
            }
            Step::Restore(age, away, again) => self.restore_store(age, away, again),
            Step::Link(number, harm, span) => {
                let target = Arc::clone(&self.targets);
                self.during(
                    span,
                    format!("link to target {number}: {harm:?}"),
                    move |is_on| {
                        let harm = if is_on { harm } else { Harm::None };
                        target[number]
                            .proxy
                            .iter()
                            .for_each(|proxy| proxy.set(harm));
                    },
                );
            }
            Step::Target(number, mode, span) => {
                let target = Arc::clone(&self.targets);
                self.during(span, format!("target {number}: {mode:?}"), move |is_on| {
                    let mode = if is_on { mode } else { Mode::Well };
                    target[number].runner.set(mode);
                });
            }
            Step::Lapse(number, back, span) => self.lapse(number, back, span),
            Step::Crash(number) => self.crash(number),
            Step::Restart(number) => self.restart(number),
            Step::Say(number, said, span) => self.say(number, said, Duration::from_millis(span)),
        }
    }

    /// Stops a gateway and starts it again, unless no other gateway is free of steps.
    fn stop(&mut self, number: usize, pause: Duration) {
        let place = self.places[number].clone();
        let others = self.places.iter().filter(|other| !other.is_taken()).count();
        if place.is_taken() || others < 2 {
            return;
        }
        *place.is_taken.lock().unwrap() = true;
        self.journal.note(format!("SIGTERM {}", place.name));
        place.signal("TERM");
        let (journal, broken) = (self.journal.clone(), Arc::clone(&self.broken));
        let seen = Arc::clone(&self.seen);
        let grace = Duration::from_millis(GRACE.parse().unwrap());
        self.tasks.spawn(async move {
            if wait(grace + END_MAX, || place.has_ended()).await {
                journal.note(format!("{} has ended", place.name));
            } else {
                broken.lock().unwrap().push(Broken {
                    promise: "LOST",
                    id: None,
                    what: format!("{} does not end after SIGTERM", place.name),
                });
                place.gateway.lock().unwrap().kill();
            }
            sleep(pause).await;
            start_again(&place, &journal, &seen).await;
        });
    }

    fn change(&mut self, change: Change) {
        let config = &mut self.config;
        config.version += 1;
        match change {
            Change::Weights(app, other) => config.weights = (app, other),
            Change::TopUp => {
                self.check_spend();
                self.config.prepaid += TOP_UP;
            }
            Change::Timeout(timeout) => config.timeout = timeout,
            Change::TakeKey => {
                config.has_key = false;
            }
        }
        if change == Change::TakeKey {
            let mut seen = self.seen.lock().unwrap();
            seen.revoked.get_or_insert_with(Instant::now);
        }
        let value = self.config.value();
        self.store.put("keyed.op", "config", Some(&value));
        let version = self.config.version;
        self.journal
            .note(format!("configuration {version}: {change:?}"));
    }

    /// Takes a target out of service. It still answers requests until another instance takes its address.
    fn leave(&mut self, number: usize, notice: Notice) {
        if !self.take_target(number) {
            return;
        }
        let instance = self.targets[number].runner.instance();
        self.journal.note(format!("{instance} leaves: {notice:?}"));
        let (store, targets) = (self.store.clone(), Arc::clone(&self.targets));
        let (journal, leaving) = (self.journal.clone(), Arc::clone(&self.leaving));
        let seen = Arc::clone(&self.seen);
        self.tasks.spawn(async move {
            let target = &targets[number];
            if notice == Notice::Draining {
                let born = target.runner.born();
                list_born(
                    &store,
                    target.service,
                    &instance,
                    target.address,
                    "draining",
                    born,
                );
                seen.lock()
                    .unwrap()
                    .departures
                    .push((instance.clone(), Instant::now()));
                sleep(DRAINING).await;
                store.put("keyed.servers", &instance, None);
            } else {
                store.put("keyed.servers", &instance, None);
                seen.lock()
                    .unwrap()
                    .departures
                    .push((instance.clone(), Instant::now()));
                sleep(DRAINING).await;
            }
            sleep(UNTIL_REPLACED).await;
            let (place, life) = instance.split_once('-').unwrap();
            let next = format!("{place}-{}", life.parse::<u32>().unwrap() + 1);
            target.runner.replace(&next);
            list_at(&store, target.service, &next, target.address, "ready");
            journal.note(format!("{next} has its address"));
            leaving.lock().unwrap().retain(|other| *other != number);
        });
    }

    fn arrivals(&self) -> Vec<Arrival> {
        let of = |target: &Target| target.runner.arrivals();
        self.targets.iter().flat_map(of).collect()
    }
}

async fn start_again(place: &Place, journal: &Journal, seen: &Mutex<Seen>) {
    let restart = (place.front, Instant::now());
    seen.lock().unwrap().restarts.push(restart);
    place.start_again();
    journal.note(format!("{} is started again", place.name));
    let end = Instant::now() + LONG;
    while Instant::now() < end && !place.is_ready().await {
        sleep(LOOK).await;
    }
    *place.is_taken.lock().unwrap() = false;
}

/// Waits until a condition holds. Returns whether it did within the limit.
async fn wait(limit: Duration, holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        sleep(LOOK).await;
    }
    true
}

const _: () = assert!(
    DRAINING.as_millis() + UNTIL_REPLACED.as_millis() > IN_FORCE_MAX.as_millis(),
    "a leaving target runs past the bound, so that it records requests that come too late"
);
