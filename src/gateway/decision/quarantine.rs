//! Whether a request is the cause of the crashes that it was beside, so that it is not sent any more.
//!
//! A target that crashes takes all requests with it on which it works, so one crash says next to nothing of any
//! of them. What is held against a request are crashes one after the other: it was sent to another target only
//! after the last one had crashed, and that crashed as well. A rack that fails, a cut or reset connections hit
//! all that is under way once, and so count once. A request that was answered well anywhere is not the cause;
//! that is the business of [`Quarantine`](crate::gateway::quarantine::Quarantine), which forgets its crashes.

use crate::units::Millis;

/// Crashes one after the other by which a request is taken for their cause. One is any bystander's, two are a
/// bystander's that its caller sent again at once while the cause was still coming; each more costs all who
/// have an answer on its way at one more target.
pub const CRASHES_HELD: usize = 3;
/// Crashes by which a request is held although another one was beside it at each of them. Two that always come
/// together cannot be told apart, and targets have to be saved from both. Two more than where they can.
const CRASHES_TIED: usize = 5;
/// By how much a request may seem to have been sent before the last crash, since times are told between routers
/// over links that take a while. Some times the way between two regions.
const ORDER_SLACK: Millis = Millis(50);

/// A target's crash beside which a request was on its way there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the target's instance.
    pub instance: u64,
    /// When the request was sent there.
    pub sent: Millis,
    /// When it broke off.
    pub at: Millis,
}

/// Those of a request's crashes that came one after the other: the longest row that there is. They are given in
/// the order of their times, and so are returned.
pub fn row(crashes: impl IntoIterator<Item = Crash>) -> Vec<Crash> {
    let mut row: Vec<Crash> = Vec::new();
    for crash in crashes {
        let is_next = |last: &Crash| crash.sent + ORDER_SLACK >= last.at;
        if row.last().is_none_or(is_next) {
            row.push(crash);
        }
    }
    row
}

/// How many of a request's crashes came one after the other.
pub fn in_a_row(crashes: impl IntoIterator<Item = Crash>) -> usize {
    row(crashes).len()
}

/// Whether another request, with so many crashes in a row, explains a crash that both were beside.
pub fn is_explained(own: usize, other: usize) -> bool {
    other > own || (other == own && own < CRASHES_TIED)
}

/// Whether a request is held back that has so many crashes in a row which no other one explains.
pub fn is_held(unexplained: usize) -> bool {
    unexplained >= CRASHES_HELD
}
