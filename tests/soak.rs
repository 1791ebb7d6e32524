//! Randomised tests of the real binary. Gateways or routers run as processes, next to callers, targets and the
//! stand-in of the store or the log; planned operations and faults are drawn from a seed.
//!
//! `LANEDECK_SOAK_SEEDS=50` runs the seeds 1 to 50, `LANEDECK_SOAK_SEEDS=7,12` runs just these two, and
//! `LANEDECK_SOAK_PROCESSES=24` sets the number of gateways or routers per run; the number of callers grows with it.
//! A failure prints its seed and one timeline of what callers, targets and processes saw, and keeps the logs: in the
//! folder that `LANEDECK_TEST_LOGS` names, or in that for temporary files.

#[path = "soak/caller.rs"]
mod caller;
mod common;
mod deployment;
#[path = "soak/line.rs"]
mod line;
#[path = "soak/operator.rs"]
mod operator;
#[path = "soak/place.rs"]
mod place;
#[path = "soak/plan.rs"]
mod plan;
#[path = "soak/promise.rs"]
mod promise;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/router/mod.rs"]
mod router;
mod routes;
#[path = "soak/run.rs"]
mod run;
#[path = "soak/said.rs"]
mod said;
#[path = "soak/timeline.rs"]
mod timeline;

use std::path::PathBuf;
use std::sync::Mutex;

use plan::{Kind, Plan};
use run::{Outcome, run};
use tokio::runtime::Runtime;

/// Default number of seeds for gateways: all tests of this file take one to two minutes in CI.
const GATEWAY_SEEDS: u64 = 6;
/// Default number of seeds with partitions: one batch.
const PARTITION_SEEDS: u64 = 3;
/// Default number of seeds with several versions: one batch.
const VERSION_SEEDS: u64 = 3;
/// Default number of seeds with targets that answer without end: one batch.
const FLOOD_SEEDS: u64 = 3;
/// Default number of seeds with targets that fail after rejections: one batch.
const REJECTION_SEEDS: u64 = 3;
/// Default number of seeds for routers: one batch for each kind.
const ROUTER_SEEDS: u64 = 3;
/// Seeds that run concurrently, which makes about a dozen processes.
const CONCURRENT_SEEDS: usize = 3;
/// Upper limit of `LANEDECK_SOAK_PROCESSES`: a few dozen processes fit in a workstation's memory.
const PROCESSES_MAX: usize = 36;
/// Maximum number of violations printed per seed.
const VIOLATIONS_SHOWN_MAX: usize = 5;

/// Serializes the soak tests, so that they don't load the machine at the same time.
static SOAK_LOCK: Mutex<()> = Mutex::new(());

fn seeds(default_count: u64) -> Vec<u64> {
    let Ok(text) = std::env::var("LANEDECK_SOAK_SEEDS") else {
        return (1..=default_count).collect();
    };
    let numbers: Vec<u64> = text
        .split(',')
        .map(|seed| seed.trim().parse().unwrap())
        .collect();
    match numbers[..] {
        [count] if !text.contains(',') => (1..=count).collect(),
        _ => numbers,
    }
}

/// Number of gateways or routers per run, if set. Seeds then run one at a time.
fn processes() -> Option<usize> {
    let text = std::env::var("LANEDECK_SOAK_PROCESSES").ok()?;
    let count = text.parse().unwrap();
    assert!((2..=PROCESSES_MAX).contains(&count), "2 to {PROCESSES_MAX}");
    Some(count)
}

/// Runs the seeds in batches and fails if any of them broke a promise. `batch` runs the given seeds concurrently,
/// each with its own log directory.
fn soak(
    name: &str,
    default_count: u64,
    batch: impl Fn(&Runtime, Vec<(u64, PathBuf)>) -> Vec<Outcome>,
) {
    let _guard = SOAK_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    let folder = std::env::var_os("LANEDECK_TEST_LOGS");
    let folder = folder.map_or_else(std::env::temp_dir, PathBuf::from);
    let logs = folder.join(format!("lanedeck-{name}-{}", std::process::id()));
    let mut failed = Vec::new();
    let concurrent = if processes().is_some() {
        1
    } else {
        CONCURRENT_SEEDS
    };
    for seeds in seeds(default_count).chunks(concurrent) {
        let with_logs = seeds
            .iter()
            .map(|seed| (*seed, logs.join(seed.to_string())));
        for outcome in batch(&runtime, with_logs.collect()) {
            println!("{name} seed {}: {}", outcome.seed, outcome.summary);
            if outcome.violations.is_empty() {
                let _ = std::fs::remove_dir_all(logs.join(outcome.seed.to_string()));
            } else {
                print_failure(&outcome);
                failed.push(outcome.seed);
            }
        }
    }
    if failed.is_empty() {
        let _ = std::fs::remove_dir_all(&logs);
    }
    assert!(
        failed.is_empty(),
        "seeds {failed:?}, logs in {}",
        logs.display()
    );
}

