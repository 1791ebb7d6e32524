//! The host's wall clock, which can be set at any time.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::units::Millis;

/// Milliseconds since the Unix epoch; `None` if the clock is set before it, which is logged.
pub fn now() -> Option<Millis> {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(elapsed) => Some(Millis(elapsed.as_millis() as u64)),
        Err(error) => {
            tracing::warn!(event = "time_of_day_unusable", %error);
            None
        }
    }
}
