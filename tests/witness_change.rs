//! A witness that is closed or leaves, and the holders that it is the witness of.
//!
//! Users saw a customer's tokens held, or in doubt, until an operator released them, after a router
//! had died. Two orders of events, both with one fault of a router and another of its witness:
//!
//! - The holder dies with a request at a target. Its witness is late by more than `close_after`
//!   (beside load, or frozen) and is closed by a witness of its own. It went on under a new
//!   incarnation, and the ledger takes the bill of a closed holder's request from the witness that
//!   it has on record only, so nobody was left to write it.
//! - The witness is stopped as planned, and the holder dies before it has found another. The witness
//!   ended as soon as its own accounts were done.

mod common;

use common::world::{NODES, World};
use lanedeck::router::key::Incarnation;
use lanedeck::router::log::{Record, Writer};
use lanedeck::units::{Millis, Tokens};

const SEEDS: u64 = 20;
const HOLDER: usize = 0;

/// A fleet whose routers all hold a grant, with a request of the holder at a target.
fn busy(seed: u64) -> (World, Tokens) {
    let mut world = World::quiet(seed);
    world.pass(4_000);
    for node in 0..NODES {
        world.call(node, 0);
    }
    world.pass(6_000);
    let before = world.budget(HOLDER, 0).billed();
    let id = world.call(HOLDER, 0);
    world.pass_until_dispatched(id);
    let after = before + world.cost_of(id);
    (world, after)
}

/// What does not hold once the holder is gone for good.
fn faults(world: &World, gone: Incarnation, billed: Tokens, what: &str) -> Option<String> {
    let budget = world.budget(HOLDER + 1, 0);
    let held = budget.grants.get(&gone).map(|grant| grant.held());
    let doubted = budget.doubted();
    let is_whole = held.is_none() && doubted == Tokens::ZERO && budget.billed() == billed;
    let billed = budget.billed();
    (!is_whole).then(|| format!("{what}: held {held:?}, in doubt {doubted}, billed {billed}"))
}

#[test]
fn closed_witness() {
    let mut closed = 0;
    let mut found = Vec::new();
    for seed in 1..=SEEDS {
        for (frozen, later) in [(6_000, 0), (6_000, 500), (12_000, 0), (12_000, 500)] {
            let (mut world, billed) = busy(seed);
            let gone = world.state(HOLDER).incarnation();
            let witness = world.witness_of(HOLDER, 0);
            let before = world.state(witness).incarnation();
            world.freeze(witness, frozen);
            world.pass(later);
            // It may have ended by itself meanwhile: its bill is the same.
            world.kill(HOLDER);
            world.pass(frozen + 20_000);
            // Where each is the other's witness, nobody closes it.
            closed += usize::from(world.state(witness).incarnation() != before);
            let what = format!("seed {seed}, frozen for {frozen} ms, killed {later} ms later");
            found.extend(faults(&world, gone, billed, &what));
        }
    }
    assert!(closed >= 20, "{closed} witnesses were closed");
    assert!(found.is_empty(), "{} of 80: {found:#?}", found.len());
}

#[test]
fn leaving_witness() {
    let mut found = Vec::new();
    for seed in 1..=SEEDS {
        for later in [0, 30, 200, 500, 900, 2_000] {
            let (mut world, billed) = busy(seed);
            let gone = world.state(HOLDER).incarnation();
            let witness = world.witness_of(HOLDER, 0);
            world.stop(witness);
            world.pass(later);
            // It may have ended by itself meanwhile: its bill is the same.
            world.kill(HOLDER);
            world.pass(30_000);
            let what = format!("seed {seed}, killed {later} ms after the stop");
            found.extend(faults(&world, gone, billed, &what));
        }
    }
    assert!(found.is_empty(), "{} of 120: {found:#?}", found.len());
}

/// A number that was sent is not given to another record: the fold would take those after it without it.
#[test]
fn numbers_kept() {
    let mut writer = Writer::new(Incarnation(1));
    writer.push(Record::Mark);
    writer.push(Record::Leave);
    let sent = writer.due(Millis(1_000), Millis(100)).expect("a batch");
    writer.push(Record::Mark);
    writer.drop_unsent();
    assert_eq!(writer.push(Record::Leave), 3, "the first that was not sent");
    let again = writer.due(Millis(5_000), Millis(100)).expect("a batch");
    assert_eq!(again.entries[..2], sent.entries[..]);
    assert_eq!(again.entries.len(), 3);
    writer.applied(3);
    writer.drop_unsent();
    assert_eq!(writer.push(Record::Leave), 4);
}
