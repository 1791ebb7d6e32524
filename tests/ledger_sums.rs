//! A ledger by itself: for any records in a shard stream its sums hold, and no bill counts twice.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use lanedeck::router::budget::Ledger;
use lanedeck::router::intent::{Change, Plan, Terms};
use lanedeck::router::key::{BudgetKey, Incarnation, Stream};
use lanedeck::router::log::{Batch, Closed, Fold, Follower, Open, Record, Violation};
use lanedeck::units::{Offset, Tokens};
use lanedeck::util;

const KEY: BudgetKey = BudgetKey { shard: 0, index: 0 };
const WITNESS: Incarnation = Incarnation(9);

fn set_budget(prepaid: u64, expect: u64, id: u64) -> Record {
    let terms = Terms {
        customer: "c".into(),
        prepaid: Tokens(prepaid),
    };
    let changes = vec![Change::Budget {
        name: "b".into(),
        terms,
        expect: Offset(expect),
    }];
    Record::Change(Plan {
        id,
        stream: Stream::Shard(0),
        changes,
    })
}

fn ledger(prepaid: u64) -> Ledger {
    let mut ledger = Ledger::default();
    ledger
        .apply(Offset(1), Incarnation(1), &set_budget(prepaid, 0, 1))
        .unwrap();
    ledger
}

fn grant(ask: u64) -> Record {
    Record::Grant {
        budget: KEY,
        ask: Tokens(ask),
    }
}

fn parts(ledger: &Ledger) -> [u64; 4] {
    let budget = ledger.budget(0).unwrap();
    [
        budget.unallotted.0,
        budget.held().0,
        budget.billed().0,
        budget.in_doubt().0,
    ]
}

fn close(settled: u64, open: &[(u64, u64)]) -> Record {
    let open = open.iter().map(|(nonce, reserved)| Open {
        nonce: *nonce,
        reserved: Tokens(*reserved),
    });
    let budgets = vec![Closed {
        budget: KEY,
        settled: Tokens(settled),
        open: open.collect(),
    }];
    Record::Close {
        holder: Incarnation(2),
        budgets,
    }
}

#[test]
fn grant_and_settle() {
    let mut ledger = ledger(100);
    let holder = Incarnation(2);
    let mut write = |record: Record| ledger.apply(Offset(2), holder, &record);
    write(grant(60)).unwrap();
    write(grant(60)).unwrap();
    write(Record::Settle {
        budget: KEY,
        settled: Tokens(30),
    })
    .unwrap();
    write(Record::Return {
        budget: KEY,
        returned: Tokens(20),
    })
    .unwrap();
    assert_eq!(parts(&ledger), [20, 50, 30, 0]);
    assert!(
        ledger.budget(0).unwrap().scarce.is_some(),
        "the second grant was smaller than asked for"
    );
    let overdraft = Record::Settle {
        budget: KEY,
        settled: Tokens(81),
    };
    let result = ledger.apply(Offset(3), holder, &overdraft);
    assert!(matches!(result, Err(Violation::Overdrawn { .. })));
    assert_eq!(parts(&ledger), [20, 50, 30, 0]);
}

#[test]
fn close_by_witness() {
    let holder = Incarnation(2);
    let mut ledger = ledger(100);
    ledger
        .apply(
            Offset(2),
            holder,
            &Record::Witness {
                witness: Some(WITNESS),
            },
        )
        .unwrap();
    ledger.apply(Offset(3), holder, &grant(80)).unwrap();
    // A close by a router that is not the witness has no effect.
    ledger
        .apply(Offset(4), Incarnation(7), &close(0, &[]))
        .unwrap();
    assert_eq!(parts(&ledger), [20, 80, 0, 0]);
    ledger
        .apply(Offset(5), WITNESS, &close(30, &[(5, 10)]))
        .unwrap();
    assert_eq!(parts(&ledger), [60, 0, 30, 10]);
    // Records that the holder writes after its close have no effect.
    ledger.apply(Offset(6), holder, &grant(50)).unwrap();
    ledger
        .apply(
            Offset(6),
            holder,
            &Record::Settle {
                budget: KEY,
                settled: Tokens(70),
            },
        )
        .unwrap();
    assert_eq!(parts(&ledger), [60, 0, 30, 10]);
    let resolve = |billed| Record::Resolve {
        holder,
        nonce: 5,
        billed: Tokens(billed),
    };
    // Only the witness that closed the holder may resolve its requests.
    ledger
        .apply(Offset(6), Incarnation(8), &resolve(9))
        .unwrap();
    assert_eq!(parts(&ledger), [60, 0, 30, 10]);
    ledger.apply(Offset(7), WITNESS, &resolve(4)).unwrap();
    assert_eq!(parts(&ledger), [66, 0, 34, 0]);
    ledger.apply(Offset(8), WITNESS, &resolve(4)).unwrap();
    let twice = ledger.apply(Offset(9), WITNESS, &resolve(5));
    assert!(matches!(twice, Err(Violation::BilledTwice { .. })));
    assert_eq!(parts(&ledger), [66, 0, 34, 0]);
}