fn soak_gateways(name: &str, kind: Kind) {
    soak_plans(name, |seed| Plan::new(seed, kind, processes()));
}

fn soak_plans(name: &str, plan: impl Fn(u64) -> Plan) {
    soak_seeds(name, GATEWAY_SEEDS, plan);
}

fn soak_seeds(name: &str, default_count: u64, plan: impl Fn(u64) -> Plan) {
    soak(name, default_count, |runtime, seeds| {
        let runs = seeds.into_iter().map(|(seed, logs)| run(plan(seed), logs));
        runtime.block_on(futures::future::join_all(runs))
    });
}

fn soak_routers(name: &str, kind: Kind) {
    soak(name, ROUTER_SEEDS, |runtime, seeds| {
        let plans = seeds.into_iter().map(|(seed, logs)| {
            let plan = router::Plan::new(seed, kind, processes());
            let addresses = router::addresses(&plan);
            (plan, addresses, logs)
        });
        // All addresses are probed before any process starts, since a process could take a probed port.
        let plans: Vec<_> = plans.collect();
        std::thread::scope(|scope| {
            let runs = plans.into_iter().map(|(plan, addresses, logs)| {
                let handle = runtime.handle();
                scope.spawn(move || router::run(handle, plan, addresses, &logs))
            });
            let runs: Vec<_> = runs.collect();
            runs.into_iter().map(|run| run.join().unwrap()).collect()
        })
    });
}

fn print_failure(outcome: &Outcome) {
    println!(
        "seed {}: {} violations",
        outcome.seed,
        outcome.violations.len()
    );
    for violation in outcome.violations.iter().take(VIOLATIONS_SHOWN_MAX) {
        let id = violation.id.as_deref().unwrap_or("-");
        println!("  {} {id}: {}", violation.promise, violation.what);
    }
    println!("{}", outcome.timeline);
}

#[test]
fn soak_planned() {
    soak_gateways("soak_planned", Kind::Planned);
}

#[test]
fn soak_faults() {
    soak_gateways("soak_faults", Kind::Faults);
}

/// Planned operations while targets announce that they are leaving, a rate limit, or a pause.
#[test]
fn soak_notices() {
    soak_plans("soak_notices", |seed| {
        Plan::new(seed, Kind::Planned, processes()).with_notices()
    });
}

/// Planned operations and faults while targets announce that they fail after rejections, and their queues are short.
#[test]
fn soak_rejections() {
    soak_seeds("soak_rejections", REJECTION_SEEDS, |seed| {
        let kind = [Kind::Planned, Kind::Faults][usize::from(seed % 2 == 0)];
        Plan::new(seed, kind, processes()).with_rejections()
    });
}

/// Planned operations and faults while the store is restored from copies.
#[test]
fn soak_restores() {
    soak_plans("soak_restores", |seed| {
        let kind = [Kind::Planned, Kind::Faults][usize::from(seed % 2 == 0)];
        Plan::new(seed, kind, processes()).with_restores()
    });
}

/// Gateways that lose their paths to all targets, and a block of prompts under which targets crash.
#[test]
fn soak_partitions() {
    soak_seeds("soak_partitions", PARTITION_SEEDS, |seed| {
        Plan::new(seed, Kind::Faults, processes()).with_partitions()
    });
}

/// Engines of several versions whose streams break off, and callers that take them up again.
#[test]
fn soak_versions() {
    soak_seeds("soak_versions", VERSION_SEEDS, |seed| {
        Plan::new(seed, Kind::Faults, processes()).with_versions()
    });
}

/// Planned operations and faults while targets answer with bytes without end.
#[test]
fn soak_floods() {
    soak_seeds("soak_floods", FLOOD_SEEDS, |seed| {
        let kind = [Kind::Planned, Kind::Faults][usize::from(seed % 2 == 0)];
        Plan::new(seed, kind, processes()).with_floods()
    });
}

#[test]
fn routers_planned() {
    soak_routers("routers_planned", Kind::Planned);
}

#[test]
fn routers_faults() {
    soak_routers("routers_faults", Kind::Faults);
}

#[test]
fn same_seed_same_plan() {
    for kind in [Kind::Planned, Kind::Faults] {
        let plans = [7, 7, 8].map(|seed| format!("{:?}", Plan::new(seed, kind, None)));
        assert_eq!(plans[0], plans[1]);
        assert_ne!(plans[0], plans[2]);
        let plans = [7, 7, 8].map(|seed| format!("{:?}", router::Plan::new(seed, kind, None)));
        assert_eq!(plans[0], plans[1]);
        assert_ne!(plans[0], plans[2]);
    }
}
