//! A holder is killed or frozen at each step of a request. Guards against tokens that stay in doubt for good, and
//! against a request that runs without a bill.

mod common;

use common::world::{NODES, World};
use lanedeck::router::request::Id;
use lanedeck::units::Tokens;

const SEEDS: u64 = 10;
const HOLDER: usize = 0;
const CUSTOMERS: usize = 3;
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

/// Two routers of one hall, and their common witness in the other, in the first seed in which they have one.
fn fleet_with_common_witness(holders: [usize; 2]) -> (World, usize) {
    let fleet = |seed| {
        let mut world = World::quiet(seed);
        world.advance(4_000);
        call_all(&mut world, holders);
        world.advance(10_000);
        let [first, second] = holders.map(|holder| world.witness_of(holder, 0));
        (first == second).then_some((world, first))
    };
    (1..100)
        .find_map(fleet)
        .expect("a seed with a common witness")
}

/// Sends 15 requests of each customer to each of these routers.
fn call_all(world: &mut World, routers: [usize; 2]) -> Vec<Id> {
    let calls = routers.into_iter().flat_map(|router| {
        let customers = (0..CUSTOMERS).flat_map(|customer| [customer; 15]);
        customers.map(move |customer| (router, customer))
    });
    calls
        .map(|(router, customer)| world.call(router, customer))
        .collect()
}

/// Requests whose targets have forgotten them do not keep the others in doubt.
#[test]
fn many_in_doubt() {
    let holders = [0, 2];
    let (mut world, witness) = fleet_with_common_witness(holders);
    let mut ids = call_all(&mut world, holders);
    world.advance(40);
    holders.iter().for_each(|holder| world.kill(*holder));
    // Inquiries go in this order.
    ids.sort_unstable_by_key(|id| (id.incarnation, id.nonce));
    let (forgotten, known) = ids.split_at(ids.len() - 10);
    forgotten.iter().for_each(|id| world.forget(*id));
    world.advance(30_000);
    let budgets = (0..CUSTOMERS).map(|customer| world.budget(witness, customer));
    let doubted: Vec<Id> = budgets
        .flat_map(|budget| budget.doubt.keys())
        .map(|(incarnation, nonce)| Id {
            incarnation: *incarnation,
            nonce: *nonce,
        })
        .collect();
    assert!(doubted.len() > 64, "{} in doubt", doubted.len());
    let left: Vec<&Id> = known.iter().filter(|id| doubted.contains(id)).collect();
    assert!(left.is_empty(), "{left:?}");
}
