//! A witness by itself: what it acknowledges, and how it decides takeovers.

use lanedeck::router::budget::{
    Answer, Price, Replay, Replica, Reservation, TakeoverAnswer, Witness,
};
use lanedeck::router::key::{BudgetKey, Incarnation};
use lanedeck::router::request::Id;
use lanedeck::units::{Millis, Tokens};

const HOLDER: Incarnation = Incarnation(2);
const OTHER: Incarnation = Incarnation(3);
const KEY: BudgetKey = BudgetKey { shard: 4, index: 0 };

fn id(number: u64) -> Id {
    Id {
        incarnation: HOLDER,
        nonce: 1 << 32 | number,
    }
}

fn open(witness: &mut Witness, number: u64) -> Answer {
    let reservation = Reservation {
        reserved: Tokens(100),
        request: id(number),
        target: ([127, 0, 0, 1], 1).into(),
        price: Price::Permille(2_000),
    };
    witness.open(Millis(1), id(number), KEY, reservation)
}

fn settle(witness: &mut Witness, number: u64, billed: u64) -> Answer {
    witness.settle(Millis(1), id(number), Some(Tokens(billed)))
}

fn witness() -> Witness {
    let mut witness = Witness::default();
    assert_eq!(
        open(&mut witness, 1),
        Answer::Unknown,
        "not a ward of this witness"
    );
    let replica = Replica::new(&[], &[], &[], 1);
    assert_eq!(
        witness.adopt(Millis(1), HOLDER, replica),
        Answer::Acknowledged
    );
    witness
}

#[test]
fn nothing_after_close() {
    let mut witness = witness();
    assert_eq!(open(&mut witness, 1), Answer::Acknowledged);
    assert_eq!(witness.silent(Millis(2_000), Millis(1_000)), [HOLDER]);
    witness.close(Millis(2_000), HOLDER);
    assert_eq!(open(&mut witness, 2), Answer::Closed { billed: false });
    assert_eq!(
        witness.heard(Millis(3_000), HOLDER, 1),
        Answer::Closed { billed: false }
    );
    let replica = Replica::new(&[], &[], &[], 1);
    assert_eq!(
        witness.adopt(Millis(3_000), HOLDER, replica),
        Answer::Closed { billed: false }
    );
    let [closed] = &witness.report(HOLDER, 4)[..] else {
        panic!("one budget")
    };
    assert_eq!((closed.settled, closed.open.len()), (Tokens(0), 1));
    // A bill that arrives after the close still counts, once, and goes to the log.
    assert_eq!(settle(&mut witness, 1, 40), Answer::Closed { billed: true });
    assert_eq!(settle(&mut witness, 1, 40), Answer::Closed { billed: true });
    assert_eq!(witness.unrecorded().len(), 1);
    // The report stays what it was at the close.
    assert_eq!(witness.report(HOLDER, 4)[0].open.len(), 1);
}

#[test]
fn taken_over_once() {
    let mut witness = witness();
    for number in 1..=3 {
        open(&mut witness, number);
    }
    settle(&mut witness, 2, 30);
    let successor = Incarnation(7);
    assert_eq!(
        witness.take_over(id(1), successor, true),
        TakeoverAnswer::Alive
    );
    witness.close(Millis(2), HOLDER);
    assert_eq!(
        witness.take_over(id(9), successor, false),
        TakeoverAnswer::Fresh,
        "never opened, so never dispatched"
    );
    assert_eq!(
        witness.take_over(id(9), successor, false),
        TakeoverAnswer::Yours
    );
    assert_eq!(
        witness.take_over(id(9), OTHER, true),
        TakeoverAnswer::Other(successor)
    );
    assert_eq!(
        witness.take_over(id(2), successor, true),
        TakeoverAnswer::Settled(Tokens(30))
    );
    assert_eq!(
        witness.take_over(id(3), successor, false),
        TakeoverAnswer::Open,
        "not repeatable, so left to the lost holder"
    );
    assert_eq!(
        witness.take_over(id(1), successor, true),
        TakeoverAnswer::Open
    );
    assert_eq!(
        witness.take_over(id(1), OTHER, true),
        TakeoverAnswer::Other(successor)
    );
    // A bill from the closed holder does not count for a request that was taken over.
    assert_eq!(
        settle(&mut witness, 1, 50),
        Answer::Closed { billed: false }
    );
}

#[test]
fn reported_by_target() {
    let mut witness = witness();
    open(&mut witness, 1);
    witness.record_outcome(id(1), Tokens(10));
    assert!(
        witness.unrecorded().is_empty(),
        "a holder that is not closed bills its own requests"
    );
    witness.close(Millis(2), HOLDER);
    assert_eq!(witness.in_doubt().len(), 1);
    witness.record_outcome(id(1), Tokens(10));
    assert_eq!(
        witness.unrecorded()[0].billed,
        Tokens(20),
        "10 tokens at a price factor of two"
    );
    assert!(witness.in_doubt().is_empty());
}

#[test]
fn cancelled_by_target() {
    let mut witness = witness();
    for number in 1..=3 {
        open(&mut witness, number);
    }
    witness.record_cancelled(id(1));
    assert!(witness.unrecorded().is_empty(), "the holder is not closed");
    witness.close(Millis(2), HOLDER);
    settle(&mut witness, 3, 30);
    for number in 1..=3 {
        witness.record_cancelled(id(number));
    }
    let bills: Vec<u64> = witness
        .unrecorded()
        .iter()
        .map(|resolved| resolved.billed.0)
        .collect();
    assert_eq!(bills, [30, 0, 0], "a bill that was decided stands");
    assert!(witness.in_doubt().is_empty());
    // A late bill of the closed holder does not count.
    assert_eq!(
        settle(&mut witness, 1, 50),
        Answer::Closed { billed: false }
    );
    // What may not be repeated has not run anywhere; a repeatable request may have, at an earlier target.
    assert_eq!(
        witness.take_over(id(1), OTHER, false),
        TakeoverAnswer::Fresh
    );
    assert_eq!(
        witness.take_over(id(1), OTHER, false),
        TakeoverAnswer::Yours
    );
    assert_eq!(witness.take_over(id(2), OTHER, true), TakeoverAnswer::Open);
    assert_eq!(
        witness.take_over(id(2), Incarnation(7), true),
        TakeoverAnswer::Other(OTHER)
    );
}

#[test]
fn calls_once() {
    let mut witness = witness();
    let first = 1 << 32 | 1;
    assert_eq!(witness.replay(HOLDER, first), Replay::New);
    witness.record_answers(HOLDER, first, &[Answer::Acknowledged]);
    assert_eq!(
        witness.replay(HOLDER, first),
        Replay::Repeated(vec![Answer::Acknowledged])
    );
    assert_eq!(witness.replay(HOLDER, first + 1), Replay::New);
    assert_eq!(witness.replay(HOLDER, first + 2), Replay::Stale, "a gap");
    // A new link of the same holder restarts the numbers; a delayed call of the old link is ignored.
    let second = 2 << 32 | 1;
    assert_eq!(witness.replay(HOLDER, second), Replay::New);
    witness.record_answers(HOLDER, second, &[]);
    assert_eq!(witness.replay(HOLDER, first + 1), Replay::Stale);
}
