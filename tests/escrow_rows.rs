//! Prepaid budgets under escrow: randomised runs of several routers that die and restart, over a store that loses
//! answers and performs appends late. All routers together never spend more than was prepaid, and tokens that no router
//! holds can be spent.

mod escrow;

use std::collections::HashMap;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use escrow::*;
use lanedeck::boot_clock::Reading;
use lanedeck::gateway::decision::allotment::Claim;
use lanedeck::gateway::decision::grant::{Limit, Sizing, Supply, min_give_back};
use lanedeck::gateway::escrow::{Account, Loan, ReserveError, Row};
use lanedeck::units::{Millis, Tokens};

fn step(
    world: &mut World,
    u: &mut Unstructured<'_>,
    now: Millis,
    prepaid: Tokens,
) -> arbtest::arbitrary::Result<()> {
    let index = u.int_in_range(0..=ROUTERS - 1)?;
    if world.has_fleet && u.ratio(2, 3)? {
        let fourth_off = u.int_in_range(-20_000..=20_000)?;
        world.routers[index].receive_clocks(now, fourth_off);
    }
    let at = world.routers[index].at(now);
    match u.int_in_range(0..=9)? {
        0..=3 => {
            let cost = Tokens(u.int_in_range(1..=400)?);
            let router = &mut world.routers[index];
            router.account.record_demand(at, cost);
            let result = router
                .account
                .reserve(at, cost, prepaid, &router.ledger, &router.name);
            match result {
                Ok(()) => router.reserved.push(cost),
                Err(ReserveError::LocalShortage | ReserveError::Exhausted) => {}
            }
        }
        4..=5 => {
            if let Some(reserved) = world.routers[index].reserved.pop() {
                let cost = Tokens(u.int_in_range(0..=reserved.0)?);
                world.routers[index].account.settle(reserved, cost);
                world.spent += cost.0;
            }
        }
        6..=7 => {
            let outcome = *u.choose(&[
                AppendOutcome::Answered,
                AppendOutcome::Answered,
                AppendOutcome::LostButDone,
                AppendOutcome::LostAndNotDone,
                AppendOutcome::LostAndLate,
            ])?;
            let waiting = Tokens(u.int_in_range(0..=400)?);
            world.renew(index, now, prepaid, waiting, outcome);
        }
        8 => {
            if let Some((at, name, row)) = world.late.pop() {
                world.store.append(now, at.offset as usize, &name, row);
            }
            let other = u.int_in_range(0..=ROUTERS - 1)?;
            if other != index {
                let tokens = if u.arbitrary()? {
                    let lacking = Tokens(u.int_in_range(0..=300)?);
                    let wanted = lacking + Tokens(u.int_in_range(0..=300)?);
                    let loan = Loan { lacking, wanted };
                    world.routers[index].account.lend(at, loan, Supply::NearEnd)
                } else {
                    world.routers[index]
                        .account
                        .take_excess(at, Tokens::ZERO, Tokens::ZERO)
                };
                world.routers[other].account.borrow(tokens);
            }
        }
        _ => {
            // A host that lost power has a new boot id, and its steady clock may read anything.
            let started = if u.ratio(1, 4)? {
                let at = Millis(u.int_in_range(0..=2 * now.0)?);
                Reading { boot: 2, at }
            } else {
                Reading { boot: 1, at: now }
            };
            world.kill(index, started, now);
        }
    }
    Ok(())
}

#[test]
fn never_over() {
    for seed in 1..=SEEDS {
        arbtest(|u| {
            let prepaid = Tokens(u.int_in_range(500..=20_000)?);
            let mut world = World::new();
            for number in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                let now = Millis(1_000_000 + number as u64 * 137);
                step(&mut world, u, now, prepaid)?;
                world.check(prepaid);
            }
            Ok(())
        })
        .seed(seed << 32 | BYTES);
    }
}

/// Runs ample budgets, of which much is granted in advance, with up to `gap_max` milliseconds between two steps.
fn ample_runs(gap_max: u64, has_fleet: bool) {
    for seed in 1..=SEEDS {
        arbtest(|u| {
            let prepaid = Tokens(u.int_in_range(20_000..=60_000)?);
            let mut world = World::new();
            world.sizing = AMPLE;
            world.has_fleet = has_fleet;
            let mut now = Millis(1_000_000);
            for _ in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                now += Millis(u.int_in_range(0..=gap_max)?);
                step(&mut world, u, now, prepaid)?;
                // Demand comes in bursts, some of which use up everything available.
                let index = u.int_in_range(0..=ROUTERS - 1)?;
                for _ in 0..u.int_in_range(0..=30)? {
                    world.serve(index, now, Tokens(400), prepaid);
                }
                world.check(prepaid);
            }
            Ok(())
        })
        .seed(seed << 32 | BYTES);
    }
}

