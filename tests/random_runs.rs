//! Randomised simulations of the decision code. A seed that fails becomes a test of its own.
//!
//! `LANEDECK_SEEDS=1000 cargo test --release --locked --test random_runs -- --nocapture` runs many seeds;
//! `LANEDECK_SEED=7` runs one.

mod common;

use std::collections::BTreeMap;

use common::world::World;

const SEEDS: u64 = 40;

fn run(seed: u64) -> (World, usize) {
    let mut world = World::new(seed);
    world.run();
    let exact = world.check();
    (world, exact)
}

#[test]
fn many_seeds() {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let seeds = match number("LANEDECK_SEED") {
        Some(seed) => seed..seed + 1,
        None => 1..number("LANEDECK_SEEDS").unwrap_or(SEEDS) + 1,
    };
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    let mut verdicts: BTreeMap<&str, u64> = BTreeMap::new();
    let mut events = 0;
    let mut exact = 0;
    let count = seeds.end - seeds.start;
    for seed in seeds {
        println!("seed {seed}");
        let (world, matched) = run(seed);
        exact += matched;
        events += world.count;
        for (name, times) in &world.faults.0 {
            *faults.entry(name).or_default() += times;
        }
        for (name, times) in &world.verdicts {
            *verdicts.entry(name).or_default() += times;
        }
    }
    println!("seeds={count} exact={exact} events={events} faults={faults:?} verdicts={verdicts:?}");
}
