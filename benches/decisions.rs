//! Benchmarks target selection in a router: time and allocations per choice, for several numbers of targets.
//!
//! `cargo bench --bench decisions`

use std::alloc::System;
use std::time::Instant;

use lanedeck::router::intent::{Kind, Target};
use lanedeck::router::pool::{Pool, TargetQuery};
use lanedeck::units::{Millis, Offset, Tokens};
use rand::SeedableRng;
use rand::rngs::StdRng;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUNDS: u64 = 5_000;

/// Runs a step [`ROUNDS`] times in each of three passes. Returns nanoseconds per step of the fastest pass and
/// allocations per step of the last.
fn measure(mut step: impl FnMut(u64)) -> (f64, f64) {
    let mut best = f64::INFINITY;
    let mut allocations = 0.0;
    for pass in 0..3 {
        let region = Region::new(GLOBAL);
        let start = Instant::now();
        for round in 0..ROUNDS {
            step(pass * ROUNDS + round);
        }
        best = best.min(start.elapsed().as_nanos() as f64 / ROUNDS as f64);
        allocations = region.change().allocations as f64 / ROUNDS as f64;
    }
    (best, allocations)
}

fn choose(targets: usize) -> (f64, f64) {
    let target = |index: usize| Target {
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        kind: Kind::Engine,
        serves: "m".into(),
        hall: "h".into(),
        slots: 16,
        checks_fence: true,
        draining: false,
        call_price: Tokens(0),
    };
    let targets: Vec<_> = (0..targets)
        .map(|index| (format!("t{index}"), target(index)))
        .collect();
    let mut pool = Pool::default();
    pool.update(
        targets
            .iter()
            .map(|(name, target)| (name.as_str(), Offset(1), target)),
    );
    let mut rng = StdRng::seed_from_u64(1);
    let query = TargetQuery {
        kind: Kind::Engine,
        serves: "m",
        tried: &[],
    };
    measure(|_| {
        let choice = pool.choose(Millis(1), &query, &mut rng).unwrap();
        std::hint::black_box(choice);
    })
}

fn main() {
    println!("choose: targets ns allocations");
    for targets in [10, 100, 600] {
        let (nanos, allocations) = choose(targets);
        println!("choose {targets:>4} {nanos:>9.0} {allocations:.1}");
    }
}
