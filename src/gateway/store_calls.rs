//! Counts of the calls to the store, by topic and outcome. They tell apart who makes the calls where the store refuses
//! them for its rate, and writers that wait for each other.

use std::fmt::Write;

use super::metrics::Counter;
use crate::store::{CallError, Topic};

/// The topics, with their labels.
const TOPICS: [(Topic, &str); 5] = [
    (Topic::Config, "config"),
    (Topic::Targets, "targets"),
    (Topic::Routers, "routers"),
    (Topic::Prepaid, "prepaid"),
    (Topic::Status, "status"),
];
/// Labels of the outcomes, indexed by [`outcome`].
const OUTCOMES: [&str; 5] = ["ok", "limited", "conflict", "unavailable", "no_answer"];

/// The values of all topics that are above zero, for a log line.
pub fn by_topic(value: impl Fn(Topic) -> u64) -> String {
    let values = TOPICS.iter().map(|(topic, label)| (label, value(*topic)));
    let above_zero = values.filter(|(_, value)| *value > 0);
    let words = above_zero.map(|(label, value)| format!("{label}={value}"));
    words.collect::<Vec<_>>().join(" ")
}

/// The counts since the process started.
#[derive(Debug, Default)]
pub struct Counts([[Counter; OUTCOMES.len()]; TOPICS.len()]);

/// Index of a result in [`OUTCOMES`].
fn outcome(result: &Result<(), &CallError>) -> usize {
    match result {
        Ok(()) => 0,
        Err(CallError::Limited) => 1,
        Err(CallError::Moved { .. }) => 2,
        Err(CallError::Unknown | CallError::Unreachable) => 4,
        Err(_) => 3,
    }
}

impl Counts {
    /// Counts a call.
    pub fn add(&self, topic: Topic, result: &Result<(), &CallError>) {
        let index = TOPICS.iter().position(|(known, _)| *known == topic);
        if let Some(index) = index {
            self.0[index][outcome(result)].add(1);
        }
    }

    fn counted(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> {
        let topics = TOPICS.iter().zip(&self.0);
        topics.flat_map(|((_, topic), counters)| {
            let counters = OUTCOMES.iter().zip(counters);
            counters.map(move |(outcome, counter)| (*topic, *outcome, counter.get()))
        })
    }

    /// The metrics, a line each.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (topic, outcome, count) in self.counted() {
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "lanedeck_store_calls_by_topic_total{{topic={topic:?},outcome={outcome:?}}} {count}"
            );
        }
        text
    }

    /// The counts above zero, for a log line.
    pub fn summary(&self) -> String {
        let above_zero = self.counted().filter(|(_, _, count)| *count > 0);
        let words = above_zero.map(|(topic, outcome, count)| format!("{topic}.{outcome}={count}"));
        words.collect::<Vec<_>>().join(" ")
    }
}
