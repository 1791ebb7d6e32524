//! What one decision costs: time and allocations, at several sizes.
//!
//! `cargo bench --bench decisions`

mod common;

use std::alloc::System;
use std::time::Instant;

use common::{Arrival, Fleet, Make, Shape};
use lanedeck::router::control::{Action, End, Input, Spec};
use lanedeck::router::intent::{Kind, Target};
use lanedeck::router::request::Ticket;
use lanedeck::router::target::{Policy, Pool, Want};
use lanedeck::units::{Millis, Offset, Tokens};
use rand::SeedableRng;
use rand::rngs::StdRng;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUNDS: u64 = 5_000;
const SHAPE: Shape = Shape {
    slots: 1_000,
    first: 40.0,
    block: 2.0,
    between: 14.0,
    crowd: 1.0,
    cache: 4_000,
};

/// Runs a step many times; nanoseconds and allocations of each, best of three.
fn measure(mut step: impl FnMut(u64)) -> (f64, f64) {
    let mut best = f64::INFINITY;
    let mut allocations = 0.0;
    for turn in 0..3 {
        let region = Region::new(GLOBAL);
        let start = Instant::now();
        for round in 0..ROUNDS {
            step(turn * ROUNDS + round);
        }
        best = best.min(start.elapsed().as_nanos() as f64 / ROUNDS as f64);
        allocations = region.change().allocations as f64 / ROUNDS as f64;
    }
    (best, allocations)
}

fn choose(targets: usize, policy: Policy) -> (f64, f64) {
    let target = |place: usize| Target {
        address: ([127, 0, 0, 1], 1_000 + place as u16).into(),
        kind: Kind::Engine,
        serves: "m".into(),
        hall: "h".into(),
        slots: 16,
        checks_fence: true,
        draining: false,
        call_price: Tokens(0),
    };
    let targets: Vec<_> = (0..targets)
        .map(|place| (format!("t{place}"), target(place)))
        .collect();
    let mut pool = Pool::new(policy);
    pool.update(
        targets
            .iter()
            .map(|(name, target)| (name.as_str(), Offset(1), target)),
    );
    let mut rng = StdRng::seed_from_u64(1);
    let blocks: Vec<u64> = (0..20).collect();
    let want = Want {
        kind: Kind::Engine,
        serves: "m",
        blocks: &blocks,
        tried: &[],
    };
    measure(|_| {
        let choice = pool.choose(Millis(1), &want, &mut rng).unwrap();
        std::hint::black_box(choice);
    })
}

/// A request from arrival to settlement in one router, without the wait in between.
fn admit(targets: usize, customers: usize) -> (f64, f64, f64) {
    let make = Make {
        nodes: 1,
        engines: targets,
        customers,
        classes: 3,
        prepaid: vec![1 << 40],
        shape: SHAPE,
        tick: 25,
    };
    let none: Vec<Arrival> = Vec::new();
    let mut fleet = Fleet::new(&make, none, |settings| settings.with_witnessed(false));
    fleet.run_until(2_000);
    let mut number = 0;
    let mut request = |fleet: &mut Fleet, now: u64| {
        number += 1;
        let customer = format!("c{}", number as usize % customers);
        let ticket = Ticket(number);
        let state = &mut fleet.nodes[0];
        let spec = Spec {
            ticket,
            id: state.prefix().with_number(number as u32),
            fingerprint: 1,
            budget: customer.clone(),
            customer,
            class: "class0".into(),
            kind: Kind::Engine,
            serves: "m".into(),
            most: Tokens(500),
            blocks: [].into(),
            repeatable: true,
        };
        let actions = state.handle(Millis(now), Input::Arrive(spec));
        let dispatched = actions
            .iter()
            .any(|action| matches!(action, Action::Dispatch { .. }));
        let end = End::Whole {
            used: Tokens(300),
            first: Millis(1),
            whole: Millis(2),
        };
        std::hint::black_box(state.handle(Millis(now), Input::Ended { ticket, end }));
        dispatched
    };
    // Every budget gets its grant first.
    for turn in 0..3 {
        for _ in 0..customers {
            let now = fleet.now;
            request(&mut fleet, now);
        }
        let end = fleet.now + 1_000 * (turn + 1);
        fleet.run_until(end);
    }
    let now = fleet.now;
    let mut dispatched = 0_u64;
    let (nanos, allocations) = measure(|_| dispatched += u64::from(request(&mut fleet, now)));
    (nanos, allocations, dispatched as f64 / (3 * ROUNDS) as f64)
}

fn main() {
    println!("choose: targets policy ns allocations");
    for targets in [10, 100, 600] {
        for policy in Policy::ALL {
            let (nanos, allocations) = choose(targets, policy);
            println!(
                "choose {targets:>4} {:<8} {nanos:>9.0} {allocations:.1}",
                policy.to_string()
            );
        }
    }
    println!("request: targets budgets ns allocations dispatched");
    for (targets, budgets) in [(10, 1_000), (100, 1_000), (600, 1_000), (100, 25_000)] {
        let (nanos, allocations, share) = admit(targets, budgets);
        println!("request {targets:>4} {budgets:>6} {nanos:>9.0} {allocations:.1} {share:.2}");
    }
}
