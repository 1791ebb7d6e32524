//! Decides when a holder changes its witness, and for which of its wards (the holders that it is the witness
//! of) a stopping witness waits.

use crate::units::Millis;

/// A witness that has not answered for longer than this is replaced; a ward that has not been heard from for
/// longer than this may have crashed.
const SILENCE_MAX: Millis = Millis(1_000);

/// The state of a holder's witness, as the holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WitnessState {
    /// Time since the holder sent the last call that the witness answered.
    pub unanswered: Millis,
    /// Whether the witness or the host list says that the witness is leaving.
    pub is_leaving: bool,
    /// Whether another router can replace the witness.
    pub has_other: bool,
}

/// What to do about a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Keep the witness.
    Keep,
    /// Ask another router, or go without a witness if there is none.
    Change,
}

/// Decides whether a holder changes its witness. A leaving witness still answers for a while, so it is kept
/// if no router can replace it.
pub fn decide(state: &WitnessState) -> Decision {
    let is_replaceable = state.is_leaving && state.has_other;
    if state.unanswered > SILENCE_MAX || is_replaceable {
        Decision::Change
    } else {
        Decision::Keep
    }
}

/// A ward whose witness, according to the ledger, is a router that is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ward {
    /// Time since the ward was last heard from.
    pub silent_for: Millis,
    /// Whether another router can be the ward's witness.
    pub has_other: bool,
}

/// Whether a stopping witness waits for a ward: a ward that can will move to another witness, and a silent one
/// may have crashed and must then be closed.
pub fn must_wait_for(ward: &Ward) -> bool {
    ward.has_other || ward.silent_for > SILENCE_MAX
}
