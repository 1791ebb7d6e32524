//! Runs a plan against gateways: starts the deployment and its callers, applies the steps at their times, and then
//! checks the promises.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::caller::{Caller, Shared};
use crate::deployment::runner::{Arrival, Mode, Pace, Runner};
use crate::deployment::store::{Fault, Store};
use crate::deployment::{
    Deployment, LONG, addresses, list_at, list_with_born, list_with_slots, until,
};
use crate::operator::Config;
use crate::place::GatewaySlot;
use crate::plan::{
    Change, Departure, Kind, MORE_ENGINES, Plan, SLOWER_PERCENT, Step, TARGETS, TOP_UP_TOKENS,
    Versions,
};
use crate::promise::{IN_FORCE_MAX, Observations, Violation};
use crate::proxy::{LinkFault, Proxy};
use crate::routes::Path;
use crate::timeline::Journal;

#[path = "ending.rs"]
mod ending;
#[path = "faults.rs"]
pub mod faults;

/// Grace period of a gateway's shutdown, in milliseconds: several times the longest request.
const GRACE_MS: &str = "8000";
/// Time from a target's announcement that it drains until its entry is removed.
const DRAIN_PERIOD: Duration = Duration::from_millis(1_500);
/// Time from then on until another instance takes its address. Together they exceed [`IN_FORCE_MAX`], the time in
/// which the target may still get requests.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(2_000);
/// Longest time a process may take to exit beyond its grace period: many times what it needs.
const EXIT_MAX: Duration = Duration::from_secs(20);
/// How long a process counts as disturbed after it is back: it reads the store and finds its peers.
const RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Time from a target's crash until its entry is removed: about three of its heartbeats.
const ENTRY_REMOVAL_DELAY: Duration = Duration::from_millis(900);
/// Time from then on until a new instance starts at its address.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(700);
/// Name prefix of instances whose service no route names.
pub const FOREIGN_PREFIX: &str = "x";
/// Topics that a compaction step compacts.
const TOPICS: [&str; 4] = [
    "keyed.op",
    "keyed.servers",
    "keyed.prepaid",
    "keyed.routers",
];
/// Interval between checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time that requests go on after the end of the load: the longest stream, at the slower target and with slow
/// moments.
const REMAINING_WORK_MAX: Duration = Duration::from_millis(3_000);
/// Gateways of unequal hosts name at least this many addresses to callers, or all if there are fewer.
const ADDRESSES_MIN: usize = 8;

/// The result of a run.
pub struct Outcome {
    pub seed: u64,
    pub violations: Vec<Violation>,
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
    slots: Vec<GatewaySlot>,
    targets: Arc<Vec<Target>>,
    reserved_targets: Arc<Mutex<Vec<usize>>>,
    /// The own paths of each gateway to the targets, if it has any.
    paths: Vec<Vec<Path>>,
    /// The gateways that are partitioned from all targets.
    partitioned: Arc<Mutex<Vec<usize>>>,
    config: Config,
    observations: Arc<Mutex<Observations>>,
    violations: Arc<Mutex<Vec<Violation>>>,
    tasks: JoinSet<()>,
    shared: Shared,
}

/// Executes a plan.
pub async fn run(plan: Plan, logs: PathBuf) -> Outcome {
    std::fs::create_dir_all(&logs).unwrap();
    let seed = plan.seed;
    let mut run = Run::start(plan, &logs).await;
    let shared = run.shared.clone();
    let begin = Instant::now();
    let end = begin + Duration::from_millis(run.plan.load_ms);
    let mut callers = JoinSet::new();
    for (number, caller) in run.plan.callers.clone().into_iter().enumerate() {
        let name = format!("s{seed}c{number}");
        let only = caller.gateway.map(|gateway| run.slots[gateway].front);
        let caller = Caller::new(name, caller, only, shared.clone());
        callers.spawn(caller.with_versions(run.plan.versions).run(end));
    }
    for (at, step) in run.plan.steps.clone() {
        sleep((begin + Duration::from_millis(at)).saturating_duration_since(Instant::now())).await;
        run.apply(step);
    }
    while let Some(ended) = callers.join_next().await {
        ended.unwrap();
    }
    run.journal.record("the load has ended");
    run.finish(&logs).await
}

