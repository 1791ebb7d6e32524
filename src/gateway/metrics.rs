//! Counters and latency histograms, and their text format at the metrics endpoint. The names of the fields are part of
//! the names of the metrics.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

use super::decision::capacity::{Basis, Spread};
use super::dialect::BadEntry;
use super::members::Usage;
use crate::store::Era;
use crate::units::Millis;

/// Significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Longest latency that is distinguished, in microseconds. Longer ones are recorded as this one.
const LATENCY_MAX_US: u64 = 60_000_000;

/// A counter, which never decreases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Increases the counter by a number.
    pub fn add(&self, number: u64) {
        self.0.fetch_add(number, Ordering::Relaxed);
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A histogram of latencies.
#[derive(Debug)]
pub struct LatencyHistogram(Mutex<Histogram<u64>>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS);
        Self(Mutex::new(
            histogram.expect("the constant bounds are valid"),
        ))
    }
}

impl LatencyHistogram {
    /// Records a latency.
    pub fn record(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(LATENCY_MAX_US);
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
            /// Time from the arrival of a request to the first byte of its stream.
            pub first_byte: LatencyHistogram,
            /// Total time of a request that is not streamed.
            pub plain: LatencyHistogram,
            /// Time from the arrival of a request to its refusal.
            pub refusal: LatencyHistogram,
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
    /// Answers of targets that were forwarded.
    answered,
    /// Requests that were refused and have not run.
    refused,
    /// Requests that were refused but may have run.
    uncertain,
    /// Requests whose caller disconnected.
    cancelled,
    /// Attempts other than the first of a request.
    repeats,
    /// Streams that were resumed at another target.
    resumed,
    /// Streams that ended incomplete.
    broken,
    /// Stream events that were forwarded.
    events,
    /// Connections opened to targets, or tried in vain.
    connects,
    /// Calls to the store.
    store_calls,
    /// Calls to the store that failed.
    store_failures,
}

impl Metrics {
    /// Formats all counters and histograms, one value per line. `dropped` is the number of log lines that were dropped.
    pub fn text(&self, dropped: u64) -> String {
        let mut text = String::new();
        for (name, value) in self.counters() {
            // Writing to a `String` cannot fail, here and below.
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

/// Counts of requests that lacked tokens.
#[derive(Debug, Default)]
pub struct TokenWaits {
    /// Requests that were queued for tokens.
    pub queued: Counter,
    /// Requests that were refused at once, since no tokens were expected within their wait.
    pub out_of_reach: Counter,
    /// Requests that were refused since too many waited already.
    pub queue_full: Counter,
    /// Refused requests that were told a return time forecast from arriving tokens.
    pub promised: Counter,
    /// Refused requests that came back at the time that they were told.
    pub returned: Counter,
}

impl TokenWaits {
    /// Formats the counts, one value per line.
    pub fn text(&self) -> String {
        let counters = [
            ("queued", &self.queued),
            ("out_of_reach", &self.out_of_reach),
            ("queue_full", &self.queue_full),
            ("promised", &self.promised),
            ("returned", &self.returned),
        ];
        let mut text = String::new();
        for (outcome, counter) in counters {
            let count = counter.get();
            // Writing to a `String` cannot fail.
            let _ = writeln!(
                text,
                "lanedeck_token_waits_total{{outcome=\"{outcome}\"}} {count}"
            );
        }
        text
    }
}

/// The metric of the bytes held for callers and targets.
pub fn held(bytes: usize) -> String {
    format!("lanedeck_held_bytes {bytes}\n")
}

/// The metric of the targets that are kept although the store's list lacks them.
pub fn missing_targets(count: usize) -> String {
    format!("lanedeck_targets_missing {count}\n")
}

/// The metric of the pauses of accepting callers' connections.
pub fn accept_pauses(count: u64) -> String {
    format!("lanedeck_accept_pauses_total {count}\n")
}

/// The metric of the delay of this router's link: 0 if it is not known.
pub fn link_delay(delay: Option<Millis>) -> String {
    let delay = delay.unwrap_or_default();
    format!("lanedeck_link_delay_ms {delay}\n")
}

/// Formats how the capacities of the fleet's routers are used.
pub fn capacities(usage: &Usage) -> String {
    let Usage {
        basis,
        spread,
        weight,
        coverage,
    } = usage;
    let is_basis = |one: Basis| u8::from(*basis == one);
    let is_unequal = u8::from(*spread == Spread::Unequal);
    let routers = [
        ("live", coverage.live),
        ("learnt", coverage.learnt),
        ("known", coverage.known),
    ];
    let mut text = String::new();
    for (label, basis) in [("names", Basis::Names), ("capacities", Basis::Capacities)] {
        let value = is_basis(basis);
        // Writing to a `String` cannot fail, here and below.
        let _ = writeln!(text, "lanedeck_capacity_basis{{basis=\"{label}\"}} {value}");
    }
    let _ = writeln!(text, "lanedeck_capacity_unequal {is_unequal}");
    let permille = weight.permille();
    let _ = writeln!(text, "lanedeck_capacity_weight_permille {permille}");
    for (label, count) in routers {
        let _ = writeln!(
            text,
            "lanedeck_capacity_routers{{capacity=\"{label}\"}} {count}"
        );
    }
    text
}

/// Formats the store's era and how often it increased.
pub fn store_era(era: Era, returns: u64) -> String {
    format!("lanedeck_store_era {era}\nlanedeck_store_returns_total {returns}\n")
}

/// Formats the counts of entries of the list of targets that could not be used, by cause.
pub fn bad_entries(counters: &[Counter; BadEntry::CAUSES.len()]) -> String {
    let mut text = String::new();
    for (cause, counter) in BadEntry::CAUSES.iter().zip(counters) {
        let count = counter.get();
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "lanedeck_bad_entries_total{{cause=\"{cause}\"}} {count}"
        );
    }
    text
}

/// Formats the quantiles and the number of the recorded latencies.
pub(super) fn write_histogram(text: &mut String, name: &str, times: &LatencyHistogram) {
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
