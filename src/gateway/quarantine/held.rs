//! Metrics of quarantined requests, for operators.

use std::fmt::Write;

use tokio::time::Instant;

use crate::gateway::fingerprint::Fingerprint;

/// A quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The number of crashes that the request is quarantined for.
    pub crashes: usize,
    /// When the quarantine ends.
    pub until: Instant,
}

/// Renders the metrics: the number of requests refused because of quarantine, and each quarantined request with its
/// crashes and the remaining time.
pub fn text(held: &[QuarantinedRequest], refused: u64) -> String {
    let now = Instant::now();
    let mut text = String::new();
    // Writing to a string cannot fail, here and below.
    let _ = writeln!(text, "lanedeck_quarantine_refused_total {refused}");
    let _ = writeln!(text, "lanedeck_quarantine_held {}", held.len());
    for request in held {
        let left = request.until.saturating_duration_since(now).as_secs();
        let _ = writeln!(
            text,
            "lanedeck_quarantine_left_seconds{{fingerprint=\"{}\",crashes=\"{}\"}} {left}",
            request.fingerprint, request.crashes
        );
    }
    text
}
