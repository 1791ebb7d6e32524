//! A router's promise on what it spends while the store answers it, and what that proves once it is gone.
//!
//! A row grants enough for a time without the store, most of which is never spent. With it the router promises
//! not to pass a lower mark before a time of its host's steady clock. The promise is renewed with each row, so a
//! router that reaches the store never passes its mark, and one that is cut off may pass it once the promise has
//! ended. The next process on the same host, which cannot start before the last one has ended, reads the same
//! clock: if it has started before the end of the promise, the last one never passed its mark, and all that was
//! granted above it is free.
//!
//! This rests on three things: the processes of one name run on one host, one after the other (the second cannot
//! listen on the link's address while the first lives); the clock counts on from one process to the next; and the
//! id of a boot changes with each boot. A process that is frozen may wake at any time, since it looks at the clock
//! whenever it spends. After a loss of power the clock begins anew, and nothing is proved: what was granted stays
//! counted as spent.

use serde::{Deserialize, Serialize};

use crate::boot_clock::Reading;
use crate::units::{Millis, Tokens};

/// How long a promise lasts. It has to cover the age of the last row (rows are written each second) and the time
/// in which a process that was killed is started again. Longer, more must be below the mark and is lost with a
/// router; shorter, less is proved.
pub const SPAN: Millis = Millis(3_000);

/// A promise, as the store keeps it with its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// Tokens of its grant that the router does not pass before `until`, in all.
    pub mark: Tokens,
    /// The end of the promise, by the clock of the router's host.
    pub until: Reading,
}

impl Guard {
    /// Whether a process that has started at `started` proves that the one which made the promise ended within it.
    pub fn is_kept(&self, started: Option<Reading>) -> bool {
        let Some(started) = started else {
            return false;
        };
        let begun = self.until.at.saturating_sub(SPAN);
        let within = begun <= started.at && started.at < self.until.at;
        started.boot == self.until.boot && within
    }
}
