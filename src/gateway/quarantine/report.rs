//! What routers tell each other of requests that were beside crashes, and keep in the store. All types are
//! encoded for other processes, so the order of fields is part of their form. Times are told as ages, since
//! routers' clocks have nothing in common.

use serde::{Deserialize, Serialize};

use crate::gateway::fingerprint::Fingerprint;
use crate::units::Millis;

/// A crash that a request was beside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the target's instance.
    pub instance: u64,
    /// How long ago the request was sent there.
    pub sent_ago: Millis,
    /// How long ago it broke off.
    pub ago: Millis,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crashes, in the order of their times.
    pub crashes: Vec<Crash>,
    /// How long ago it was answered well, where it was.
    pub answered_ago: Option<Millis>,
}

impl Report {
    /// The same, told so much later. Ages are anybody's word, so sums of them are bounded.
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

/// What a router keeps in the store: the requests that it holds back and of whose crashes it has seen one itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The host's time of day when it was written, in milliseconds since 1970.
    pub written: u64,
    /// What was known then.
    pub reports: Vec<Report>,
}
