//! A holder is killed or frozen at each step of a request. Guards against tokens that stay in doubt for good, and
//! against a request that runs without a bill.

mod common;

use common::world::{NODES, World};
use lanedeck::router::request::Id;
use lanedeck::units::Tokens;

const SEEDS: u64 = 10;
const HOLDER: usize = 0;
/// Simulated milliseconds after a request's arrival: all steps up to its dispatch.
const TO_DISPATCH: u64 = 40;
/// All steps up to its dispatch to a second target.
const TO_RETRY: u64 = 80;

/// What the cases of a test have come to.
#[derive(Default)]
struct Tally {
    cases: usize,
    /// Cases in which no target had the request when its holder failed.
    unsent: usize,
    /// Cases in which the budget is not settled, or not billed exactly for what ran.
    wrong: Vec<String>,
}

impl Tally {
    fn check(&self) {
        let Self { cases, unsent, .. } = self;
        assert!(
            self.wrong.is_empty(),
            "{} of {cases}: {:#?}",
            self.wrong.len(),
            self.wrong
        );
        assert!(*unsent >= cases / 10, "{unsent} of {cases} unsent");
    }
}

/// Runs `fault` at each of the first `steps` milliseconds of a request of the holder, which `prepare` is given first.
fn play(steps: u64, prepare: impl Fn(&mut World, Id), fault: impl Fn(&mut World)) -> Tally {
    let mut tally = Tally::default();
    for seed in 1..=SEEDS {
        for step in 0..steps {
            let mut world = World::quiet(seed);
            world.advance(4_000);
            for node in 0..NODES {
                world.call(node, 0);
            }
            world.advance(6_000);
            let before = world.budget(HOLDER, 0).billed();
            let holder = world.state(HOLDER).incarnation();
            let id = world.call(HOLDER, 0);
            prepare(&mut world, id);
            world.advance(step);
            tally.cases += 1;
            tally.unsent += usize::from(!world.has_run(id));
            fault(&mut world);
            let budget = world.budget(HOLDER + 1, 0);
            let cost = match world.has_run(id) {
                true => world.cost_of(id),
                false => Tokens::ZERO,
            };
            let held = budget.grants.get(&holder).map(|grant| grant.held());
            let (doubted, billed) = (budget.in_doubt(), budget.billed());
            if held.is_some() || doubted > Tokens::ZERO || billed != before + cost {
                tally.wrong.push(format!(
                    "seed {seed}, step {step}: held {held:?}, in doubt {doubted}, billed {billed} for {before} + {cost}"
                ));
            }
        }
    }
    tally
}

fn kill(world: &mut World) {
    world.kill(HOLDER);
    world.advance(30_000);
}

/// Freezes the holder for so long that it is closed, and lets it go on.
fn freeze(world: &mut World) {
    world.freeze(HOLDER, 12_000);
    world.advance(42_000);
}

#[test]
fn killed() {
    play(TO_DISPATCH, |_, _| {}, kill).check();
}

#[test]
fn frozen() {
    play(TO_DISPATCH, |_, _| {}, freeze).check();
}

#[test]
fn killed_in_retry() {
    play(TO_RETRY, World::lose_dispatch, kill).check();
}

#[test]
fn frozen_in_retry() {
    play(TO_RETRY, World::lose_dispatch, freeze).check();
}
