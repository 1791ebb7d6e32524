//! Slopes of what control costs a node: processor, memory, messages, appends.
//!
//! `cargo bench --bench capacity`

mod common;

use std::alloc::System;

use common::{Arrival, Fleet, Make, Shape};
use lanedeck::router::log::Stream;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measured from here on, in the fleet's own time.
const WARM: u64 = 20_000;
const SPAN: u64 = 60_000;
/// Requests a second at a node: 2,100 over 350.
const RATE: u64 = 6;
const SHAPE: Shape = Shape {
    slots: 64,
    first: 40.0,
    block: 1.0,
    between: 10.0,
    crowd: 1.0,
    cache: 4_000,
};

struct Size {
    nodes: usize,
    rate: u64,
    customers: usize,
    targets: usize,
}

fn make(size: &Size) -> Make {
    Make {
        nodes: size.nodes,
        engines: size.targets,
        customers: size.customers,
        classes: 3,
        prepaid: vec![1 << 40],
        shape: SHAPE,
        tick: 25,
    }
}

fn arrivals(size: &Size) -> Vec<Arrival> {
    let per_second = size.rate * size.nodes as u64;
    let count = per_second * (WARM + SPAN) / 1_000;
    let arrivals = (0..count).map(|number| Arrival {
        at: 3_000 + number * 1_000 / per_second.max(1),
        node: number as usize % size.nodes,
        // A customer sticks to a few nodes.
        customer: (number as usize % size.nodes * 3 + number as usize % 3) % size.customers,
        class: 0,
        blocks: Vec::new(),
        prompt: 600,
        tokens: 100,
    });
    arrivals.collect()
}

fn run(what: &str, size: &Size) {
    let region = Region::new(GLOBAL);
    let recorded = arrivals(size);
    let before = region.change();
    let mut fleet = Fleet::new(&make(size), recorded, |settings| settings);
    let made = region.change();
    let state = (made.bytes_allocated - before.bytes_allocated) as f64
        - (made.bytes_deallocated - before.bytes_deallocated) as f64;
    fleet.run_until(WARM);
    let (busy, calls, bytes) = (fleet.busy, fleet.calls, fleet.call_bytes);
    let (appends, append_bytes) = (fleet.appends, fleet.append_bytes);
    fleet.run_until(WARM + SPAN);
    let seconds = SPAN as f64 / 1_000.0;
    let nodes = size.nodes as f64;
    let each = |now: u64, then: u64| (now - then) as f64 / seconds / nodes;
    println!(
        "{what} nodes={} rate={} customers={} targets={} core%={:.3} calls/s={:.1} call_bytes/s={:.0} \
         appends/s(fleet)={:.1} log_bytes_read/s={:.0} start_kb={:.0}",
        size.nodes,
        size.rate,
        size.customers,
        size.targets,
        (fleet.busy - busy).as_secs_f64() / seconds / nodes * 100.0,
        each(fleet.calls, calls),
        each(fleet.call_bytes, bytes),
        (fleet.appends - appends) as f64 / seconds,
        (fleet.append_bytes - append_bytes) as f64 / seconds,
        state / nodes / 1_024.0,
    );
}

/// Size of what a checkpoint holds, by budgets.
fn checkpoints() {
    for customers in [100, 1_000, 5_000, 25_000] {
        let size = Size {
            nodes: 1,
            rate: 0,
            customers,
            targets: 40,
        };
        let fleet = Fleet::new(&make(&size), Vec::new(), |settings| settings);
        let all = (0..lanedeck::router::log::SHARDS)
            .map(|shard| lanedeck::util::encode(fleet.nodes[0].ledger(shard)).len());
        let config = lanedeck::util::encode(fleet.nodes[0].config()).len();
        let name = Stream::Config;
        println!(
            "checkpoint budgets={customers} ledgers_bytes={} {name}_bytes={config}",
            all.sum::<usize>()
        );
    }
}

fn main() {
    let base = || Size {
        nodes: 8,
        rate: 0,
        customers: 10,
        targets: 40,
    };
    for nodes in [4, 8, 16, 32, 64] {
        run("idle", &Size { nodes, ..base() });
    }
    for nodes in [4, 8, 16, 32] {
        run(
            "busy",
            &Size {
                nodes,
                rate: RATE,
                ..base()
            },
        );
    }
    for rate in [3, 6, 12, 24] {
        run("rate", &Size { rate, ..base() });
    }
    for customers in [100, 1_000, 5_000, 25_000] {
        run(
            "customers",
            &Size {
                nodes: 2,
                customers,
                ..base()
            },
        );
    }
    for targets in [10, 40, 160, 600] {
        run(
            "targets",
            &Size {
                nodes: 2,
                rate: RATE,
                targets,
                ..base()
            },
        );
    }
    checkpoints();
}
