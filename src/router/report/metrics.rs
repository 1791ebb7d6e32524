//! Latency histograms and request counters of one router, and the form in which it reports them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{DeserializeError, Deserializer, Serializer, V2Serializer};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::router::intent::Objective;
use crate::router::request::{Reason, Verdict};

/// Maximum latency that a histogram resolves, in milliseconds; longer ones count as this.
const LATENCY_MAX: u64 = 600_000;
/// Number of significant decimal digits that a histogram keeps of a value.
const DIGITS: u8 = 2;
/// Number of minutes for which met and missed objectives are kept.
pub const MINUTES: u64 = 60;

/// The requests that a series covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The customer.
    pub customer: String,
    /// The class.
    pub class: String,
    /// The model or service.
    pub serves: String,
}

/// Numbers of requests in one minute that met and missed the objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Minute {
    /// Age of the minute, in minutes.
    pub ago: u64,
    /// Requests that met the objective.
    pub good: u64,
    /// Requests that missed the objective.
    pub bad: u64,
}

/// One series, in the form in which routers report it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// The requests that the series covers.
    pub key: Key,
    /// The objective that applied to the latest request.
    pub objective: Objective,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that ran.
    pub ran: u64,
    /// Tokens billed.
    pub billed: u64,
    /// Numbers of the other requests, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Time to the first token, in milliseconds: a histogram in the V2 format of HdrHistogram, as base64.
    pub first: String,
    /// Time between tokens, in milliseconds, in the same format.
    pub between: String,
    /// Requests that met and missed the objective by minute, newest first.
    pub minutes: Vec<Minute>,
}

/// A series while it is recorded.
#[derive(Debug)]
struct LiveSeries {
    objective: Objective,
    requests: u64,
    ran: u64,
    billed: u64,
    refused: BTreeMap<String, u64>,
    first: Histogram<u64>,
    between: Histogram<u64>,
    /// Minutes since the start, each with the numbers of requests that met and missed the objective, newest first.
    minutes: VecDeque<(u64, u64, u64)>,
}

/// Creates an empty histogram of latencies.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX, DIGITS).expect("the bounds are constant")
}

/// The reason why a histogram cannot be decoded.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The text is not base64.
    #[snafu(display("{source}"))]
    Text {
        /// The position and the cause.
        source: base64::DecodeError,
    },
    /// The bytes are not a histogram in the V2 format.
    #[snafu(display("{error}"))]
    Format {
        /// The cause.
        error: DeserializeError,
    },
}

/// Decodes a histogram of a [`Series`].
///
/// # Errors
/// If the text is not base64, or its bytes are not a histogram.
pub fn decode(text: &str) -> Result<Histogram<u64>, DecodeError> {
    let bytes = STANDARD.decode(text).context(TextSnafu)?;
    let histogram = Deserializer::new().deserialize(&mut bytes.as_slice());
    histogram.map_err(|error| DecodeError::Format { error })
}

/// Encodes a histogram for a [`Series`].
pub fn encode(histogram: &Histogram<u64>) -> String {
    let mut bytes = Vec::new();
    V2Serializer::new()
        .serialize(histogram, &mut bytes)
        .expect("writing to a vector cannot fail");
    STANDARD.encode(bytes)
}

/// The latencies of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Time to the first token, in milliseconds.
    pub first_ms: Option<u64>,
    /// Mean time between tokens, in milliseconds.
    pub between_ms: Option<u64>,
}

/// The series of a router.
#[derive(Debug)]
pub struct Metrics {
    start: Instant,
    series: Mutex<BTreeMap<Key, LiveSeries>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            series: Mutex::default(),
        }
    }
}

impl Metrics {
    /// Minutes since the start.
    fn minute(&self) -> u64 {
        self.start.elapsed().as_secs() / 60
    }

    /// Records the time between two tokens.
    pub fn record_gap(&self, key: &Key, millis: u64) {
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let live = series.entry(key.clone()).or_insert_with(LiveSeries::new);
        live.between.saturating_record(millis);
    }

    /// Records a finished request.
    pub fn record_request(
        &self,
        key: &Key,
        objective: Objective,
        verdict: &Verdict,
        sample: Sample,
    ) {
        let minute = self.minute();
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let live = series.entry(key.clone()).or_insert_with(LiveSeries::new);
        live.objective = objective;
        live.requests += 1;
        if let Some(first) = sample.first_ms {
            live.first.saturating_record(first);
        }
        match verdict {
            Verdict::Ran { billed } => {
                live.ran += 1;
                live.billed += billed.0;
            }
            Verdict::NotRun { reason, .. } | Verdict::MayHaveRun { reason } => {
                *live.refused.entry(reason.as_str().to_owned()).or_default() += 1;
            }
        }
        if let Some(good) = is_good(objective, verdict, sample) {
            live.count_objective(minute, good);
        }
    }

    /// A snapshot of all series.
    pub fn export(&self) -> Vec<Series> {
        let minute = self.minute();
        let series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        series
            .iter()
            .map(|(key, live)| live.export(key, minute))
            .collect()
    }
}

/// Whether a request met its objective; `None` if it failed for a cause outside the system's control.
pub fn is_good(objective: Objective, verdict: &Verdict, sample: Sample) -> Option<bool> {
    match verdict {
        Verdict::Ran { .. } => {
            let first = sample
                .first_ms
                .is_none_or(|first| first <= objective.first_token.0);
            let between = sample
                .between_ms
                .is_none_or(|gap| gap <= objective.between_tokens.0);
            Some(first && between)
        }
        Verdict::NotRun { reason, .. } | Verdict::MayHaveRun { reason } => match reason {
            Reason::BudgetExhausted
            | Reason::Unknown
            | Reason::UnknownModel
            | Reason::IdReused
            | Reason::Expired => None,
            _ => Some(false),
        },
    }
}

impl LiveSeries {
    fn new() -> Self {
        Self {
            objective: Objective::default(),
            requests: 0,
            ran: 0,
            billed: 0,
            refused: BTreeMap::new(),
            first: histogram(),
            between: histogram(),
            minutes: VecDeque::new(),
        }
    }

    /// Counts a request as having met or missed the objective in the given minute.
    fn count_objective(&mut self, minute: u64, good: bool) {
        if self.minutes.front().is_none_or(|(at, _, _)| *at != minute) {
            self.minutes.push_front((minute, 0, 0));
            self.minutes.truncate(MINUTES as usize);
        }
        if let Some((_, met, missed)) = self.minutes.front_mut() {
            if good {
                *met += 1;
            } else {
                *missed += 1;
            }
        }
    }

    fn export(&self, key: &Key, now: u64) -> Series {
        let minutes = self.minutes.iter().map(|(at, good, bad)| Minute {
            ago: now - at,
            good: *good,
            bad: *bad,
        });
        Series {
            key: key.clone(),
            objective: self.objective,
            requests: self.requests,
            ran: self.ran,
            billed: self.billed,
            refused: self.refused.clone(),
            first: encode(&self.first),
            between: encode(&self.between),
            minutes: minutes.collect(),
        }
    }
}
