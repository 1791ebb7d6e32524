//! What a router promises not to spend while the store answers it, and what the next process on its host may
//! conclude once it is gone.

use std::sync::LazyLock;

use lanedeck::boot_clock::Reading;
use lanedeck::gateway::clock::{Clock, Readings};
use lanedeck::gateway::decision::grant::{Role, Sizing};
use lanedeck::gateway::escrow::guard::SPAN;
use lanedeck::gateway::escrow::{Account, Commitment, Holder, Ledger, Ramp, Row, Short, Start};
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

/// How far the time of day is ahead of the host's clock before its power is lost.
const WALL_AHEAD: i64 = 50_000_000;
const ON_TIME: [i64; 4] = [WALL_AHEAD; 4];
static ALONE: LazyLock<Clock> = LazyLock::new(|| Clock::new(Some(BOOT)));

/// The clocks as a host knows them whose own reads `now`, where four others' time of day is so far ahead of it.
fn agreed(now: Millis, ahead: [i64; 4]) -> Clock {
    let mut clock = Clock::new(Some(BOOT));
    for (host, ahead) in ["h1", "h2", "h3", "h4"].into_iter().zip(ahead) {
        let wall = Millis(now.0.saturating_add_signed(ahead));
        let readings = Readings {
            boot: None,
            wall: Some(wall),
        };
        clock.note(host, now, &readings);
    }
    clock
}

fn reading(at: Millis) -> Reading {
    Reading { boot: BOOT, at }
}

fn holder(incarnation: u64, started: Millis) -> Holder<'static> {
    Holder {
        router: "r0",
        incarnation,
        role: Role::Holder,
        started: Some(reading(started)),
        clock: &ALONE,
        era: Era::default(),
    }
}

/// A row that is written and acknowledged at once.
fn renew(account: &mut Account, ledger: &mut Ledger, now: Millis) -> Row {
    renew_by(&agreed(now, ON_TIME), account, ledger, now)
}

fn renew_by(clock: &Clock, account: &mut Account, ledger: &mut Ledger, now: Millis) -> Row {
    let holder = Holder {
        clock,
        ..holder(1, START)
    };
    let row = account.wanted(now, ledger, &holder, PREPAID, &SIZING, COST);
    account.send(&row);
    account.acknowledge(now, &row);
    ledger.set("r0", Some(row));
    row
}

/// A router that has served a while and reaches the store: its account, its last row, and when it wrote it.
fn served() -> (Account, Ledger, Row, Millis) {
    let (mut account, mut ledger) = (Account::default(), Ledger::default());
    let mut now = START;
    let mut row = renew(&mut account, &mut ledger, now);
    for turn in 1..=60 {
        now += Millis(100);
        if account.reserve(now, COST, PREPAID, &ledger, "r0").is_ok() {
            account.note_demand(now, COST);
            account.settle(COST, COST);
        }
        if turn % 10 == 0 {
            row = renew(&mut account, &mut ledger, now);
        }
    }
    (account, ledger, row, now)
}

/// What the next process on the host counts as spent by the last one. The fleet's time of day is `ahead` of its
/// host's clock.
fn counted(ledger: &Ledger, started: Reading, ahead: [i64; 4]) -> Tokens {
    counted_by(&agreed(started.at, ahead), ledger, started)
}

fn counted_by(clock: &Clock, ledger: &Ledger, started: Reading) -> Tokens {
    let next = Holder {
        started: Some(started),
        clock,
        ..holder(2, START)
    };
    let mut account = Account::default();
    let row = account.wanted(started.at, ledger, &next, PREPAID, &SIZING, Tokens::ZERO);
    row.spent_before
}

/// What is lost of what was held ahead, in thousandths.
fn lost(row: &Row, counted: Tokens) -> u64 {
    (counted - row.spent).0 * 1_000 / (row.granted - row.spent).0
}

/// Killed and started again within the promise, a router loses what it might have spent by then; all that was
/// granted ahead was lost before.
#[test]
fn quick_restart() {
    let (_, ledger, row, written) = served();
    let started = reading(written + Millis(1_500));
    let counted = counted(&ledger, started, ON_TIME);
    // The fleet's time of day is taken to be off by half a second.
    let latest = written + Millis(2_000);
    assert_eq!(Some(counted), row.commitment.unwrap().limit(latest));
    let lost = lost(&row, counted);
    assert!(lost <= 700, "{lost} in 1,000 lost of what was ahead");
}

