//! What a router promises not to spend while the store answers it, and what the next process on its host may
//! conclude once it is gone.

use lanedeck::boot_clock::Reading;
use lanedeck::gateway::decision::grant::{Role, Sizing};
use lanedeck::gateway::escrow::guard::SPAN;
use lanedeck::gateway::escrow::{Account, Guard, Holder, Ledger, Row, Short};
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
};

fn reading(at: Millis) -> Reading {
    Reading { boot: BOOT, at }
}

fn holder(incarnation: u64, started: Millis) -> Holder<'static> {
    Holder {
        router: "r0",
        incarnation,
        role: Role::Holder,
        started: Some(reading(started)),
    }
}

/// A row that is written and acknowledged at once.
fn renew(account: &mut Account, ledger: &mut Ledger, now: Millis) -> Row {
    let row = account.wanted(now, ledger, &holder(1, START), PREPAID, &SIZING, COST);
    account.send(&row);
    account.acknowledge(&row);
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

/// What the next process counts as spent by the last one.
fn counted(ledger: &Ledger, started: Reading) -> Tokens {
    let next = Holder {
        started: Some(started),
        ..holder(2, START)
    };
    let mut account = Account::default();
    let row = account.wanted(started.at, ledger, &next, PREPAID, &SIZING, Tokens::ZERO);
    row.spent_before
}

/// Killed and started again within the promise, a router loses what is below its mark and no more; all that was
/// granted ahead was lost before.
#[test]
fn quick_restart() {
    let (_, ledger, row, written) = served();
    let mark = row.guard.unwrap().mark;
    let started = reading(written + Millis(1_500));
    assert_eq!(counted(&ledger, started), mark);
    let (ahead, lost) = (row.granted - row.spent, mark - row.spent);
    assert!(lost.0 * 10 <= ahead.0 * 7, "{lost} lost of {ahead} ahead");
}

#[test]
fn late_restart() {
    let (_, ledger, row, written) = served();
    let started = reading(written + SPAN);
    assert_eq!(counted(&ledger, started), row.granted, "it may have passed");
}

/// After a loss of power the clock begins anew, and says nothing of the time before.
#[test]
fn other_boot() {
    let (_, ledger, row, written) = served();
    let other = Reading {
        boot: BOOT + 1,
        at: written + Millis(100),
    };
    assert_eq!(counted(&ledger, other), row.granted);
    let set_back = reading(written.saturating_sub(SPAN));
    assert_eq!(
        counted(&ledger, set_back),
        row.granted,
        "before it was made"
    );
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
    let Guard { mark, until } = row.guard.unwrap();
    assert_eq!(until, reading(written + SPAN));
    let last = Millis(until.at.0 - 1);
    let within = spend_all(&mut account, &ledger, last);
    assert!(row.spent + within <= mark, "{within} on {}", row.spent);
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
        ends.push(sent.guard.unwrap().until.at);
    }
    assert_eq!(ends, [written + Millis(500) + SPAN; 4]);
    let within = spend_all(&mut account, &ledger, Millis(ends[0].0 - 1));
    assert!(
        row.spent + within <= row.guard.unwrap().mark,
        "the lower mark holds"
    );
    account.withdraw();
    ledger.set("r0", Some(row));
    assert!(spend_all(&mut account, &ledger, ends[0]) > Tokens::ZERO);
}

#[test]
fn stored_form() {
    let (_, _, row, _) = served();
    assert_eq!(Row::decode(&row.encode()), Some(row));
    let earlier = Row { guard: None, ..row };
    assert_eq!(
        Row::decode(&earlier.encode()),
        Some(earlier),
        "without a promise"
    );
    let mut cut = row.encode();
    cut.pop();
    assert_eq!(Row::decode(&cut), None, "half a promise is none");
}