impl Run {
    async fn start(plan: Plan, logs: &std::path::Path) -> Self {
        let config = Config::new();
        let store = Store::default();
        store.put("keyed.op", "config", Some(&config.value()));
        let mut targets = Vec::new();
        let more = match plan.versions {
            Versions::One => 0,
            Versions::Several => MORE_ENGINES,
        };
        let services = TARGETS
            .into_iter()
            .chain(std::iter::repeat_n("engine", more));
        for (number, service) in services.enumerate() {
            let instance = match (plan.versions, service) {
                (Versions::Several, "engine") => format!("i.{number}-1"),
                _ => format!("i{number}-1"),
            };
            let runner = Runner::start(&instance).await;
            let proxy = match plan.kind {
                Kind::Planned => None,
                Kind::Faults => Some(Proxy::start(runner.address).await),
            };
            let address = proxy.as_ref().map_or(runner.address, |proxy| proxy.address);
            runner.set_pace(pace(&plan, number, USUAL_PERCENT));
            if plan.has_limited_room && service != "engine" {
                let room = faults::usual_room();
                runner.set_room(room);
                let started = (None, room.slots);
                let instance = runner.instance();
                list_with_slots(&store, service, &instance, address, "ready", started);
            } else {
                list_at(&store, service, &runner.instance(), address, "ready");
            }
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
        let keep = plan.address_ttl_ms.to_string();
        let copy_age = plan.copy_age_max_ms.to_string();
        let flags = [
            "--keep",
            keep.as_str(),
            "--grace",
            GRACE_MS,
            "--copy-age",
            copy_age.as_str(),
        ];
        let mut paths = Vec::new();
        for number in 0..plan.gateways {
            let name = format!("g{number}");
            let log = logs.join(format!("{name}.log"));
            let capacity = plan.capacities[number];
            let (cores, link) = (capacity.cores.to_string(), capacity.link_mbps.to_string());
            let own = ["--cores", cores.as_str(), "--link-mbps", link.as_str()];
            let flags = [&flags[..], &own].concat();
            if plan.has_own_paths {
                let mut own_paths = Vec::new();
                for target in &targets {
                    own_paths.push(Path::open(target.address).await);
                }
                let routes = targets.iter().zip(&own_paths);
                let routes = routes.map(|(target, path)| (target.address, path.address));
                deployment
                    .add_routed_logged(&name, routes.collect(), &flags, Some(log))
                    .await;
                paths.push(own_paths);
            } else {
                deployment.add_logged(&name, &flags, Some(log)).await;
            }
        }
        deployment.wait_ready().await;
        let listed = plan.gateways.min(ADDRESSES_MIN);
        for gateway in &deployment.gateways {
            until(|| async { addresses(gateway).await.len() >= listed }).await;
        }
        for gateway in &deployment.gateways {
            store.set_fault(gateway.store, Fault::Slow(plan.store_delay_ms));
        }
        let directories = deployment.gateways.iter().map(|gateway| gateway.directory);
        let shared = Shared {
            directories: Arc::new(directories.collect()),
            ..Shared::default()
        };
        Self {
            plan,
            journal: Journal::default(),
            store,
            slots: deployment
                .gateways
                .into_iter()
                .map(|gateway| GatewaySlot::new(gateway, logs))
                .collect(),
            targets: Arc::new(targets),
            paths,
            partitioned: Arc::default(),
            reserved_targets: Arc::default(),
            config,
            observations: Arc::default(),
            violations: Arc::default(),
            tasks: JoinSet::new(),
            shared,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Stop(number, pause) => self.stop(number, Duration::from_millis(pause)),
            Step::Reload(number) => {
                let slot = &self.slots[number];
                if slot.has_started() {
                    self.journal.record(format!("SIGHUP {}", slot.name));
                    slot.signal("HUP");
                }
            }
            Step::Change(change) => self.change(change),
            Step::Leave(number, notice) => self.leave(number, notice),
            Step::Kill(number, pause) => self.kill(number, Duration::from_millis(pause)),
            Step::Freeze(number, span) => self.freeze(number, Duration::from_millis(span)),
            Step::Store(only, fault, span) => self.set_store_fault(only, fault, span),
            Step::Compact => {
                self.journal.record("the store compacts its topics");
                for topic in TOPICS {
                    self.store.compact(topic);
                }
            }
            Step::Restore(age, away, again) => self.restore_store(age, away, again),
            Step::Link(number, fault, span) => {
                let target = Arc::clone(&self.targets);
                self.during(
                    span,
                    format!("link to target {number}: {fault:?}"),
                    move |is_on| {
                        let fault = if is_on { fault } else { LinkFault::None };
                        target[number]
                            .proxy
                            .iter()
                            .for_each(|proxy| proxy.set(fault));
                    },
                );
            }
            Step::Target(number, mode, span) => {
                let target = Arc::clone(&self.targets);
                self.during(span, format!("target {number}: {mode:?}"), move |is_on| {
                    let mode = if is_on { mode } else { Mode::Normal };
                    target[number].runner.set(mode);
                });
            }
            Step::Lapse(number, rewrite, span) => self.lapse(number, rewrite, span),
            Step::Crash(number) => self.crash(number),
            Step::Restart(number) => self.restart(number),
            Step::Partition(number, partition, span) => self.partition(number, partition, span),
            Step::CrashingBlock(count) => self.send_crashing_block(count),
            Step::Slow(number, percent, span) => {
                let targets = Arc::clone(&self.targets);
                let paces = [USUAL_PERCENT, percent].map(|now| pace(&self.plan, number, now));
                let what = format!("target {number} takes {percent} % of its usual time");
                self.during(span, what, move |is_on| {
                    targets[number].runner.set_pace(paces[usize::from(is_on)]);
                });
            }
            Step::Rejections(first, limit, queue, span) => {
                self.limit_rejections(first, limit, queue, Duration::from_millis(span))
            }
            Step::Notice(number, notice, span) => {
                self.send_notice(number, notice, Duration::from_millis(span))
            }
        }
    }

    /// Stops a gateway and starts it again, unless no other gateway is free of steps.
    fn stop(&mut self, number: usize, pause: Duration) {
        let slot = self.slots[number].clone();
        let others = self.slots.iter().filter(|other| !other.is_busy()).count();
        if slot.is_busy() || others < 2 {
            return;
        }
        *slot.is_busy.lock().unwrap() = true;
        self.journal.record(format!("SIGTERM {}", slot.name));
        slot.signal("TERM");
        let (journal, violations) = (self.journal.clone(), Arc::clone(&self.violations));
        let observations = Arc::clone(&self.observations);
        let grace = Duration::from_millis(GRACE_MS.parse().unwrap());
        self.tasks.spawn(async move {
            if wait_until(grace + EXIT_MAX, || slot.has_ended()).await {
                journal.record(format!("{} has exited", slot.name));
            } else {
                violations.lock().unwrap().push(Violation {
                    promise: "LOST",
                    id: None,
                    what: format!("{} does not exit after SIGTERM", slot.name),
                });
                slot.gateway.lock().unwrap().kill();
            }
            sleep(pause).await;
            start_again(&slot, &journal, &observations).await;
        });
    }

    fn change(&mut self, change: Change) {
        let config = &mut self.config;
        config.version += 1;
        match change {
            Change::Weights(app, other) => config.weights = (app, other),
            Change::TopUp => {
                self.check_spend();
                self.config.prepaid += TOP_UP_TOKENS;
            }
            Change::Timeout(timeout) => config.timeout = timeout,
            Change::RevokeKey => {
                config.has_key = false;
            }
        }
        if change == Change::RevokeKey {
            let mut observations = self.observations.lock().unwrap();
            observations.revoked.get_or_insert_with(Instant::now);
        }
        let value = self.config.value();
        self.store.put("keyed.op", "config", Some(&value));
        let version = self.config.version;
        self.journal
            .record(format!("configuration {version}: {change:?}"));
    }

    /// Takes a target out of service. It still answers requests until another instance takes its address.
    fn leave(&mut self, number: usize, notice: Departure) {
        if !self.reserve_target(number) {
            return;
        }
        let instance = self.targets[number].runner.instance();
        self.journal
            .record(format!("{instance} leaves: {notice:?}"));
        let (store, targets) = (self.store.clone(), Arc::clone(&self.targets));
        let (journal, reserved) = (self.journal.clone(), Arc::clone(&self.reserved_targets));
        let observations = Arc::clone(&self.observations);
        self.tasks.spawn(async move {
            let target = &targets[number];
            if notice == Departure::Draining {
                let born = target.runner.born();
                list_with_born(
                    &store,
                    target.service,
                    &instance,
                    target.address,
                    "draining",
                    born,
                );
                observations
                    .lock()
                    .unwrap()
                    .departures
                    .push((instance.clone(), Instant::now()));
                sleep(DRAIN_PERIOD).await;
                store.put("keyed.servers", &instance, None);
            } else {
                store.put("keyed.servers", &instance, None);
                observations
                    .lock()
                    .unwrap()
                    .departures
                    .push((instance.clone(), Instant::now()));
                sleep(DRAIN_PERIOD).await;
            }
            sleep(REPLACEMENT_DELAY).await;
            let (prefix, generation) = instance.split_once('-').unwrap();
            let next = format!("{prefix}-{}", generation.parse::<u32>().unwrap() + 1);
            target.runner.replace(&next);
            list_at(&store, target.service, &next, target.address, "ready");
            journal.record(format!("{next} has taken its address"));
            reserved.lock().unwrap().retain(|other| *other != number);
        });
    }

    fn arrivals(&self) -> Vec<Arrival> {
        let of = |target: &Target| target.runner.arrivals();
        self.targets.iter().flat_map(of).collect()
    }
}

/// What a target reports at its usual pace.
const USUAL_PERCENT: u64 = 100;

/// The pace of a target that takes this percentage of its usual time.
fn pace(plan: &Plan, number: usize, percent: u64) -> Pace {
    let is_slower = number == plan.slower_target;
    Pace {
        usual: if is_slower {
            SLOWER_PERCENT
        } else {
            USUAL_PERCENT
        },
        slowdown: Some(percent),
    }
}

async fn start_again(slot: &GatewaySlot, journal: &Journal, observations: &Mutex<Observations>) {
    let restart = (slot.front, Instant::now());
    observations.lock().unwrap().restarts.push(restart);
    slot.start_again();
    journal.record(format!("{} is restarted", slot.name));
    let end = Instant::now() + LONG;
    while Instant::now() < end && !slot.is_ready().await {
        sleep(POLL_INTERVAL).await;
    }
    *slot.is_busy.lock().unwrap() = false;
}

/// Waits until a condition holds. Returns whether it did within the limit.
async fn wait_until(limit: Duration, holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    true
}

const _: () = assert!(
    DRAIN_PERIOD.as_millis() + REPLACEMENT_DELAY.as_millis() > IN_FORCE_MAX.as_millis(),
    "a leaving target runs past the bound, so that it records requests that come too late"
);