#[test]
fn late_restart() {
    let (_, ledger, row, written) = served();
    let started = reading(written + SPAN);
    let counted = counted(&ledger, started, ON_TIME);
    assert_eq!(counted, row.granted, "it may have passed");
}

/// After a loss of power the host's clock begins anew, and says nothing of the time before.
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
        counted(&ledger, set_back, ON_TIME),
        row.granted,
        "before it was made"
    );
}

/// A start so long after a row, by the fleet's time of day, on a host whose clock began anew: its reading, and how far
/// the fleet's time of day is ahead of that.
fn powered_up(written: Millis, after: u64) -> (Reading, i64) {
    let other = Reading {
        boot: BOOT + 1,
        at: START,
    };
    let wall = (written.0 + after) as i64 + WALL_AHEAD;
    (other, wall - START.0 as i64)
}

/// What the fleet agrees on outlives a loss of power: what was lost is what might have been spent by then.
#[test]
fn loss_of_power() {
    let (_, ledger, row, written) = served();
    let (started, ahead) = powered_up(written, 2_000);
    let known = counted(&ledger, started, [ahead; 4]);
    let lost_known = lost(&row, known);
    assert!(lost_known <= 700, "{lost_known} in 1,000 lost");
    assert_eq!(
        counted_by(&ALONE, &ledger, started),
        row.granted,
        "no clocks"
    );
    let (started, ahead) = powered_up(written, SPAN.0);
    assert_eq!(
        counted(&ledger, started, [ahead; 4]),
        row.granted,
        "too late"
    );
}

/// Where one of four hosts has another time of day, the others are believed; where two have, nothing is proved,
/// neither of the row nor of the start.
#[test]
fn clocks_that_lie() {
    let (_, mut ledger, row, written) = served();
    let (started, ahead) = powered_up(written, 4_000);
    let truth = counted(&ledger, started, [ahead; 4]);
    for lie in [-3_900, -2_000, 2_000, 60_000] {
        assert_eq!(
            counted(&ledger, started, [ahead, ahead + lie, ahead, ahead]),
            truth
        );
        let half = [ahead, ahead + lie, ahead + lie, ahead];
        assert_eq!(counted(&ledger, started, half), row.granted);
    }
    let ahead_too = WALL_AHEAD + 2_000;
    let off = [WALL_AHEAD, ahead_too, WALL_AHEAD, ahead_too];
    let mut account = Account::default();
    let row = renew_by(&agreed(written, off), &mut account, &mut ledger, written);
    assert_eq!(counted(&ledger, started, [ahead; 4]), row.granted);
}

/// A time of day that is set back on all hosts is told by the host's own clock, as long as that counts on.
#[test]
fn set_back_together() {
    let (_, ledger, row, written) = served();
    let started = reading(written + SPAN);
    let set_back = WALL_AHEAD - SPAN.0 as i64;
    assert_eq!(counted(&ledger, started, [set_back; 4]), row.granted);
}

/// An id of a boot that hosts share although their clocks differ names no boot.
#[test]
fn shared_boot_id() {
    let (_, ledger, row, written) = served();
    let (other, ahead) = powered_up(written, 1_000);
    // By chance the new clock reads a time within the promise.
    let started = reading(written + Millis(4_000));
    let ahead = ahead + other.at.0 as i64 - started.at.0 as i64;
    let by_boot = counted(&ledger, started, [ahead; 4]);
    let mut clock = agreed(started.at, [ahead; 4]);
    let theirs = Readings {
        boot: Some(reading(Millis(9_000_000))),
        wall: None,
    };
    clock.note("h1", started.at, &theirs);
    assert!(counted_by(&clock, &ledger, started) < by_boot);
    assert!(by_boot < row.granted);
}

/// A process that starts before it has heard of clocks judges again once it has, and not after that.
#[test]
fn judged_again() {
    let (_, ledger, row, written) = served();
    let (started, ahead) = powered_up(written, 2_000);
    let mut account = Account::default();
    let mut spent_before = |clock: &Clock, at: Millis| {
        let next = Holder {
            started: Some(started),
            clock,
            ..holder(2, START)
        };
        let row = account.wanted(at, &ledger, &next, PREPAID, &SIZING, Tokens::ZERO);
        row.spent_before
    };
    assert_eq!(spent_before(&ALONE, started.at), row.granted);
    let at = started.at + Millis(700);
    let known = spent_before(&agreed(at, [ahead; 4]), at);
    assert!(known < row.granted, "{known} of {}", row.granted);
    let later = at + Millis(60_000);
    assert_eq!(spent_before(&ALONE, later), known, "it stays proved");
}

