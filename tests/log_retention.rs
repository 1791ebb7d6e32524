//! Routers that are not reading while the others write more than the log retains. Guards against a router that stays
//! behind the log for good.

mod common;

use std::time::Duration;

use common::area::{Area, PREPAID};
use serde_json::json;

/// Writes of each round, well above what the log retains.
const WRITES: u64 = 60;
/// Rounds of each test.
const ROUNDS: u64 = 6;

fn fleet(retain: usize, checkpoint_every: u64) -> Area {
    let every = format!("--checkpoint-every={checkpoint_every}");
    let area = Area::with_options(1, 3, &[&every, "--append-gap=5"], &[]);
    area.faults(&area.log, &json!({"retain": retain}));
    area
}

/// Changes the budget of a customer `WRITES` times.
fn write(area: &Area, round: u64) {
    for count in 1..=WRITES {
        area.budget("kiosks", "kiosks", PREPAID + round * WRITES + count);
    }
}

fn check(area: &Area) {
    area.wait_ready();
    area.wait_same();
    assert_eq!(area.seen("kiosks")["prepaid"], PREPAID + ROUNDS * WRITES);
}

/// Freezes the second and the third router in turn while the first one writes.
fn freeze_in_turn(area: &Area) {
    for round in 0..ROUNDS {
        let frozen = &area.routers[1 + round as usize % 2];
        frozen.signal("STOP");
        write(area, round);
        frozen.signal("CONT");
        area.wait_same();
    }
}

#[test]
fn frozen_behind() {
    let area = fleet(12, 10);
    freeze_in_turn(&area);
    check(&area);
}

#[test]
fn frozen_few_marks() {
    let area = fleet(24, 40);
    freeze_in_turn(&area);
    check(&area);
}

#[test]
fn restarted_behind() {
    let mut area = fleet(12, 10);
    for round in 0..ROUNDS {
        area.restart_router(1 + round as usize % 2);
        write(&area, round);
        area.wait_same();
    }
    check(&area);
}

#[test]
fn frozen_at_start() {
    let mut area = fleet(12, 10);
    for round in 0..ROUNDS {
        let index = 1 + round as usize % 2;
        area.restart_router(index);
        std::thread::sleep(Duration::from_millis(20 * round));
        area.routers[index].signal("STOP");
        write(&area, round);
        area.routers[index].signal("CONT");
        area.wait_same();
    }
    check(&area);
}
