//! Decides whether a request of a lost incarnation runs on this router, by what the incarnation's witness answers.

use crate::router::budget::TakeoverAnswer;
use crate::router::request::Reason;
use crate::units::Tokens;

/// The terms on which a request is taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// What the request was billed already, if it was; it then costs nothing more.
    pub paid: Option<Tokens>,
    /// Whether the request may have run before the takeover.
    pub may_have_run: bool,
}

/// Decides whether a request runs on this router, and returns the terms if it does.
///
/// # Errors
/// The reason why the request does not run here; it may have run elsewhere.
pub fn terms(answer: TakeoverAnswer, is_repeatable: bool) -> Result<Terms, Reason> {
    let rerun = |paid| Terms {
        paid,
        may_have_run: true,
    };
    match answer {
        TakeoverAnswer::Fresh => Ok(Terms {
            paid: None,
            may_have_run: false,
        }),
        TakeoverAnswer::Yours => Ok(rerun(None)),
        TakeoverAnswer::Open if is_repeatable => Ok(rerun(None)),
        TakeoverAnswer::Settled(billed) if is_repeatable => Ok(rerun(Some(billed))),
        TakeoverAnswer::Open | TakeoverAnswer::Settled(_) | TakeoverAnswer::Unknown => {
            Err(Reason::Lost)
        }
        TakeoverAnswer::Other(_) | TakeoverAnswer::Alive => Err(Reason::Elsewhere),
        TakeoverAnswer::Expired => Err(Reason::Expired),
    }
}
