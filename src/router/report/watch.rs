//! What one answer measures on its way.

use std::sync::atomic::{AtomicU64, Ordering};

use super::Sample;

/// Marks a time that has not come.
const NEVER: u64 = u64::MAX;

/// Times of one answer's frames, in milliseconds since its request.
#[derive(Debug)]
pub struct Watch {
    first_ms: AtomicU64,
    last_ms: AtomicU64,
    frames: AtomicU64,
}

impl Default for Watch {
    fn default() -> Self {
        Self {
            first_ms: AtomicU64::new(NEVER),
            last_ms: AtomicU64::new(NEVER),
            frames: AtomicU64::new(0),
        }
    }
}

impl Watch {
    /// A frame came this long after the request; the gap since the last is returned.
    pub fn frame(&self, at: u64) -> Option<u64> {
        self.frames.fetch_add(1, Ordering::Relaxed);
        // Only the first frame's time stays.
        let _ = self
            .first_ms
            .compare_exchange(NEVER, at, Ordering::Relaxed, Ordering::Relaxed);
        let last = self.last_ms.swap(at, Ordering::Relaxed);
        (last != NEVER).then(|| at.saturating_sub(last))
    }

    /// What it comes to.
    pub fn sample(&self) -> Sample {
        let first = self.first_ms.load(Ordering::Relaxed);
        let last = self.last_ms.load(Ordering::Relaxed);
        let gaps = self.frames.load(Ordering::Relaxed).saturating_sub(1);
        if first == NEVER {
            return Sample::default();
        }
        Sample {
            first_ms: Some(first),
            between_ms: (gaps > 0).then(|| last.saturating_sub(first) / gaps),
        }
    }
}
