//! Spending commitments: how much a router may spend while the store answers it, and what the next process on its host
//! may conclude once the router is gone.

use std::sync::LazyLock;

use lanedeck::boot_clock::Reading;
use lanedeck::gateway::clock::{Clock, Readings};
use lanedeck::gateway::decision::grant::{Role, Sizing};
use lanedeck::gateway::escrow::guard::SPAN;
use lanedeck::gateway::escrow::{
    Account, Commitment, Ledger, ProcessStart, Ramp, ReserveError, Row, RowOwner,
};
use lanedeck::store::Era;
use lanedeck::units::{Millis, Tokens};

const PREPAID: Tokens = Tokens(1_000_000);
const COST: Tokens = Tokens(1_000);
const BOOT: u64 = 7;
const START: Millis = Millis(1_000_000);
const SIZING: Sizing = Sizing {
    horizon: Millis(8_000),
    exact: Millis(2_000),
    share: 0.8,
    spread: 0.0,
    holders: 1,
    copy_age: Millis::ZERO,
};

/// How far the time of day is ahead of the host's steady clock, in milliseconds, before the power loss.
const WALL_AHEAD: i64 = 50_000_000;
const IN_AGREEMENT: [i64; 4] = [WALL_AHEAD; 4];
static ALONE: LazyLock<Clock> = LazyLock::new(|| Clock::new(Some(BOOT)));

/// The clocks known to a host whose steady clock reads `now`, with the time of day of four other hosts `ahead` of it.
fn agreed(now: Millis, ahead: [i64; 4]) -> Clock {
    let mut clock = Clock::new(Some(BOOT));
    for (host, ahead) in ["h1", "h2", "h3", "h4"].into_iter().zip(ahead) {
        let wall = Millis(now.0.saturating_add_signed(ahead));
        let readings = Readings {
            boot: None,
            wall: Some(wall),
        };
        clock.record(host, now, &readings);
    }
    clock
}

fn reading(at: Millis) -> Reading {
    Reading { boot: BOOT, at }
}

fn owner(incarnation: u64, started: Millis) -> RowOwner<'static> {
    RowOwner {
        router: "r0",
        incarnation,
        role: Role::Holder,
        started: Some(reading(started)),
        clock: &ALONE,
        era: Era::default(),
    }
}

/// Writes a row, which is acknowledged at once.
fn renew(account: &mut Account, ledger: &mut Ledger, now: Millis) -> Row {
    renew_by(&agreed(now, IN_AGREEMENT), account, ledger, now)
}

fn renew_by(clock: &Clock, account: &mut Account, ledger: &mut Ledger, now: Millis) -> Row {
    let owner = RowOwner {
        clock,
        ..owner(1, START)
    };
    let row = account.desired_row(now, ledger, &owner, PREPAID, &SIZING, COST);
    account.mark_sent(&row);
    account.acknowledge(now, &row);
    ledger.set("r0", Some(row));
    row
}

/// A router that has served for a while and reaches the store: its account, its ledger, its last row, and when it wrote
/// that row.
fn served() -> (Account, Ledger, Row, Millis) {
    let (mut account, mut ledger) = (Account::default(), Ledger::default());
    let mut now = START;
    let mut row = renew(&mut account, &mut ledger, now);
    for turn in 1..=60 {
        now += Millis(100);
        if account.reserve(now, COST, PREPAID, &ledger, "r0").is_ok() {
            account.record_demand(now, COST);
            account.settle(COST, COST);
        }
        if turn % 10 == 0 {
            row = renew(&mut account, &mut ledger, now);
        }
    }
    (account, ledger, row, now)
}

/// Tokens that the next process on the host counts as spent by the previous one. The fleet's time of day is `ahead` of
/// its host's steady clock.
fn counted(ledger: &Ledger, started: Reading, ahead: [i64; 4]) -> Tokens {
    counted_by(&agreed(started.at, ahead), ledger, started)
}

