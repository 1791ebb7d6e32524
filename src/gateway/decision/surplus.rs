//! Whether a refusal that names no request is the answer to the request that was sent last on its connection.
//!
//! A target in trouble may send a second answer to a request after the first, which then arrives in the place of the
//! next request's answer. Sound targets refuse without an id too, so only time tells the two apart. The load that this
//! answers: connections that are reused within milliseconds, at targets that garble some of their answers.

use crate::gateway::route::Kind;
use crate::units::Millis;

/// Time after a response in which another one to the same request may still arrive on the connection.
const SURPLUS_WITHIN: Millis = Millis(1_000);

/// Whether a refusal without an id is that of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// It is: the target has not run the request.
    Believed,
    /// It may belong to an earlier request, so this one may be running.
    Doubtful,
}

/// Judges a refusal of a request of this kind, on a connection whose last response ended `since_last` before the request
/// was sent; `None` if the request was the connection's first. A request that may run twice loses nothing by a false
/// refusal, and would lose its retry time by doubt.
pub fn judge(kind: Kind, since_last: Option<Millis>) -> Trust {
    match since_last {
        Some(since) if since < SURPLUS_WITHIN && !kind.may_repeat() => Trust::Doubtful,
        Some(_) | None => Trust::Believed,
    }
}
