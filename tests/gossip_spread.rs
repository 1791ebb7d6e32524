//! What one router passes on to its neighbours reaches the whole fleet in time, also if most routers are down, over a
//! number of connections that does not grow with the fleet.

mod fleet;

use std::collections::{BTreeSet, HashMap};

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};

/// Routers that each informed one sends to in a round, and the time between rounds, as gateways do.
const FAN_OUT: usize = 3;
const ROUND_MS: usize = 300;
/// A change has to be in force everywhere within this time.
const BOUND_MS: usize = 11_000;

/// The neighbours of each router of a fleet.
fn graph(routers: u16) -> Vec<Vec<u16>> {
    let numbers: HashMap<String, u16> = (0..routers)
        .map(|number| (fleet::router(number).name, number))
        .collect();
    let neighbours = |me: u16| {
        let others = (0..routers).filter(|other| *other != me);
        let members = fleet::members(me, others);
        let neighbours = members.neighbours();
        neighbours
            .iter()
            .map(|router| numbers[&router.name])
            .collect()
    };
    (0..routers).map(neighbours).collect()
}

/// Rounds until all live routers are informed.
fn rounds(graph: &[Vec<u16>], live: &BTreeSet<u16>, random: &mut StdRng) -> usize {
    let mut informed = BTreeSet::from([*live.first().unwrap()]);
    let mut rounds = 0;
    while informed.len() < live.len() {
        assert!(
            rounds * ROUND_MS <= BOUND_MS,
            "{} of {}",
            informed.len(),
            live.len()
        );
        rounds += 1;
        for router in informed.clone() {
            let sample = graph[usize::from(router)].sample(random, FAN_OUT);
            informed.extend(sample.filter(|other| live.contains(other)));
        }
    }
    rounds
}

#[test]
fn reaches_all_in_time() {
    let mut random = StdRng::seed_from_u64(1);
    for routers in [2, 30, 300, 1_000] {
        let graph = graph(routers);
        let all: BTreeSet<u16> = (0..routers).collect();
        rounds(&graph, &all, &mut random);
    }
}

#[test]
fn reaches_all_after_losses() {
    const ROUTERS: u16 = 1_000;
    let mut random = StdRng::seed_from_u64(2);
    let graph = graph(ROUTERS);
    let mut order: Vec<u16> = (0..ROUTERS).collect();
    for _ in 0..5 {
        order.shuffle(&mut random);
        // Six in ten lose power at once.
        let live: BTreeSet<u16> = order[..400].iter().copied().collect();
        rounds(&graph, &live, &mut random);
    }
}

#[test]
fn bounded_connections() {
    let mut largest = Vec::new();
    for routers in [300, 1_000] {
        let graph = graph(routers);
        let mut connected: Vec<BTreeSet<u16>> = vec![BTreeSet::new(); usize::from(routers)];
        for (router, neighbours) in graph.iter().enumerate() {
            for other in neighbours {
                connected[router].insert(*other);
                connected[usize::from(*other)].insert(router as u16);
            }
        }
        largest.push(connected.iter().map(BTreeSet::len).max().unwrap());
    }
    assert!(largest[1] as f64 <= largest[0] as f64 * 1.3, "{largest:?}");
}
