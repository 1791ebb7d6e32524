//! What routers report to each other, and keep in the store, about requests that were in flight when a target crashed.
//! All types are encoded for other processes, so the order of fields is part of the wire format. Times are sent as
//! ages, since the clocks of routers are not synchronised.

use serde::{Deserialize, Serialize};

use crate::gateway::fingerprint::Fingerprint;
use crate::units::Millis;

/// A crash of a target during which a request was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the target's instance.
    pub instance: u64,
    /// How long ago the request was sent to the target.
    pub sent_ago: Millis,
    /// How long ago the attempt broke off.
    pub ago: Millis,
}

/// The crashes and the last success of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crashes, oldest first.
    pub crashes: Vec<Crash>,
    /// How long ago the request succeeded, if it did.
    pub answered_ago: Option<Millis>,
}

impl Report {
    /// Returns this report with all of its ages increased by `age`. Ages come from other processes and are not
    /// trusted, so additions saturate.
    pub fn aged(&self, age: Millis) -> Self {
        let later = |ago: Millis| Millis(ago.0.saturating_add(age.0));
        let crashes = self.crashes.iter().map(|crash| Crash {
            instance: crash.instance,
            sent_ago: later(crash.sent_ago),
            ago: later(crash.ago),
        });
        Self {
            fingerprint: self.fingerprint,
            crashes: crashes.collect(),
            answered_ago: self.answered_ago.map(later),
        }
    }
}

/// A router's row in the store: the quarantined requests of which this router has seen at least one crash itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The host's wall-clock time of writing, in milliseconds since 1970.
    pub written: u64,
    /// The reports at that time.
    pub reports: Vec<Report>,
}
