//! What targets say of themselves, as operators see it beside the counters.

use std::fmt::Write;

use super::{Notice, Rate, Word};
use crate::gateway::metrics::Counter;
use crate::units::Millis;

/// What a target says now.
#[derive(Clone, Debug, PartialEq)]
pub struct Said {
    /// Its instance.
    pub instance: String,
    /// Its rate limit.
    pub rate_limit: Option<Rate>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// How much longer it wants nothing from this router, when this was published.
    pub rest_left: Millis,
}

/// How often targets said something new, by kind.
#[derive(Debug, Default)]
pub struct Counts {
    rate_limit: Counter,
    leaving: Counter,
    rest: Counter,
    unreadable: Counter,
}

impl Counts {
    /// Counts what an answer said, and what of it was news.
    pub fn note(&self, notice: &Notice, news: &[Word]) {
        for word in news {
            match word {
                Word::RateLimit { .. } => self.rate_limit.add(1),
                Word::Leaving => self.leaving.add(1),
            }
        }
        if let Ok(Some(_)) = notice.rest {
            self.rest.add(1);
        }
        self.unreadable.add(notice.errors().count() as u64);
    }
}

/// Lines for the metrics' address: the counts, and for each target that says something what it is.
pub fn text(said: &[Said], counts: &Counts) -> String {
    let mut text = String::new();
    let kinds = [
        ("rate_limit", &counts.rate_limit),
        ("leaving", &counts.leaving),
        ("rest", &counts.rest),
        ("unreadable", &counts.unreadable),
    ];
    // Writing to a string does not fail; the same holds below.
    for (kind, counter) in kinds {
        let count = counter.get();
        let _ = writeln!(
            text,
            "lanedeck_target_notices_total{{kind=\"{kind}\"}} {count}"
        );
    }
    for one in said {
        write_said(&mut text, one);
    }
    text
}

fn write_said(text: &mut String, said: &Said) {
    let instance = &said.instance;
    if let Some(limit) = said.rate_limit {
        let limit = limit.per_second();
        let _ = writeln!(
            text,
            "lanedeck_target_rate_limit{{instance=\"{instance}\"}} {limit}"
        );
    }
    if said.is_leaving {
        let _ = writeln!(text, "lanedeck_target_leaving{{instance=\"{instance}\"}} 1");
    }
    if said.rest_left > Millis::ZERO {
        let seconds = said.rest_left.0 as f64 / 1_000.0;
        let _ = writeln!(
            text,
            "lanedeck_target_rest_seconds{{instance=\"{instance}\"}} {seconds}"
        );
    }
}
