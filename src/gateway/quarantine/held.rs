//! What is held back, as operators see it beside the counters.

use std::fmt::Write;

use tokio::time::Instant;

use crate::gateway::fingerprint::Fingerprint;

/// A request that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Crashes by which it is.
    pub crashes: usize,
    /// Until then.
    pub until: Instant,
}

/// Lines for the metrics' address: how many requests were refused for it, and each one that is held back with its
/// crashes and the time that is left.
pub fn text(held: &[Held], refused: u64) -> String {
    let now = Instant::now();
    let mut text = String::new();
    // Writing to a string does not fail; the same holds below.
    let _ = writeln!(text, "lanedeck_quarantine_refused_total {refused}");
    let _ = writeln!(text, "lanedeck_quarantine_held {}", held.len());
    for one in held {
        let left = one.until.saturating_duration_since(now).as_secs();
        let _ = writeln!(
            text,
            "lanedeck_quarantine_left_seconds{{fingerprint=\"{}\",crashes=\"{}\"}} {left}",
            one.fingerprint, one.crashes
        );
    }
    text
}