fn counted_by(clock: &Clock, ledger: &Ledger, started: Reading) -> Tokens {
    let next = RowOwner {
        started: Some(started),
        clock,
        ..owner(2, START)
    };
    let mut account = Account::default();
    let row = account.desired_row(started.at, ledger, &next, PREPAID, &SIZING, Tokens::ZERO);
    row.spent_before
}

/// The part of the unspent grant that is lost, in thousandths.
fn lost_permille(row: &Row, counted: Tokens) -> u64 {
    (counted - row.spent).0 * 1_000 / (row.granted - row.spent).0
}

/// A router that is killed and restarted within its commitment loses only what it could have spent by then. Without a
/// commitment, all that was granted in advance is lost.
#[test]
fn quick_restart() {
    let (_, ledger, row, written) = served();
    let started = reading(written + Millis(1_500));
    let counted = counted(&ledger, started, IN_AGREEMENT);
    // The error margin of the fleet's time of day is half a second.
    let latest = written + Millis(2_000);
    assert_eq!(Some(counted), row.commitment.unwrap().limit(latest));
    let lost = lost_permille(&row, counted);
    assert!(lost <= 700, "{lost} in 1,000 lost of the unspent grant");
}

#[test]
fn late_restart() {
    let (_, ledger, row, written) = served();
    let started = reading(written + SPAN);
    let counted = counted(&ledger, started, IN_AGREEMENT);
    assert_eq!(counted, row.granted, "the commitment may have ended");
}

/// After a power loss the host's steady clock restarts, and proves nothing about the time before.
#[test]
fn other_boot() {
    let (_, ledger, row, written) = served();
    let other = Reading {
        boot: BOOT + 1,
        at: written + Millis(100),
    };
    assert_eq!(counted_by(&ALONE, &ledger, other), row.granted);
    let set_back = reading(written.saturating_sub(SPAN));
    assert_eq!(
        counted(&ledger, set_back, IN_AGREEMENT),
        row.granted,
        "before the commitment was made"
    );
}

/// A start `after` milliseconds after a row, by the fleet's time of day, on a host whose steady clock restarted: the
/// clock's reading, and how far the fleet's time of day is ahead of it.
fn powered_up(written: Millis, after: u64) -> (Reading, i64) {
    let other = Reading {
        boot: BOOT + 1,
        at: START,
    };
    let wall = (written.0 + after) as i64 + WALL_AHEAD;
    (other, wall - START.0 as i64)
}

/// The fleet's time of day survives a power loss: only what could have been spent by the restart is lost.
#[test]
fn loss_of_power() {
    let (_, ledger, row, written) = served();
    let (started, ahead) = powered_up(written, 2_000);
    let known = counted(&ledger, started, [ahead; 4]);
    let lost_known = lost_permille(&row, known);
    assert!(lost_known <= 700, "{lost_known} in 1,000 lost");
    assert_eq!(
        counted_by(&ALONE, &ledger, started),
        row.granted,
        "no clock readings"
    );
    let (started, ahead) = powered_up(written, SPAN.0);
    assert_eq!(
        counted(&ledger, started, [ahead; 4]),
        row.granted,
        "after the end of the commitment"
    );
}

/// If one of four hosts has a differing time of day, the other three are used. If two have, nothing is proven, whether
/// they differ at the row or at the start.
#[test]
fn disagreeing_clocks() {
    let (_, mut ledger, row, written) = served();
    let (started, ahead) = powered_up(written, 4_000);
    let expected = counted(&ledger, started, [ahead; 4]);
    for error in [-3_900, -2_000, 2_000, 60_000] {
        assert_eq!(
            counted(&ledger, started, [ahead, ahead + error, ahead, ahead]),
            expected
        );
        let half = [ahead, ahead + error, ahead + error, ahead];
        assert_eq!(counted(&ledger, started, half), row.granted);
    }
    let ahead_too = WALL_AHEAD + 2_000;
    let off = [WALL_AHEAD, ahead_too, WALL_AHEAD, ahead_too];
    let mut account = Account::default();
    let row = renew_by(&agreed(written, off), &mut account, &mut ledger, written);
    assert_eq!(counted(&ledger, started, [ahead; 4]), row.granted);
}

