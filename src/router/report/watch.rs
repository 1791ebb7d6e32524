//! Measures the times between the frames of one answer.

use std::sync::atomic::{AtomicU64, Ordering};

use super::Sample;

/// Value of a time that is not set yet.
const UNSET: u64 = u64::MAX;

/// Arrival times of the frames of one answer, in milliseconds since the request arrived.
#[derive(Debug)]
pub struct FrameTimes {
    first_ms: AtomicU64,
    last_ms: AtomicU64,
    frames: AtomicU64,
}

impl Default for FrameTimes {
    fn default() -> Self {
        Self {
            first_ms: AtomicU64::new(UNSET),
            last_ms: AtomicU64::new(UNSET),
            frames: AtomicU64::new(0),
        }
    }
}

impl FrameTimes {
    /// Records a frame that arrived `at` milliseconds after the request. Returns the time since the previous frame.
    pub fn record(&self, at: u64) -> Option<u64> {
        self.frames.fetch_add(1, Ordering::Relaxed);
        // Fails for all frames but the first, whose time stays.
        let _ = self
            .first_ms
            .compare_exchange(UNSET, at, Ordering::Relaxed, Ordering::Relaxed);
        let last = self.last_ms.swap(at, Ordering::Relaxed);
        (last != UNSET).then(|| at.saturating_sub(last))
    }

    /// The latencies of the answer so far.
    pub fn sample(&self) -> Sample {
        let first = self.first_ms.load(Ordering::Relaxed);
        let last = self.last_ms.load(Ordering::Relaxed);
        let gaps = self.frames.load(Ordering::Relaxed).saturating_sub(1);
        if first == UNSET {
            return Sample::default();
        }
        Sample {
            first_ms: Some(first),
            between_ms: (gaps > 0).then(|| last.saturating_sub(first) / gaps),
        }
    }
}
