//! The same recorded arrivals through every policy.
//!
//! `cargo bench --bench policies`

mod common;

use std::collections::BTreeMap;

use common::{Arrival, Fleet, Make, Shape, at};
use lanedeck::router::request::Verdict;
use lanedeck::router::target::Policy;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const NODES: usize = 7;
const ENGINES: usize = 40;
const CUSTOMERS: usize = 10;
const CLASSES: usize = 3;
const SPAN: u64 = 60_000;
const WARM: u64 = 10_000;
const SESSIONS: usize = 2_000;
/// Requests a second that 40 engines serve at most with this mix, from a run at 200%.
const CAPACITY: f64 = 210.0;

const SHAPE: Shape = Shape {
    slots: 16,
    first: 40.0,
    block: 25.0,
    between: 14.0,
    crowd: 1.0,
    cache: 1_200,
};

/// Conversations of several turns: each turn's prompt is the last one's and a bit more.
fn record(rate: f64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(42);
    let mut turns = vec![0_u64; SESSIONS];
    let mut arrivals = Vec::new();
    let mut now = 100.0;
    while now < SPAN as f64 {
        now += -1_000.0 / rate * (1.0 - rng.random::<f64>()).ln();
        let session = rng.random_range(0..SESSIONS);
        let depth = 4 + turns[session] % 20;
        turns[session] += 1;
        let customer = session % CUSTOMERS;
        let system = customer as u64;
        let own = |block: u64| (session as u64 + 1) << 20 | block;
        let blocks = (0..depth).map(|block| {
            if block < 3 {
                system << 8 | block
            } else {
                own(block)
            }
        });
        arrivals.push(Arrival {
            at: now as u64,
            node: (session * 3 + rng.random_range(0..3)) % NODES,
            customer,
            class: rng.random_range(0..CLASSES),
            blocks: blocks.collect(),
            prompt: depth * 256,
            tokens: rng.random_range(20..160),
        });
    }
    arrivals
}

struct Row {
    first: Vec<u64>,
    hits: f64,
    cv: f64,
    max_median: f64,
    refused: BTreeMap<usize, usize>,
    failed: usize,
}

fn run(policy: Policy, load: f64, faults: bool) -> Row {
    let make = Make {
        nodes: NODES,
        engines: ENGINES,
        customers: CUSTOMERS,
        classes: CLASSES,
        prepaid: vec![1 << 40],
        shape: SHAPE,
        tick: 25,
    };
    let arrivals = record(CAPACITY * load);
    let mut fleet = Fleet::new(&make, arrivals, |mut settings| {
        settings.policy = policy;
        settings.with_witnessed(false)
    });
    if faults {
        fleet.engines[0].slow = 6.0;
        fleet.engines[1].failing = true;
    }
    fleet.run_until(SPAN + 20_000);
    row(&fleet)
}

fn row(fleet: &Fleet) -> Row {
    let pairs = || {
        fleet
            .arrivals
            .iter()
            .zip(&fleet.outcomes)
            .filter(|(one, _)| one.at > WARM)
    };
    let (mut first, mut hits, mut blocks) = (Vec::new(), 0, 0);
    let mut refused = BTreeMap::new();
    let mut failed = 0;
    for (arrival, outcome) in pairs() {
        match outcome.verdict {
            Some(Verdict::Ran { .. }) => {
                first.extend(outcome.first);
                hits += outcome.hit;
                blocks += arrival.blocks.len();
            }
            Some(Verdict::NotRun { .. }) => *refused.entry(arrival.class).or_default() += 1,
            Some(Verdict::MayHaveRun { .. }) | None => failed += 1,
        }
    }
    first.sort_unstable();
    let mut served: Vec<u64> = fleet.engines.iter().map(|engine| engine.served).collect();
    served.sort_unstable();
    let mean = served.iter().sum::<u64>() as f64 / served.len() as f64;
    let variance = served
        .iter()
        .map(|one| (*one as f64 - mean).powi(2))
        .sum::<f64>();
    Row {
        hits: hits as f64 / f64::from(blocks.max(1) as u32),
        cv: (variance / served.len() as f64).sqrt() / mean.max(1.0),
        max_median: at(&served, 1.0) as f64 / at(&served, 0.5).max(1) as f64,
        first,
        refused,
        failed,
    }
}

fn main() {
    println!(
        "load faults policy   served  first p50/p95/p99 ms   hits    cv  max/median  refused by class  failed"
    );
    for (load, faults) in [
        (0.5, false),
        (0.9, false),
        (1.2, false),
        (0.5, true),
        (0.9, true),
    ] {
        let rows = std::thread::scope(|scope| {
            let runs = Policy::ALL.map(|policy| scope.spawn(move || run(policy, load, faults)));
            runs.map(|run| run.join().unwrap())
        });
        for (policy, row) in Policy::ALL.iter().zip(rows) {
            let p = [0.5, 0.95, 0.99].map(|share| at(&row.first, share));
            let refused: Vec<usize> = (0..CLASSES)
                .map(|class| row.refused.get(&class).copied().unwrap_or(0))
                .collect();
            println!(
                "{load:>4} {faults:<6} {:<8} {:>6}  {:>6}/{:>6}/{:>6}   {:>5.1}%  {:.3}  {:>6.2}  {refused:?}  {}",
                policy.to_string(),
                row.first.len(),
                p[0],
                p[1],
                p[2],
                row.hits * 100.0,
                row.cv,
                row.max_median,
                row.failed
            );
        }
    }
}
