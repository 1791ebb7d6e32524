//! Following a stream: from its start, past its retention, and from a peer.

use lanedeck::router::budget::Ledger;
use lanedeck::router::intent::{Change, Plan, Terms};
use lanedeck::router::key::{BudgetKey, Incarnation, Stream};
use lanedeck::router::log::{Batch, Checkpoint, Entry, Follower, Record, Violation};
use lanedeck::units::{Offset, Tokens};

const WRITER: Incarnation = Incarnation(5);

/// A stream with a budget, some grants, a mark at offset 6, and more grants after it.
fn stream() -> Vec<(Offset, Batch)> {
    let terms = Terms {
        customer: "c".into(),
        prepaid: Tokens(1_000),
    };
    let changes = vec![Change::Budget {
        name: "b".into(),
        terms,
        expect: Offset(0),
    }];
    let plan = Plan {
        id: 1,
        stream: Stream::Shard(0),
        changes,
    };
    let budget = BudgetKey { shard: 0, index: 0 };
    let grant = || Record::Grant {
        budget,
        ask: Tokens(10),
    };
    let records = [Record::Change(plan)]
        .into_iter()
        .chain((0..4).map(|_| grant()));
    let records = records.chain([Record::Mark]).chain((0..3).map(|_| grant()));
    let batches = (1..).zip(records).map(|(seq, record)| {
        let entries = vec![Entry { seq, record }];
        (
            Offset(seq),
            Batch {
                writer: WRITER,
                entries,
            },
        )
    });
    batches.collect()
}

fn checkpoint_batch(offset: u64, checkpoint: Checkpoint) -> (Offset, Batch) {
    let entries = vec![Entry {
        seq: 1,
        record: Record::Checkpoint(checkpoint),
    }];
    (
        Offset(offset),
        Batch {
            writer: Incarnation(6),
            entries,
        },
    )
}

fn whole() -> (Follower<Ledger>, Checkpoint) {
    let mut follower = Follower::default();
    let progress = follower.apply_batches(Offset(1), &stream());
    (follower, progress.marked.expect("a mark was read"))
}

#[test]
fn past_retention() {
    let (mut full, checkpoint) = whole();
    let mut batches = stream();
    batches.push(checkpoint_batch(10, checkpoint));
    full.apply_batches(Offset(1), &batches);
    let kept = &batches[6..];
    let mut late: Follower<Ledger> = Follower::default();
    late.apply_batches(Offset(7), kept);
    assert_eq!(late.applied(), Offset(10));
    assert_eq!(late.snapshot().digest, full.snapshot().digest);
    // Without a checkpoint it knows nothing, and says so by staying where it is.
    let mut lost: Follower<Ledger> = Follower::default();
    lost.apply_batches(Offset(7), &kept[..2]);
    assert_eq!(lost.applied(), Offset(0));
}

#[test]
fn digest_differs() {
    let (mut follower, mut checkpoint) = whole();
    assert_eq!(checkpoint.through, Offset(6));
    let good = follower.apply_batches(Offset(1), &[checkpoint_batch(10, checkpoint.clone())]);
    assert!(good.checkpointed && good.violations.is_empty());
    checkpoint.digest += 1;
    let entries = vec![Entry {
        seq: 2,
        record: Record::Checkpoint(checkpoint),
    }];
    let batch = Batch {
        writer: Incarnation(6),
        entries,
    };
    let bad = follower.apply_batches(Offset(1), &[(Offset(11), batch)]);
    assert!(
        matches!(bad.violations[..], [Violation::Digest { .. }]),
        "{bad:?}"
    );
}

#[test]
fn never_back() {
    let (mut follower, older) = whole();
    let before = follower.snapshot();
    assert!(!follower.restore(&older), "an older state");
    follower.apply_batches(Offset(1), &stream());
    assert_eq!(follower.snapshot(), before, "old records again");
    let mut newer = Follower::<Ledger>::default();
    assert!(newer.restore(&older) && newer.applied() == Offset(6));
    let broken = Checkpoint {
        state: vec![1, 2, 3],
        ..before
    };
    assert!(
        !newer.restore(&broken),
        "a state that does not have its digest"
    );
    newer.apply_batches(Offset(1), &stream());
    assert_eq!(newer.snapshot().digest, follower.snapshot().digest);
}
