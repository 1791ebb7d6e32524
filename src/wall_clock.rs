//! The host's time of day, which somebody may set at any moment.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::units::Millis;

/// The time of day in milliseconds since 1970; `None` before that, which is logged.
pub fn now() -> Option<Millis> {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => Some(Millis(since.as_millis() as u64)),
        Err(error) => {
            tracing::warn!(event = "time_of_day_unusable", %error);
            None
        }
    }
}
