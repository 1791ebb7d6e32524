//! Guards against a customer's tokens staying held, or in doubt, until an operator releases them, after a router
//! and its witness have both failed or stopped. Two orders of events lead to it:
//!
//! - The holder crashes with a request at a target. Its witness is delayed by more than `close_after` (by load, or
//!   frozen) and is closed by its own witness. It goes on under a new incarnation, but the ledger accepts the bill
//!   of a closed holder's request only from the witness that it has on record, so no router can write the bill.
//! - The witness is stopped as planned, and the holder crashes before it has found another. The witness ends as
//!   soon as its own accounts are complete.

mod common;

use common::world::{NODES, World};
use lanedeck::router::key::Incarnation;
use lanedeck::router::log::{Record, Writer};
use lanedeck::units::{Millis, Tokens};

const SEEDS: u64 = 20;
const HOLDER: usize = 0;

/// A fleet whose routers all hold a grant, with a request of the holder at a target. Returns it with the total that
/// the budget must be billed once that request is settled.
fn fleet_with_request(seed: u64) -> (World, Tokens) {
    let mut world = World::quiet(seed);
    world.advance(4_000);
    for node in 0..NODES {
        world.call(node, 0);
    }
    world.advance(6_000);
    let before = world.budget(HOLDER, 0).billed();
    let id = world.call(HOLDER, 0);
    world.advance_until_dispatched(id);
    let after = before + world.cost_of(id);
    (world, after)
}

/// Describes what is left of a crashed holder in the ledger, or a wrong bill; `None` if all is settled.
fn unsettled(world: &World, gone: Incarnation, billed: Tokens, case: &str) -> Option<String> {
    let budget = world.budget(HOLDER + 1, 0);
    let held = budget.grants.get(&gone).map(|grant| grant.held());
    let doubted = budget.in_doubt();
    let is_settled = held.is_none() && doubted == Tokens::ZERO && budget.billed() == billed;
    let billed = budget.billed();
    (!is_settled).then(|| format!("{case}: held {held:?}, in doubt {doubted}, billed {billed}"))
}

#[test]
fn closed_witness() {
    let mut closed_witnesses = 0;
    let mut found = Vec::new();
    for seed in 1..=SEEDS {
        for (frozen, later) in [(6_000, 0), (6_000, 500), (12_000, 0), (12_000, 500)] {
            let (mut world, billed) = fleet_with_request(seed);
            let gone = world.state(HOLDER).incarnation();
            let witness = world.witness_of(HOLDER, 0);
            let before = world.state(witness).incarnation();
            world.freeze(witness, frozen);
            world.advance(later);
            // The request may have ended by itself meanwhile; its bill is the same.
            world.kill(HOLDER);
            world.advance(frozen + 20_000);
            // If each is the other's witness, no router closes this one.
            closed_witnesses += usize::from(world.state(witness).incarnation() != before);
            let case = format!("seed {seed}, frozen for {frozen} ms, killed {later} ms later");
            found.extend(unsettled(&world, gone, billed, &case));
        }
    }
    assert!(
        closed_witnesses >= 20,
        "{closed_witnesses} witnesses were closed"
    );
    assert!(found.is_empty(), "{} of 80: {found:#?}", found.len());
}

#[test]
fn leaving_witness() {
    let mut found = Vec::new();
    for seed in 1..=SEEDS {
        for later in [0, 30, 200, 500, 900, 2_000] {
            let (mut world, billed) = fleet_with_request(seed);
            let gone = world.state(HOLDER).incarnation();
            let witness = world.witness_of(HOLDER, 0);
            world.stop(witness);
            world.advance(later);
            // The request may have ended by itself meanwhile; its bill is the same.
            world.kill(HOLDER);
            world.advance(30_000);
            let case = format!("seed {seed}, killed {later} ms after the stop");
            found.extend(unsettled(&world, gone, billed, &case));
        }
    }
    assert!(found.is_empty(), "{} of 120: {found:#?}", found.len());
}

/// A record number that was sent is not reused for another record: the ledger would apply the records after it
/// without the record that had the number first.
#[test]
fn numbers_kept() {
    let mut writer = Writer::new(Incarnation(1));
    writer.push(Record::Mark);
    writer.push(Record::Leave);
    let sent = writer.due(Millis(1_000), Millis(100)).expect("a batch");
    writer.push(Record::Mark);
    writer.drop_unsent();
    assert_eq!(
        writer.push(Record::Leave),
        3,
        "the first number that was not sent"
    );
    let again = writer.due(Millis(5_000), Millis(100)).expect("a batch");
    assert_eq!(again.entries[..2], sent.entries[..]);
    assert_eq!(again.entries.len(), 3);
    writer.applied(3);
    writer.drop_unsent();
    assert_eq!(writer.push(Record::Leave), 4);
}