#[test]
fn repeated_append() {
    let mut follower: Follower<Ledger> = Follower::default();
    let entry = |seq, record| lanedeck::router::log::Entry { seq, record };
    let first = Batch {
        writer: Incarnation(1),
        entries: vec![entry(1, set_budget(100, 0, 1))],
    };
    let ask = Batch {
        writer: Incarnation(2),
        entries: vec![entry(1, grant(10))],
    };
    let batches = [first, ask.clone(), ask.clone(), ask];
    let batches: Vec<_> = (1..).map(Offset).zip(batches).collect();
    follower.apply_batches(Offset(1), &batches);
    assert_eq!(parts(follower.state()), [90, 10, 0, 0]);
}

/// An arbitrary record, which may contradict the ledger's state.
fn any_record(u: &mut Unstructured) -> Result<Record> {
    let amount = |u: &mut Unstructured| u.int_in_range(0..=120).map(Tokens);
    let holder = |u: &mut Unstructured| u.int_in_range(1..=4).map(Incarnation);
    Ok(match u.int_in_range(0..=8)? {
        0 | 1 => Record::Grant {
            budget: KEY,
            ask: amount(u)?,
        },
        2 => Record::Settle {
            budget: KEY,
            settled: amount(u)?,
        },
        3 => Record::Return {
            budget: KEY,
            returned: amount(u)?,
        },
        4 => Record::Witness {
            witness: Some(holder(u)?),
        },
        5 => Record::Leave,
        6 => {
            let open = vec![Open {
                nonce: u.int_in_range(1..=3)?,
                reserved: amount(u)?,
            }];
            let budgets = vec![Closed {
                budget: KEY,
                settled: amount(u)?,
                open,
            }];
            Record::Close {
                holder: holder(u)?,
                budgets,
            }
        }
        7 => Record::Resolve {
            holder: holder(u)?,
            nonce: u.int_in_range(1..=3)?,
            billed: amount(u)?,
        },
        _ => set_budget(
            u.int_in_range(0..=200)?,
            u.int_in_range(0..=5)?,
            u.int_in_range(2..=9)?,
        ),
    })
}

#[test]
fn any_records() {
    for seed in 0..2_000_u64 {
        arbtest(|u| {
            let mut ledger = ledger(100);
            for offset in 2..40 {
                let writer = Incarnation(u.int_in_range(1..=4)?);
                let record = any_record(u)?;
                let result = ledger.apply(Offset(offset), writer, &record);
                let is_violated = matches!(result, Err(Violation::Conservation { .. }));
                assert!(!is_violated, "{record:?} {result:?}");
                let sum: u64 = parts(&ledger).iter().sum();
                assert_eq!(sum, ledger.budget(0).unwrap().prepaid.0, "{record:?}");
                let decoded = util::decode::<Ledger>(&util::encode(&ledger));
                assert_eq!(decoded.as_ref(), Some(&ledger));
            }
            Ok(())
        })
        .seed(seed << 32 | 2_048);
    }
}

#[test]
fn any_bytes() {
    for seed in 0..2_000_u64 {
        arbtest(|u| {
            let bytes: Vec<u8> = u.arbitrary()?;
            // Arbitrary input is decoded or refused; it never causes a panic.
            let _ = Batch::decode(&bytes);
            let _ = util::decode::<lanedeck::router::message::Request>(&bytes);
            let _ = util::decode::<lanedeck::router::message::Reply>(&bytes);
            let _ = lanedeck::router::http::chat::parse(&bytes);
            let _ = String::from_utf8_lossy(&bytes).parse::<lanedeck::router::request::Id>();
            Ok(())
        })
        .seed(seed << 32 | 512);
    }
}