/// A time of day that is set back on all hosts is detected by the host's steady clock, as long as that counts on.
#[test]
fn set_back_together() {
    let (_, ledger, row, written) = served();
    let started = reading(written + SPAN);
    let set_back = WALL_AHEAD - SPAN.0 as i64;
    assert_eq!(counted(&ledger, started, [set_back; 4]), row.granted);
}

/// A boot id that several hosts report although their steady clocks differ does not identify a boot.
#[test]
fn shared_boot_id() {
    let (_, ledger, row, written) = served();
    let (other, ahead) = powered_up(written, 1_000);
    // By chance the restarted clock reads a time within the commitment.
    let started = reading(written + Millis(4_000));
    let ahead = ahead + other.at.0 as i64 - started.at.0 as i64;
    let by_boot = counted(&ledger, started, [ahead; 4]);
    let mut clock = agreed(started.at, [ahead; 4]);
    let theirs = Readings {
        boot: Some(reading(Millis(9_000_000))),
        wall: None,
    };
    clock.record("h1", started.at, &theirs);
    assert!(counted_by(&clock, &ledger, started) < by_boot);
    assert!(by_boot < row.granted);
}

/// A process that starts before it has received clock readings repeats its estimate once it has, and not after that.
#[test]
fn estimated_again() {
    let (_, ledger, row, written) = served();
    let (started, ahead) = powered_up(written, 2_000);
    let mut account = Account::default();
    let mut spent_before = |clock: &Clock, at: Millis| {
        let next = RowOwner {
            started: Some(started),
            clock,
            ..owner(2, START)
        };
        let row = account.desired_row(at, &ledger, &next, PREPAID, &SIZING, Tokens::ZERO);
        row.spent_before
    };
    assert_eq!(spent_before(&ALONE, started.at), row.granted);
    let at = started.at + Millis(700);
    let known = spent_before(&agreed(at, [ahead; 4]), at);
    assert!(known < row.granted, "{known} of {}", row.granted);
    let later = at + Millis(60_000);
    assert_eq!(
        spent_before(&ALONE, later),
        known,
        "the proven estimate stays"
    );
}

/// An idle router renews its commitment too, so that a restart does not lose what it holds.
#[test]
fn idle_rows() {
    let (mut account, mut ledger) = (Account::default(), Ledger::default());
    let sizing = Sizing {
        spread: 0.3,
        ..SIZING
    };
    let mut written = Vec::new();
    for turn in 0..20 {
        let now = START + Millis(turn * 1_000);
        let clock = agreed(now, IN_AGREEMENT);
        let owner = RowOwner {
            clock: &clock,
            ..owner(1, START)
        };
        let row = account.desired_row(now, &ledger, &owner, PREPAID, &sizing, Tokens::ZERO);
        if account.is_worth_writing(&row, PREPAID) {
            account.mark_sent(&row);
            account.acknowledge(now, &row);
            ledger.set("r0", Some(row));
            written.push(now);
        }
    }
    assert_eq!(written.len(), 10, "one write every two seconds");
    let row = *ledger.row("r0").unwrap();
    let started = reading(written[9] + Millis(3_000));
    let lost = lost_permille(&row, counted(&ledger, started, IN_AGREEMENT));
    assert!(lost <= 500, "{lost} in 1,000 lost");
}

/// Spends all that an account allows at one moment.
fn spend_all(account: &mut Account, ledger: &Ledger, now: Millis) -> Tokens {
    let mut spent = Tokens::ZERO;
    let cost = Tokens(10);
    while account.reserve(now, cost, PREPAID, ledger, "r0") == Ok(()) {
        account.settle(cost, cost);
        spent += cost;
    }
    assert_eq!(
        account.reserve(now, cost, PREPAID, ledger, "r0"),
        Err(ReserveError::LocalShortage)
    );
    spent
}

