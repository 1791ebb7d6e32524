//! The arithmetic of the burn report, checked against values calculated by hand.

use std::collections::BTreeMap;

use lanedeck::router::intent::Objective;
use lanedeck::router::report::{Key, Metrics, Minute, Sample, burn, is_good, page};
use lanedeck::router::request::{Reason, Verdict};
use lanedeck::units::{Millis, Tokens};

const OBJECTIVE: Objective = Objective {
    first_token: Millis(590),
    between_tokens: Millis(34),
    share_permille: 950,
};

fn minute(ago: u64, good: u64, bad: u64) -> Minute {
    Minute { ago, good, bad }
}

#[test]
fn burn_rates() {
    let minutes = [
        minute(0, 90, 10),
        minute(4, 100, 0),
        minute(5, 0, 100),
        minute(59, 100, 0),
    ];
    // 10 of 200 missed the objective and 5 % may: the error budget is used up exactly.
    assert!((burn::rate(&minutes, OBJECTIVE, burn::SHORT) - 1.0).abs() < 1e-9);
    // 110 of 400 missed the objective: 27.5 %, which is 5.5 times the allowed 5 %.
    assert!((burn::rate(&minutes, OBJECTIVE, burn::LONG) - 5.5).abs() < 1e-9);
    assert!(burn::rate(&[], OBJECTIVE, burn::LONG) == 0.0);
}

#[test]
fn good_or_bad() {
    let ran = Verdict::Ran { billed: Tokens(5) };
    let sample = |first, between| Sample {
        first_ms: Some(first),
        between_ms: Some(between),
    };
    assert_eq!(is_good(OBJECTIVE, &ran, sample(590, 34)), Some(true));
    assert_eq!(is_good(OBJECTIVE, &ran, sample(591, 34)), Some(false));
    assert_eq!(is_good(OBJECTIVE, &ran, sample(590, 35)), Some(false));
    let refused = |reason| Verdict::NotRun {
        reason,
        retry_after: Millis(1),
    };
    assert_eq!(
        is_good(OBJECTIVE, &refused(Reason::Overloaded), Sample::default()),
        Some(false)
    );
    // A customer that has used up its budget does not count against the objective.
    assert_eq!(
        is_good(
            OBJECTIVE,
            &refused(Reason::BudgetExhausted),
            Sample::default()
        ),
        None
    );
}

#[test]
fn merged() {
    let key = Key {
        customer: "k<b>".into(),
        class: "std".into(),
        serves: "m".into(),
    };
    let export = |firsts: std::ops::RangeInclusive<u64>| {
        let metrics = Metrics::default();
        for first in firsts {
            let sample = Sample {
                first_ms: Some(first),
                between_ms: Some(10),
            };
            metrics.record_request(&key, OBJECTIVE, &Verdict::Ran { billed: Tokens(2) }, sample);
            metrics.record_gap(&key, 10);
        }
        let refused = Verdict::NotRun {
            reason: Reason::TooLate,
            retry_after: Millis(1),
        };
        metrics.record_request(&key, OBJECTIVE, &refused, Sample::default());
        metrics.export()
    };
    let rows = burn::merge(export(1..=50).into_iter().chain(export(51..=100)));
    let [row] = &rows[..] else {
        panic!("expected one row, got {rows:?}")
    };
    assert_eq!((row.requests, row.ran, row.billed), (102, 100, 200));
    assert_eq!(row.refused, BTreeMap::from([("too_late".to_owned(), 2)]));
    assert_eq!(row.first_ms, [50, 95, 99]);
    assert_eq!(row.between_ms, [10, 10, 10]);
    // 2 of 102 missed the objective and 5 % may.
    assert!((row.burn_short - 2.0 / 102.0 / 0.05).abs() < 1e-9);
    let page = page(&rows);
    assert!(
        page.contains("k&lt;b&gt;") && page.contains("<svg"),
        "{page}"
    );
    assert!(burn::table(&rows).contains("too_late=2"));
}