/// With long times between two writes of a router, so that commitments end before their router dies.
#[test]
fn never_over_a_commitment() {
    ample_runs(600, false);
}

/// The same with routers that agree on the time of day, so that a commitment remains provable after a power loss. One
/// in four of the reported times of day may be off by many seconds, and so may this host's clock after the power loss.
#[test]
fn never_over_a_loss_of_power() {
    ample_runs(900, true);
}

/// Restores the store from a copy, and kills some routers meanwhile.
fn restore(
    world: &mut World,
    u: &mut Unstructured<'_>,
    now: Millis,
) -> arbtest::arbitrary::Result<()> {
    let copies = world.store.copies(now, world.sizing.copy_age);
    if copies.is_empty() {
        return Ok(());
    }
    let past = *u.choose(copies)?;
    world.store.restore(now, past);
    for index in 0..ROUTERS {
        if u.ratio(1, 3)? {
            let started = Reading { boot: 1, at: now };
            world.kill(index, started, now);
        }
    }
    Ok(())
}

/// The store is restored from copies of any age up to the maximum, at any moment, also several times in close
/// succession.
#[test]
fn never_over_returns() {
    let (mut served, mut restores) = (0, 0);
    for seed in 1..=SEEDS {
        arbtest(|u| {
            let prepaid = Tokens(u.int_in_range(2_000..=20_000)?);
            let mut world = World::new();
            let sizing = *u.choose(&[SIZING, AMPLE])?;
            world.sizing = Sizing {
                copy_age: COPY_AGE,
                ..sizing
            };
            world.has_fleet = true;
            let mut now = Millis(1_000_000);
            for _ in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                if u.ratio(1, 5)? {
                    step(&mut world, u, now, prepaid)?;
                }
                // One router at a time has most of the demand.
                let index = u.int_in_range(0..=ROUTERS - 1)?;
                for _ in 0..u.int_in_range(1..=8)? {
                    now += Millis(u.int_in_range(0..=150)?);
                    world.renew(index, now, prepaid, Tokens(200), AppendOutcome::Answered);
                    world.serve(index, now, Tokens(200), prepaid);
                }
                if u.ratio(1, 20)? {
                    restore(&mut world, u, now)?;
                }
                world.check(prepaid);
            }
            served += world.spent;
            restores += world.store.era.0;
            Ok(())
        })
        .seed(seed << 32 | BYTES);
    }
    assert!(
        served > 0 && restores > SEEDS,
        "{served} tokens, {restores} restores"
    );
    println!("{} tokens a run, {restores} restores", served / SEEDS);
}

/// A loan from one router to another, whose answer may be lost; then its tokens are lost as well. Returns whether the
/// borrower was limited by its cap and got tokens.
fn lend(
    world: &mut World,
    u: &mut Unstructured<'_>,
    lender: usize,
    borrower: usize,
    now: Millis,
) -> arbtest::arbitrary::Result<bool> {
    // A loan ahead of need has nothing lacking.
    let lacking = Tokens(u.int_in_range(0..=600)?);
    let wanted = lacking + Tokens(u.int_in_range(0..=2_000)?);
    let supply = *u.choose(&[Supply::Lasting, Supply::NearEnd])?;
    let at = world.routers[lender].at(now);
    let loan = Loan { lacking, wanted };
    let lent = world.routers[lender].account.lend(at, loan, supply);
    assert!(lent <= wanted, "{lent} of {wanted}");
    if u.ratio(1, 10)? {
        return Ok(false);
    }
    let router = &mut world.routers[borrower];
    let limit = router.account.binding_limit(router.at(now));
    router.account.borrow(lent);
    Ok(limit == Limit::Cap && lent > Tokens::ZERO)
}

