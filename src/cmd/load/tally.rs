//! Totals and latencies over all requests of a run.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use super::caller::Record;

/// The records of a run.
#[derive(Default)]
pub struct Tally {
    records: Vec<Record>,
    pub elapsed: Duration,
}

impl Tally {
    pub fn add(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Counts the responses that were reported complete but were not, or that belong to another request.
    pub fn wrong(&self) -> usize {
        self.records.iter().filter(|record| record.wrong).count()
    }

    /// Formats the records as JSON, one line per request.
    pub fn json_lines(&self) -> String {
        let lines = self
            .records
            .iter()
            .map(|record| serde_json::to_string(record).expect("records are plain data") + "\n");
        lines.collect()
    }

    /// Formats the report as lines of key=value pairs.
    pub fn report(&self) -> String {
        let count = self.records.len();
        let seconds = self.elapsed.as_secs_f64().max(0.001);
        let tries: u64 = self
            .records
            .iter()
            .map(|record| u64::from(record.tries))
            .sum();
        let billed: u64 = self.records.iter().map(|record| record.billed).sum();
        let mut text = String::new();
        let _ = writeln!(
            text,
            "requests={count} seconds={seconds:.2} rate={:.1} tries={tries} billed={billed} wrong={}",
            count as f64 / seconds,
            self.wrong()
        );
        let mut verdicts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for record in &self.records {
            *verdicts
                .entry((&record.verdict, &record.reason))
                .or_default() += 1;
        }
        for ((verdict, reason), count) in verdicts {
            let reason = if verdict == "ran" || reason.is_empty() {
                "none"
            } else {
                reason
            };
            let _ = writeln!(text, "verdict={verdict} last_reason={reason} count={count}");
        }
        let ran = || {
            self.records
                .iter()
                .filter(|record| record.verdict == "ran" && !record.service)
        };
        write_latency(&mut text, "first", ran().map(|record| record.first_ms));
        write_latency(&mut text, "total", ran().map(|record| record.total_ms));
        text
    }
}

fn write_latency(text: &mut String, name: &str, values: impl Iterator<Item = f64>) {
    let mut values: Vec<f64> = values.collect();
    if values.is_empty() {
        return;
    }
    values.sort_by(f64::total_cmp);
    let quantile = |q: f64| values[((values.len() - 1) as f64 * q).round() as usize];
    let _ = writeln!(
        text,
        "latency={name} p50={:.2} p95={:.2} p99={:.2} unit=ms",
        quantile(0.50),
        quantile(0.95),
        quantile(0.99)
    );
}
