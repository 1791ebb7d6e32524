//! Whether a request of a lost incarnation runs here, by what its witness says.

use crate::router::budget::Taken;
use crate::router::request::Reason;
use crate::units::Tokens;

/// On what terms a request is taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// What it was billed already; it costs nothing more then.
    pub paid: Option<Tokens>,
    /// Whether it may have run before.
    pub may_have_run: bool,
}

/// Decides whether it runs here.
///
/// # Errors
/// Why it may have run, and does not run here.
pub fn decide(taken: Taken, is_repeatable: bool) -> Result<Terms, Reason> {
    let again = |paid| Terms {
        paid,
        may_have_run: true,
    };
    match taken {
        Taken::Fresh => Ok(Terms {
            paid: None,
            may_have_run: false,
        }),
        Taken::Yours => Ok(again(None)),
        Taken::Open if is_repeatable => Ok(again(None)),
        Taken::Settled(billed) if is_repeatable => Ok(again(Some(billed))),
        Taken::Open | Taken::Settled(_) | Taken::Unknown => Err(Reason::Lost),
        Taken::Other(_) | Taken::Alive => Err(Reason::Elsewhere),
        Taken::Expired => Err(Reason::Expired),
    }
}
