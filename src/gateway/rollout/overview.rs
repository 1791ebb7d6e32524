//! The rollouts as the metrics show them.

use std::fmt::Write;

use super::{Rollout, Tally};

/// A service's rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Overview {
    service: String,
    version: String,
    stage: &'static str,
    /// This router's own attempts, by arm.
    arms: [(&'static str, Tally); 2],
}

impl Overview {
    /// Summarizes a service's rollout.
    pub fn new(service: &str, rollout: &Rollout) -> Self {
        let total = rollout.evidence.total();
        Self {
            service: service.to_owned(),
            version: rollout.order.version.clone(),
            stage: rollout.stage.map_or("unknown", super::Stage::as_str),
            arms: [("stable", total.stable), ("candidate", total.candidate)],
        }
    }
}

/// The metrics of rollouts, a line each.
pub fn text(rollouts: &[Overview]) -> String {
    let mut text = String::new();
    for rollout in rollouts {
        let Overview {
            service,
            version,
            stage,
            arms,
        } = rollout;
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "lanedeck_rollout{{service={service:?},version={version:?},stage={stage:?}}} 1"
        );
        for (arm, tally) in arms {
            let labels = format!("service={service:?},arm={arm:?}");
            let _ = writeln!(
                text,
                "lanedeck_rollout_attempts_total{{{labels}}} {}\nlanedeck_rollout_failed_total{{{labels}}} {}",
                tally.attempts(),
                tally.failed
            );
        }
    }
    text
}
