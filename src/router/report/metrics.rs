//! Histograms and counters of one router, and how those of several are merged.

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

/// Longest latency told apart, in milliseconds.
const LATENCY_MAX: u64 = 600_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 2;
/// Minutes of burn remembered.
pub const MINUTES: u64 = 60;

/// Whose requests a series is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The customer.
    pub customer: String,
    /// The class.
    pub class: String,
    /// The model or service.
    pub serves: String,
}

/// Requests of one minute that met the objective, and that did not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Minute {
    /// How many minutes ago.
    pub ago: u64,
    /// Met it.
    pub good: u64,
    /// Did not.
    pub bad: u64,
}

/// One series, as routers report it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Series {
    /// Whose.
    pub key: Key,
    /// The objective that applied last.
    pub objective: Objective,
    /// Requests.
    pub requests: u64,
    /// Those that ran.
    pub ran: u64,
    /// Tokens billed.
    pub billed: u64,
    /// The others, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Time to the first token, in milliseconds: a histogram in its library's V2 form, base64.
    pub first: String,
    /// Time between tokens, likewise.
    pub between: String,
    /// Burn by minute, newest first.
    pub minutes: Vec<Minute>,
}

#[derive(Debug)]
struct Live {
    objective: Objective,
    requests: u64,
    ran: u64,
    billed: u64,
    refused: BTreeMap<String, u64>,
    first: Histogram<u64>,
    between: Histogram<u64>,
    minutes: VecDeque<(u64, u64, u64)>,
}

/// A histogram of latencies.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX, DIGITS).expect("the bounds are constant")
}

/// A histogram that cannot be read.
#[derive(Debug, Snafu)]
pub enum Unreadable {
    /// It is not base64.
    #[snafu(display("{source}"))]
    Text {
        /// Where.
        source: base64::DecodeError,
    },
    /// It is not of its library's V2 form.
    #[snafu(display("{error}"))]
    Form {
        /// What is wrong.
        error: DeserializeError,
    },
}

/// Reads a histogram as series carry it.
///
/// # Errors
/// What is wrong with it.
pub fn decode(text: &str) -> Result<Histogram<u64>, Unreadable> {
    let bytes = STANDARD.decode(text).context(TextSnafu)?;
    let histogram = Deserializer::new().deserialize(&mut bytes.as_slice());
    histogram.map_err(|error| Unreadable::Form { error })
}

/// Writes a histogram as series carry it.
pub fn encode(histogram: &Histogram<u64>) -> String {
    let mut bytes = Vec::new();
    V2Serializer::new()
        .serialize(histogram, &mut bytes)
        .expect("a vector takes all that is written");
    STANDARD.encode(bytes)
}

/// What one request measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Time to the first token, in milliseconds.
    pub first_ms: Option<u64>,
    /// Mean time between tokens, in milliseconds.
    pub between_ms: Option<u64>,
}

/// All series of a router.
#[derive(Debug)]
pub struct Metrics {
    start: Instant,
    series: Mutex<BTreeMap<Key, Live>>,
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
    fn minute(&self) -> u64 {
        self.start.elapsed().as_secs() / 60
    }

    /// Notes the gap between two tokens.
    pub fn note_gap(&self, key: &Key, millis: u64) {
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let live = series.entry(key.clone()).or_insert_with(Live::new);
        live.between.saturating_record(millis);
    }

    /// Notes a request's end.
    pub fn note(&self, key: &Key, objective: Objective, verdict: &Verdict, sample: Sample) {
        let minute = self.minute();
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let live = series.entry(key.clone()).or_insert_with(Live::new);
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
            live.burn(minute, good);
        }
    }

    /// All series as they are now.
    pub fn export(&self) -> Vec<Series> {
        let minute = self.minute();
        let series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        series
            .iter()
            .map(|(key, live)| live.export(key, minute))
            .collect()
    }
}

/// Whether a request met its objective; `None` where the system could do nothing about it.
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

impl Live {
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

    fn burn(&mut self, minute: u64, good: bool) {
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
