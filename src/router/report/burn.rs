//! The burn report: how fast the objectives' allowance of misses is used up.
//!
//! Burn rate is the share of requests that missed their objective, over the share that may miss
//! it: 1 uses the allowance up exactly, 14 in a fourteenth of the time.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::metrics::{Key, MINUTES, Minute, Series, decode, histogram};
use crate::router::intent::Objective;

/// Minutes of the short window.
pub const SHORT: u64 = 5;
/// Minutes of the long window.
pub const LONG: u64 = MINUTES;

/// One line of the report.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Whose.
    #[serde(flatten)]
    pub key: Key,
    /// Against what.
    pub objective: Objective,
    /// Requests.
    pub requests: u64,
    /// Those that ran.
    pub ran: u64,
    /// Tokens billed.
    pub billed: u64,
    /// The others, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Time to the first token, in milliseconds: 50, 95 and 99 in 100.
    pub first_ms: [u64; 3],
    /// Time between tokens, in milliseconds: 50, 95 and 99 in 100.
    pub between_ms: [u64; 3],
    /// Burn rate over the short window.
    pub burn_short: f64,
    /// Burn rate over the long window.
    pub burn_long: f64,
    /// Burn by minute, newest first.
    pub minutes: Vec<Minute>,
}

/// Burn rate over the last `window` minutes.
pub fn rate(minutes: &[Minute], objective: Objective, window: u64) -> f64 {
    let recent = minutes.iter().filter(|minute| minute.ago < window);
    let (good, bad) = recent.fold((0, 0), |(good, bad), minute| {
        (good + minute.good, bad + minute.bad)
    });
    if good + bad == 0 {
        return 0.0;
    }
    let missed = bad as f64 / (good + bad) as f64;
    let allowed = f64::from(1_000 - objective.share_permille.min(999)) / 1_000.0;
    missed / allowed
}

struct Merged {
    row: Row,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

/// Merges the series of several routers, a row for each customer, class and model.
pub fn merge(series: impl IntoIterator<Item = Series>) -> Vec<Row> {
    let mut merged: BTreeMap<Key, Merged> = BTreeMap::new();
    for one in series {
        match merged.get_mut(&one.key) {
            Some(sum) => add(sum, &one),
            None => {
                merged.insert(one.key.clone(), start(one));
            }
        }
    }
    merged.into_values().map(finish).collect()
}

fn start(one: Series) -> Merged {
    Merged {
        first: read(&one, &one.first),
        between: read(&one, &one.between),
        row: Row {
            key: one.key,
            objective: one.objective,
            requests: one.requests,
            ran: one.ran,
            billed: one.billed,
            refused: one.refused,
            first_ms: [0; 3],
            between_ms: [0; 3],
            burn_short: 0.0,
            burn_long: 0.0,
            minutes: one.minutes,
        },
    }
}

fn add(sum: &mut Merged, one: &Series) {
    let row = &mut sum.row;
    row.requests += one.requests;
    row.ran += one.ran;
    row.billed += one.billed;
    for (reason, count) in &one.refused {
        *row.refused.entry(reason.clone()).or_default() += count;
    }
    for minute in &one.minutes {
        match row.minutes.iter_mut().find(|known| known.ago == minute.ago) {
            Some(known) => {
                known.good += minute.good;
                known.bad += minute.bad;
            }
            None => row.minutes.push(*minute),
        }
    }
    row.minutes.sort_by_key(|minute| minute.ago);
    join(&mut sum.first, read(one, &one.first));
    join(&mut sum.between, read(one, &one.between));
}

/// A series' histogram. One that cannot be read counts as empty, so that a report of many routers
/// still tells of the others; the log says whose it was.
fn read(one: &Series, text: &str) -> Histogram<u64> {
    decode(text).unwrap_or_else(|error| {
        let Key {
            customer,
            class,
            serves,
        } = &one.key;
        tracing::warn!(event = "histogram_unreadable", %customer, %class, %serves, %error);
        histogram()
    })
}

fn join(sum: &mut Histogram<u64>, one: Histogram<u64>) {
    sum.add(one)
        .expect("a histogram that grows by itself takes any value");
}

fn finish(merged: Merged) -> Row {
    let mut row = merged.row;
    row.first_ms = percentiles(&merged.first);
    row.between_ms = percentiles(&merged.between);
    row.burn_short = rate(&row.minutes, row.objective, SHORT);
    row.burn_long = rate(&row.minutes, row.objective, LONG);
    row
}

/// The 50th, 95th and 99th of 100.
pub fn percentiles(histogram: &Histogram<u64>) -> [u64; 3] {
    [0.50, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile))
}

/// The report as a table.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<12} {:<10} {:<12} {:>8} {:>8} {:>9} {:>18} {:>15} {:>7} {:>7}  {}\n",
        "customer",
        "class",
        "serves",
        "requests",
        "ran",
        "billed",
        "first p50/95/99",
        "between",
        "burn5m",
        "burn1h",
        "refused"
    );
    for row in rows {
        let refused: Vec<String> = row
            .refused
            .iter()
            .map(|(reason, count)| format!("{reason}={count}"))
            .collect();
        let _ = writeln!(
            text,
            "{:<12} {:<10} {:<12} {:>8} {:>8} {:>9} {:>18} {:>15} {:>7.2} {:>7.2}  {}",
            row.key.customer,
            row.key.class,
            row.key.serves,
            row.requests,
            row.ran,
            row.billed,
            slashed(row.first_ms),
            slashed(row.between_ms),
            row.burn_short,
            row.burn_long,
            refused.join(" ")
        );
    }
    text
}

fn slashed(values: [u64; 3]) -> String {
    values.map(|value| value.to_string()).join("/")
}
