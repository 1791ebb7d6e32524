//! Counts of placements by expected time, and their text format at the metrics endpoint.

use std::fmt::Write;
use std::time::Duration;

use super::decision::placement::{Estimate, Reason};
use super::decision::refusal::Refusal;
use super::metrics::{Counter, LatencyHistogram, write_histogram};

/// Placements by time of one process.
#[derive(Debug, Default)]
pub struct Counts {
    by_reason: [Counter; Reason::ALL.len()],
    /// Placements at targets that have not reported a slowdown.
    unreported: Counter,
    /// New requests that were refused because the targets were too busy.
    busy_first: Counter,
    /// Retries that were not made because the targets were too busy.
    busy_retries: Counter,
    /// Age of the slowdown that the chosen target reported.
    slowdown_age: LatencyHistogram,
}

impl Counts {
    /// Counts a placement that was sent to its target.
    pub fn add(&self, estimate: &Estimate) {
        self.by_reason[estimate.reason as usize].add(1);
        match estimate.report_age {
            Some(age) => self.slowdown_age.record(Duration::from_millis(age.0)),
            None => self.unreported.add(1),
        }
    }

    /// Counts a new request that was refused, if that was because the targets were too busy.
    pub fn note_refused(&self, refusal: Refusal) {
        if let Refusal::Busy { .. } = refusal {
            self.busy_first.add(1);
        }
    }

    /// Counts a retry that was refused, if that was because the targets were too busy.
    pub fn note_retry_refused(&self, refusal: Refusal) {
        if let Refusal::Busy { .. } = refusal {
            self.busy_retries.add(1);
        }
    }

    /// Formats the counts of refusals because the targets were too busy.
    pub fn busy_text(&self) -> String {
        let (first, retries) = (self.busy_first.get(), self.busy_retries.get());
        format!(
            "lanedeck_targets_busy_total{{attempt=\"first\"}} {first}\n\
             lanedeck_targets_busy_total{{attempt=\"retry\"}} {retries}\n"
        )
    }

    /// Formats the counts, one value per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for reason in Reason::ALL {
            let count = self.by_reason[reason as usize].get();
            // Writing to a `String` cannot fail, here and below.
            let _ = writeln!(
                text,
                "lanedeck_placements_by_time_total{{choice=\"{}\"}} {count}",
                reason.as_str()
            );
        }
        let count = self.unreported.get();
        let _ = writeln!(text, "lanedeck_placements_without_slowdown_total {count}");
        write_histogram(&mut text, "slowdown_age", &self.slowdown_age);
        text
    }
}
