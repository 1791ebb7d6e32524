//! Following a stream from its start, from behind the log's retention, and from a peer's state. Guards against a
//! follower that skips records, misses a digest mismatch or goes back to an older state.

use lanedeck::router::budget::Ledger;
use lanedeck::router::intent::{Change, Plan, Terms};
use lanedeck::router::key::{BudgetKey, Incarnation, Stream};
use lanedeck::router::log::{Batch, Checkpoint, Entry, Follower, Record, Violation};
use lanedeck::units::{Offset, Tokens};

const WRITER: Incarnation = Incarnation(5);

/// A stream with a budget, four grants, a mark at offset 6, and three more grants.
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

/// A follower of the whole stream, and its checkpoint at the mark.
fn follow_stream() -> (Follower<Ledger>, Checkpoint) {
    let mut follower = Follower::default();
    let progress = follower.apply_batches(Offset(1), &stream());
    (follower, progress.marked.expect("a mark was read"))
}

#[test]
fn past_retention() {
    let (mut full, checkpoint) = follow_stream();
    let mut batches = stream();
    batches.push(checkpoint_batch(10, checkpoint));
    full.apply_batches(Offset(1), &batches);
    let retained = &batches[6..];
    let mut late: Follower<Ledger> = Follower::default();
    late.apply_batches(Offset(7), retained);
    assert_eq!(late.applied(), Offset(10));
    assert_eq!(late.snapshot().digest, full.snapshot().digest);
    // Without a checkpoint it cannot know the state, so it stays at offset 0.
    let mut no_checkpoint: Follower<Ledger> = Follower::default();
    no_checkpoint.apply_batches(Offset(7), &retained[..2]);
    assert_eq!(no_checkpoint.applied(), Offset(0));
}

#[test]
fn digest_differs() {
    let (mut follower, mut checkpoint) = follow_stream();
    assert_eq!(checkpoint.through, Offset(6));
    let matching = follower.apply_batches(Offset(1), &[checkpoint_batch(10, checkpoint.clone())]);
    assert!(matching.checkpointed && matching.violations.is_empty());
    checkpoint.digest += 1;
    let entries = vec![Entry {
        seq: 2,
        record: Record::Checkpoint(checkpoint),
    }];
    let batch = Batch {
        writer: Incarnation(6),
        entries,
    };
    let mismatch = follower.apply_batches(Offset(1), &[(Offset(11), batch)]);
    assert!(
        matches!(mismatch.violations[..], [Violation::Digest { .. }]),
        "{mismatch:?}"
    );
}

#[test]
fn never_back() {
    let (mut follower, older) = follow_stream();
    let before = follower.snapshot();
    assert!(
        !follower.restore(&older),
        "an older checkpoint is not restored"
    );
    follower.apply_batches(Offset(1), &stream());
    assert_eq!(
        follower.snapshot(),
        before,
        "applied batches are not applied again"
    );
    let mut newer = Follower::<Ledger>::default();
    assert!(newer.restore(&older) && newer.applied() == Offset(6));
    let broken = Checkpoint {
        state: vec![1, 2, 3],
        ..before
    };
    assert!(
        !newer.restore(&broken),
        "a state that does not match its digest is not restored"
    );
    newer.apply_batches(Offset(1), &stream());
    assert_eq!(newer.snapshot().digest, follower.snapshot().digest);
}
