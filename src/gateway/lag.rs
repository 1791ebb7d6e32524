//! Scheduling delay of the traffic thread: how long a task that is ready waits until it runs.
//!
//! It is measured by how late a timer fires. The minimum of several samples counts, since a thread that shares its core
//! is late occasionally, while an overloaded one is late every time.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::shared::Shared;
use crate::units::Millis;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of samples of which the minimum counts. They span a tenth of a second, the period in which a process that has
/// used up its CPU quota gets the next one.
const SAMPLES: usize = 5;
/// Lag whose begin and end are logged.
const LOGGED_MIN: Millis = Millis(25);

/// The minimum of the last samples.
#[derive(Debug, Default)]
pub struct Lag {
    samples: [Millis; SAMPLES],
    next: usize,
}

impl Lag {
    /// Adds a sample, and returns the minimum of the last ones.
    pub fn record(&mut self, late: Millis) -> Millis {
        self.samples[self.next] = late;
        self.next = (self.next + 1) % SAMPLES;
        self.samples.into_iter().min().unwrap_or_default()
    }
}

/// Measures the lag until the process ends.
pub(super) async fn measure(shared: Arc<Shared>) {
    let mut lag = Lag::default();
    let mut is_logged = false;
    loop {
        let due = Instant::now() + SAMPLE_INTERVAL;
        sleep_until(due).await;
        let late = due.elapsed().as_millis() as u64;
        let least = lag.record(Millis(late));
        shared.set_lag(least);
        if (least >= LOGGED_MIN) != is_logged {
            is_logged = !is_logged;
            tracing::warn!(
                event = "traffic_behind",
                lag_ms = least.0,
                is_behind = is_logged
            );
        }
    }
}