/// A router that is cut off from the store keeps to its limit until the commitment ends, and then has its whole grant.
#[test]
fn kept_until_its_end() {
    let (mut account, ledger, row, written) = served();
    let commitment = row.commitment.unwrap();
    let until = commitment.until;
    assert_eq!(until, reading(written + SPAN));
    let mut within = Tokens::ZERO;
    for after in [0, 1_000, 4_000] {
        let at = written + Millis(after);
        within += spend_all(&mut account, &ledger, at);
        let limit = commitment.limit(at).unwrap();
        assert!(row.spent + within <= limit, "{within} on {}", row.spent);
    }
    let after = spend_all(&mut account, &ledger, until.at);
    assert!(after > Tokens::ZERO);
    assert!(row.spent + within + after <= row.granted);
}

/// While a write is unanswered, later writes do not extend its commitment, since the store may have that row.
#[test]
fn unanswered_writes() {
    let (mut account, mut ledger, row, written) = served();
    let mut now = written;
    let mut ends = Vec::new();
    for _ in 0..4 {
        now += Millis(500);
        let sent = account.desired_row(now, &ledger, &owner(1, START), PREPAID, &SIZING, COST);
        account.mark_sent(&sent);
        ends.push(sent.commitment.unwrap().until.at);
    }
    assert_eq!(ends, [written + Millis(500) + SPAN; 4]);
    let last = Millis(row.commitment.unwrap().until.at.0 - 1);
    let within = spend_all(&mut account, &ledger, last);
    let limit = row.commitment.unwrap().limit(last).unwrap();
    assert!(row.spent + within <= limit, "the lower limit applies");
    account.withdraw(now);
    ledger.set("r0", Some(row));
    assert!(spend_all(&mut account, &ledger, ends[0]) > Tokens::ZERO);
}

#[test]
fn stored_form() {
    let (_, _, row, _) = served();
    assert_eq!(Row::decode(&row.encode()), Some(row));
    let without_ramp = row.commitment.map(|commitment| Commitment {
        ramp: None,
        ..commitment
    });
    let earlier = Row {
        commitment: without_ramp,
        ..row
    };
    assert_eq!(
        Row::decode(&earlier.encode()),
        Some(earlier),
        "without a ramp"
    );
    let earlier = Row {
        commitment: None,
        ..row
    };
    assert_eq!(
        Row::decode(&earlier.encode()),
        Some(earlier),
        "without a commitment"
    );
    let mut cut = row.encode();
    cut.pop();
    assert_eq!(
        Row::decode(&cut),
        None,
        "a truncated commitment is not decoded"
    );
}

/// Commitments without a ramp apply as the versions that wrote them defined: a fixed limit for three seconds.
#[test]
fn without_a_ramp() {
    let commitment = Commitment {
        initial_limit: Tokens(500),
        until: reading(START + Millis(3_000)),
        ramp: None,
    };
    let start = |after| ProcessStart {
        boot: Some(reading(START + Millis(after))),
        wall: None,
    };
    assert_eq!(commitment.proven_limit(&start(0)), Some(Tokens(500)));
    assert_eq!(commitment.proven_limit(&start(2_999)), Some(Tokens(500)));
    assert_eq!(commitment.proven_limit(&start(3_000)), None);
    assert_eq!(commitment.proven_limit(&ProcessStart::default()), None);
}

/// Values written by another version may be of any size.
#[test]
fn extreme_commitment() {
    let commitment = Commitment {
        initial_limit: Tokens(u64::MAX),
        until: reading(Millis(u64::MAX)),
        ramp: Some(Ramp {
            begin: Millis(0),
            wall: Some(Millis(u64::MAX)),
            rate: u64::MAX,
        }),
    };
    assert_eq!(commitment.limit(START), Some(Tokens(u64::MAX)));
    let start = ProcessStart {
        boot: Some(reading(START)),
        wall: Some(START),
    };
    assert_eq!(commitment.proven_limit(&start), None);
}