/// Guards against spending a loan twice: the borrower spends it beyond its cap, while the lender, the borrower or both
/// die and the store is restored from a copy that lacks the lender's row.
#[test]
fn never_over_loans() {
    let (mut served, mut restores, mut beyond_caps) = (0, 0, 0);
    for seed in 1..=SEEDS {
        arbtest(|u| {
            let prepaid = Tokens(u.int_in_range(2_000..=20_000)?);
            let mut world = World::new();
            let sizing = *u.choose(&[SIZING, AMPLE])?;
            world.sizing = Sizing {
                copy_age: COPY_AGE,
                ..sizing
            };
            world.has_fleet = true;
            let mut now = Millis(1_000_000);
            for _ in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                if u.ratio(1, 5)? {
                    step(&mut world, u, now, prepaid)?;
                }
                // One router at a time has most of the demand, and borrows from the others while the store is lost.
                let index = u.int_in_range(0..=ROUTERS - 1)?;
                let is_store_lost = u.ratio(1, 3)?;
                for _ in 0..u.int_in_range(1..=6)? {
                    now += Millis(u.int_in_range(0..=150)?);
                    if !is_store_lost {
                        world.renew(index, now, prepaid, Tokens(200), AppendOutcome::Answered);
                    }
                    let lender = (index + u.int_in_range(1..=ROUTERS - 1)?) % ROUTERS;
                    beyond_caps += u64::from(lend(&mut world, u, lender, index, now)?);
                    world.serve(index, now, Tokens(200), prepaid);
                    if u.ratio(1, 20)? {
                        let dead = *u.choose(&[lender, index])?;
                        let started = Reading { boot: 1, at: now };
                        world.kill(dead, started, now);
                    }
                }
                if u.ratio(1, 15)? {
                    restore(&mut world, u, now)?;
                }
                world.check(prepaid);
            }
            served += world.spent;
            restores += world.store.era.0;
            Ok(())
        })
        .seed(seed << 32 | BYTES);
    }
    assert!(
        served > 0 && restores > SEEDS && beyond_caps > SEEDS,
        "{served} tokens, {restores} restores, {beyond_caps} loans beyond a cap"
    );
}

/// Guards against spending more than was prepaid while the router with most of the demand becomes a holder, is limited by
/// its caps, borrows again and dies, and the store is restored from copies.
#[test]
fn never_over_claims() {
    let (mut served, mut restores, mut borrowed, mut claimed) = (0, 0, 0, 0);
    for seed in 1..=SEEDS {
        arbtest(|u| {
            let prepaid = Tokens(u.int_in_range(2_000..=20_000)?);
            let mut world = World::new();
            let sizing = *u.choose(&[SIZING, AMPLE])?;
            world.sizing = Sizing {
                copy_age: COPY_AGE,
                ..sizing
            };
            world.has_fleet = true;
            world.roles = Roles::ByClaim;
            let mut now = Millis(1_000_000);
            for _ in 0..STEPS {
                if u.is_empty() {
                    break;
                }
                if u.ratio(1, 5)? {
                    step(&mut world, u, now, prepaid)?;
                }
                let busy = ROUTERS - 1;
                let lender = u.int_in_range(0..=busy - 1)?;
                let is_store_lost = u.ratio(1, 4)?;
                for _ in 0..u.int_in_range(1..=8)? {
                    now += Millis(u.int_in_range(0..=300)?);
                    if !is_store_lost {
                        let index = *u.choose(&[lender, busy])?;
                        world.renew(index, now, prepaid, Tokens::ZERO, AppendOutcome::Answered);
                    }
                    let wanted = Tokens(u.int_in_range(0..=600)?);
                    let loan = Loan {
                        lacking: wanted,
                        wanted,
                    };
                    let at = world.routers[lender].at(now);
                    let lent = world.routers[lender]
                        .account
                        .lend(at, loan, Supply::Lasting);
                    let router = &mut world.routers[busy];
                    let at = router.at(now);
                    router.account.borrow_lent(at, lent);
                    borrowed += lent.0;
                    let claim =
                        router
                            .account
                            .claim(at, &router.ledger, &router.name, &world.sizing);
                    claimed += u64::from(claim == Claim::ByDemand);
                    world.serve(busy, now, Tokens(200), prepaid);
                    if u.ratio(1, 20)? {
                        let dead = *u.choose(&[lender, busy])?;
                        world.kill(dead, Reading { boot: 1, at: now }, now);
                    }
                }
                if u.ratio(1, 15)? {
                    restore(&mut world, u, now)?;
                }
                world.check(prepaid);
            }
            served += world.spent;
            restores += world.store.era.0;
            Ok(())
        })
        .seed(seed << 32 | BYTES);
    }
    println!("{served} tokens, {restores} restores, {borrowed} borrowed, {claimed} claims");
    assert!(
        served > 0 && restores > SEEDS && borrowed > SEEDS && claimed > SEEDS,
        "{served} tokens, {restores} restores, {borrowed} borrowed, {claimed} claims"
    );
}

