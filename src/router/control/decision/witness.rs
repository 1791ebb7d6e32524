//! When a holder looks for another witness, and which wards a witness that is about to end waits for.

use crate::units::Millis;

/// A witness that has not answered for this long is replaced, and a ward that has not been heard for as
/// long may have died.
const SILENT: Millis = Millis(1_000);

/// How a holder's witness stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Time since the last call that it answered was sent.
    pub unanswered: Millis,
    /// Whether it, or the host list, says that it leaves.
    pub is_leaving: bool,
    /// Whether another router can take its place.
    pub has_other: bool,
}

/// What to do about a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It stays.
    Keep,
    /// Another is asked, or none if there is no other.
    Change,
}

/// Decides whether a holder looks for another witness. One that leaves still answers for a while, so it
/// is kept where nobody can take its place.
pub fn decide(standing: &Standing) -> Decision {
    let is_left = standing.is_leaving && standing.has_other;
    if standing.unanswered > SILENT || is_left {
        Decision::Change
    } else {
        Decision::Keep
    }
}

/// A ward that the ledger still has under a witness that is about to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ward {
    /// Time since it was last heard.
    pub unheard: Millis,
    /// Whether another router can be its witness.
    pub has_other: bool,
}

/// Whether a witness that is about to end waits for a ward: it will find another witness, or it may have
/// died and is then to be closed.
pub fn is_awaited(ward: &Ward) -> bool {
    ward.has_other || ward.unheard > SILENT
}
