//! Randomised runs over the real binary: gateways as processes, callers, targets and the store's
//! stand-in, with steps and faults drawn from a seed.
//!
//! `LANEDECK_SOAK_SEEDS=50` runs so many seeds, `LANEDECK_SOAK_SEEDS=7,12` these. A failure prints its
//! seed and one timeline of what callers, targets and processes saw; the logs stay.

#[path = "soak/caller.rs"]
mod caller;
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
#[path = "soak/run.rs"]
mod run;
#[path = "soak/timeline.rs"]
mod timeline;

use std::sync::Mutex;

use plan::{Kind, Plan};
use run::{Outcome, run};

/// Seeds of a run in CI: one to two minutes for all tests here.
const SEEDS: u64 = 6;
/// Seeds that run at once: a dozen processes.
const AT_ONCE: usize = 3;
/// Broken promises that are printed of a seed.
const SHOWN: usize = 5;

/// One soak at a time, so that they don't load the machine together.
static ONE: Mutex<()> = Mutex::new(());

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("LANEDECK_SOAK_SEEDS") else {
        return (1..=SEEDS).collect();
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

fn soak(name: &str, kind: Kind) {
    let _one = ONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    let logs = std::env::temp_dir().join(format!("lanedeck-{name}-{}", std::process::id()));
    let mut failed = Vec::new();
    for seeds in seeds().chunks(AT_ONCE) {
        let runs = seeds.iter().map(|seed| {
            let logs = logs.join(seed.to_string());
            run(Plan::new(*seed, kind), logs)
        });
        for outcome in runtime.block_on(futures::future::join_all(runs)) {
            println!("{name} seed {}: {}", outcome.seed, outcome.summary);
            if outcome.broken.is_empty() {
                let _ = std::fs::remove_dir_all(logs.join(outcome.seed.to_string()));
            } else {
                show(&outcome);
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

fn show(outcome: &Outcome) {
    println!("seed {}: {} broken", outcome.seed, outcome.broken.len());
    for broken in outcome.broken.iter().take(SHOWN) {
        let id = broken.id.as_deref().unwrap_or("-");
        println!("  {} {id}: {}", broken.promise, broken.what);
    }
    println!("{}", outcome.timeline);
}

#[test]
fn soak_planned() {
    soak("soak_planned", Kind::Planned);
}

#[test]
fn soak_faults() {
    soak("soak_faults", Kind::Faults);
}

#[test]
fn same_seed_same_plan() {
    for kind in [Kind::Planned, Kind::Faults] {
        let plans = [7, 7, 8].map(|seed| format!("{:?}", Plan::new(seed, kind)));
        assert_eq!(plans[0], plans[1]);
        assert_ne!(plans[0], plans[2]);
    }
}