#[test]
fn all_is_usable() {
    let prepaid = Tokens(10_000);
    let mut world = World::new();
    let cost = Tokens(100);
    let mut served = 0;
    for number in 0..400_usize {
        let now = Millis(1_000_000 + number as u64 * 50);
        let index = number % ROUTERS;
        world.routers[index].account.record_demand(now, cost);
        world.renew(index, now, prepaid, cost, AppendOutcome::Answered);
        let router = &mut world.routers[index];
        if router
            .account
            .reserve(now, cost, prepaid, &router.ledger, &router.name)
            .is_ok()
        {
            router.account.settle(cost, cost);
            served += 1;
        }
    }
    assert_eq!(served, 100, "each token is spent once");
}

/// A borrower gives back tokens beyond its need if they are worth a message, and keeps them if they are only a few.
#[test]
fn few_tokens_stay() {
    let (now, min) = (Millis(1_000_000), min_give_back(Tokens(2_000_000)));
    let mut account = Account::default();
    account.borrow(Tokens(1_000));
    let keep = Tokens(1_000 - min.0 + 1);
    assert_eq!(account.take_excess(now, keep, min), Tokens::ZERO);
    assert_eq!(
        account.available(now),
        Tokens(1_000),
        "nothing was given back"
    );
    let keep = Tokens(1_000 - min.0);
    assert_eq!(account.take_excess(now, keep, min), min);
    assert_eq!(account.available(now), keep);
}

#[test]
fn lowered_budget() {
    let mut world = World::new();
    let now = Millis(1_000_000);
    for index in 0..ROUTERS {
        world.renew(
            index,
            now,
            Tokens(10_000),
            Tokens(500),
            AppendOutcome::Answered,
        );
    }
    let lowered = Tokens(100);
    for index in 0..ROUTERS {
        world.renew(index, now, lowered, Tokens::ZERO, AppendOutcome::Answered);
    }
    let granted: HashMap<_, _> = world
        .store
        .log
        .iter()
        .map(|(name, row)| (name, row.granted))
        .collect();
    let sum: Tokens = granted.into_values().sum();
    assert!(sum <= lowered, "unused grants are given back: {sum}");
}

/// A row whose numbers are as large as they can be.
fn largest_row() -> Row {
    let most = Tokens(u64::MAX);
    Row {
        incarnation: u64::MAX,
        spent_before: most,
        granted: most,
        spent: most,
        demand: u64::MAX,
        ..Row::default()
    }
}

/// Serves at all routers for a while, and checks the spend after each request.
fn serve_all(world: &mut World, prepaid: Tokens) {
    let begin = 1_000_000;
    for number in 0..20 {
        let now = Millis(begin + number * 500);
        for index in 0..ROUTERS {
            let answered = AppendOutcome::Answered;
            world.renew(index, now, prepaid, Tokens(100), answered);
            world.serve(index, now, Tokens(100), prepaid);
            world.check(prepaid);
        }
    }
}

#[test]
fn rows_of_another_writer_overflow() {
    let prepaid = Tokens(1_000_000);
    for names in [vec!["x"], vec!["x", "y", "z"], vec!["r0", "x"]] {
        for roles in [Roles::Fixed, Roles::ByClaim] {
            let mut world = World::new();
            world.roles = roles;
            for name in &names {
                let end = world.store.log.len();
                assert!(
                    world
                        .store
                        .append(Millis(999_500), end, name, largest_row())
                );
            }
            serve_all(&mut world, prepaid);
            assert_eq!(world.spent, 0, "the rows of {names:?} leave nothing");
        }
    }
}

/// Operators may write a number beyond all use for a customer without a limit.
#[test]
fn largest_prepaid_overflows() {
    for roles in [Roles::Fixed, Roles::ByClaim] {
        let mut world = World::new();
        world.roles = roles;
        serve_all(&mut world, Tokens(u64::MAX));
        let served = world.spent / 100;
        assert!(served >= 60, "served {served} of 80");
    }
}
