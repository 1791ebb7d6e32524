//! How long work waits for its turn on the traffic thread.
//!
//! A timer that goes off late tells it. The least of some samples counts, since a thread that shares its core is late
//! now and then; one that has more to do than it can is late each time.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::shared::Shared;
use crate::units::Millis;

/// Interval of samples.
const INTERVAL: Duration = Duration::from_millis(20);
/// Samples of which the least counts. A tenth of a second, in which a host that has used up its part of
/// a core gets the next.
const SAMPLES: usize = 5;
/// Lag that is told in the log, when it begins and when it is over.
const TOLD: Millis = Millis(25);

/// The least of the last samples.
#[derive(Debug, Default)]
pub struct Lag {
    samples: [Millis; SAMPLES],
    next: usize,
}

impl Lag {
    /// Takes a sample in, and returns the least of the last ones.
    pub fn note(&mut self, late: Millis) -> Millis {
        self.samples[self.next] = late;
        self.next = (self.next + 1) % SAMPLES;
        self.samples.into_iter().min().unwrap_or_default()
    }
}

/// Measures until the process ends.
pub(super) async fn measure(shared: Arc<Shared>) {
    let mut lag = Lag::default();
    let mut is_told = false;
    loop {
        let due = Instant::now() + INTERVAL;
        sleep_until(due).await;
        let late = due.elapsed().as_millis() as u64;
        let least = lag.note(Millis(late));
        shared.set_lag(least);
        if (least >= TOLD) != is_told {
            is_told = !is_told;
            tracing::warn!(
                event = "traffic_behind",
                lag_ms = least.0,
                is_behind = is_told
            );
        }
    }
}
