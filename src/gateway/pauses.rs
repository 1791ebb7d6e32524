//! Logs the begin and the end of a period in which accepting callers' connections pauses, see
//! [`backlog`](super::decision::backlog).
//!
//! A busy router pauses ten times per second, so single pauses are only counted.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::shared::Shared;

/// Interval at which the count of pauses is compared. It bounds the log to a line per second.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive checks without a pause after which a period has ended. The link delay of a full link fluctuates, and
/// callers may be absent for some seconds; one period should not be logged as many.
const QUIET_CHECKS: u32 = 5;

/// A change that is logged. The number is the count of pauses in the period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A period has begun.
    Begun(u64),
    /// A period has ended.
    Ended(u64),
}

/// Recognizes periods of pauses from the count of all pauses.
#[derive(Debug, Default)]
pub struct Period {
    /// Count of pauses at the last check.
    last: u64,
    /// Count of pauses before the present period; `None` outside of one.
    before: Option<u64>,
    /// Checks since the last pause.
    quiet: u32,
}

impl Period {
    /// Compares the count of all pauses with the last check.
    pub fn check(&mut self, count: u64) -> Option<Change> {
        let last = std::mem::replace(&mut self.last, count);
        let has_paused = count > last;
        self.quiet = if has_paused {
            0
        } else {
            self.quiet.saturating_add(1)
        };
        match self.before {
            None if has_paused => {
                self.before = Some(last);
                Some(Change::Begun(count - last))
            }
            Some(before) if self.quiet >= QUIET_CHECKS => {
                self.before = None;
                Some(Change::Ended(count - before))
            }
            _ => None,
        }
    }
}

/// Logs periods of pauses until the process ends.
pub(super) async fn log(shared: Arc<Shared>) {
    let mut period = Period::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        match period.check(shared.accept_pauses.get()) {
            Some(Change::Begun(pauses)) => tracing::warn!(event = "accept_pauses_begun", pauses),
            Some(Change::Ended(pauses)) => tracing::info!(event = "accept_pauses_ended", pauses),
            None => {}
        }
    }
}
