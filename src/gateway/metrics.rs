//! Counters and latency histograms, and their text at the metrics address. The fields' names are the
//! metrics' names.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

use super::dialect::BadEntry;
use crate::store::Era;

/// Significant digits of a histogram.
const DIGITS: u8 = 2;
/// Longest latency that is told apart, in microseconds.
const LATENCY_MAX: u64 = 60_000_000;

/// A number that only rises.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds to it.
    pub fn add(&self, number: u64) {
        self.0.fetch_add(number, Ordering::Relaxed);
    }

    /// Its value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A histogram of times.
#[derive(Debug)]
pub struct Times(Mutex<Histogram<u64>>);

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LATENCY_MAX, DIGITS);
        Self(Mutex::new(
            histogram.expect("constant bounds make a histogram"),
        ))
    }
}

impl Times {
    /// Counts a time.
    pub fn note(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(LATENCY_MAX);
        let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(micros);
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counters and histograms of a gateway.
        #[derive(Debug, Default)]
        pub struct Metrics {
            $($(#[$doc])* pub $name: Counter,)*
            /// Time to the first byte of a stream, from the request's arrival.
            pub first_byte: Times,
            /// Time of a whole plain request.
            pub plain: Times,
            /// Time to a refusal.
            pub refusal: Times,
        }

        impl Metrics {
            fn counters(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get())),*]
            }
        }
    };
}

counters! {
    /// Requests that arrived.
    requests,
    /// Answers of targets that were passed on.
    answered,
    /// Requests that were refused, and have not run.
    refused,
    /// Requests that were refused, and may have run.
    uncertain,
    /// Requests whose caller left.
    cancelled,
    /// Attempts beyond the first.
    repeats,
    /// Streams that were resumed at another target.
    resumed,
    /// Streams that broke off.
    broken,
    /// Events that were passed on.
    events,
    /// Connections opened to targets.
    connects,
    /// Calls to the store.
    store_calls,
    /// Calls to the store that failed.
    store_failures,
}

impl Metrics {
    /// All of them, a line each. `dropped` is the number of log lines that were dropped.
    pub fn text(&self, dropped: u64) -> String {
        let mut text = String::new();
        for (name, value) in self.counters() {
            // Writing to a string does not fail; the same holds below.
            let _ = writeln!(text, "lanedeck_{name}_total {value}");
        }
        let _ = writeln!(text, "lanedeck_log_lines_dropped_total {dropped}");
        let histograms = [
            ("first_byte", &self.first_byte),
            ("plain", &self.plain),
            ("refusal", &self.refusal),
        ];
        for (name, times) in histograms {
            write_histogram(&mut text, name, times);
        }
        text
    }
}

/// Lines for the store's era, and how often it rose.
pub fn store_era(era: Era, returns: u64) -> String {
    format!("lanedeck_store_era {era}\nlanedeck_store_returns_total {returns}\n")
}

/// Lines for entries of the list of targets that could not be used, by cause.
pub fn bad_entries(counters: &[Counter; BadEntry::CAUSES.len()]) -> String {
    let mut text = String::new();
    for (cause, counter) in BadEntry::CAUSES.iter().zip(counters) {
        let count = counter.get();
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "lanedeck_bad_entries_total{{cause=\"{cause}\"}} {count}"
        );
    }
    text
}

fn write_histogram(text: &mut String, name: &str, times: &Times) {
    const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];
    let histogram = times.0.lock().unwrap_or_else(PoisonError::into_inner);
    for quantile in QUANTILES {
        let millis = histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        let _ = writeln!(
            text,
            "lanedeck_{name}_ms{{quantile=\"{quantile}\"}} {millis}"
        );
    }
    let _ = writeln!(text, "lanedeck_{name}_ms_count {}", histogram.len());
}
