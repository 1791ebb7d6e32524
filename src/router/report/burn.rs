//! The burn report: how fast the error budgets of the service-level objectives are used up.
//!
//! The burn rate is the share of requests that missed their objective, divided by the share that may miss it. A rate
//! of 1 uses up the error budget exactly, a rate of 14 in a fourteenth of the time.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::metrics::{Key, MINUTES, Minute, Series, decode, histogram};
use crate::router::intent::Objective;

/// Length of the short window, in minutes.
pub const SHORT: u64 = 5;
/// Length of the long window, in minutes.
pub const LONG: u64 = MINUTES;

/// One row of the report.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The customer, class and model or service.
    #[serde(flatten)]
    pub key: Key,
    /// The objective.
    pub objective: Objective,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that ran.
    pub ran: u64,
    /// Tokens billed.
    pub billed: u64,
    /// Numbers of the other requests, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Time to the first token, in milliseconds: 50th, 95th and 99th percentile.
    pub first_ms: [u64; 3],
    /// Time between tokens, in milliseconds: 50th, 95th and 99th percentile.
    pub between_ms: [u64; 3],
    /// Burn rate over the short window.
    pub burn_short: f64,
    /// Burn rate over the long window.
    pub burn_long: f64,
    /// Requests that met and missed the objective by minute, newest first.
    pub minutes: Vec<Minute>,
}

/// The burn rate over the last `window` minutes.
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

/// Merges the series of several routers into one row for each customer, class and model or service.
pub fn merge(series: impl IntoIterator<Item = Series>) -> Vec<Row> {
    let mut merged: BTreeMap<Key, Merged> = BTreeMap::new();
    for series in series {
        match merged.get_mut(&series.key) {
            Some(sum) => add(sum, &series),
            None => {
                merged.insert(series.key.clone(), start(series));
            }
        }
    }
    merged.into_values().map(finish).collect()
}

fn start(series: Series) -> Merged {
    Merged {
        first: read(&series, &series.first),
        between: read(&series, &series.between),
        row: Row {
            key: series.key,
            objective: series.objective,
            requests: series.requests,
            ran: series.ran,
            billed: series.billed,
            refused: series.refused,
            first_ms: [0; 3],
            between_ms: [0; 3],
            burn_short: 0.0,
            burn_long: 0.0,
            minutes: series.minutes,
        },
    }
}

fn add(sum: &mut Merged, series: &Series) {
    let row = &mut sum.row;
    row.requests += series.requests;
    row.ran += series.ran;
    row.billed += series.billed;
    for (reason, count) in &series.refused {
        *row.refused.entry(reason.clone()).or_default() += count;
    }
    for minute in &series.minutes {
        match row.minutes.iter_mut().find(|known| known.ago == minute.ago) {
            Some(known) => {
                known.good += minute.good;
                known.bad += minute.bad;
            }
            None => row.minutes.push(*minute),
        }
    }
    row.minutes.sort_by_key(|minute| minute.ago);
    join(&mut sum.first, read(series, &series.first));
    join(&mut sum.between, read(series, &series.between));
}

/// Decodes a histogram of a series. One that cannot be decoded counts as empty, so that a report on many routers still
/// covers the others; the log names the series.
fn read(series: &Series, text: &str) -> Histogram<u64> {
    decode(text).unwrap_or_else(|error| {
        let Key {
            customer,
            class,
            serves,
        } = &series.key;
        tracing::warn!(event = "histogram_unreadable", %customer, %class, %serves, %error);
        histogram()
    })
}

fn join(sum: &mut Histogram<u64>, other: Histogram<u64>) {
    sum.add(other)
        .expect("a resizable histogram accepts any value");
}

fn finish(merged: Merged) -> Row {
    let mut row = merged.row;
    row.first_ms = percentiles(&merged.first);
    row.between_ms = percentiles(&merged.between);
    row.burn_short = rate(&row.minutes, row.objective, SHORT);
    row.burn_long = rate(&row.minutes, row.objective, LONG);
    row
}

/// The 50th, 95th and 99th percentile.
pub fn percentiles(histogram: &Histogram<u64>) -> [u64; 3] {
    [0.50, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile))
}

/// Formats the report as a text table.
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
            join_percentiles(row.first_ms),
            join_percentiles(row.between_ms),
            row.burn_short,
            row.burn_long,
            refused.join(" ")
        );
    }
    text
}

fn join_percentiles(values: [u64; 3]) -> String {
    values.map(|value| value.to_string()).join("/")
}
