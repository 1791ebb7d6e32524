//! Whether a request is the cause of the target crashes that it was involved in, and must not be sent again.
//!
//! A target that crashes fails all requests that it is processing, so a single crash says almost nothing about any one
//! of them. Only successive crashes count: the request was sent to another target after the previous one had crashed,
//! and that target crashed as well. A failed rack, a network partition or reset connections affect everything in flight
//! once, and so count once. A request that any target has answered successfully is not the cause;
//! [`Quarantine`](crate::gateway::quarantine::Quarantine) handles that case and drops the crashes of such a request.

use crate::units::Millis;

/// Successive crashes after which a request is taken to be their cause. One may happen to any request, and two to an
/// innocent request whose caller retried it immediately while the cause was still being sent. Each further crash fails
/// all requests in flight at one more target.
pub const CRASHES_HELD: usize = 3;
/// Successive crashes after which a request is quarantined even though another request was involved in each of them.
/// Two requests that always occur together cannot be told apart, and targets have to be protected from both. Two more
/// than where they can be told apart.
const CRASHES_TIED: usize = 5;
/// How long before the previous crash a request may appear to have been sent and still count as sent after it, since
/// routers exchange these times over links with latency. A few times the one-way latency between two regions.
const ORDER_SLACK: Millis = Millis(50);

/// A crash of a target while a request was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the target's instance.
    pub instance: u64,
    /// When the request was sent to the target.
    pub sent: Millis,
    /// When the connection to the target broke.
    pub at: Millis,
}

/// Selects the longest sequence of successive crashes from the crashes of a request. Both input and output are ordered
/// by time.
pub fn successive_crashes(crashes: impl IntoIterator<Item = Crash>) -> Vec<Crash> {
    let mut successive: Vec<Crash> = Vec::new();
    for crash in crashes {
        let is_next = |last: &Crash| crash.sent + ORDER_SLACK >= last.at;
        if successive.last().is_none_or(is_next) {
            successive.push(crash);
        }
    }
    successive
}

/// Number of successive crashes of a request.
pub fn in_a_row(crashes: impl IntoIterator<Item = Crash>) -> usize {
    successive_crashes(crashes).len()
}

/// Whether another request with `other` successive crashes explains a crash that both requests were involved in; `own`
/// is the number of successive crashes of the request that is judged.
pub fn is_explained(own: usize, other: usize) -> bool {
    other > own || (other == own && own < CRASHES_TIED)
}

/// Whether a request is quarantined, given the number of its successive crashes that no other request explains.
pub fn is_held(unexplained: usize) -> bool {
    unexplained >= CRASHES_HELD
}
