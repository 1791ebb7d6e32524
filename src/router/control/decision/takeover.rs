//! Decides whether a request of a lost incarnation runs on this router, by what its witness answers.

use crate::router::budget::Taken;
use crate::router::request::Reason;
use crate::units::Tokens;

/// The terms on which a request is taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// What it was billed already, if it was; it then costs nothing more.
    pub paid: Option<Tokens>,
    /// Whether it may have run before the takeover.
    pub may_have_run: bool,
}

/// Decides whether the request runs on this router.
///
/// # Errors
/// The reason why it does not run here; it may have run elsewhere.
pub fn decide(taken: Taken, is_repeatable: bool) -> Result<Terms, Reason> {
    let rerun = |paid| Terms {
        paid,
        may_have_run: true,
    };
    match taken {
        Taken::Fresh => Ok(Terms {
            paid: None,
            may_have_run: false,
        }),
        Taken::Yours => Ok(rerun(None)),
        Taken::Open if is_repeatable => Ok(rerun(None)),
        Taken::Settled(billed) if is_repeatable => Ok(rerun(Some(billed))),
        Taken::Open | Taken::Settled(_) | Taken::Unknown => Err(Reason::Lost),
        Taken::Other(_) | Taken::Alive => Err(Reason::Elsewhere),
        Taken::Expired => Err(Reason::Expired),
    }
}