/// A router that nobody asks renews its promise too: what it holds is kept through a restart.
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
        let clock = agreed(now, ON_TIME);
        let holder = Holder {
            clock: &clock,
            ..holder(1, START)
        };
        let row = account.wanted(now, &ledger, &holder, PREPAID, &sizing, Tokens::ZERO);
        if account.is_worth_writing(&row, PREPAID) {
            account.send(&row);
            account.acknowledge(now, &row);
            ledger.set("r0", Some(row));
            written.push(now);
        }
    }
    assert_eq!(written.len(), 10, "each two seconds");
    let row = *ledger.row("r0").unwrap();
    let started = reading(written[9] + Millis(3_000));
    let lost = lost(&row, counted(&ledger, started, ON_TIME));
    assert!(lost <= 500, "{lost} in 1,000 lost");
}

/// Spends all that an account lets it at one moment.
fn spend_all(account: &mut Account, ledger: &Ledger, now: Millis) -> Tokens {
    let mut spent = Tokens::ZERO;
    let cost = Tokens(10);
    while account.reserve(now, cost, PREPAID, ledger, "r0") == Ok(()) {
        account.settle(cost, cost);
        spent += cost;
    }
    assert_eq!(
        account.reserve(now, cost, PREPAID, ledger, "r0"),
        Err(Short::Here)
    );
    spent
}

/// Cut off from the store, a router keeps to its mark until the promise ends, and then has all that was granted.
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

/// While a write is not answered, later ones do not prolong the promise, which the store may have all the same.
#[test]
fn unanswered_writes() {
    let (mut account, mut ledger, row, written) = served();
    let mut now = written;
    let mut ends = Vec::new();
    for _ in 0..4 {
        now += Millis(500);
        let sent = account.wanted(now, &ledger, &holder(1, START), PREPAID, &SIZING, COST);
        account.send(&sent);
        ends.push(sent.commitment.unwrap().until.at);
    }
    assert_eq!(ends, [written + Millis(500) + SPAN; 4]);
    let last = Millis(row.commitment.unwrap().until.at.0 - 1);
    let within = spend_all(&mut account, &ledger, last);
    let limit = row.commitment.unwrap().limit(last).unwrap();
    assert!(row.spent + within <= limit, "the lower limit holds");
    account.withdraw(now);
    ledger.set("r0", Some(row));
    assert!(spend_all(&mut account, &ledger, ends[0]) > Tokens::ZERO);
}

#[test]
fn stored_form() {
    let (_, _, row, _) = served();
    assert_eq!(Row::decode(&row.encode()), Some(row));
    let without_rate = row.commitment.map(|commitment| Commitment {
        ramp: None,
        ..commitment
    });
    let earlier = Row {
        commitment: without_rate,
        ..row
    };
    assert_eq!(Row::decode(&earlier.encode()), Some(earlier), "no rate");
    let earlier = Row {
        commitment: None,
        ..row
    };
    assert_eq!(
        Row::decode(&earlier.encode()),
        Some(earlier),
        "without a promise"
    );
    let mut cut = row.encode();
    cut.pop();
    assert_eq!(Row::decode(&cut), None, "half a promise is none");
}

/// Promises that name no rate are kept as their programs made them: a fixed mark for three seconds.
#[test]
fn without_a_rate() {
    let commitment = Commitment {
        initial_limit: Tokens(500),
        until: reading(START + Millis(3_000)),
        ramp: None,
    };
    let start = |after| Start {
        boot: Some(reading(START + Millis(after))),
        wall: None,
    };
    assert_eq!(commitment.proved(&start(0)), Some(Tokens(500)));
    assert_eq!(commitment.proved(&start(2_999)), Some(Tokens(500)));
    assert_eq!(commitment.proved(&start(3_000)), None);
    assert_eq!(commitment.proved(&Start::default()), None);
}

/// Figures of another program may be of any size.
#[test]
fn endless_promise() {
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
    let start = Start {
        boot: Some(reading(START)),
        wall: Some(START),
    };
    assert_eq!(commitment.proved(&start), None);
}
